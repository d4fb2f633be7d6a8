#include "scheduler/groupowner.h"

#include "node/log.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace cwl::scheduler {

namespace {

namespace asio = boost::asio;

constexpr auto tickInterval = std::chrono::milliseconds(200);
constexpr auto loadRetryDelay = std::chrono::milliseconds(500);
// Decisions of one placement pass. The next pass is queued behind other control thread work.
constexpr size_t maxDecisionsPerPass = 500;
// Shortest validity for sending a start: it must reach the worker before its lease ends.
constexpr Duration minimumValidity = milliseconds(300);

} // namespace

std::shared_ptr<GroupOwner> GroupOwner::create(OwnerPorts ports,
                                               const ownership::Acquisition &acquisition,
                                               const SharedSettings &settings)
{
    std::shared_ptr<GroupOwner> owner(new GroupOwner(std::move(ports), acquisition));
    owner->setSettings(settings);
    return owner;
}

GroupOwner::GroupOwner(OwnerPorts ports, const ownership::Acquisition &acquisition)
    : m_ports(std::move(ports))
    , m_group(acquisition.group)
    , m_epoch(acquisition.epoch)
    , m_reconciliation(acquisition.isFirstOwner, acquisition.acquiredAt)
    , m_planner({})
    , m_store(std::make_shared<JobStore>(m_ports.control, m_ports.platform, m_group))
    , m_drainStore(std::make_shared<DrainStore>(m_ports.control, m_ports.platform, m_group))
    , m_tickTimer(m_ports.control)
    , m_loadTimer(m_ports.control)
    , m_started(m_ports.metrics.counter("cwl_tasks_started_total",
                                        "Task starts acknowledged by workers."))
    , m_placed(m_ports.metrics.counter("cwl_tasks_placed_total", "Task placements decided."))
{
}

// Section: lifecycle

void GroupOwner::start()
{
    load();
    tick();
}

void GroupOwner::close()
{
    m_isClosed = true;
    m_tickTimer.cancel();
    m_loadTimer.cancel();
    m_store->close();
    m_drainStore->close();
    for (auto &[id, worker] : m_workers)
        worker.link->close();
}

bool GroupOwner::isValid() const
{
    return !m_isClosed && m_ports.validUntil() > BootClock::now();
}

void GroupOwner::release(std::function<void()> done)
{
    m_isReleasing = true;
    m_releaseCallback = std::move(done);
}

void GroupOwner::setSettings(const SharedSettings &settings)
{
    if (!settings)
        return;
    if (m_settings) {
        for (const auto &[id, team] : m_settings->teams) {
            if (settings->teams.count(id) == 0)
                m_planner.removeTeam(id);
        }
    }
    m_settings = settings;
    m_planner.setOptions(
            {.classShares = settings->cell.classShares,
             .maxWaitingTasks = static_cast<uint64_t>(settings->cell.maxWaitingTasks)});
    for (const auto &[id, team] : settings->teams)
        m_planner.putTeam({id, team.quota, team.weight, team.packing});
    schedulePlacement();
}

void GroupOwner::load()
{
    m_store->load(
            [self = shared_from_this()](const absl::StatusOr<std::vector<JobRecord>> &records) {
                if (self->m_isClosed)
                    return;
                if (records.ok())
                    self->loadDrains(*records);
                else
                    self->retryLoad(records.status());
            });
}

void GroupOwner::loadDrains(const std::vector<JobRecord> &records)
{
    m_drainStore->load(
            [self = shared_from_this(), records](absl::StatusOr<std::set<WorkerId>> workers) {
                if (self->m_isClosed)
                    return;
                if (!workers.ok()) {
                    self->retryLoad(workers.status());
                    return;
                }
                self->m_draining = *std::move(workers);
                self->loaded(records);
            });
}

void GroupOwner::retryLoad(const absl::Status &failure)
{
    log::warn("jobs_not_loaded", {{"group", m_group.value()}, {"error", failure}});
    m_loadTimer.expires_after(loadRetryDelay);
    m_loadTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->load();
    });
}

void GroupOwner::loaded(std::vector<JobRecord> records)
{
    for (JobRecord &record : records)
        restore(std::move(record), true);
    m_isLoaded = true;
    log::info("jobs_loaded",
              {{"group", m_group.value()}, {"epoch", m_epoch.value()}, {"jobs", m_jobs.size()}});
    if (m_hasWorkers)
        setWorkers(std::exchange(m_pendingInstances, {}));
    schedulePlacement();
}

// Adds a job of an earlier owner. None of its tasks start until resumeJob().
void GroupOwner::restore(JobRecord record, bool isDurable)
{
    const JobId id = record.spec.id;
    const bool isOver = record.spec.kind != placement::JobKind::Service
            && record.succeeded.size() + record.failed.size() >= record.spec.count;
    if (record.state == JobState::Accepted && isOver)
        record.state = JobState::Done;
    if (record.state != JobState::Accepted) {
        if (record.finishedAt == UnixMilliseconds())
            record.finishedAt = UnixMilliseconds::now();
        m_finished.add(id, record.finishedAt);
    }
    if (record.state == JobState::Accepted) {
        const absl::Status status = m_planner.restore({.spec = record.spec,
                                                       .succeeded = record.succeeded.indexes(),
                                                       .failed = record.failed.indexes()},
                                                      BootClock::now());
        if (!status.ok())
            log::error("job_not_restored", {{"job", id.value()}, {"error", status}});
    }
    m_jobs[id] = {.record = std::move(record), .isDurable = isDurable, .isRestored = true};
}

void GroupOwner::tick()
{
    if (m_isClosed)
        return;
    if (isValid() && m_isLoaded) {
        expireLeases();
        renewLeases();
        checkGangs();
        pump();
        deleteFinished();
    }
    if (m_releaseCallback) {
        bool isStartPending = false;
        for (const auto &[id, task] : m_tasks) {
            isStartPending = isStartPending || task.lifecycle.phase() == TaskPhase::Sent
                    || task.lifecycle.phase() == TaskPhase::Unsure;
        }
        // The next owner reads jobs, outcomes and drains from the store only.
        if (!isStartPending && m_store->pending() == 0 && m_drainStore->pending() == 0)
            std::exchange(m_releaseCallback, {})();
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->tick();
    });
}

void GroupOwner::schedulePlacement()
{
    if (m_isPlacementQueued || m_isClosed)
        return;
    m_isPlacementQueued = true;
    asio::post(m_ports.control, [self = weak_from_this()] {
        if (const std::shared_ptr<GroupOwner> owner = self.lock()) {
            owner->m_isPlacementQueued = false;
            owner->pump();
        }
    });
}

void GroupOwner::pump()
{
    const TimePoint now = BootClock::now();
    if (m_isClosed || !m_isLoaded || m_isReleasing)
        return;
    if (!m_isReconciled && m_reconciliation.isComplete(now))
        finishReconciliation();
    resumeLateJobs(now);
    if (m_ports.validUntil() - now < minimumValidity)
        return;
    for (size_t decisions = 0; m_planner.decide(now, m_decision); ++decisions) {
        executeDecision(m_decision);
        if (decisions == maxDecisionsPerPass) {
            schedulePlacement();
            return;
        }
    }
}

void GroupOwner::finishReconciliation()
{
    m_isReconciled = true;
    for (const auto &[id, job] : m_jobs) {
        if (job.isRestored && m_lateJobs.count(id) == 0)
            resumeJob(id);
    }
    log::info("reconciled",
              {{"group", m_group.value()},
               {"epoch", m_epoch.value()},
               {"running", m_tasks.size()},
               {"missing_workers", m_reconciliation.missing()}});
}

void GroupOwner::resumeLateJobs(TimePoint now)
{
    for (auto next = m_lateJobs.begin(); next != m_lateJobs.end();) {
        const auto current = next++;
        if (!current->second.isComplete(now))
            continue;
        const JobId id = current->first;
        m_lateJobs.erase(current);
        resumeJob(id);
    }
}

void GroupOwner::resumeJob(const JobId &id)
{
    const JobRecord &record = m_jobs[id].record;
    if (record.state != JobState::Accepted)
        return;
    m_planner.resume(id);
    if (record.spec.kind == placement::JobKind::Gang)
        resumeGang(id);
}

// A gang of an earlier epoch continues if all its tasks run. Otherwise it restarts as a whole.
void GroupOwner::resumeGang(const JobId &job)
{
    const auto counts = m_planner.counts(job);
    if (!counts || counts->running == 0)
        return;
    std::vector<TaskId> tasks;
    for (const auto &[id, task] : m_tasks) {
        if (task.job == job)
            tasks.push_back(id);
    }
    if (counts->waiting == 0) {
        m_gangs[job] = {BootClock::now() + seconds(5), tasks};
        return;
    }
    for (const TaskId &id : tasks)
        requestStop(id);
}

// Section: state

Json::Value GroupOwner::state() const
{
    Json::Value state;
    state["group"] = m_group.value();
    state["epoch"] = Json::Int64(m_epoch.value());
    state["isLoaded"] = m_isLoaded;
    state["isReconciled"] = m_isReconciled;
    state["workersNotReported"] = Json::UInt64(m_reconciliation.missing());
    state["jobs"] = Json::UInt64(m_jobs.size());
    state["waitingTasks"] = Json::UInt64(m_planner.waitingTasks());
    state["runningTasks"] = Json::UInt64(m_planner.runningTasks());
    state["gangsStarting"] = Json::UInt64(m_gangs.size());
    state["unwrittenJobs"] = Json::UInt64(m_store->pending());
    std::map<std::string, uint64_t> phases;
    for (const auto &[id, task] : m_tasks)
        ++phases[taskPhaseName(task.lifecycle.phase())];
    for (const auto &[phase, count] : phases)
        state["tasks"][phase] = Json::UInt64(count);
    for (size_t index = 0; index < placement::urgencyClassCount; ++index) {
        const auto urgency = static_cast<placement::UrgencyClass>(index);
        state["usedMillicores"][settings::urgencyClassName(urgency)] =
                Json::Int64(m_planner.usedBy(urgency).cores.value());
    }
    state["workers"] = workers();
    return state;
}

} // namespace cwl::scheduler
