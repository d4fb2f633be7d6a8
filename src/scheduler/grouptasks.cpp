// GroupOwner: starts, leases, gangs and stops of tasks.

#include "scheduler/groupowner.h"

#include "base/error.h"
#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::scheduler {

namespace {

constexpr Duration commandTimeout = seconds(2);
constexpr Duration firstLease = seconds(3);   // maximum; ends earlier with the sender's validity
constexpr Duration renewBefore = seconds(45); // a lease that ends within this time is renewed
constexpr Duration gangStartTimeout = seconds(5); // for workers to acknowledge all starts of a gang

bool isCertainlyNotSent(const absl::Status &status)
{
    const Failure failure = failureOf(status);
    return failure == Failure::ConnectionRefused || failure == Failure::DeadlinePassed;
}

} // namespace

GroupOwner::Task *GroupOwner::find(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : &found->second;
}

// Section: starts

void GroupOwner::executeDecision(const placement::Decision &decision)
{
    if (decision.kind == placement::Decision::Kind::Preempt)
        stopPreempted(decision.assignments);
    else
        startTasks(decision);
}

void GroupOwner::startTasks(const placement::Decision &decision)
{
    const TimePoint now = BootClock::now();
    const TimePoint leaseEnd = std::min(m_ports.validUntil(), now + firstLease);
    const placement::Job &first = m_planner.job(decision.assignments.front().task.job);
    const JobId job = first.id;
    const JobRecord &record = m_jobs[job].record;
    const bool isGang = first.kind == placement::JobKind::Gang;
    std::map<WorkerId, std::pair<Json::Value, std::vector<TaskId>>> messages;
    GangStart gang{.deadline = now + gangStartTimeout, .tasks = {}};
    for (const placement::Assignment &assignment : decision.assignments) {
        const WorkerId workerId = m_planner.fleet().worker(assignment.worker).spec.id;
        WorkerEntry &worker = m_workers.at(workerId);
        const TaskId id = taskId(job, assignment.task.index);
        Task task;
        task.ref = assignment.task;
        task.job = job;
        task.index = assignment.task.index;
        task.attempt = assignment.attempt;
        task.epoch = m_epoch;
        task.worker = workerId;
        task.lifecycle = TaskLifecycle::sent(now, leaseEnd);
        task.isThrottled = isGang;
        // The clock has a value: the planner selects only workers that have reported.
        const int64_t leaseMs = worker.clock.toWorkerDeadlineMs(leaseEnd).value_or(0);
        auto &[body, ids] = messages[workerId];
        body["tasks"].append(startMessage(task, record, leaseMs));
        ids.push_back(id);
        gang.tasks.push_back(id);
        worker.tasks.insert(id);
        m_tasks.insert_or_assign(id, std::move(task));
        m_placed.add();
    }
    if (isGang)
        m_gangs[job] = gang;
    for (auto &[workerId, message] : messages) {
        m_workers.at(workerId).link->send(
                "start", message.first, std::min(leaseEnd, now + commandTimeout),
                [self = weak_from_this(), workerId = workerId,
                 ids = message.second](const absl::StatusOr<Json::Value> &response) {
                    if (const std::shared_ptr<GroupOwner> owner = self.lock())
                        owner->handleStartResponse(workerId, ids, response);
                });
    }
}

Json::Value GroupOwner::startMessage(const Task &task, const JobRecord &record,
                                     int64_t leaseMs) const
{
    Json::Value message;
    message["taskId"] = taskId(task.job, task.index).value();
    message["attempt"] = Json::Int64(task.attempt.value());
    message["epoch"] = Json::Int64(m_epoch.value());
    message["group"] = m_group.value();
    message["jobId"] = task.job.value();
    message["team"] = record.spec.team.value();
    message["kind"] = placement::jobKindName(record.spec.kind);
    message["cores"] = Json::Int64(record.spec.each.cores.value());
    message["memoryMiB"] = Json::Int64(record.spec.each.memory.value());
    message["accelerators"] = Json::Int64(record.spec.each.accelerators.value());
    message["leaseDeadlineMs"] = Json::Int64(leaseMs);
    message["throttlePercent"] = task.isThrottled ? 0 : 100;
    message["runMs"] =
            Json::Int64(std::chrono::duration_cast<milliseconds>(record.spec.run).count());
    message["spec"] = record.submitted.get("spec", Json::Value(Json::objectValue));
    if (record.spec.kind == placement::JobKind::Gang && message["spec"].isObject())
        message["spec"]["gangSize"] = record.spec.count;
    return message;
}

void GroupOwner::handleStartResponse(const WorkerId &workerId, const std::vector<TaskId> &tasks,
                                     const absl::StatusOr<Json::Value> &response)
{
    const TimePoint now = BootClock::now();
    const auto worker = m_workers.find(workerId);
    if (m_isClosed || worker == m_workers.end())
        return;
    if (response.ok() && (*response)["results"].isArray()) {
        for (const Json::Value &result : (*response)["results"]) {
            if (result.isObject() && result["taskId"].isString() && result["result"].isString())
                applyStartResult(TaskId(result["taskId"].asString()), result["result"].asString());
        }
        renew(worker->second);
    } else if (!response.ok()) {
        log::warn("start_unanswered", {{"worker", workerId.value()}, {"error", response.status()}});
        lost(workerId, response.status());
    }
    // A task without a result may run, unless the message was certainly not sent.
    const bool isNotSent = !response.ok() && isCertainlyNotSent(response.status());
    for (const TaskId &id : tasks) {
        Task *task = find(id);
        if (!task || task->lifecycle.phase() != TaskPhase::Sent)
            continue;
        if (isNotSent) {
            task->lifecycle.startNotSent(now);
            endTask(id, placement::Outcome::Stopped);
        } else {
            task->lifecycle.startUnanswered(now);
        }
    }
    checkGangs();
    schedulePlacement();
}

void GroupOwner::applyStartResult(const TaskId &id, const std::string &result)
{
    Task *task = find(id);
    if (!task || task->lifecycle.phase() != TaskPhase::Sent)
        return;
    const TimePoint now = BootClock::now();
    if (result == "started") {
        task->lifecycle.startAcknowledged(now);
        m_started.add();
        return;
    }
    task->lifecycle.startRefused(now);
    const bool isFailure = result != "lease_lapsed" && !task->isStopWanted;
    endTask(id, isFailure ? placement::Outcome::Failed : placement::Outcome::Stopped);
}

// Section: completions

// Removes a task that has certainly ended.
void GroupOwner::endTask(const TaskId &id, placement::Outcome outcome)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end())
        return;
    const Task task = std::move(found->second);
    m_tasks.erase(found);
    if (const auto worker = m_workers.find(task.worker); worker != m_workers.end())
        worker->second.tasks.erase(id);
    const placement::Finished finished = m_planner.finish(task.ref, outcome, BootClock::now());
    JobEntry &job = m_jobs[task.job];
    if (finished.isWorkerQuarantined)
        log::warn("worker_quarantined", {{"worker", task.worker.value()}});
    if (finished.isGivenUp && job.record.failed.add(task.index))
        jobChanged(job);
    const bool isBrokenGang = job.record.spec.kind == placement::JobKind::Gang
            && outcome != placement::Outcome::Succeeded;
    if (isBrokenGang) {
        m_gangs.erase(task.job);
        // The gang restarts as a whole, so successes of its other tasks no longer count.
        if (job.record.succeeded.size() > 0 && job.record.state == JobState::Accepted) {
            job.record.succeeded = {};
            jobChanged(job);
        }
    }
    if (finished.isJobOver && job.record.state == JobState::Accepted) {
        finishJob(job, JobState::Done);
        jobChanged(job);
    }
    for (const placement::Assignment &other : finished.stop)
        requestStop(taskId(task.job, other.task.index));
    schedulePlacement();
}

void GroupOwner::expireLeases()
{
    const TimePoint now = BootClock::now();
    std::vector<TaskId> over;
    for (auto &[id, task] : m_tasks) {
        const auto worker = m_workers.find(task.worker);
        const bool isReachable = worker != m_workers.end() && worker->second.isReachable;
        // While the worker is reachable, its reports show whether the task runs.
        if (task.lifecycle.phase() == TaskPhase::Running && isReachable)
            continue;
        task.lifecycle.checkLeaseExpiry(now);
        if (task.lifecycle.isOver())
            over.push_back(id);
    }
    for (const TaskId &id : over) {
        log::warn("task_lease_expired", {{"task", id.value()}});
        endTask(id, placement::Outcome::Stopped);
    }
}

// Section: stops

void GroupOwner::requestStop(const TaskId &id)
{
    Task *task = find(id);
    if (!task)
        return;
    task->isStopWanted = true;
    const auto worker = m_workers.find(task->worker);
    if (worker != m_workers.end() && task->lifecycle.phase() == TaskPhase::Running)
        sendStops(worker->second, {id});
}

void GroupOwner::sendStops(WorkerEntry &worker, const std::vector<TaskId> &ids)
{
    if (!isValid())
        return;
    Json::Value body;
    for (const TaskId &id : ids) {
        body["tasks"].append(id.value());
        if (Task *task = find(id))
            task->isStopInFlight = true;
    }
    // The next report brings the outcome. renewLeases() repeats a stop that was lost.
    worker.link->send("stop", body, BootClock::now() + commandTimeout,
                      [self = weak_from_this(), ids](const absl::StatusOr<Json::Value> &) {
                          const std::shared_ptr<GroupOwner> owner = self.lock();
                          if (!owner)
                              return;
                          for (const TaskId &id : ids) {
                              if (Task *task = owner->find(id))
                                  task->isStopInFlight = false;
                          }
                      });
}

void GroupOwner::stopPreempted(const std::vector<placement::Assignment> &victims)
{
    for (const placement::Assignment &victim : victims) {
        const TaskId id = taskId(m_planner.job(victim.task.job).id, victim.task.index);
        Task *task = find(id);
        if (!task)
            continue;
        task->isStopWanted = true;
        task->isStopInFlight = true;
        Json::Value body;
        body["tasks"].append(id.value());
        const WorkerId workerId = task->worker;
        m_workers.at(workerId).link->send(
                "checkpoint", body, BootClock::now() + commandTimeout,
                [self = weak_from_this(), id, workerId](const absl::StatusOr<Json::Value> &) {
                    const std::shared_ptr<GroupOwner> owner = self.lock();
                    if (!owner || !owner->find(id) || owner->m_workers.count(workerId) == 0)
                        return;
                    owner->sendStops(owner->m_workers.at(workerId), {id});
                });
    }
}

// Section: leases

void GroupOwner::renewLeases()
{
    for (auto &[id, worker] : m_workers) {
        renew(worker);
        std::vector<TaskId> stops;
        for (const TaskId &taskId : worker.tasks) {
            const Task *task = find(taskId);
            if (task && task->isStopWanted && !task->isStopInFlight
                && task->lifecycle.phase() == TaskPhase::Running)
                stops.push_back(taskId);
        }
        if (!stops.empty() && worker.isReachable)
            sendStops(worker, stops);
    }
}

void GroupOwner::renew(WorkerEntry &worker)
{
    const TimePoint now = BootClock::now();
    if (worker.isRenewing || !isValid())
        return;
    const TimePoint leaseEnd = now + taskLease;
    const auto leaseMs = worker.clock.toWorkerDeadlineMs(leaseEnd);
    std::vector<TaskId> ids;
    Json::Value body;
    for (const TaskId &id : worker.tasks) {
        Task *task = find(id);
        const bool isDue = task && !task->isStopWanted
                && task->lifecycle.phase() == TaskPhase::Running
                && task->renewedUntil - now < renewBefore;
        if (!isDue || !leaseMs)
            continue;
        task->lifecycle.renewalSent(leaseEnd);
        body["tasks"].append(id.value());
        ids.push_back(id);
    }
    if (ids.empty())
        return;
    body["leaseDeadlineMs"] = Json::Int64(*leaseMs);
    worker.isRenewing = true;
    const WorkerId workerId(worker.instance.id.value());
    worker.link->send("renew", body, now + commandTimeout,
                      [self = weak_from_this(), workerId, ids,
                       leaseEnd](const absl::StatusOr<Json::Value> &response) {
                          const std::shared_ptr<GroupOwner> owner = self.lock();
                          if (!owner || owner->m_workers.count(workerId) == 0)
                              return;
                          owner->m_workers.at(workerId).isRenewing = false;
                          for (const TaskId &id : ids) {
                              Task *task = owner->find(id);
                              if (task && response.ok())
                                  task->renewedUntil = leaseEnd;
                          }
                          // Tasks that were acknowledged meanwhile need their first renewal.
                          if (response.ok())
                              owner->renew(owner->m_workers.at(workerId));
                      });
}

// Section: gangs

void GroupOwner::checkGangs()
{
    const TimePoint now = BootClock::now();
    const std::map<JobId, GangStart> gangs = m_gangs;
    for (const auto &[job, gang] : gangs) {
        bool isAnyThrottled = false;
        bool areAllRunning = true;
        for (const TaskId &id : gang.tasks) {
            const Task *task = find(id);
            const bool isRunning = task && task->lifecycle.phase() == TaskPhase::Running;
            // A task of a released gang may have succeeded already.
            const bool isComplete = !task && m_jobs[job].record.succeeded.size() > 0;
            areAllRunning = areAllRunning && (isRunning || isComplete);
            isAnyThrottled = isAnyThrottled || (task && task->isThrottled);
        }
        if (areAllRunning && !isAnyThrottled) {
            m_gangs.erase(job);
        } else if (areAllRunning) {
            releaseGang(gang.tasks);
        } else if (now > gang.deadline) {
            log::warn("gang_start_deadline_passed", {{"job", job.value()}});
            m_gangs.erase(job);
            for (const TaskId &id : gang.tasks)
                requestStop(id);
        }
    }
}

void GroupOwner::releaseGang(const std::vector<TaskId> &tasks)
{
    std::map<WorkerId, std::vector<TaskId>> byWorker;
    for (const TaskId &id : tasks) {
        if (const Task *task = find(id); task && task->isThrottled)
            byWorker[task->worker].push_back(id);
    }
    for (const auto &[workerId, ids] : byWorker) {
        const auto worker = m_workers.find(workerId);
        if (worker == m_workers.end() || !isValid())
            continue;
        Json::Value body;
        body["percent"] = 100;
        for (const TaskId &id : ids)
            body["tasks"].append(id.value());
        worker->second.link->send(
                "throttle", body, BootClock::now() + commandTimeout,
                [self = weak_from_this(), ids = ids](const absl::StatusOr<Json::Value> &response) {
                    const std::shared_ptr<GroupOwner> owner = self.lock();
                    if (!owner || !response.ok())
                        return;
                    for (const TaskId &id : ids) {
                        if (Task *task = owner->find(id))
                            task->isThrottled = false;
                    }
                });
    }
}

} // namespace cwl::scheduler
