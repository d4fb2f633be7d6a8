#include "cell/owner.h"

#include "base/error.h"
#include "base/json.h"
#include "node/log.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace cwl::cell {

// The look at one worker: one call at a time, so that reports stay in order.
struct Owner::Watch
{
    Watch(boost::asio::io_context &context, WorkerId workerId)
        : id(std::move(workerId))
        , timer(context)
    {
    }

    WorkerId id;
    WorkerTarget target = {};
    Timer timer;
    bool isWaitingForStore = false;
    bool isUnreachable = false;
    TimePoint waitingSince = {};
};

Owner::Owner(boost::asio::io_context &context, const OwnerOptions &options, TableStore &store,
             WorkerGateway &workers, AdviceService &advice, const RowReader &reader,
             metrics::Registry &metrics)
    : m_context(context)
    , m_options(options)
    , m_store(store)
    , m_gateway(workers)
    , m_reader(reader)
    , m_ownership(
              context, store, options.member, options.address,
              {.won = [this](Epoch epoch, const OwnerRow &previous) { won(epoch, previous); },
               .lost = [this](const char *reason) { lost(reason); },
               .changed =
                       [this](const OwnerRow &owner) {
                           if (ownerChanged)
                               ownerChanged(owner);
                       },
               .confirmed = [this](TimePoint sentAt) { m_dispatcher.confirmOwnership(sentAt); }})
    , m_dispatcher(options.dispatcher)
    , m_advice(context, advice)
    , m_configFollower(context, store, {.table = reader.configTable},
                       {.snapshot = [this](const std::vector<Row> &rows) { onConfig(rows); },
                        .changed = [this](const std::vector<Row> &rows) { onConfig(rows); }})
    , m_decideTimer(context)
    , m_storeTimer(context)
    , m_tickTimer(context)
    , m_loadTimer(context)
    , m_membersTimer(context)
    , m_announceTimer(context)
    , m_probeTimer(context)
    , m_predecessorTimer(context)
    , m_startsSent(metrics.counter("cwl_cell_starts_total", "Starts ordered."))
    , m_endsSeen(metrics.counter("cwl_cell_reports_total", "Reports of workers."))
    , m_takeovers(metrics.counter("cwl_cell_takeovers_total", "Times this member became owner."))
    , m_decideTime(metrics.histogram("cwl_cell_decide_seconds", "Time of one decision."))
    , m_commitTime(metrics.histogram("cwl_cell_store_write_seconds", "Time of an owner's write."))
    , m_orderTime(metrics.histogram("cwl_cell_start_answer_seconds", "From a start to its answer."))
    , m_recoveryTime(metrics.histogram("cwl_cell_recovery_seconds",
                                       "From the takeover until jobs can start."))
{
}

Owner::~Owner()
{
    *m_alive = false;
}

void Owner::after(Timer &timer, Duration pause, std::function<void()> action)
{
    timer.expires_after(pause);
    timer.async_wait(
            [alive = m_alive, action = std::move(action)](boost::system::error_code error) {
                if (!error && *alive)
                    action();
            });
}

void Owner::start()
{
    m_configFollower.start();
    m_ownership.start();
    announce();
    probeOwner();
}

void Owner::resign(std::function<void()> done)
{
    m_ownership.resign(std::move(done));
}

// Section: questions

std::optional<jobs::JobState> Owner::jobState(const JobId &id) const
{
    return m_dispatcher.jobState(id);
}

Json::Value Owner::waitingByQueue() const
{
    Json::Value value(Json::objectValue);
    for (const auto &[queue, count] : m_dispatcher.waitingByQueue())
        value[queue] = Json::Int64(count);
    return value;
}

Json::Value Owner::explain(const JobId &id) const
{
    return m_dispatcher.explain(id, BootClock::now());
}

Epoch Owner::heldEpoch() const
{
    return m_ownership.isOwner() ? m_ownership.epoch() : Epoch();
}

bool Owner::canReachStore(TimePoint now) const
{
    const TimePoint last = std::max(m_ownership.lastAnswer(), m_configFollower.lastAnswer());
    return now - last < followWait + followTimeout + milliseconds(300);
}

Json::Value Owner::state() const
{
    const TimePoint now = BootClock::now();
    Json::Value value;
    value["member"] = m_options.member;
    value["owner"] = m_ownership.owner().holder;
    value["epoch"] = Json::Int64(m_ownership.epoch().value());
    value["isOwner"] = m_ownership.isOwner();
    value["isActive"] = m_isActive;
    value["configVersion"] = Json::Int64(m_config.version);
    value["storeReachable"] = canReachStore(now);
    if (m_isActive)
        value["dispatcher"] = m_dispatcher.state(now);
    return value;
}

// Section: configuration and members

void Owner::onConfig(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        if (row.key != m_reader.configKey || row.isDeleted)
            continue;
        const absl::StatusOr<jobs::CellConfig> config = m_reader.config(row.value);
        if (!config.ok()) {
            log::error("config_unreadable",
                       {{"revision", row.revision.value()}, {"error", config.status()}});
            continue;
        }
        if (config->version <= m_config.version)
            continue;
        log::info("config_in_force",
                  {{"version", config->version},
                   {"previous", m_config.version},
                   {"queues", config->queues.size()},
                   {"revision", row.revision.value()}});
        m_config = *config;
        m_dispatcher.setConfig(m_config);
        if (configChanged)
            configChanged(m_config);
        scheduleDecision();
    }
}

// Tells the others where this member answers.
void Owner::announce()
{
    Transaction transaction;
    transaction.writes = {{membersTable, ownerPart, m_options.name, m_options.address}};
    m_store.commit(transaction, BootClock::now() + storeCallTimeout,
                   [this, alive = m_alive](const absl::StatusOr<TransactionResult> &result) {
                       if (!*alive)
                           return;
                       if (result.ok())
                           return;
                       log::info("announce_failed", {{"error", result.status()}});
                       after(m_announceTimer, seconds(1), [this] { announce(); });
                   });
}

void Owner::readMembers()
{
    if (!m_ownership.isOwner())
        return;
    readParts(m_store, membersTable, {ownerPart},
              [this, alive = m_alive](const absl::StatusOr<Page> &page) {
                  if (!*alive)
                      return;
                  if (page.ok()) {
                      std::vector<std::string> addresses;
                      for (const Row &row : page->rows) {
                          if (row.value != m_options.address)
                              addresses.push_back(row.value);
                      }
                      m_advice.setMembers(addresses);
                  }
                  after(m_membersTimer, membersInterval, [this] { readMembers(); });
              });
}

// Section: becoming the owner

void Owner::won(Epoch epoch, const OwnerRow &previous)
{
    ++m_term;
    m_takeovers.add();
    const TimePoint now = BootClock::now();
    m_termBegan = now;
    const auto lease =
            Duration(int64_t(double(m_options.dispatcher.lease.count()) * workerClockMargin));
    // What the last owner started may run until it has noticed that it is deposed, and a lease
    // longer. An owner that resigned, or of an empty store, has nothing left to notice.
    Duration bound = lease + maxStoreAbsence;
    if (previous.holder.empty())
        bound = previous.epoch.value() == 0 ? Duration::zero() : lease;
    m_dispatcher.begin(epoch, now + bound);
    m_dispatcher.setConfig(m_config);
    if (!previous.holder.empty())
        askPredecessor(previous);
    load();
    readMembers();
}

// Asks the owner from time to time whether it still runs, so that the end of its process is noticed
// before its silence.
void Owner::probeOwner()
{
    after(m_probeTimer, probeInterval, [this] { probeOwner(); });
    const OwnerRow &owner = m_ownership.owner();
    if (m_ownership.isOwner() || owner.holder.empty() || owner.address == m_options.address) {
        // This address was the owner's in an earlier life of this process.
        if (!m_ownership.isOwner() && owner.address == m_options.address)
            m_ownership.noteOwnerEnded(owner.epoch);
        return;
    }
    if (m_probeAddress != owner.address) {
        auto client = http::Client::create(m_context,
                                           {.address = owner.address,
                                            .maxConnections = 1,
                                            .connectTimeout = probeTimeout,
                                            .traffic = Traffic::RpcControl});
        if (!client.ok())
            return;
        m_probe = *std::move(client);
        m_probeAddress = owner.address;
    }
    http::Request request;
    request.path = "/cell/owner";
    m_probe->send(std::move(request), BootClock::now() + probeTimeout,
                  [this, alive = m_alive,
                   epoch = owner.epoch](const absl::StatusOr<http::Response> &response) {
                      if (*alive)
                          onProbed(epoch, response);
                  });
}

void Owner::onProbed(Epoch epoch, const absl::StatusOr<http::Response> &response)
{
    if (!response.ok()) {
        const Failure failure = failureOf(response.status());
        if (failure == Failure::ConnectionRefused || failure == Failure::ConnectionLost)
            m_ownership.noteOwnerEnded(epoch);
        return;
    }
    const absl::StatusOr<Json::Value> value = parseJson(response->body);
    if (response->status == 200 && value.ok() && (*value)["epoch"].asInt64() != epoch.value())
        m_ownership.noteOwnerEnded(epoch);
}

// A member at the last owner's address that does not hold its epoch proves that it has stopped.
// Asked until there is an answer: the process may be starting again.
void Owner::askPredecessor(const OwnerRow &previous)
{
    auto client = http::Client::create(m_context,
                                       {.address = previous.address,
                                        .connectTimeout = predecessorTimeout,
                                        .traffic = Traffic::RpcControl});
    if (!client.ok()) {
        log::warn("predecessor_address_invalid", {{"error", client.status()}});
        return;
    }
    m_predecessor = *std::move(client);
    sendToPredecessor(previous.epoch);
}

void Owner::sendToPredecessor(Epoch epoch)
{
    http::Request request;
    request.path = "/cell/owner";
    m_predecessor->send(std::move(request), BootClock::now() + predecessorTimeout,
                        [this, alive = m_alive, term = m_term,
                         epoch](const absl::StatusOr<http::Response> &response) {
                            if (*alive && term == m_term)
                                onPredecessor(epoch, response);
                        });
}

void Owner::onPredecessor(Epoch epoch, const absl::StatusOr<http::Response> &response)
{
    const auto value = response.ok() ? parseJson(response->body)
                                     : absl::StatusOr<Json::Value>(response.status());
    const bool hasStopped =
            value.ok() && response->status == 200 && (*value)["epoch"].asInt64() != epoch.value();
    if (!hasStopped) {
        log::info("predecessor_silent",
                  {{"epoch", epoch.value()},
                   {"error", value.ok() ? absl::OkStatus() : value.status()}});
        after(m_predecessorTimer, predecessorInterval, [this, term = m_term, epoch] {
            if (term == m_term && m_ownership.isOwner())
                sendToPredecessor(epoch);
        });
        return;
    }
    const auto lease =
            Duration(int64_t(double(m_options.dispatcher.lease.count()) * workerClockMargin));
    m_dispatcher.setPredecessorEnds(BootClock::now() + lease);
    log::info("predecessor_stopped", {{"epoch", epoch.value()}});
}

void Owner::retryLoad()
{
    after(m_loadTimer, storeRetryPause, [this, term = m_term] {
        if (term == m_term && m_ownership.isOwner())
            load();
    });
}

void Owner::load()
{
    const uint64_t term = m_term;
    readParts(m_store, progressTable, {ownerPart},
              [this, alive = m_alive, term](const absl::StatusOr<Page> &page) {
                  if (!*alive || term != m_term || !m_ownership.isOwner())
                      return;
                  if (!page.ok()) {
                      log::info("load_failed", {{"error", page.status()}});
                      retryLoad();
                      return;
                  }
                  onProgress(*page);
              });
}

void Owner::onProgress(const Page &page)
{
    m_loadedProgress.clear();
    for (const Row &row : page.rows) {
        absl::StatusOr<jobs::Progress> progress = jobs::decodeProgress(row.value);
        if (!progress.ok()) {
            log::error("progress_unreadable", {{"job", row.key}, {"error", progress.status()}});
            continue;
        }
        m_loadedProgress.emplace(row.key, *std::move(progress));
    }
    const uint64_t term = m_term;
    readParts(m_store, ownerTable, {ownerPart},
              [this, alive = m_alive, term](const absl::StatusOr<Page> &rows) {
                  if (!*alive || term != m_term || !m_ownership.isOwner())
                      return;
                  if (!rows.ok()) {
                      retryLoad();
                      return;
                  }
                  onOwnerRows(*rows);
              });
}

void Owner::onOwnerRows(const Page &page)
{
    m_usedWorkers.clear();
    for (const Row &row : page.rows) {
        if (row.key != workersKey)
            continue;
        const absl::StatusOr<Json::Value> value = parseJson(row.value);
        if (!value.ok() || !value->isObject()) {
            log::error("used_workers_unreadable", {{"revision", row.revision.value()}});
            continue;
        }
        for (const std::string &id : value->getMemberNames())
            m_usedWorkers[id] = (*value)[id].asString();
    }
    std::vector<std::string> parts;
    for (size_t number = 0; number < jobParts; ++number)
        parts.push_back(jobPartName(number));
    m_jobsFollower = std::make_unique<TableFollower>(
            m_context, m_store, FollowOptions{.table = jobsTable, .parts = parts},
            FollowEvents{[this](std::vector<Row> rows) { onJobsSnapshot(std::move(rows)); },
                         [this](const std::vector<Row> &rows) { onJobsChanged(rows); }});
    m_jobsFollower->start();
}

void Owner::onJobsSnapshot(std::vector<Row> rows)
{
    if (m_isActive) { // after a gap in the history: what is known already changes nothing
        onJobsChanged(rows);
        return;
    }
    const TimePoint now = BootClock::now();
    const UnixMilliseconds wallNow = UnixMilliseconds::now();
    std::unordered_map<std::string, bool> cancelled;
    for (const Row &row : rows) {
        if (absl::EndsWith(row.key, cancelSuffix))
            cancelled[row.key.substr(0, row.key.find('!'))] = true;
    }
    for (const Row &row : rows) {
        if (absl::EndsWith(row.key, cancelSuffix))
            continue;
        absl::StatusOr<jobs::JobSpec> spec = jobs::decodeJob(row.value);
        if (!spec.ok()) {
            log::error("job_unreadable", {{"job", row.key}, {"error", spec.status()}});
            continue;
        }
        std::optional<jobs::Progress> progress;
        const auto loaded = m_loadedProgress.find(row.key);
        if (loaded != m_loadedProgress.end())
            progress = std::move(loaded->second);
        m_dispatcher.restoreJob(*std::move(spec), progress, cancelled.contains(row.key), now,
                                wallNow);
    }
    m_loadedProgress.clear();
    m_isActive = true;
    // Workers that an earlier owner used may run its tasks though they have left the list.
    for (const auto &[id, address] : m_usedWorkers) {
        jobs::WorkerEntry entry;
        entry.id = WorkerId(id);
        entry.address = address;
        m_dispatcher.putWorker(entry, now);
        m_dispatcher.unlistWorker(entry.id, now);
        watch(entry.id);
    }
    log::info("jobs_loaded",
              {{"rows", rows.size()},
               {"workers", m_usedWorkers.size()},
               {"epoch", m_ownership.epoch().value()},
               {"time", now - m_termBegan}});
    m_recoveryTime.observe(now - m_termBegan);
    m_workersFollower = std::make_unique<TableFollower>(
            m_context, m_store, FollowOptions{.table = m_reader.workersTable},
            FollowEvents{[this](const std::vector<Row> &found) { onWorkers(found, true); },
                         [this](const std::vector<Row> &changed) { onWorkers(changed, false); }});
    m_workersFollower->start();
    tick();
}

void Owner::onJobsChanged(const std::vector<Row> &rows)
{
    const TimePoint now = BootClock::now();
    for (const Row &row : rows) {
        if (row.isDeleted)
            continue;
        if (absl::EndsWith(row.key, cancelSuffix)) {
            m_dispatcher.cancelJob(JobId(row.key.substr(0, row.key.find('!'))), now);
            continue;
        }
        if (!m_dispatcher.jobState(JobId(row.key)))
            addJob(row.value, row.key.c_str());
    }
    scheduleDecision();
}

void Owner::addJob(const std::string &row, const char *source)
{
    absl::StatusOr<jobs::JobSpec> spec = jobs::decodeJob(row);
    if (!spec.ok()) {
        log::error("job_unreadable", {{"source", source}, {"error", spec.status()}});
        return;
    }
    m_dispatcher.addJob(*std::move(spec), BootClock::now());
}

void Owner::noteAccepted(const std::string &row)
{
    if (!m_isActive)
        return;
    addJob(row, "member");
    scheduleDecision();
}

void Owner::onWorkers(const std::vector<Row> &rows, bool isSnapshot)
{
    const TimePoint now = BootClock::now();
    std::unordered_map<std::string, bool> listed;
    for (const Row &row : rows) {
        if (row.isDeleted) {
            m_dispatcher.unlistWorker(WorkerId(row.key), now);
            continue;
        }
        const absl::StatusOr<jobs::WorkerEntry> entry = m_reader.worker(row.key, row.value);
        if (!entry.ok()) {
            log::info("worker_entry_unreadable", {{"worker", row.key}, {"error", entry.status()}});
            continue;
        }
        listed[row.key] = true;
        m_dispatcher.putWorker(*entry, now);
        std::string &address = m_usedWorkers[row.key];
        if (address != entry->address) {
            address = entry->address;
            m_usedWorkersChanged = true;
        }
        watch(entry->id);
    }
    if (isSnapshot) {
        for (const WorkerId &id : m_dispatcher.knownWorkers()) {
            if (!listed.contains(id.value()))
                m_dispatcher.unlistWorker(id, now);
        }
    }
    scheduleDecision();
}

void Owner::lost(const char *reason)
{
    ++m_term;
    m_isActive = false;
    m_jobsFollower.reset();
    m_workersFollower.reset();
    for (const auto &[id, entry] : m_watches)
        m_gateway.forget(entry->target);
    m_watches.clear();
    m_tickTimer.cancel();
    m_decideTimer.cancel();
    m_storeTimer.cancel();
    m_isDecisionDue = false;
    m_membersTimer.cancel();
    m_dispatcher.begin(Epoch(), BootClock::now());
    log::info("owner_stopped", {{"reason", reason}});
}

// Section: running

void Owner::tick()
{
    if (!m_isActive)
        return;
    decide();
    after(m_tickTimer, tickInterval, [this] { tick(); });
}

void Owner::scheduleDecision()
{
    if (!m_isActive || std::exchange(m_isDecisionDue, true))
        return;
    after(m_decideTimer, decideGap, [this] { decide(); });
}

void Owner::decide()
{
    m_isDecisionDue = false;
    if (!m_isActive)
        return;
    const TimePoint now = BootClock::now();
    // A process that wakes from a pause may find its right gone.
    if (!m_ownership.isValid(now))
        return;
    const jobs::Orders orders = m_dispatcher.decide(now, UnixMilliseconds::now());
    m_decideTime.observe(BootClock::now() - now);
    carryOut(orders);
    m_advice.serve();
    store();
    if (now >= m_nextExpiry)
        expire();
}

void Owner::carryOut(const jobs::Orders &orders)
{
    for (const jobs::StartOrder &order : orders.starts)
        sendStart(order);
    for (const jobs::StopOrder &order : orders.stops)
        sendStop(order);
    for (const jobs::PaceOrder &order : orders.paces)
        sendPace(order);
    for (const jobs::AdviceQuery &query : orders.queries)
        sendQuery(query);
}

bool Owner::isFenced(jobs::OrderAnswer answer)
{
    if (answer != jobs::OrderAnswer::Fenced)
        return false;
    m_ownership.depose("a worker has seen a newer owner");
    return true;
}

void Owner::sendStart(const jobs::StartOrder &order)
{
    m_startsSent.add();
    const TimePoint sentAt = BootClock::now();
    m_gateway.start(
            order, m_ownership.epoch(), sentAt + jobs::orderTimeout,
            [this, alive = m_alive, term = m_term, order, sentAt](jobs::OrderAnswer answer) {
                if (!*alive || term != m_term || isFenced(answer))
                    return;
                const TimePoint now = BootClock::now();
                m_orderTime.observe(now - sentAt);
                m_dispatcher.onStartAnswered(order, answer, now);
                if (answer != jobs::OrderAnswer::Accepted)
                    scheduleDecision();
            });
}

void Owner::sendStop(const jobs::StopOrder &order)
{
    m_gateway.stop(order, m_ownership.epoch(), BootClock::now() + jobs::orderTimeout,
                   [this, alive = m_alive, term = m_term, order](jobs::OrderAnswer answer) {
                       if (!*alive || term != m_term || isFenced(answer))
                           return;
                       m_dispatcher.onStopAnswered(order, answer, BootClock::now());
                   });
}

void Owner::sendPace(const jobs::PaceOrder &order)
{
    m_gateway.pace(order, m_ownership.epoch(), BootClock::now() + jobs::orderTimeout,
                   [this, alive = m_alive, term = m_term, order](jobs::OrderAnswer answer) {
                       if (!*alive || term != m_term || isFenced(answer))
                           return;
                       if (answer != jobs::OrderAnswer::Accepted)
                           log::info("pace_refused",
                                     {{"task", order.task}, {"answer", orderAnswerName(answer)}});
                   });
}

void Owner::sendQuery(const jobs::AdviceQuery &query)
{
    m_advice.ask(query,
                 [this, alive = m_alive, term = m_term,
                  query](const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed) {
                     if (!*alive || term != m_term)
                         return;
                     if (!allowed.ok()) {
                         log::info("advice_failed",
                                   {{"step", query.step.stepText()}, {"error", allowed.status()}});
                         m_dispatcher.onAdviceFailed(query, BootClock::now());
                         return;
                     }
                     m_dispatcher.onAdvice(query, *allowed, BootClock::now());
                     scheduleDecision();
                 });
}

// Section: storing

void Owner::store()
{
    const TimePoint now = BootClock::now();
    if (!m_isActive || m_ownership.isCommitting()
        || (!m_dispatcher.hasUnstored() && !m_usedWorkersChanged))
        return;
    if (now - m_lastStore < commitGap) {
        after(m_storeTimer, commitGap - (now - m_lastStore), [this] { store(); });
        return;
    }
    jobs::Batch batch = m_dispatcher.collect();
    std::vector<Row> writes;
    writes.reserve(batch.rows.size() + 2);
    for (const jobs::Batch::JobRow &row : batch.rows)
        writes.push_back({progressTable, ownerPart, row.id.value(), row.progress});
    if (m_usedWorkersChanged) {
        Json::Value value(Json::objectValue);
        for (const auto &[id, address] : m_usedWorkers)
            value[id] = address;
        writes.push_back({ownerTable, ownerPart, workersKey, writeJson(value)});
        m_usedWorkersChanged = false;
    }
    m_lastStore = now;
    if (writes.empty()) { // the ends changed nothing that is stored
        onStored(batch);
        return;
    }
    const bool isSent = m_ownership.commit(
            std::move(writes), {},
            [this, alive = m_alive, term = m_term, batch = std::move(batch), now] {
                if (!*alive || term != m_term)
                    return;
                m_commitTime.observe(BootClock::now() - now);
                onStored(batch);
            });
    if (!isSent)
        log::debug("store_postponed", {});
}

void Owner::onStored(const jobs::Batch &batch)
{
    m_dispatcher.committed(batch);
    resumeWatches();
    if (m_dispatcher.hasUnstored())
        scheduleDecision();
}

void Owner::expire()
{
    const TimePoint now = BootClock::now();
    m_nextExpiry = now + expiryInterval;
    for (const WorkerId &id : m_dispatcher.knownWorkers()) {
        if (!m_dispatcher.isForgettable(id, now))
            continue;
        const auto entry = m_watches.find(id.value());
        if (entry != m_watches.end()) {
            m_gateway.forget(entry->second->target);
            m_watches.erase(entry);
        }
        m_dispatcher.forgetWorker(id);
        m_usedWorkersChanged = m_usedWorkers.erase(id.value()) > 0 || m_usedWorkersChanged;
        log::info("worker_forgotten", {{"worker", id.value()}});
    }
    for (const JobId &id : m_dispatcher.takeExpired(now)) {
        Transaction transaction;
        transaction.removals = {{jobsTable, jobPart(id), id.value()},
                                {jobsTable, jobPart(id), id.value() + cancelSuffix}};
        m_store.commit(transaction, now + storeCallTimeout,
                       [id](const absl::StatusOr<TransactionResult> &result) {
                           if (!result.ok())
                               log::info("job_removal_failed",
                                         {{"job", id.value()}, {"error", result.status()}});
                       });
    }
}

// Section: looks at workers

void Owner::watch(const WorkerId &id)
{
    const jobs::Worker *const worker = m_dispatcher.findWorker(id);
    std::shared_ptr<Watch> &entry = m_watches[id.value()];
    if (entry) {
        if (entry->target.address != worker->entry.address) {
            m_gateway.forget(entry->target);
            entry->target.address = worker->entry.address;
        }
        return;
    }
    entry = std::make_shared<Watch>(m_context, id);
    entry->target = {id, worker->entry.address};
    sendWatch(entry);
}

void Owner::sendWatch(const std::shared_ptr<Watch> &entry)
{
    const TimePoint now = BootClock::now();
    if (!m_isActive || !m_ownership.isValid(now) || !m_dispatcher.findWorker(entry->id))
        return;
    entry->isWaitingForStore = false;
    const jobs::Worker &worker = *m_dispatcher.findWorker(entry->id);
    const jobs::WatchOrder order = m_dispatcher.watchOrder(entry->id, now);
    // The first look fences the worker and must not wait; ends that are not acknowledged yet would
    // end the wait at once.
    const bool waits = worker.isRead && worker.endsProcessed == worker.endsAcknowledged;
    const Duration wait = waits ? watchWait : Duration::zero();
    m_gateway.watch(entry->target, order, m_ownership.epoch(), wait, now + wait + watchAnswerLimit,
                    [this, alive = m_alive, term = m_term, entry, now](const WatchResult &result) {
                        if (!*alive || term != m_term || isFenced(result.answer))
                            return;
                        onWatched(entry, now, result);
                    });
}

void Owner::onWatched(const std::shared_ptr<Watch> &entry, TimePoint sentAt,
                      const WatchResult &result)
{
    const TimePoint now = BootClock::now();
    const jobs::Worker *const worker = m_dispatcher.findWorker(entry->id);
    if (!worker)
        return;
    if (result.answer != jobs::OrderAnswer::Accepted) {
        m_dispatcher.onLookFailed(entry->id);
        if (!std::exchange(entry->isUnreachable, true))
            log::info("worker_unreachable",
                      {{"worker", entry->id.value()},
                       {"answer", orderAnswerName(result.answer)},
                       {"report_age", now - worker->lastReport},
                       {"runs", worker->runs.size()}});
        after(entry->timer, watchRetryPause, [this, entry] { sendWatch(entry); });
        return;
    }
    if (std::exchange(entry->isUnreachable, false))
        log::info("worker_reachable", {{"worker", entry->id.value()}});
    m_endsSeen.add();
    m_dispatcher.onReport(entry->id, result.report, sentAt, now);
    scheduleDecision();
    if (worker->endsProcessed == worker->endsAcknowledged) {
        sendWatch(entry);
        return;
    }
    entry->isWaitingForStore = true;
    entry->waitingSince = now;
    after(entry->timer, acknowledgeLimit, [this, entry] {
        if (entry->isWaitingForStore)
            sendWatch(entry);
    });
}

void Owner::resumeWatches()
{
    std::vector<std::shared_ptr<Watch>> ready;
    for (const auto &[id, entry] : m_watches) {
        const jobs::Worker *const worker = m_dispatcher.findWorker(entry->id);
        if (entry->isWaitingForStore && worker && worker->endsProcessed == worker->endsAcknowledged)
            ready.push_back(entry);
    }
    for (const std::shared_ptr<Watch> &entry : ready) {
        entry->timer.cancel();
        sendWatch(entry);
    }
}

} // namespace cwl::cell
