// Runs on workers: applies reports, completions and responses to runs and their tasks.

#include "jobs/dispatcher.h"

#include "jobs/limits.h"
#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::jobs {

namespace {

constexpr double slownessSmoothing = 0.2; // weight of the newest run in the smoothed ratio
constexpr double minRunTimeRatio = 0.2;   // bounds of one run's ratio: estimates are rough
constexpr double maxRunTimeRatio = 8.0;
constexpr Duration gangRetryDelay = milliseconds(50); // the last completion may still arrive
constexpr Duration unhealthyExclusion = milliseconds(1500);

} // namespace

// Section: lookup

StepState *Dispatcher::findStep(Job &job, const TaskAddress &address)
{
    if (address.occurrence >= job.occurrences.size()
        || address.step >= job.occurrences[address.occurrence].steps.size())
        return nullptr;
    return &job.occurrences[address.occurrence].steps[address.step];
}

Task *Dispatcher::findTask(Job &job, const TaskAddress &address)
{
    StepState *const step = findStep(job, address);
    return step && address.index < step->tasks.size() ? &step->tasks[address.index] : nullptr;
}

const Step &Dispatcher::stepSpec(const Job &job, const TaskAddress &address) const
{
    return job.spec.steps[address.step];
}

// Section: adding and removing runs

Run &Dispatcher::addRun(Worker &worker, Run run)
{
    const std::string text = run.address.text();
    if (run.job) {
        const Step &spec = stepSpec(*run.job, run.address);
        run.resources = spec.each;
        run.account = run.job->account;
        run.counted = spec.each;
        if (spec.backfill) {
            run.backfillCores = spec.each.cores;
            run.resources.cores = Millicores(0);
        }
        if (spec.tailTargetMs > 0)
            ++worker.servingRuns;
        StepState &step = *findStep(*run.job, run.address);
        Task &task = *findTask(*run.job, run.address);
        if (task.phase == Task::Phase::Waiting)
            --step.waiting;
        task.phase = Task::Phase::Active;
        task.worker = &worker;
        task.attempt = run.attempt;
        ++step.perWorker[&worker];
        ++run.job->activeRuns;
    } else {
        ++worker.unknownRuns;
    }
    jobs::addRun(run.account, run.counted);
    worker.used = worker.used + run.resources;
    worker.backfillUsed += run.backfillCores;
    return worker.runs[text] = std::move(run);
}

// Removes the run; its task, if it is still active, waits again and has no worker.
void Dispatcher::removeRun(Worker &worker, const std::string &task)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end())
        return;
    const Run run = found->second;
    worker.runs.erase(found);
    jobs::removeRun(run.account, run.counted);
    worker.used = worker.used - run.resources;
    worker.backfillUsed -= run.backfillCores;
    Job *const job = run.job;
    if (!job) {
        --worker.unknownRuns;
        return;
    }
    if (stepSpec(*job, run.address).tailTargetMs > 0)
        --worker.servingRuns;
    StepState &step = *findStep(*job, run.address);
    const auto count = step.perWorker.find(&worker);
    if (count != step.perWorker.end() && --count->second == 0)
        step.perWorker.erase(count);
    --job->activeRuns;
    wait(*job, run.address);
    if (job->activeRuns == 0 && isFinal(job->state))
        std::erase(m_open, job);
}

// Makes an active task wait again; a task that is done stays done.
void Dispatcher::wait(Job &job, const TaskAddress &address)
{
    Task &task = *findTask(job, address);
    if (task.phase != Task::Phase::Active)
        return;
    task.phase = Task::Phase::Waiting;
    task.worker = nullptr;
    ++findStep(job, address)->waiting;
}

void Dispatcher::stopGang(Job &job, const TaskAddress &member)
{
    if (!stepSpec(job, member).gang)
        return;
    for (uint32_t index = 0; index < stepSpec(job, member).count; ++index) {
        TaskAddress other = member;
        other.index = index;
        const Task &task = *findTask(job, other);
        if (task.phase != Task::Phase::Active)
            continue;
        const auto run = task.worker->runs.find(other.text());
        if (run != task.worker->runs.end())
            run->second.phase = RunPhase::Stopping;
    }
}

// Section: completions

// A task of the job has started, or may have. An order alone does not count: workers may refuse it.
void Dispatcher::markStarted(Job &job)
{
    if (job.state == JobState::Queued)
        job.state = JobState::Running;
}

void Dispatcher::markTaskDone(Job &job, const TaskAddress &address, TimePoint now)
{
    StepState &step = *findStep(job, address);
    const Step &spec = stepSpec(job, address);
    // One completion counts for all members of a gang.
    const uint32_t first = spec.gang ? 0 : address.index;
    const uint32_t last = spec.gang ? spec.count : address.index + 1;
    for (uint32_t index = first; index < last; ++index) {
        Task &task = step.tasks[index];
        if (task.phase == Task::Phase::Done)
            continue;
        if (task.phase == Task::Phase::Waiting)
            --step.waiting;
        else if (!spec.gang) {
            // This is a later run of a task whose earlier run completed after all.
            const auto run = task.worker->runs.find(address.text());
            if (run != task.worker->runs.end())
                run->second.phase = RunPhase::Stopping;
        }
        task.phase = Task::Phase::Done;
        task.progress.isDone = true;
        task.progress.checkpoint.clear();
        ++step.done;
    }
    markDirty(job);
    if (step.isDone())
        checkCompletion(job, job.occurrences[address.occurrence], now);
}

void Dispatcher::recordFailure(Job &job, const TaskAddress &address, int64_t attempt,
                               Worker &worker, TimePoint now)
{
    const Step &spec = stepSpec(job, address);
    StepState &step = *findStep(job, address);
    Task &task = step.tasks[address.index];
    // All members of a gang share one failure count, stored with its first task.
    TaskProgress &progress = spec.gang ? step.tasks[0].progress : task.progress;
    task.lastFailedOn = worker.entry.id;
    if (spec.longRunning || !progress.addFailure(attempt))
        return;
    markDirty(job);
    if (progress.failures >= attemptLimit(job.spec)) {
        log::info("job_out_of_attempts",
                  {{"job", job.spec.id.value()},
                   {"task", address.text()},
                   {"failures", progress.failures},
                   {"worker", worker.entry.id.value()}});
        finishJob(job, JobState::Failed, now);
    }
}

void Dispatcher::onRunEnded(Worker &worker, const EndedTask &completion, TimePoint now)
{
    ++m_statistics.ended;
    const std::optional<TaskAddress> address = TaskAddress::parse(completion.task);
    Job *const job = address ? findJob(address->job) : nullptr;
    Task *const task = job ? findTask(*job, *address) : nullptr;
    const auto run = worker.runs.find(completion.task);
    const bool isCurrent = run != worker.runs.end() && run->second.attempt <= completion.attempt;
    Run ended;
    if (isCurrent)
        ended = run->second;
    if (!task
        || (completion.kind != EndKind::Done && !isCurrent && task->phase == Task::Phase::Done)) {
        if (isCurrent)
            removeRun(worker, completion.task);
        return;
    }
    if (completion.kind != EndKind::Done)
        log::info("run_ended",
                  {{"task", completion.task},
                   {"attempt", completion.attempt},
                   {"how", endKindName(completion.kind)},
                   {"worker", worker.entry.id.value()},
                   {"end", completion.number}});
    markStarted(*job);
    task->attempt = std::max(task->attempt, completion.attempt);
    if (!completion.checkpoint.empty() && task->phase != Task::Phase::Done
        && completion.checkpoint != task->progress.checkpoint) {
        task->progress.checkpoint = completion.checkpoint;
        markDirty(*job);
    }
    if (completion.kind == EndKind::Done) {
        const Duration predicted = job->predictedTimes[address->step];
        if (isCurrent && ended.confirmedAt != TimePoint() && predicted > Duration::zero()
            && ended.isFromStart && ended.pace == 100) {
            const Duration time = now - ended.confirmedAt;
            const double ratio = std::clamp(double(time.count()) / double(predicted.count()),
                                            minRunTimeRatio, maxRunTimeRatio);
            worker.slowness += slownessSmoothing * (ratio - worker.slowness);
            m_runtimes.add(job->spec.queue.name, stepSpec(*job, *address).estimate, time);
        }
        worker.consecutiveFailures = 0;
        markTaskDone(*job, *address, now);
    } else if (completion.kind == EndKind::Failed) {
        if (++worker.consecutiveFailures >= failuresBeforeExclusion) {
            worker.excludedUntil = now + exclusionDuration;
            log::warn("worker_excluded",
                      {{"worker", worker.entry.id.value()},
                       {"failures", worker.consecutiveFailures},
                       {"time", exclusionDuration}});
        }
        recordFailure(*job, *address, completion.attempt, worker, now);
    }
    if (completion.kind != EndKind::Done && stepSpec(*job, *address).gang) {
        stopGang(*job, *address);
        findStep(*job, *address)->retryAt = now + gangRetryDelay;
    }
    if (isCurrent)
        removeRun(worker, completion.task);
}

// The lease of the worker has expired.
void Dispatcher::markRunsLost(Worker &worker, TimePoint now)
{
    if (worker.runs.empty())
        return;
    log::warn("worker_runs_lost",
              {{"worker", worker.entry.id.value()},
               {"runs", worker.runs.size()},
               {"lease_ended", now - worker.leaseExpiresAt},
               {"report_age", now - worker.lastReport}});
    m_statistics.lost += worker.runs.size();
    const std::vector<std::pair<std::string, Run>> lost(worker.runs.begin(), worker.runs.end());
    for (const auto &[task, run] : lost) {
        if (run.job)
            stopGang(*run.job, run.address);
        removeRun(worker, task);
    }
}

// The worker has restarted. Orders that were in flight may have arrived before or after the
// restart, so this report and the next one show which runs are left.
void Dispatcher::onRestart(Worker &worker, int64_t born)
{
    log::warn("worker_restarted",
              {{"worker", worker.entry.id.value()},
               {"born", born},
               {"earlier", worker.incarnation.born},
               {"acknowledged", worker.completionsAcknowledged},
               {"runs", worker.runs.size()}});
    worker.completionsProcessed = 0;
    worker.completionsAcknowledged = 0;
    worker.slowness = 1;
    for (auto &[task, run] : worker.runs)
        run.stopAckedAt = {};
}

// Section: reports

void Dispatcher::updateRun(Worker &worker, const RunningTask &running, TimePoint now)
{
    const auto known = worker.runs.find(running.task);
    if (known != worker.runs.end()) {
        Run &run = known->second;
        if (run.job)
            markStarted(*run.job);
        if (run.attempt != running.attempt)
            return; // the order of the newer attempt is in flight
        if (run.phase == RunPhase::Ordered)
            run.phase = RunPhase::Running;
        if (run.confirmedAt == TimePoint()) {
            run.confirmedAt = now;
            run.percentChangedAt = now;
        }
        if (running.percent != run.percent) {
            run.percent = running.percent;
            run.percentChangedAt = now;
        }
        run.metric = running.metric;
        if (run.job && !running.checkpoint.empty())
            findTask(*run.job, run.address)->progress.checkpoint = running.checkpoint;
        stopIfStalled(worker, run, now);
        return;
    }
    // An earlier owner ordered it.
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, m_predecessorLeaseEnd);
    Run run;
    run.attempt = running.attempt;
    run.phase = RunPhase::Running;
    run.orderedAt = now;
    run.confirmedAt = now;
    run.percent = running.percent;
    run.percentChangedAt = now;
    const std::optional<TaskAddress> address = TaskAddress::parse(running.task);
    if (!address)
        return;
    run.address = *address;
    Job *const job = findJob(address->job);
    Task *const task = job ? findTask(*job, *address) : nullptr;
    const bool isAdopted = task && task->phase == Task::Phase::Waiting && !isFinal(job->state);
    log::info(isAdopted ? "run_adopted" : "run_unexpected",
              {{"task", running.task},
               {"attempt", running.attempt},
               {"worker", worker.entry.id.value()},
               {"job_known", job != nullptr}});
    if (task)
        markStarted(*job);
    if (isAdopted) {
        run.job = job;
        if (!running.checkpoint.empty())
            task->progress.checkpoint = running.checkpoint;
        addRun(worker, std::move(run));
        return;
    }
    // Until it has stopped it counts for the customer, also if its job has reached a final state.
    if (job && address->step < job->spec.steps.size()) {
        run.account = job->account;
        run.counted = stepSpec(*job, *address).each;
    }
    run.phase = RunPhase::Stopping;
    addRun(worker, std::move(run));
}

// Removes the runs that have ended: those that certainly began or were permanently rejected and
// that the report, which lists all ends, no longer lists.
void Dispatcher::removeUnlistedRuns(Worker &worker, const UnprovenReport &report)
{
    std::vector<std::pair<std::string, Run>> over;
    for (const auto &[task, run] : worker.runs) {
        const bool isListed = report.running.contains(task);
        const bool wasConfirmed = run.confirmedAt != TimePoint() && run.confirmedAt < report.sentAt;
        const bool wasStopped = run.stopAckedAt != TimePoint() && run.stopAckedAt < report.sentAt;
        if (!isListed && (wasConfirmed || wasStopped))
            over.emplace_back(task, run);
    }
    for (const auto &[task, run] : over) {
        if (!run.job || run.stopAckedAt == TimePoint())
            log::warn("run_missing",
                      {{"task", task},
                       {"attempt", run.attempt},
                       {"worker", worker.entry.id.value()}});
        if (run.job)
            stopGang(*run.job, run.address);
        removeRun(worker, task);
    }
}

// Applies the report that waits for a write, once one that was sent later has taken effect.
void Dispatcher::applyUnprovenReport(Worker &worker)
{
    if (!worker.unproven || !isConfirmedAfter(worker.unproven->receivedAt))
        return;
    removeUnlistedRuns(worker, *std::exchange(worker.unproven, std::nullopt));
}

void Dispatcher::stopIfStalled(Worker &worker, Run &run, TimePoint now)
{
    const bool isWorking = run.job && run.phase == RunPhase::Running && run.pace == 100
            && run.confirmedAt != TimePoint();
    if (!isWorking)
        return;
    const auto share = Duration(
            int64_t(stallShare * double(run.job->predictedTimes[run.address.step].count())));
    if (now - run.percentChangedAt < std::max(minStallTimeout, share))
        return;
    const Step &spec = stepSpec(*run.job, run.address);
    if (spec.backfill || spec.gang || (spec.longRunning && run.percent >= 100))
        return;
    ++m_statistics.stalled;
    log::warn("run_stalled",
              {{"task", run.address.text()},
               {"attempt", run.attempt},
               {"worker", worker.entry.id.value()},
               {"percent", run.percent},
               {"unchanged", now - run.percentChangedAt}});
    run.phase = RunPhase::Stopping;
    worker.excludedUntil = std::max(worker.excludedUntil, now + exclusionDuration);
}

void Dispatcher::onReport(const WorkerId &id, const WorkerReport &report, TimePoint sentAt,
                          TimePoint now)
{
    const auto found = m_workers.find(id.value());
    if (found == m_workers.end())
        return;
    Worker &worker = *found->second;
    if (worker.incarnation.born != 0 && report.born != 0 && report.born != worker.incarnation.born)
        onRestart(worker, report.born);
    if (!worker.hasReported || (report.born != 0 && report.born != worker.incarnation.born)) {
        worker.incarnationSeenAt = now;
        m_awaitsWriteAfter = std::max(m_awaitsWriteAfter, now);
    }
    if (report.born != 0)
        worker.incarnation.born = report.born;
    worker.incarnation.confirmedAt = sentAt;
    if (!worker.hasReported) {
        worker.hasReported = true;
        m_fencedWorkers += worker.isRecorded ? 1 : 0;
        log::debug("worker_read", {{"worker", id.value()}, {"running", report.running.size()}});
    }
    worker.lastPollFailed = false;
    worker.clockMs = report.clockMs;
    worker.clockReadAt = now;
    worker.lastReport = now;
    for (const EndedTask &completion : report.ended) {
        if (completion.number <= worker.completionsProcessed)
            continue;
        worker.completionsProcessed = completion.number;
        m_hasUnacknowledgedCompletions = true;
        onRunEnded(worker, completion, now);
    }
    for (const RunningTask &running : report.running)
        updateRun(worker, running, now);
    if (report.hasMoreEnds && !std::exchange(worker.hasMoreEnds, true))
        log::info("ends_beyond_list",
                  {{"worker", id.value()},
                   {"listed", report.ended.size()},
                   {"processed", worker.completionsProcessed},
                   {"acknowledged", worker.completionsAcknowledged},
                   {"runs", worker.runs.size()}});
    worker.hasMoreEnds = report.hasMoreEnds;
    // Until the ends that are listed are acknowledged, a run that is not listed may be among the
    // others.
    if (report.hasMoreEnds)
        return;
    worker.isRecovered = true;
    UnprovenReport listed = {.sentAt = sentAt, .receivedAt = now};
    for (const RunningTask &running : report.running)
        listed.running.emplace(running.task, running.attempt);
    if (isConfirmedAfter(worker.incarnationSeenAt)) {
        worker.unproven.reset();
        removeUnlistedRuns(worker, listed);
    } else if (!worker.runs.empty() && !worker.unproven) {
        worker.unproven = std::move(listed);
    }
}

// Section: responses

void Dispatcher::onPollFailed(const WorkerId &id)
{
    const auto worker = m_workers.find(id.value());
    if (worker != m_workers.end())
        worker->second->lastPollFailed = true;
}

void Dispatcher::onWorkerReplaced(const WorkerId &id, TimePoint now)
{
    const auto found = m_workers.find(id.value());
    if (found == m_workers.end())
        return;
    // Its runs count as lost once a write shows that no newer owner had taken them over.
    found->second->leaseExpiresAt = std::min(found->second->leaseExpiresAt, now);
    unlistWorker(id, now);
}

void Dispatcher::onStartAnswered(const StartOrder &order, OrderAnswer answer, TimePoint now)
{
    // Also where the run is gone: its worker may have been lost before the response.
    if (answer == OrderAnswer::Accepted || answer == OrderAnswer::Unknown) {
        const std::optional<TaskAddress> address = TaskAddress::parse(order.task);
        Job *const job = address ? findJob(address->job) : nullptr;
        if (job)
            markStarted(*job);
    }
    const auto found = m_workers.find(order.worker.value());
    if (found == m_workers.end())
        return;
    Worker &worker = *found->second;
    const auto entry = worker.runs.find(order.task);
    if (entry == worker.runs.end() || entry->second.attempt != order.attempt)
        return; // it has ended already
    Run &run = entry->second;
    switch (answer) {
    case OrderAnswer::Accepted:
        if (run.confirmedAt == TimePoint()) {
            run.confirmedAt = now;
            run.percentChangedAt = now;
        }
        if (run.phase == RunPhase::Ordered)
            run.phase = RunPhase::Running;
        return;
    case OrderAnswer::Unknown:
        ++m_statistics.unanswered;
        log::info("start_unanswered",
                  {{"task", order.task},
                   {"attempt", order.attempt},
                   {"worker", order.worker.value()}});
        run.phase = RunPhase::Stopping;
        if (run.job)
            stopGang(*run.job, run.address);
        return;
    case OrderAnswer::NoRoom:
    case OrderAnswer::Unhealthy:
    case OrderAnswer::WrongWorker:
    case OrderAnswer::NotSent:
        worker.excludedUntil = std::max(worker.excludedUntil, now + unhealthyExclusion);
        break;
    case OrderAnswer::BadTicket:
        if (run.job)
            findStep(*run.job, run.address)->advice.allowed.erase(order.worker.value());
        break;
    case OrderAnswer::Fenced:
    case OrderAnswer::Superseded:
    case OrderAnswer::Late:
    case OrderAnswer::Invalid:
        break;
    }
    ++m_statistics.refused;
    log::info("start_refused",
              {{"task", order.task},
               {"attempt", order.attempt},
               {"worker", order.worker.value()},
               {"answer", orderAnswerName(answer)},
               {"lease_until", order.leaseUntilMs},
               {"worker_clock", worker.clockMs}});
    if (run.job) {
        Job &job = *run.job;
        const TaskAddress address = run.address;
        stopGang(job, address);
        findStep(job, address)->retryAt = now + gangRetryDelay;
    }
    removeRun(worker, order.task);
}

void Dispatcher::onStopAnswered(const StopOrder &order, OrderAnswer answer, TimePoint now)
{
    const auto found = m_workers.find(order.worker.value());
    if (found == m_workers.end() || answer != OrderAnswer::Accepted)
        return;
    const auto run = found->second->runs.find(order.task);
    if (run != found->second->runs.end() && run->second.attempt == order.attempt)
        run->second.stopAckedAt = now;
}

} // namespace cwl::jobs
