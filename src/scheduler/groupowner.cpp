#include "scheduler/groupowner.h"

#include "base/error.h"
#include "node/log.h"
#include "scheduler/describe.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include <utility>

namespace cwl::scheduler {

namespace {

namespace asio = boost::asio;

constexpr auto tickInterval = std::chrono::milliseconds(200);
constexpr auto loadPause = std::chrono::milliseconds(500);
// Starts of one pump; further ones follow after other work of the control thread.
constexpr size_t maxDecisionsPerPump = 500;
// A start needs some validity left to reach the worker before its lease has ended.
constexpr Duration minimumValidity = milliseconds(300);
constexpr auto durableWait = std::chrono::seconds(2); // for the answer to a submission
constexpr size_t maxListedJobs = 1000;

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
    , m_tickTimer(m_ports.control)
    , m_loadTimer(m_ports.control)
    , m_started(m_ports.metrics.counter("cwl_tasks_started_total", "Starts acknowledged."))
    , m_placed(m_ports.metrics.counter("cwl_tasks_placed_total", "Starts decided."))
{
}

// Section: life

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
    m_released = std::move(done);
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
    pumpSoon();
}

void GroupOwner::load()
{
    m_store->load([self = shared_from_this()](absl::StatusOr<std::vector<JobRecord>> records) {
        if (self->m_isClosed)
            return;
        if (records.ok()) {
            self->loaded(*std::move(records));
            return;
        }
        log::warn("jobs_not_loaded",
                  {{"group", self->m_group.value()}, {"error", records.status()}});
        self->m_loadTimer.expires_after(loadPause);
        self->m_loadTimer.async_wait([self](const boost::system::error_code &error) {
            if (!error)
                self->load();
        });
    });
}

void GroupOwner::loaded(std::vector<JobRecord> records)
{
    const TimePoint now = BootClock::now();
    for (JobRecord &record : records) {
        const JobId id = record.spec.id;
        const bool isOver = record.spec.kind != placement::JobKind::Service
                && record.succeeded.size() + record.failed.size() >= record.spec.count;
        if (record.state == JobState::Accepted && isOver)
            record.state = JobState::Done;
        if (record.state == JobState::Accepted) {
            const absl::Status status = m_planner.restore({.spec = record.spec,
                                                           .succeeded = record.succeeded.indexes(),
                                                           .failed = record.failed.indexes()},
                                                          now);
            if (!status.ok())
                log::error("job_not_restored", {{"job", id.value()}, {"error", status}});
        }
        m_jobs[id] = {.record = std::move(record), .isDurable = true, .isRestored = true};
    }
    m_isLoaded = true;
    log::info("jobs_loaded",
              {{"group", m_group.value()}, {"epoch", m_epoch.value()}, {"jobs", m_jobs.size()}});
    if (m_hasWorkers)
        setWorkers(std::exchange(m_listed, {}));
    pumpSoon();
}

void GroupOwner::tick()
{
    if (m_isClosed)
        return;
    if (isValid() && m_isLoaded) {
        expireTasks();
        renewTasks();
        checkGangs();
        pump();
    }
    if (m_released) {
        bool isStartOpen = false;
        for (const auto &[id, task] : m_tasks) {
            isStartOpen = isStartOpen || task.life.phase() == TaskPhase::Sent
                    || task.life.phase() == TaskPhase::Unsure;
        }
        // The next owner knows only the jobs and outcomes that are in the store.
        if (!isStartOpen && m_store->pending() == 0)
            std::exchange(m_released, {})();
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->tick();
    });
}

void GroupOwner::pumpSoon()
{
    if (m_isPumpQueued || m_isClosed)
        return;
    m_isPumpQueued = true;
    asio::post(m_ports.control, [self = weak_from_this()] {
        if (const std::shared_ptr<GroupOwner> owner = self.lock()) {
            owner->m_isPumpQueued = false;
            owner->pump();
        }
    });
}

void GroupOwner::pump()
{
    const TimePoint now = BootClock::now();
    if (m_isClosed || !m_isLoaded || m_isReleasing)
        return;
    if (!m_isResumed && m_reconciliation.isComplete(now))
        finishReconciliation();
    if (m_ports.validUntil() - now < minimumValidity)
        return;
    for (size_t decisions = 0; m_planner.decide(now, m_decision); ++decisions) {
        carryOut(m_decision);
        if (decisions == maxDecisionsPerPump) {
            pumpSoon();
            return;
        }
    }
}

void GroupOwner::finishReconciliation()
{
    m_isResumed = true;
    for (auto &[id, job] : m_jobs) {
        if (!job.isRestored || job.record.state != JobState::Accepted)
            continue;
        m_planner.resume(id);
        if (job.record.spec.kind == placement::JobKind::Gang)
            resumeGang(id);
    }
    log::info("reconciled",
              {{"group", m_group.value()},
               {"epoch", m_epoch.value()},
               {"running", m_tasks.size()},
               {"missing_workers", m_reconciliation.missing()}});
}

// A gang of an earlier epoch is complete, and goes on, or it starts again as a whole.
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
        wantStop(id);
}

// Section: jobs

absl::Status GroupOwner::checkLoaded() const
{
    if (m_isLoaded && m_hasWorkers && m_settings)
        return absl::OkStatus();
    return stillLoading();
}

// A job is unknown only once the jobs of the earlier owner have been read.
absl::Status GroupOwner::checkJobsLoaded() const
{
    return m_isLoaded ? absl::OkStatus() : stillLoading();
}

absl::Status GroupOwner::stillLoading() const
{
    return makeError(Failure::NotReady,
                     absl::StrCat("the owner of ", m_group.value(), " is still loading"),
                     {.retryAfterMs = 500});
}

void GroupOwner::submit(const Json::Value &body, JsonCallback callback)
{
    if (const absl::Status status = checkLoaded(); !status.ok()) {
        callback(status);
        return;
    }
    const auto spec = jobFromJson(body);
    if (!spec.ok()) {
        callback(spec.status());
        return;
    }
    const auto known = m_jobs.find(spec->id);
    if (known != m_jobs.end()) {
        if (known->second.record.submitted == body)
            answerSubmit(known->second, false, std::move(callback));
        else
            callback(makeError(Failure::JobConflict,
                               absl::StrCat("job \"", spec->id.value(),
                                            "\" was accepted with another specification"),
                               {.field = "jobId"}));
        return;
    }
    if (m_isReleasing) {
        callback(makeError(Failure::NotOwner, "the group is being handed over",
                           {.retryAfterMs = 500}));
        return;
    }
    const absl::Status status = m_planner.submit(*spec, BootClock::now());
    if (!status.ok()) {
        callback(status);
        return;
    }
    JobEntry &job = m_jobs[spec->id];
    job.record.spec = *spec;
    job.record.submitted = body;
    answerSubmit(job, true, std::move(callback));
    pumpSoon();
}

void GroupOwner::answerSubmit(JobEntry &job, bool isNew, JsonCallback callback)
{
    const JobId id = job.record.spec.id;
    const auto answer = [id](bool isDurable) {
        Json::Value value;
        value["jobId"] = id.value();
        value["accepted"] = true;
        value["durable"] = isDurable;
        return value;
    };
    const bool isStoreDown = !m_store->isHealthy();
    if (job.isDurable || isStoreDown) {
        if (isNew)
            jobChanged(job);
        callback(answer(job.isDurable));
        return;
    }
    // Whichever comes first: the store has the job, or the wait is over.
    const auto once = std::make_shared<JsonCallback>(std::move(callback));
    const auto reply = [once](const absl::StatusOr<Json::Value> &value) {
        if (const JsonCallback respond = std::exchange(*once, {}))
            respond(value);
    };
    const auto timer = std::make_shared<asio::steady_timer>(m_ports.control, durableWait);
    jobChanged(job, [reply, answer, timer](const absl::Status &status) {
        timer->cancel();
        if (status.ok())
            reply(answer(true));
        else
            reply(status);
    });
    timer->async_wait(
            [reply, answer, timer](const boost::system::error_code &) { reply(answer(false)); });
}

void GroupOwner::jobChanged(JobEntry &job, JobStore::Saved saved)
{
    const JobId id = job.record.spec.id;
    m_store->save(
            job.record,
            [self = weak_from_this(), id, saved = std::move(saved)](const absl::Status &status) {
                const std::shared_ptr<GroupOwner> owner = self.lock();
                if (!owner)
                    return;
                if (status.ok()) {
                    owner->m_jobs[id].isDurable = true;
                } else {
                    log::error("job_not_stored", {{"job", id.value()}, {"error", status}});
                    owner->undoSubmit(id);
                }
                if (saved)
                    saved(status);
            });
}

// An earlier owner stored another job of this id after this owner had read the table.
void GroupOwner::undoSubmit(const JobId &id)
{
    if (const auto running = m_planner.cancel(id); running.ok()) {
        for (const placement::Assignment &task : *running)
            wantStop(taskId(id, task.task.index));
    }
    m_jobs[id].record.state = JobState::Cancelled;
}

void GroupOwner::cancel(const JobId &id, JsonCallback callback)
{
    if (const absl::Status status = checkLoaded(); !status.ok()) {
        callback(status);
        return;
    }
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        callback(makeError(Failure::UnknownJob, absl::StrCat("job \"", id.value(), "\" is unknown"),
                           {.field = "jobId"}));
        return;
    }
    JobEntry &job = found->second;
    if (job.record.state == JobState::Accepted) {
        job.record.state = JobState::Cancelled;
        if (const auto running = m_planner.cancel(id); running.ok()) {
            for (const placement::Assignment &task : *running)
                wantStop(taskId(id, task.task.index));
        }
        m_gangs.erase(id);
        jobChanged(job);
        pumpSoon();
    }
    Json::Value answer;
    answer["jobId"] = id.value();
    answer["state"] = jobStateName(job.record.state);
    callback(answer);
}

absl::StatusOr<Json::Value> GroupOwner::show(const JobId &id) const
{
    if (const absl::Status status = checkJobsLoaded(); !status.ok())
        return status;
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return makeError(Failure::UnknownJob, absl::StrCat("job \"", id.value(), "\" is unknown"),
                         {.field = "jobId"});
    return describeJob(found->second.record, m_planner.counts(id), found->second.isDurable);
}

absl::StatusOr<Json::Value> GroupOwner::explain(const JobId &id) const
{
    if (const absl::Status status = checkJobsLoaded(); !status.ok())
        return status;
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return makeError(Failure::UnknownJob, absl::StrCat("job \"", id.value(), "\" is unknown"),
                         {.field = "jobId"});
    return explainJob(found->second.record, m_planner, BootClock::now());
}

absl::StatusOr<Json::Value> GroupOwner::list() const
{
    if (const absl::Status status = checkJobsLoaded(); !status.ok())
        return status;
    Json::Value jobs(Json::arrayValue);
    for (const auto &[id, job] : m_jobs) {
        if (jobs.size() == maxListedJobs)
            break;
        jobs.append(describeJob(job.record, m_planner.counts(id), job.isDurable));
    }
    return jobs;
}

// Section: state

Json::Value GroupOwner::state() const
{
    Json::Value state;
    state["group"] = m_group.value();
    state["epoch"] = Json::Int64(m_epoch.value());
    state["isLoaded"] = m_isLoaded;
    state["isReconciled"] = m_isResumed;
    state["workersNotReported"] = Json::UInt64(m_reconciliation.missing());
    state["jobs"] = Json::UInt64(m_jobs.size());
    state["waitingTasks"] = Json::UInt64(m_planner.waitingTasks());
    state["runningTasks"] = Json::UInt64(m_planner.runningTasks());
    state["gangsStarting"] = Json::UInt64(m_gangs.size());
    state["unwrittenJobs"] = Json::UInt64(m_store->pending());
    std::map<std::string, uint64_t> phases;
    for (const auto &[id, task] : m_tasks)
        ++phases[taskPhaseName(task.life.phase())];
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
