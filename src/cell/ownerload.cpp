// Takeover: probes the owner and the predecessor, and loads the stored jobs and the workers.

#include "cell/owner.h"
#include "cell/watch.h"

#include "base/error.h"
#include "base/json.h"
#include "node/log.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace cwl::cell {

namespace {

// The epoch that a member holds, from its response to /cell/owner; 0: none.
absl::StatusOr<Epoch> readHeldEpoch(const absl::StatusOr<http::Response> &response)
{
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return makeError(Failure::ProtocolError,
                         absl::StrCat("the member answered ", response->status));
    const absl::StatusOr<Json::Value> value = parseJson(response->body);
    if (!value.ok())
        return value.status();
    const absl::StatusOr<int64_t> epoch = intMember(*value, "epoch", 0, INT64_MAX);
    if (!epoch.ok())
        return epoch.status();
    return Epoch(*epoch);
}

} // namespace

// Section: becoming the owner

void Owner::onOwnershipWon(Epoch epoch, const OwnerRow &previous)
{
    ++m_term;
    m_takeovers.add();
    const TimePoint now = BootClock::now();
    m_termStart = now;
    m_nextTick = {};
    m_lag = {};
    // Without a response of any worker or member, earlier owners act until their terms end.
    m_arePredecessorsFenced = false;
    m_predecessorActionsEnd = now + maxStoreOutage;
    m_dispatcher.begin(epoch, m_predecessorActionsEnd + longestLease());
    m_dispatcher.confirmOwnership(m_ownership.lastWrite());
    if (previous.epoch.value() == 0)
        m_dispatcher.setPredecessorEnds({}); // with an empty store there are no runs
    else if (previous.isSole && previous.holder.empty())
        boundPredecessors(now, now); // it has resigned
    m_dispatcher.setConfig(m_config);
    if (previous.isSole && !previous.holder.empty())
        probePredecessor(previous);
    load();
    readMembers();
}

// By the clock of this process, however slow that of the worker is.
Duration Owner::longestLease() const
{
    return Duration(int64_t(double(m_options.dispatcher.lease.count()) * workerClockMargin));
}

// Earlier owners send orders and polls until `actionsEnd` at the latest, and their leases count
// from `leasesStart` at the latest.
void Owner::boundPredecessors(TimePoint actionsEnd, TimePoint leasesStart)
{
    m_predecessorActionsEnd = std::min(m_predecessorActionsEnd, actionsEnd);
    m_dispatcher.setPredecessorEnds(leasesStart + longestLease());
}

// Once half of the used workers have reported, and so refuse earlier owners, no earlier owner gets
// a proof of its ownership any more: it needs more than half of them.
void Owner::checkPredecessorsFenced()
{
    if (m_arePredecessorsFenced || 2 * m_dispatcher.fencedWorkers() < m_usedWorkers.storedAtMost())
        return;
    m_arePredecessorsFenced = true;
    const TimePoint now = BootClock::now();
    boundPredecessors(now + proofLifetime, now);
    log::info("predecessors_fenced",
              {{"epoch", m_ownership.epoch().value()},
               {"workers", m_dispatcher.fencedWorkers()},
               {"time", now - m_termStart}});
}

// Queries the owner periodically, so that the end of its process is noticed before its renewals
// time out.
void Owner::probeOwner()
{
    const auto spread = std::max<int64_t>(1, int64_t(m_otherMembers / membersPerProbeInterval));
    after(m_probeTimer, spread * probeInterval, [this] { probeOwner(); });
    const OwnerRow &owner = m_ownership.owner();
    if (m_ownership.isOwner() || owner.holder.empty() || owner.address == m_options.address) {
        // The owner was an earlier process at this address; this process is its restart.
        if (!m_ownership.isOwner() && owner.address == m_options.address)
            m_ownership.noteOwnerEnded(owner.epoch);
        return;
    }
    // A small member delays its takeover, and probes by many of them would load the owner.
    if (!m_ownership.isLargeEnough())
        return;
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
    if (canReachStore(BootClock::now()))
        request.query = absl::StrCat("cores=", m_options.cores.value());
    m_probe->send(std::move(request), BootClock::now() + probeTimeout,
                  [this, alive = m_alive,
                   epoch = owner.epoch](const absl::StatusOr<http::Response> &response) {
                      if (*alive)
                          onProbeResponse(epoch, response);
                  });
}

void Owner::onProbeResponse(Epoch epoch, const absl::StatusOr<http::Response> &response)
{
    if (!response.ok()) {
        const Failure failure = failureOf(response.status());
        if (failure == Failure::ConnectionRefused || failure == Failure::ConnectionLost)
            m_ownership.noteOwnerEnded(epoch);
        return;
    }
    const absl::StatusOr<Epoch> held = readHeldEpoch(response);
    if (held.ok() && *held != epoch)
        m_ownership.noteOwnerEnded(epoch);
}

// A response from the last owner's address without its epoch proves that it has stopped, and it was
// the only one that could act. The query is repeated until then: the process may be restarting.
void Owner::probePredecessor(const OwnerRow &previous)
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
    sendPredecessorProbe(previous.epoch);
}

void Owner::sendPredecessorProbe(Epoch epoch)
{
    http::Request request;
    request.path = "/cell/owner";
    m_predecessor->send(std::move(request), BootClock::now() + predecessorTimeout,
                        [this, alive = m_alive, term = m_term,
                         epoch](const absl::StatusOr<http::Response> &response) {
                            if (*alive && term == m_term)
                                onPredecessorResponse(epoch, response);
                        });
}

void Owner::onPredecessorResponse(Epoch epoch, const absl::StatusOr<http::Response> &response)
{
    const absl::StatusOr<Epoch> held = readHeldEpoch(response);
    if (!held.ok() || *held == epoch) {
        log::info("predecessor_unresponsive", {{"epoch", epoch.value()}, {"error", held.status()}});
        after(m_predecessorTimer, predecessorInterval, [this, term = m_term, epoch] {
            if (term == m_term && m_ownership.isOwner())
                sendPredecessorProbe(epoch);
        });
        return;
    }
    const TimePoint now = BootClock::now();
    boundPredecessors(now, now);
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
    m_usedWorkers.load(page.rows);
    std::vector<std::string> parts;
    for (size_t number = 0; number < jobParts; ++number)
        parts.push_back(jobPartName(number));
    m_jobsFollower = std::make_unique<TableFollower>(
            m_context, m_store,
            FollowOptions{.table = jobsTable, .parts = parts, .pause = feedPause},
            FollowEvents{[this](std::vector<Row> rows) { onJobsSnapshot(std::move(rows)); },
                         [this](const std::vector<Row> &rows) { onJobsChanged(rows); }});
    m_jobsFollower->start();
}

void Owner::onJobsSnapshot(std::vector<Row> rows)
{
    if (m_isActive) { // after a gap in the history; known jobs are skipped
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
    m_announcer.announce(m_ownership.owner(), m_members.othersThan(m_options.address));
    // Workers used by an earlier owner may still run its tasks even if they are no longer listed.
    for (const auto &[id, address] : m_usedWorkers.addresses()) {
        m_dispatcher.restoreWorker(WorkerId(id), address, now);
        watch(WorkerId(id));
    }
    checkPredecessorsFenced();
    log::info("jobs_loaded",
              {{"rows", rows.size()},
               {"workers", m_usedWorkers.addresses().size()},
               {"epoch", m_ownership.epoch().value()},
               {"time", now - m_termStart}});
    m_recoveryTime.observe(now - m_termStart);
    followWorkers();
    tick();
}

void Owner::followWorkers()
{
    m_workersFollower = std::make_unique<TableFollower>(
            m_context, m_store, FollowOptions{.table = m_reader.workersTable, .pause = feedPause},
            FollowEvents{[this](const std::vector<Row> &found) { onWorkers(found, true); },
                         [this](const std::vector<Row> &changed) { onWorkers(changed, false); }});
    m_workersFollower->start();
}

// A configuration without services restricts nothing.
bool Owner::hasService(const std::string &service) const
{
    return m_config.services.empty()
            || std::find(m_config.services.begin(), m_config.services.end(), service)
            != m_config.services.end();
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

void Owner::noteStored(const std::string &key, const std::string &value)
{
    if (!m_isActive)
        return;
    if (absl::EndsWith(key, cancelSuffix))
        m_dispatcher.cancelJob(JobId(key.substr(0, key.find('!'))), BootClock::now());
    else
        addJob(value, "member");
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
        absl::StatusOr<jobs::WorkerEntry> entry = m_reader.worker(row.key, row.value);
        if (entry.ok() && !hasService(entry->service))
            entry = makeError(Failure::InvalidValue, "the configuration names no such service",
                              {.field = entry->service});
        if (!entry.ok()) {
            // Such an entry names no worker to use; what runs there goes on.
            log::info("worker_entry_unusable", {{"worker", row.key}, {"error", entry.status()}});
            m_dispatcher.unlistWorker(WorkerId(row.key), now);
            continue;
        }
        listed[row.key] = true;
        m_dispatcher.putWorker(*entry, now);
        if (!entry->isDraining) // a draining worker gets no starts
            m_usedWorkers.set(row.key, entry->address);
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

void Owner::onOwnershipLost(const char *reason)
{
    ++m_term;
    m_isActive = false;
    m_announcer.stop();
    m_jobsFollower.reset();
    m_workersFollower.reset();
    for (const auto &[id, entry] : m_watches)
        m_gateway.closeConnections(entry->target);
    m_watches.clear();
    m_pollConnections = 0;
    m_removals.clear();
    m_tickTimer.cancel();
    m_decideTimer.cancel();
    m_storeTimer.cancel();
    m_isDecisionDue = false;
    m_dispatcher.begin(Epoch(), BootClock::now());
    log::info("owner_stopped", {{"reason", reason}});
}

} // namespace cwl::cell
