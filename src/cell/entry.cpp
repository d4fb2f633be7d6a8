#include "cell/entry.h"

#include "base/error.h"
#include "base/json.h"
#include "node/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cwl::cell {

Entry::Entry(boost::asio::io_context &context, TableStore &store, const RowReader &reader,
             std::string member, std::string address, LocalOwner local, metrics::Registry &metrics)
    : m_context(context)
    , m_store(store)
    , m_member(std::move(member))
    , m_address(std::move(address))
    , m_local(std::move(local))
    , m_acceptance(context, store)
    , m_relay(context)
    , m_config(context, store, reader,
               [this](const ConfigFollower::ConfigPointer &config) {
                   if (configChanged)
                       configChanged(config);
               })
    , m_probe(context, store,
              [this] {
                  m_acceptance.noteStoreResponse(BootClock::now());
                  m_config.expedite();
                  if (storeRegained)
                      storeRegained();
              })
    , m_accepted(metrics.counter("cwl_cell_jobs_accepted_total", "Jobs stored."))
    , m_refused(metrics.counter("cwl_cell_jobs_refused_total",
                                "Jobs rejected, certainly not stored."))
    , m_unknown(metrics.counter("cwl_cell_jobs_unknown_total", "Jobs that may be stored."))
    , m_relayed(metrics.counter("cwl_cell_rows_relayed_total",
                                "Rows relayed to another member for storage."))
    , m_collected(metrics.counter("cwl_cell_rows_collected_total",
                                  "Rows sent to the collector of their part."))
    , m_acceptTime(metrics.histogram("cwl_cell_accept_seconds",
                                     "Time from receipt of a job to its response."))
{
}

void Entry::start()
{
    m_acceptance.storeUnresponsive = [this] { m_probe.start(); };
    m_config.start();
}

void Entry::setOwner(const OwnerRow &owner)
{
    if (owner.epoch < m_owner.epoch)
        return; // the store's feed is behind the owner's own announcement
    m_owner = owner;
    if (owner.address == m_ownerAddress)
        return;
    m_ownerAddress = owner.address;
    m_relay.setOwner(owner.holder == m_member ? std::string() : owner.address);
    m_ownerClient.reset();
    if (owner.address.empty())
        return;
    auto client = http::Client::create(m_context,
                                       {.address = owner.address,
                                        .maxConnections = maxOwnerConnections,
                                        .connectTimeout = milliseconds(300),
                                        .traffic = Traffic::RpcControl});
    if (!client.ok()) {
        log::warn("owner_address_invalid", {{"error", client.status()}});
        return;
    }
    m_ownerClient = *std::move(client);
}

// Section: jobs

void Entry::submit(jobs::JobSpec spec, TimePoint deadline, std::function<void(Answer)> callback)
{
    const TimePoint startedAt = BootClock::now();
    const JobId id = spec.id;
    Row row = {jobsTable, jobPart(id), id.value(), jobs::encodeJob(spec)};
    if (row.value.size() > maxJobBytes) {
        log::info("job_refused",
                  {{"job", id.value()},
                   {"reason", "too large to store"},
                   {"bytes", row.value.size()}});
        callback(Answer::TooLarge);
        return;
    }
    const std::string collector = m_acceptance.responseTime() > slowStoreTime
            ? m_relay.collectorOf(row.part, m_address)
            : std::string();
    collectRow(std::move(row), collector, deadline,
               [this, id, startedAt, deadline, queue = spec.queue.name,
                customer = spec.customer ? spec.customer->id : CustomerId(),
                callback = std::move(callback)](StoreOutcome stored) {
                   const Duration time = BootClock::now() - startedAt;
                   m_acceptTime.observe(time);
                   log::info("job_submitted",
                             {{"job", id.value()},
                              {"queue", queue},
                              {"customer", customer.value()},
                              {"stored", storeOutcomeName(stored)},
                              {"time", time}});
                   if (stored == StoreOutcome::AlreadyStored && !customer.isEmpty())
                       confirmRepeat(id, customer, deadline, callback);
                   else
                       callback(countOutcome(stored));
               });
}

// The id was stored before: by an earlier attempt of this caller, unless another customer uses it.
void Entry::confirmRepeat(const JobId &id, const CustomerId &customer, TimePoint deadline,
                          std::function<void(Answer)> callback)
{
    readJob(id, deadline,
            [this, id, customer, callback = std::move(callback)](
                    const absl::StatusOr<std::optional<CustomerId>> &stored) {
                if (stored.ok() && *stored && **stored != customer) {
                    m_refused.add();
                    log::info("job_id_conflict",
                              {{"job", id.value()}, {"customer", customer.value()}});
                    callback(Answer::Conflict);
                    return;
                }
                callback(countOutcome(stored.ok() ? StoreOutcome::AlreadyStored
                                                  : StoreOutcome::Unknown));
            });
}

// Stores a row through its collector; here if there is none, or if it has not stored the row.
void Entry::collectRow(Row row, const std::string &collector, TimePoint deadline,
                       std::function<void(StoreOutcome)> callback)
{
    if (collector.empty()) {
        storeRow(std::move(row), deadline, std::move(callback));
        return;
    }
    m_collected.add();
    m_relay.putThrough(collector, row, deadline - responseMargin,
                       [this, row, deadline, sentAt = BootClock::now(),
                        callback = std::move(callback)](StoreOutcome collected) {
                           if (collected == StoreOutcome::Stored
                               || collected == StoreOutcome::AlreadyStored) {
                               m_acceptance.noteRelayedWrite(sentAt);
                               callback(collected);
                               return;
                           }
                           // A row that the collector may still store is not sent twice: a store is
                           // slow because its parts have more transactions than they execute.
                           if (collected == StoreOutcome::Unknown
                               || BootClock::now() >= deadline - responseMargin)
                               callback(collected);
                           else
                               storeRow(row, deadline, callback);
                       });
}

// Stores a row here or, if the store does not serve this instance, through another member.
void Entry::storeRow(Row row, TimePoint deadline, std::function<void(StoreOutcome)> callback)
{
    putLocally(row, deadline,
               [this, row, deadline, callback = std::move(callback)](StoreOutcome stored) {
                   const TimePoint limit = deadline - responseMargin;
                   if (stored == StoreOutcome::Stored || stored == StoreOutcome::AlreadyStored
                       || BootClock::now() >= limit) {
                       callback(stored);
                       return;
                   }
                   m_relayed.add();
                   m_relay.put(row, limit, [stored, callback](StoreOutcome relayed) {
                       // If the others report NotStored, the local outcome stands: the attempt
                       // here may still have stored the row.
                       callback(relayed == StoreOutcome::NotStored ? stored : relayed);
                   });
               });
}

Duration Entry::retryAfter(TimePoint deadline) const
{
    const TimePoint now = BootClock::now();
    const Duration longest = std::clamp<Duration>((deadline - now) / triesBeforeDeadline,
                                                  minRetryAfter, maxRetryAfter);
    return std::clamp(m_acceptance.outageDuration(now), minRetryAfter, longest);
}

void Entry::putLocally(Row row, TimePoint deadline, std::function<void(StoreOutcome)> callback)
{
    m_acceptance.put(row, deadline,
                     [this, row, callback = std::move(callback)](StoreOutcome stored) {
                         if (stored == StoreOutcome::Stored)
                             notifyOwner(row);
                         callback(stored);
                     });
}

void Entry::storeFor(const std::string &key, std::string value, TimePoint deadline,
                     std::function<void(StoreOutcome)> callback)
{
    const JobId id(key.substr(0, key.find('!')));
    putLocally({jobsTable, jobPart(id), key, std::move(value)}, deadline, std::move(callback));
}

Answer Entry::countOutcome(StoreOutcome stored)
{
    switch (stored) {
    case StoreOutcome::Stored:
    case StoreOutcome::AlreadyStored:
        m_accepted.add();
        return Answer::Accepted;
    case StoreOutcome::NotStored:
        m_refused.add();
        return Answer::Refused;
    case StoreOutcome::Unknown:
        break;
    }
    m_unknown.add();
    return Answer::Unknown;
}

// Notifies the owner sooner than the store's feed, in particular while the feed is unresponsive.
// The notification may be lost: the feed carries every job and cancellation.
void Entry::notifyOwner(const Row &row)
{
    if (m_owner.holder == m_member) {
        m_local.stored(row.key, row.value);
        return;
    }
    if (!m_ownerClient)
        return;
    http::Request request;
    request.method = "POST";
    request.path = "/cell/stored";
    request.query = "key=" + row.key;
    request.body = row.value;
    m_ownerClient->send(std::move(request), BootClock::now() + ownerTimeout,
                        [](const absl::StatusOr<http::Response> &response) {
                            if (!response.ok())
                                log::debug("owner_notify_failed", {{"error", response.status()}});
                        });
}

void Entry::cancel(const JobId &id, const Requester &requester, TimePoint deadline,
                   std::function<void(Answer)> callback)
{
    findJob(id, deadline,
            [this, id, requester, deadline, callback = std::move(callback)](
                    const absl::StatusOr<std::optional<CustomerId>> &customer) {
                if (!customer.ok()) {
                    callback(Answer::Unavailable);
                    return;
                }
                if (!*customer || !mayAccess(requester, **customer)) {
                    callback(Answer::NotFound);
                    return;
                }
                Row row = {jobsTable, jobPart(id), id.value() + cancelSuffix, "{}"};
                storeRow(std::move(row), deadline, [id, callback](StoreOutcome stored) {
                    log::info("cancel_submitted",
                              {{"job", id.value()}, {"stored", storeOutcomeName(stored)}});
                    const bool isStored =
                            stored == StoreOutcome::Stored || stored == StoreOutcome::AlreadyStored;
                    callback(isStored ? Answer::Accepted : Answer::Unknown);
                });
            });
}

// The store shows each accepted job. While it does not respond to this member, the owner is asked,
// which knows all jobs that it has read: the job exists if the owner knows it.
void Entry::findJob(const JobId &id, TimePoint deadline, JobCallback callback)
{
    const auto onOwnerResponse = [callback](const std::optional<StateResult> &answer,
                                            const std::function<void()> &otherwise) {
        if (answer && answer->answer == Answer::Found)
            callback(std::optional(answer->customer));
        else
            otherwise();
    };
    if (m_acceptance.outageDuration(BootClock::now()) > Duration::zero()) {
        askOwner(id, deadline,
                 [this, id, deadline, callback,
                  onOwnerResponse](const std::optional<StateResult> &answer) {
                     onOwnerResponse(answer, [&] { readJob(id, deadline, callback); });
                 });
        return;
    }
    readJob(id, deadline,
            [this, id, deadline, callback,
             onOwnerResponse](const absl::StatusOr<std::optional<CustomerId>> &customer) {
                if (customer.ok()) {
                    callback(customer);
                    return;
                }
                askOwner(id, deadline,
                         [callback, onOwnerResponse,
                          error = customer.status()](const std::optional<StateResult> &answer) {
                             onOwnerResponse(answer, [&] { callback(error); });
                         });
            });
}

// A row that cannot be decoded is of a job that no owner can run; it counts as a job of nobody.
void Entry::readJob(const JobId &id, TimePoint deadline, JobCallback callback)
{
    m_store.read({.table = jobsTable,
                  .part = jobPart(id),
                  .from = id.value(),
                  .until = id.value() + "\x01"},
                 std::min(deadline, BootClock::now() + storeReadTimeout),
                 [callback = std::move(callback)](const absl::StatusOr<Page> &page) {
                     if (!page.ok()) {
                         callback(page.status());
                         return;
                     }
                     if (page->rows.empty()) {
                         callback(std::optional<CustomerId>());
                         return;
                     }
                     const auto spec = jobs::decodeJob(page->rows[0].value);
                     callback(std::optional(spec.ok() && spec->customer ? spec->customer->id
                                                                        : CustomerId()));
                 });
}

// Section: states

void Entry::queryOwner(const std::string &path, const std::string &query, TimePoint deadline,
                       std::function<void(std::optional<Json::Value>)> callback)
{
    if (!m_ownerClient) {
        callback(std::nullopt);
        return;
    }
    http::Request request;
    request.path = path;
    request.query = query;
    const TimePoint limit = std::min(deadline, BootClock::now() + ownerTimeout);
    m_ownerClient->send(std::move(request), limit,
                        [client = m_ownerClient, context = &m_context,
                         callback = std::move(callback)](absl::StatusOr<http::Response> response) {
                            std::optional<Json::Value> value;
                            if (response.ok() && response->status == 200) {
                                absl::StatusOr<Json::Value> parsed = parseJson(response->body);
                                if (parsed.ok())
                                    value = *std::move(parsed);
                            }
                            if (!value)
                                log::debug("owner_query_failed", {});
                            // The client may be replaced meanwhile, but must not be destroyed
                            // inside its own callback.
                            boost::asio::post(*context,
                                              [client, callback, value] { callback(value); });
                        });
}

void Entry::state(const JobId &id, const Requester &requester, TimePoint deadline,
                  std::function<void(StateResult)> callback)
{
    const auto onResult = [this, id, requester, deadline,
                           callback](const std::optional<StateResult> &answer) {
        if (!answer || answer->answer != Answer::Found)
            readState(id, requester, deadline, callback); // the owner may not know the job yet
        else if (mayAccess(requester, answer->customer))
            callback(*answer);
        else
            callback({Answer::NotFound, {}, {}});
    };
    askOwner(id, deadline, onResult);
}

void Entry::askOwner(const JobId &id, TimePoint deadline,
                     std::function<void(std::optional<StateResult>)> callback)
{
    if (m_owner.holder == m_member) {
        m_local.state(id,
                      [context = &m_context,
                       callback = std::move(callback)](std::optional<StateResult> answer) {
                          boost::asio::post(*context, [callback, answer] { callback(answer); });
                      });
        return;
    }
    queryOwner("/cell/job", "id=" + id.value(), deadline,
               [callback = std::move(callback)](const std::optional<Json::Value> &value) {
                   std::optional<StateResult> answer;
                   const absl::StatusOr<std::string> name =
                           value ? stringMember(*value, "state") : std::string();
                   const auto state = name.ok() ? jobs::jobStateFromName(*name) : std::nullopt;
                   if (state) {
                       const auto customer = stringMember(*value, "customer");
                       answer = StateResult{Answer::Found, *state,
                                            CustomerId(customer.value_or(std::string()))};
                   }
                   callback(answer);
               });
}

// Used without the owner's response: the store shows whether the job exists and has ended.
void Entry::readState(const JobId &id, const Requester &requester, TimePoint deadline,
                      std::function<void(StateResult)> callback)
{
    readJob(id, deadline,
            [this, id, requester, deadline, callback = std::move(callback)](
                    const absl::StatusOr<std::optional<CustomerId>> &customer) {
                if (!customer.ok()) {
                    log::info("state_unavailable",
                              {{"job", id.value()}, {"error", customer.status()}});
                    callback({Answer::Unavailable, {}, {}});
                    return;
                }
                if (*customer && mayAccess(requester, **customer))
                    readProgress(id, deadline, callback);
                else
                    callback({Answer::NotFound, {}, {}});
            });
}

void Entry::readProgress(const JobId &id, TimePoint deadline,
                         std::function<void(StateResult)> callback)
{
    m_store.read(
            {.table = progressTable,
             .part = ownerPart,
             .from = id.value(),
             .until = id.value() + "\x01"},
            std::min(deadline, BootClock::now() + storeReadTimeout),
            [id, callback = std::move(callback)](const absl::StatusOr<Page> &page) {
                if (!page.ok()) {
                    log::info("state_unavailable", {{"job", id.value()}, {"error", page.status()}});
                    callback({Answer::Unavailable, {}, {}});
                    return;
                }
                StateResult answer = {Answer::Found, jobs::JobState::Queued, {}};
                if (!page->rows.empty()) {
                    const auto progress = jobs::decodeProgress(page->rows[0].value);
                    answer.state = progress.ok() ? progress->state : jobs::JobState::Running;
                }
                callback(answer);
            });
}

void Entry::onCounts(std::optional<Json::Value> counts)
{
    if (!counts || !counts->isObject())
        return;
    m_counts = *std::move(counts);
    m_countsReceivedAt = BootClock::now();
}

void Entry::countWaiting(const std::string &queue, TimePoint deadline,
                         std::function<void(CountResult)> callback)
{
    const auto onResult = [this, queue, callback](std::optional<Json::Value> counts) {
        onCounts(std::move(counts));
        if (BootClock::now() - m_countsReceivedAt > maxWaitingCountAge) {
            callback({Answer::Unavailable, 0});
            return;
        }
        // Queues without waiting jobs are left out.
        callback({Answer::Found, intMember(m_counts, queue.c_str(), 0, INT64_MAX).value_or(0)});
    };
    if (m_owner.holder == m_member) {
        m_local.waiting([context = &m_context, onResult](std::optional<Json::Value> counts) {
            boost::asio::post(*context, [onResult, counts] { onResult(counts); });
        });
        return;
    }
    queryOwner("/cell/waiting", "", deadline, onResult);
}

} // namespace cwl::cell
