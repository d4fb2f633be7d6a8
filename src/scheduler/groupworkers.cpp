// GroupOwner: the instance list and the reports of workers.

#include "scheduler/groupowner.h"

#include "base/error.h"
#include "node/log.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace cwl::scheduler {

namespace {

constexpr Duration commandTimeout = seconds(2);

} // namespace

// Section: instance list

void GroupOwner::setWorkers(const std::vector<platform::Instance> &workers)
{
    m_hasWorkers = true;
    if (m_isClosed)
        return;
    if (!m_isLoaded) {
        // Reports can be processed only after the jobs are loaded.
        m_pendingInstances = workers;
        return;
    }
    std::set<WorkerId> listed;
    for (const platform::Instance &instance : workers) {
        listed.insert(WorkerId(instance.id.value()));
        addWorker(instance);
    }
    std::vector<WorkerId> gone;
    for (const auto &[id, worker] : m_workers) {
        if (listed.count(id) == 0)
            gone.push_back(id);
    }
    for (const WorkerId &id : gone)
        removeWorker(id);
    m_reconciliation.setWorkers(listed);
    for (auto &[id, reconciliation] : m_lateJobs)
        reconciliation.setWorkers(listed);
    schedulePlacement();
}

void GroupOwner::addWorker(const platform::Instance &instance)
{
    const WorkerId id(instance.id.value());
    const auto known = m_workers.find(id);
    if (known != m_workers.end() && known->second.instance.address == instance.address) {
        known->second.instance.state = instance.state;
        updateDraining(known->second);
        return;
    }
    if (known != m_workers.end())
        removeWorker(id); // a new address: another machine with the same id
    auto link = WorkerLink::create(
            m_ports.control, m_ports.traffic, id, instance.address,
            {.reported =
                     [self = weak_from_this(), id](const WorkerReport &report,
                                                   TimePoint requestedAt, TimePoint receivedAt) {
                         if (const std::shared_ptr<GroupOwner> owner = self.lock())
                             owner->reported(id, report, requestedAt, receivedAt);
                     },
             .pollFailed =
                     [self = weak_from_this(), id](const absl::Status &status) {
                         if (const std::shared_ptr<GroupOwner> owner = self.lock())
                             owner->lost(id, status);
                     }});
    if (!link.ok()) {
        log::warn("worker_address_unusable", {{"worker", id.value()}, {"error", link.status()}});
        return;
    }
    WorkerEntry &worker = m_workers[id];
    worker.instance = instance;
    worker.link = *link;
    worker.number =
            m_planner.putWorker({id, instance.dataCentre, instance.rack, instance.capacity});
    m_planner.setReported(worker.number, false);
    m_planner.setReachable(worker.number, true);
    updateDraining(worker);
    worker.link->startPolling();
}

void GroupOwner::updateDraining(const WorkerEntry &worker)
{
    const bool isLeaving = worker.instance.state == platform::InstanceState::Leaving;
    const bool isDrainedByOperator = m_draining.count(WorkerId(worker.instance.id.value())) > 0;
    m_planner.setDraining(worker.number, isDrainedByOperator || isLeaving);
}

// Removes a worker that is no longer in the instance list. Its tasks have certainly ended.
void GroupOwner::removeWorker(const WorkerId &id)
{
    WorkerEntry &worker = m_workers.at(id);
    m_planner.setReachable(worker.number, false);
    worker.link->close();
    const std::set<TaskId> tasks = worker.tasks;
    for (const TaskId &task : tasks) {
        if (Task *entry = find(task)) {
            entry->lifecycle.workerGone(BootClock::now());
            endTask(task, placement::Outcome::Stopped);
        }
    }
    m_planner.removeWorker(worker.number, BootClock::now());
    m_workers.erase(id);
    log::info("worker_gone", {{"worker", id.value()}, {"tasks", tasks.size()}});
}

// Section: reports

void GroupOwner::lost(const WorkerId &id, const absl::Status &status)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || m_isClosed)
        return;
    if (found->second.isReachable)
        log::warn("worker_unreachable", {{"worker", id.value()}, {"error", status}});
    found->second.isReachable = false;
    m_planner.setReachable(found->second.number, false);
}

void GroupOwner::reported(const WorkerId &id, const WorkerReport &report, TimePoint requestedAt,
                          TimePoint receivedAt)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !isValid())
        return;
    WorkerEntry &worker = found->second;
    worker.clock.reported(report.clockMs, receivedAt);
    worker.reportedAt = receivedAt;
    worker.isReachable = true;
    if (report.capacity != worker.instance.capacity) {
        worker.instance.capacity = report.capacity;
        m_planner.putWorker(
                {id, worker.instance.dataCentre, worker.instance.rack, report.capacity});
    }
    processFinished(worker, report);
    const std::vector<TaskId> unwanted = processRunning(worker, report, requestedAt);
    if (!unwanted.empty())
        sendStops(worker, unwanted);
    m_reconciliation.reported(id, requestedAt);
    for (auto &[job, reconciliation] : m_lateJobs)
        reconciliation.reported(id, requestedAt);
    // Unwanted tasks use resources that the planner does not count, so no task is placed there
    // until they have ended.
    m_planner.setReported(worker.number, unwanted.empty());
    m_planner.setReachable(worker.number, true);
    schedulePlacement();
}

std::vector<TaskId> GroupOwner::processRunning(WorkerEntry &worker, const WorkerReport &report,
                                               TimePoint requestedAt)
{
    const TimePoint now = BootClock::now();
    std::set<TaskId> listed;
    std::vector<TaskId> unwanted;
    for (const ReportedTask &reported : report.running) {
        Task *task = find(reported.id);
        const bool isOurs = task && task->worker.value() == worker.instance.id.value()
                && task->attempt == reported.attempt && task->epoch == reported.epoch;
        if (isOurs) {
            listed.insert(reported.id);
            task->lifecycle.reported(true, requestedAt, now);
            task->isThrottled = reported.throttlePercent == 0;
        } else if (adopt(worker, reported)) {
            listed.insert(reported.id);
        } else {
            unwanted.push_back(reported.id);
        }
    }
    const std::set<TaskId> expected = worker.tasks;
    for (const TaskId &id : expected) {
        Task *task = find(id);
        if (!task || listed.count(id) > 0)
            continue;
        task->lifecycle.reported(false, requestedAt, now);
        if (task->lifecycle.isOver())
            endTask(id, placement::Outcome::Stopped);
    }
    return unwanted;
}

bool GroupOwner::adopt(WorkerEntry &worker, const ReportedTask &reported)
{
    const TimePoint now = BootClock::now();
    const auto parsed = parseTaskId(reported.id.value());
    const bool isEarlier = reported.group == m_group && reported.epoch < m_epoch;
    if (!parsed || !isEarlier || find(reported.id))
        return false;
    const auto job = m_jobs.find(parsed->first);
    if (job == m_jobs.end() || job->second.record.state != JobState::Accepted
        || !m_planner.adopt(parsed->first, parsed->second, worker.number, reported.attempt, now))
        return false;
    Task task;
    task.ref = {m_planner.find(parsed->first), parsed->second};
    task.job = parsed->first;
    task.index = parsed->second;
    task.attempt = reported.attempt;
    task.epoch = reported.epoch;
    task.worker = WorkerId(worker.instance.id.value());
    task.lifecycle = TaskLifecycle::adopted(now, now + lengthenedByClockError(taskLease));
    task.isThrottled = reported.throttlePercent == 0;
    worker.tasks.insert(reported.id);
    m_tasks.emplace(reported.id, std::move(task));
    // After reconciliation, a gang that ran completely may have been adopted only in part.
    const bool isWaitOver = m_isReconciled && m_lateJobs.count(parsed->first) == 0;
    if (isWaitOver && job->second.record.spec.kind == placement::JobKind::Gang)
        resumeGang(parsed->first);
    return true;
}

// Section: outcomes

void GroupOwner::processFinished(WorkerEntry &worker, const WorkerReport &report)
{
    std::vector<std::pair<TaskId, int64_t>> done;
    for (const FinishedTask &finished : report.finished) {
        const std::pair<TaskId, int64_t> attempt(finished.id, finished.attempt.value());
        if (worker.unstoredOutcomes.count(attempt) > 0)
            continue; // its outcome is being stored
        applyOutcome(worker, finished);
        if (worker.unstoredOutcomes.count(attempt) == 0)
            done.push_back(attempt);
    }
    if (!done.empty())
        acknowledge(worker, done);
}

void GroupOwner::applyOutcome(WorkerEntry &worker, const FinishedTask &finished)
{
    const TimePoint now = BootClock::now();
    const bool isSuccess = finished.outcome == "succeeded";
    Task *task = find(finished.id);
    const bool isOurs = task && task->worker.value() == worker.instance.id.value()
            && task->attempt == finished.attempt && task->epoch == finished.epoch;
    if (!task && isSuccess && finished.epoch < m_epoch) {
        // The task finished under an earlier owner that did not store the outcome.
        const ReportedTask reported{finished.id, m_group, finished.attempt, finished.epoch};
        if (!adopt(worker, reported))
            return;
        task = find(finished.id);
    } else if (!isOurs) {
        return;
    }
    task->lifecycle.finished(now);
    if (isSuccess) {
        recordSuccess(worker, finished);
        endTask(finished.id, placement::Outcome::Succeeded);
    } else {
        const bool isFailure = finished.outcome == "failed" && !task->isStopWanted;
        endTask(finished.id, isFailure ? placement::Outcome::Failed : placement::Outcome::Stopped);
    }
}

bool GroupOwner::recordSuccess(WorkerEntry &worker, const FinishedTask &finished)
{
    const Task &task = *find(finished.id);
    JobEntry &job = m_jobs[task.job];
    if (job.record.spec.kind == placement::JobKind::Service
        || !job.record.succeeded.add(task.index))
        return false;
    const std::pair<TaskId, int64_t> attempt(finished.id, finished.attempt.value());
    worker.unstoredOutcomes.insert(attempt);
    const WorkerId id(worker.instance.id.value());
    m_store->save(job.record, [self = weak_from_this(), id, attempt](const absl::Status &) {
        if (const std::shared_ptr<GroupOwner> owner = self.lock())
            owner->acknowledgeStored(id, attempt);
    });
    return true;
}

void GroupOwner::acknowledgeStored(const WorkerId &id, const std::pair<TaskId, int64_t> &attempt)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || m_isClosed)
        return;
    found->second.unstoredOutcomes.erase(attempt);
    acknowledge(found->second, {attempt});
}

void GroupOwner::acknowledge(WorkerEntry &worker,
                             const std::vector<std::pair<TaskId, int64_t>> &attempts)
{
    Json::Value body;
    for (const auto &[id, attempt] : attempts) {
        Json::Value finished;
        finished["taskId"] = id.value();
        finished["attempt"] = Json::Int64(attempt);
        body["finished"].append(finished);
    }
    // If the acknowledgement is lost, the next report lists the task again and it is repeated.
    worker.link->send("acknowledge", body, BootClock::now() + commandTimeout, {});
}

// Section: operators

Json::Value GroupOwner::workers() const
{
    Json::Value workers(Json::arrayValue);
    for (const auto &[id, worker] : m_workers) {
        const placement::Worker &known = m_planner.fleet().worker(worker.number);
        Json::Value value;
        value["id"] = id.value();
        value["group"] = m_group.value();
        value["dataCentre"] = worker.instance.dataCentre.value();
        value["rack"] = worker.instance.rack.value();
        value["reachable"] = worker.isReachable;
        value["reported"] = known.isReported;
        value["draining"] = known.isDraining;
        value["quarantined"] = known.health == placement::Worker::Health::Quarantined;
        value["tasks"] = Json::UInt64(worker.tasks.size());
        value["usedCores"] = Json::Int64(known.used.cores.value());
        value["cores"] = Json::Int64(known.spec.capacity.cores.value());
        workers.append(value);
    }
    return workers;
}

absl::Status GroupOwner::setDraining(const WorkerId &id, bool isDraining)
{
    if (const absl::Status status = checkLoaded(); !status.ok())
        return status;
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return makeError(Failure::UnknownWorker,
                         absl::StrCat("worker \"", id.value(), "\" is unknown"),
                         {.field = "worker"});
    if (isDraining)
        m_draining.insert(id);
    else
        m_draining.erase(id);
    m_drainStore->save(id, isDraining);
    updateDraining(found->second);
    schedulePlacement();
    return absl::OkStatus();
}

} // namespace cwl::scheduler
