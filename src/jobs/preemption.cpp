// Stops of runs: for urgent work, on draining workers, on cancellation; and the pace of backfill
// tasks beside serving tasks.

#include "jobs/dispatcher.h"
#include "jobs/fit.h"

#include "node/log.h"

#include <algorithm>

namespace cwl::jobs {

namespace {

constexpr Duration minRunBeforePreemption = milliseconds(400); // newer runs are not preempted
constexpr size_t maxPreemptionsPerStep = 16;                   // in one pass
constexpr size_t maxPreemptionsPerGang = 64;                   // in one pass
// Time that a preempted run loses until it runs again: the stop, a new placement, the restore.
constexpr Duration preemptionDelay = milliseconds(2500);
constexpr Duration maxStopTime = milliseconds(1000); // upper bound of a stop, with network delay
constexpr Duration drainMargin = milliseconds(1300); // a stop takes up to 0.9 s

// A tail latency above `paceDownAt` of its target slows the backfill tasks on the same worker;
// below `paceUpAt` they speed up again.
constexpr double paceDownAt = 0.75;
constexpr double paceUpAt = 0.45;
constexpr int64_t paceStep = 50;

} // namespace

// Section: preemption

// The most urgent queue may take capacity from all others. Gangs, and tasks that need a large share
// of a worker, may take it from less urgent queues as well: the capacity that completions free is
// seldom in one place.
bool Dispatcher::mayPreempt(const Candidate &candidate) const
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    return !step.backfill && !step.longRunning
            && (priorityOf(*candidate.job) == mostUrgentPriority || step.gang
                || needsLargeShare(candidate));
}

bool Dispatcher::needsLargeShare(const Candidate &candidate) const
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    const std::vector<Worker *> &workers =
            m_servicePools.at(candidate.job->spec.queue.service).workers;
    return std::any_of(workers.begin(), workers.end(),
                       [&](const Worker *worker) { return isLarge(step, *worker); });
}

// True for a run of a less urgent queue that saves checkpoints. Unless `priority` is the most
// urgent one, the run must still meet its target time after the delay or be past `noValueAfter`.
bool Dispatcher::isPreemptible(const Run &run, int64_t priority, TimePoint now) const
{
    if (!run.job || run.phase != RunPhase::Running || isFinal(run.job->state)
        || priorityOf(*run.job) <= priority || now - run.confirmedAt < minRunBeforePreemption)
        return false;
    const Step &spec = stepSpec(*run.job, run.address);
    if (!spec.checkpoints || spec.longRunning || spec.gang || spec.backfill)
        return false;
    const Occurrence &occurrence = run.job->occurrences[run.address.occurrence];
    return priority == mostUrgentPriority || now > occurrence.noValueAfter
            || now + remainingOf(run, now) + preemptionDelay < occurrence.targetTime;
}

std::vector<Run *> Dispatcher::preemptibleRuns(Worker &worker, int64_t priority,
                                               TimePoint now) const
{
    std::vector<Run *> victims;
    for (auto &[task, run] : worker.runs) {
        if (isPreemptible(run, priority, now))
            victims.push_back(&run);
    }
    std::sort(victims.begin(), victims.end(),
              [](const Run *a, const Run *b) { return a->resources.cores > b->resources.cores; });
    return victims;
}

// Capacity that is free, is being freed by stops, or could be taken from less urgent runs.
Resources Dispatcher::reclaimableCapacity(const Worker &worker, int64_t priority,
                                          TimePoint now) const
{
    Resources available = freeCapacity(worker);
    for (const auto &[task, run] : worker.runs) {
        if (run.phase == RunPhase::Stopping || isPreemptible(run, priority, now))
            available = available + run.resources;
    }
    return available;
}

// Stops as few runs on the worker as possible to free capacity for `wanted` more tasks. Returns how
// many more tasks fit than before.
int64_t Dispatcher::preemptOnWorker(Worker &worker, const Candidate &candidate, int64_t wanted,
                                    size_t &allowedStops, TimePoint now)
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    Resources available = freeCapacityAfterStops(worker);
    const int64_t fitsBefore = tasksThatFit(available, step);
    int64_t fits = fitsBefore;
    std::vector<Run *> chosen;
    for (Run *victim : preemptibleRuns(worker, priorityOf(*candidate.job), now)) {
        if (fits - fitsBefore >= wanted || chosen.size() >= allowedStops)
            break;
        available = available + victim->resources;
        chosen.push_back(victim);
        const int64_t fitsThen = tasksThatFit(available, step);
        if (fitsThen <= fits)
            continue;
        for (Run *run : chosen) {
            run->phase = RunPhase::Stopping;
            log::info("run_preempted",
                      {{"task", run->address.text()},
                       {"worker", worker.entry.id.value()},
                       {"for", candidate.job->spec.id.value()},
                       {"objective_left", candidate.occurrence->targetTime - now}});
        }
        m_statistics.preempted += chosen.size();
        allowedStops -= chosen.size();
        chosen.clear();
        fits = fitsThen;
    }
    return fits - fitsBefore;
}

// Stops less urgent runs where that frees capacity for the candidate's tasks.
void Dispatcher::preempt(const Candidate &candidate, TimePoint now)
{
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    if (candidate.outlook != DeadlineOutlook::InTime || !mayPreempt(candidate))
        return;
    if (step.gang) {
        preemptForGang(candidate, now);
        return;
    }
    const std::vector<Worker *> workers = allowedWorkers(candidate);
    int64_t places = 0;
    for (const Worker *worker : workers)
        places += tasksThatFit(freeCapacityAfterStops(*worker), step);
    const int64_t wanted =
            std::min<int64_t>(state.waiting, tasksWithinCap(candidate.job->account, step.each));
    size_t allowedStops = maxPreemptionsPerStep;
    for (Worker *worker : workers) {
        if (places >= wanted || allowedStops == 0)
            return;
        places += preemptOnWorker(*worker, candidate, wanted - places, allowedStops, now);
    }
}

// All members start together: nothing is stopped unless there will be capacity for all of them, on
// workers whose tickets remain valid until the stops are over.
void Dispatcher::preemptForGang(const Candidate &candidate, TimePoint now)
{
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    const bool needsTicket = candidate.job->spec.queue.advice.has_value();
    struct Place
    {
        Worker *worker;
        int64_t coming;  // tasks that fit once the runs that are being stopped have ended
        int64_t reclaim; // more that fit if less urgent runs are stopped
    };
    std::vector<Place> places;
    int64_t coming = 0;
    int64_t reclaim = 0;
    for (Worker *worker : allowedWorkers(candidate)) {
        if (!step.each.fitsIn(worker->entry.capacity))
            continue;
        const Ticket *const ticket =
                needsTicket ? findTicket(state, *worker, now + maxStopTime) : nullptr;
        if (needsTicket && !ticket)
            continue;
        const int64_t fits = tasksThatFit(freeCapacityAfterStops(*worker), step);
        const int64_t most =
                tasksThatFit(reclaimableCapacity(*worker, priorityOf(*candidate.job), now), step);
        places.push_back({worker, fits, most - fits});
        coming += fits;
        reclaim += most - fits;
    }
    if (coming >= step.count || coming + reclaim < step.count)
        return;
    // Workers that gain the most places come first, so that fewer workers are affected.
    std::sort(places.begin(), places.end(),
              [](const Place &a, const Place &b) { return a.reclaim > b.reclaim; });
    size_t allowedStops = maxPreemptionsPerGang;
    for (const Place &place : places) {
        if (coming >= step.count)
            return;
        coming += preemptOnWorker(*place.worker, candidate, step.count - coming, allowedStops, now);
    }
}

// Section: stops

void Dispatcher::sendDueStops(Orders &orders, TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        for (auto &[task, run] : worker->runs) {
            const bool isDue = run.phase == RunPhase::Stopping && run.stopAckedAt == TimePoint()
                    && now - run.stopSentAt >= stopRetryInterval;
            if (!isDue)
                continue;
            run.stopSentAt = now;
            orders.stops.push_back({worker->entry.id, worker->entry.address, task, run.attempt});
        }
    }
}

void Dispatcher::evacuate(Worker &worker, TimePoint now)
{
    const bool isShort = worker.drainDeadline != TimePoint();
    for (auto &[task, run] : worker.runs) {
        if (!run.job || run.phase != RunPhase::Running)
            continue;
        const Step &spec = stepSpec(*run.job, run.address);
        const bool endsInTime =
                !isShort || now + remainingOf(run, now) + milliseconds(100) < worker.drainDeadline;
        const bool isLastMoment = isShort && now + drainMargin >= worker.drainDeadline;
        const bool moves = spec.longRunning || (!endsInTime && (spec.checkpoints || isLastMoment));
        if (!moves)
            continue;
        log::info("run_moved",
                  {{"task", task},
                   {"worker", worker.entry.id.value()},
                   {"reason", "draining"},
                   {"time_left", isShort ? worker.drainDeadline - now : Duration()}});
        run.phase = RunPhase::Stopping;
        stopGang(*run.job, run.address);
    }
}

void Dispatcher::adjustPace(Worker &worker, Orders &orders, TimePoint now)
{
    double worst = 0;
    for (const auto &[task, run] : worker.runs) {
        if (run.job && stepSpec(*run.job, run.address).tailTargetMs > 0)
            worst = std::max(worst,
                             double(run.metric)
                                     / double(stepSpec(*run.job, run.address).tailTargetMs));
    }
    if (worker.backfillUsed.value() == 0 || (worst <= paceDownAt && worst >= paceUpAt))
        return;
    for (auto &[task, run] : worker.runs) {
        if (run.backfillCores.value() == 0 || run.phase != RunPhase::Running
            || now - run.paceChangedAt < milliseconds(500))
            continue;
        const int64_t pace =
                std::clamp<int64_t>(run.pace + (worst > paceDownAt ? -paceStep : 10), 0, 100);
        if (pace == run.pace)
            continue;
        run.pace = pace;
        run.paceChangedAt = now;
        run.percentChangedAt = now;
        log::info("run_paced",
                  {{"task", task},
                   {"worker", worker.entry.id.value()},
                   {"percent", pace},
                   {"tail_of_target", worst}});
        orders.paces.push_back({worker.entry.id, worker.entry.address, task, run.attempt, pace});
    }
}

} // namespace cwl::jobs
