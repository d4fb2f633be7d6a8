// Lifecycle of jobs and tasks in the planner: start, completion, retry, cancellation and timers.

#include "placement/planner.h"

#include "base/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace cwl::placement {

namespace {

// At most this many timers run in one decision, so that many due timers do not delay a start.
constexpr size_t maxTimersPerDecision = 256;

uint64_t keyOf(TaskRef task)
{
    return (uint64_t(task.job) << 32) | task.index;
}

Duration backoffAfter(uint32_t failures)
{
    const uint32_t doublings = std::min<uint32_t>(failures > 0 ? failures - 1 : 0, 16);
    return std::min<Duration>(firstBackoff * (1 << doublings), maxBackoff);
}

} // namespace

// Section: start

void Planner::enqueue(JobNumber number, bool isFirst)
{
    const Job &job = m_jobs[number];
    const bool isIneligible = job.isCancelled || job.isPaused || job.hasHold || job.isGangStopping;
    if (isIneligible || !job.hasReadyTask() || job.notBefore != TimePoint())
        return;
    if (job.kind == JobKind::Gang && job.waiting() != job.count)
        return;
    m_queue.add(number, m_fleet.total(), isFirst);
}

uint32_t Planner::takeReadyIndex(Job &job)
{
    if (job.readyIndexes.empty())
        return job.nextUnstarted++;
    const uint32_t index = job.readyIndexes.back();
    job.readyIndexes.pop_back();
    return index;
}

Assignment Planner::startTask(JobNumber number, uint32_t index, WorkerNumber worker,
                              const Score &score, TimePoint now)
{
    uint32_t attempt = 1;
    if (const std::unique_ptr<JobRetryState> &retryState = m_jobs[number].retryState) {
        const auto entry = retryState->tasks.find(index);
        if (entry != retryState->tasks.end())
            attempt = ++entry->second.attempts;
    }
    const uint32_t slot = addRunning({number, index}, worker, attempt, now);
    m_slots[slot].score = score;
    return assignmentOf(slot);
}

uint32_t Planner::addRunning(TaskRef task, WorkerNumber worker, uint32_t attempt, TimePoint now)
{
    uint32_t slot = static_cast<uint32_t>(m_slots.size());
    if (m_freeSlots.empty()) {
        m_slots.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    Job &job = m_jobs[task.job];
    Running &running = m_slots[slot];
    running = Running();
    running.started = now;
    running.job = task.job;
    running.index = task.index;
    running.worker = worker;
    running.attempt = attempt;
    running.nextInJob = job.firstSlot;
    if (job.firstSlot != noNumber)
        m_slots[job.firstSlot].previousInJob = slot;
    job.firstSlot = slot;
    ++job.running;
    --m_waiting;
    m_runningByKey.emplace(keyOf(task), slot);
    m_fleet.reserve(worker, job.each, slot);
    m_accounts.charge(job.team, job.urgency, job.each);
    m_queue.teamChanged(job.team, m_fleet.total());
    if (job.kind == JobKind::Batch)
        addPreemptible(slot);
    return slot;
}

bool Planner::adopt(const JobId &id, uint32_t index, WorkerNumber worker, Attempt attempt,
                    TimePoint now)
{
    const JobNumber number = find(id);
    if (number == noNumber || index >= m_jobs[number].count)
        return false;
    Job &job = m_jobs[number];
    const TaskRef task{number, index};
    if (m_runningByKey.count(keyOf(task)) > 0 || job.isCancelled)
        return false;
    if (index >= job.nextUnstarted) {
        for (uint32_t skipped = job.nextUnstarted; skipped < index; ++skipped)
            job.readyIndexes.push_back(skipped);
        job.nextUnstarted = index + 1;
    } else {
        const auto found = std::find(job.readyIndexes.begin(), job.readyIndexes.end(), index);
        if (found == job.readyIndexes.end())
            return false;
        job.readyIndexes.erase(found);
    }
    if (!job.hasReadyTask() || job.kind == JobKind::Gang)
        m_queue.remove(number);
    if (attempt.value() > 1)
        retryStateOf(task).attempts = static_cast<uint32_t>(attempt.value());
    addRunning(task, worker, static_cast<uint32_t>(attempt.value()), now);
    return true;
}

// Section: completion

Finished Planner::finish(TaskRef task, Outcome outcome, TimePoint now)
{
    Finished result;
    const auto entry = m_runningByKey.find(keyOf(task));
    if (entry == m_runningByKey.end())
        return result;
    result.isKnown = true;
    const uint32_t slot = entry->second;
    const WorkerNumber worker = m_slots[slot].worker;
    Job &job = m_jobs[task.job];
    const bool isRetriedTask = outcome != Outcome::Succeeded || job.kind != JobKind::Batch;
    if (isRetriedTask && !job.isCancelled)
        retryStateOf(task).attempts = m_slots[slot].attempt;
    releaseSlot(slot);
    if (!job.isCancelled && job.kind == JobKind::Gang)
        endGangTask(task, outcome, worker, now, result);
    else if (!job.isCancelled)
        endTask(task, outcome, worker, now, result);
    onWorkerChanged(worker);
    const bool isOver = job.isCancelled ? job.running == 0 : job.isComplete();
    if (isOver) {
        result.isJobOver = true;
        removeJob(task.job);
    }
    return result;
}

void Planner::releaseSlot(uint32_t slot)
{
    Running &running = m_slots[slot];
    Job &job = m_jobs[running.job];
    if (running.previousInJob != noNumber)
        m_slots[running.previousInJob].nextInJob = running.nextInJob;
    else
        job.firstSlot = running.nextInJob;
    if (running.nextInJob != noNumber)
        m_slots[running.nextInJob].previousInJob = running.previousInJob;
    --job.running;
    removePreemptible(slot);
    if (running.preemptedFor) {
        ClassUsage &preemptorUsage = m_accounts.usage(*running.preemptedFor);
        preemptorUsage.pendingReclaim = preemptorUsage.pendingReclaim - job.each;
        ClassUsage &preemptedUsage = m_accounts.usage(job.urgency);
        preemptedUsage.pendingPreemption = preemptedUsage.pendingPreemption - job.each;
    }
    m_runningByKey.erase(keyOf({running.job, running.index}));
    m_fleet.release(running.worker, job.each, slot);
    m_accounts.refund(job.team, job.urgency, job.each);
    m_queue.teamChanged(job.team, m_fleet.total());
    running.job = noNumber;
    m_freeSlots.push_back(slot);
}

void Planner::onWorkerChanged(WorkerNumber number)
{
    const Worker &worker = m_fleet.worker(number);
    if (worker.held != Resources()) {
        for (Hold &hold : m_holds)
            hold.mayBeReady = true;
    }
    if (m_fleet.isUsable(number))
        m_queue.unblockFitting(worker.free(), worker.dataCentreNumber);
}

void Planner::endTask(TaskRef task, Outcome outcome, WorkerNumber worker, TimePoint now,
                      Finished &result)
{
    Job &job = m_jobs[task.job];
    if (outcome == Outcome::Failed) {
        handleFailure(task, worker, now, result);
        return;
    }
    if (outcome == Outcome::Stopped) {
        requeue(task);
        return;
    }
    m_fleet.recordSuccess(worker);
    if (job.retryState) {
        job.retryState->failuresInRow = 0;
        job.retryState->failedOn.clear();
    }
    if (job.kind == JobKind::Service) {
        requeue(task); // a replica that ended is restarted
        return;
    }
    ++job.succeeded;
    if (job.retryState)
        job.retryState->tasks.erase(task.index);
}

void Planner::handleFailure(TaskRef task, WorkerNumber worker, TimePoint now, Finished &result)
{
    Job &job = m_jobs[task.job];
    TaskRetryState &taskRetryState = retryStateOf(task);
    JobRetryState &retryState = *job.retryState;
    ++taskRetryState.failures;
    ++retryState.failuresInRow;
    std::vector<WorkerNumber> &failedOn = retryState.failedOn;
    const bool isKnownThere = std::find(failedOn.begin(), failedOn.end(), worker) != failedOn.end();
    if (!isKnownThere && failedOn.size() < quarantineJobThreshold)
        failedOn.push_back(worker);
    // A job that fails on several workers is itself the cause, so its failures do not count against
    // the workers.
    if (failedOn.size() < quarantineJobThreshold) {
        result.isWorkerQuarantined = m_fleet.recordFailure(worker, task.job, now);
    } else {
        for (const WorkerNumber other : failedOn)
            m_fleet.clearFailures(other, task.job);
    }
    if (result.isWorkerQuarantined)
        addTimer(Timer::Kind::Quarantine, m_fleet.worker(worker).quarantinedUntil, worker);
    if (job.kind == JobKind::Gang)
        return;
    if (job.kind == JobKind::Batch && taskRetryState.failures >= maxFailures) {
        taskRetryState.isGivenUp = true;
        result.isGivenUp = true;
        ++job.failed;
    } else {
        taskRetryState.isDelayed = true;
        taskRetryState.notBefore = now + backoffAfter(taskRetryState.failures);
        addTimer(Timer::Kind::Task, taskRetryState.notBefore, task.job, task.index);
        ++m_waiting;
    }
    if (retryState.failuresInRow >= jobBackoffFailures)
        startBackoff(task.job, retryState.failuresInRow - jobBackoffFailures + 1, now);
}

void Planner::startBackoff(JobNumber number, uint32_t failures, TimePoint now)
{
    Job &job = m_jobs[number];
    job.notBefore = now + backoffAfter(failures);
    m_queue.remove(number);
    addTimer(Timer::Kind::Job, job.notBefore, number);
}

void Planner::requeue(TaskRef task)
{
    m_jobs[task.job].readyIndexes.push_back(task.index);
    ++m_waiting;
    enqueue(task.job, true);
}

void Planner::endGangTask(TaskRef task, Outcome outcome, WorkerNumber worker, TimePoint now,
                          Finished &result)
{
    Job &job = m_jobs[task.job];
    if (outcome == Outcome::Succeeded && !job.isGangStopping) {
        m_fleet.recordSuccess(worker);
        ++job.succeeded;
        return;
    }
    ++m_waiting;
    if (!job.isGangStopping) {
        job.isGangStopping = true;
        if (outcome == Outcome::Failed) {
            handleFailure(task, worker, now, result);
            startBackoff(task.job, job.retryState->failuresInRow, now);
        }
        result.stop = runningOf(job);
        for (uint32_t slot = job.firstSlot; slot != noNumber; slot = m_slots[slot].nextInJob)
            m_slots[slot].isStopping = true;
    }
    if (job.running > 0)
        return;
    // The whole gang restarts, including tasks that had succeeded.
    m_waiting += job.succeeded;
    job.succeeded = 0;
    job.isGangStopping = false;
    job.readyIndexes.clear();
    job.nextUnstarted = job.count;
    for (uint32_t index = 0; index < job.count; ++index)
        job.readyIndexes.push_back(index);
    enqueue(task.job, true);
}

TaskRetryState &Planner::retryStateOf(TaskRef task)
{
    Job &job = m_jobs[task.job];
    if (!job.retryState)
        job.retryState = std::make_unique<JobRetryState>();
    return job.retryState->tasks[task.index];
}

// Section: jobs

JobNumber Planner::find(const JobId &job) const
{
    const auto entry = m_jobNumbers.find(job.value());
    return entry == m_jobNumbers.end() ? noNumber : entry->second;
}

absl::StatusOr<std::vector<Assignment>> Planner::cancel(const JobId &id)
{
    const JobNumber number = find(id);
    if (number == noNumber)
        return makeError(Failure::UnknownJob, absl::StrCat("job \"", id.value(), "\" is unknown"),
                         {.field = "jobId"});
    Job &job = m_jobs[number];
    for (Hold &hold : m_holds) {
        if (hold.job == number)
            releaseHold(hold);
    }
    m_queue.remove(number);
    if (!job.isCancelled)
        m_waiting -= job.waiting();
    job.isCancelled = true;
    std::vector<Assignment> stop = runningOf(job);
    for (uint32_t slot = job.firstSlot; slot != noNumber; slot = m_slots[slot].nextInJob)
        m_slots[slot].isStopping = true;
    if (job.running == 0)
        removeJob(number);
    return stop;
}

void Planner::removeJob(JobNumber number)
{
    Job &job = m_jobs[number];
    m_queue.remove(number);
    m_jobNumbers.erase(job.id.value());
    const uint32_t generation = job.generation;
    job = Job();
    job.generation = generation;
    m_freeJobs.push_back(number);
}

std::vector<Assignment> Planner::runningOf(const Job &job) const
{
    std::vector<Assignment> tasks;
    for (uint32_t slot = job.firstSlot; slot != noNumber; slot = m_slots[slot].nextInJob)
        tasks.push_back(assignmentOf(slot));
    return tasks;
}

Assignment Planner::assignmentOf(uint32_t slot) const
{
    const Running &running = m_slots[slot];
    return {.task = {running.job, running.index},
            .worker = running.worker,
            .attempt = Attempt(running.attempt),
            .score = running.score};
}

std::optional<Assignment> Planner::running(TaskRef task) const
{
    const auto entry = m_runningByKey.find(keyOf(task));
    if (entry == m_runningByKey.end())
        return std::nullopt;
    return assignmentOf(entry->second);
}

std::optional<JobCounts> Planner::counts(const JobId &id) const
{
    const JobNumber number = find(id);
    if (number == noNumber)
        return std::nullopt;
    const Job &job = m_jobs[number];
    return JobCounts{job.isCancelled ? 0 : job.waiting(), job.running, job.succeeded, job.failed};
}

// Section: timers

void Planner::addTimer(Timer::Kind kind, TimePoint at, uint32_t number, uint32_t index)
{
    const bool isOfJob =
            kind == Timer::Kind::Task || kind == Timer::Kind::Job || kind == Timer::Kind::Hold;
    m_timers.push({.at = at,
                   .sequence = m_timerSequence++,
                   .kind = kind,
                   .number = number,
                   .index = index,
                   .generation = isOfJob ? m_jobs[number].generation : 0});
}

bool Planner::runTimers(TimePoint now)
{
    for (size_t run = 0; run < maxTimersPerDecision; ++run) {
        if (m_timers.empty() || m_timers.top().at > now)
            return true;
        const Timer timer = m_timers.top();
        m_timers.pop();
        runTimer(timer, now);
    }
    return m_timers.empty() || m_timers.top().at > now;
}

void Planner::runTimer(const Timer &timer, TimePoint now)
{
    if (timer.kind == Timer::Kind::GangSize) {
        m_queue.unblockGangs();
        return;
    }
    if (timer.kind == Timer::Kind::Limits) {
        m_isAcceleratorLimitTimerSet = false; // the next decision recomputes the limits
        return;
    }
    if (timer.kind == Timer::Kind::Quarantine) {
        m_fleet.endQuarantine(timer.number, now);
        onWorkerChanged(timer.number);
        return;
    }
    Job &job = m_jobs[timer.number];
    if (!job.isKnown || job.isCancelled || job.generation != timer.generation)
        return;
    if (timer.kind == Timer::Kind::Hold) {
        for (Hold &hold : m_holds) {
            if (hold.job == timer.number)
                replanHold(hold, now);
        }
    } else if (timer.kind == Timer::Kind::Job) {
        if (job.notBefore <= now)
            job.notBefore = TimePoint();
        enqueue(timer.number, true);
    } else {
        TaskRetryState &retryState = retryStateOf({timer.number, timer.index});
        if (!retryState.isDelayed || retryState.notBefore > now)
            return;
        retryState.isDelayed = false;
        job.readyIndexes.push_back(timer.index);
        enqueue(timer.number, true);
    }
}

} // namespace cwl::placement
