// Placement: which task starts on which worker, and which workers are reserved for which job.

#include "jobs/attempts.h"
#include "jobs/dispatcher.h"
#include "jobs/fit.h"

#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::jobs {

namespace {

// Score of a worker for a task; the highest is chosen. The weights set how much each criterion
// counts: data in the right rack, a worker that has not failed this task, speed, the tightest fit.
constexpr double rackWeight = 1.0;
constexpr double failedWeight = 3.0;
constexpr double slownessWeight = 0.5;
constexpr double fitWeight = 0.4;
constexpr double interferenceWeight = 1.5; // backfill tasks beside serving tasks

// Share of the estimated work that a job certainly needs: estimates are rough.
constexpr double certainWorkShare = 0.8;
constexpr double maxReservedShare = 0.4;                 // of a service's workers
constexpr Duration expectedStopTime = milliseconds(600); // of a run that is being stopped
constexpr Duration poolLogInterval = seconds(1);

} // namespace

// Section: scheduling pass

void Dispatcher::updateServicePools(TimePoint now)
{
    m_servicePools.clear();
    m_capacity = {};
    for (const auto &[id, worker] : m_workers) {
        worker->isInPool = false;
        if (!worker->hasReported || !worker->isListed)
            continue;
        ServicePool &pool = m_servicePools[worker->entry.service];
        const Resources free = freeCapacity(*worker);
        worker->isInPool = mayStart(*worker, now);
        ++pool.reportedWorkers;
        pool.capacity = pool.capacity + worker->entry.capacity;
        m_capacity = m_capacity + worker->entry.capacity;
        pool.free = pool.free + free;
        pool.topPriority = INT64_MAX;
        if (!worker->isInPool)
            continue;
        pool.workers.push_back(worker.get());
        pool.largestFree = {std::max(pool.largestFree.cores, free.cores),
                            std::max(pool.largestFree.memory, free.memory),
                            std::max(pool.largestFree.accelerators, free.accelerators)};
    }
    for (const auto &[name, queue] : m_queues) {
        const auto pool = m_servicePools.find(queue.service);
        if (pool != m_servicePools.end())
            pool->second.topPriority = std::min(pool->second.topPriority, queue.priority);
    }
}

bool Dispatcher::isReady(const Occurrence &occurrence, const Job &job, uint32_t step) const
{
    const std::vector<uint32_t> &after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](uint32_t before) {
        return before < occurrence.steps.size() && occurrence.steps[before].isDone();
    });
}

bool Dispatcher::isRecoveryComplete()
{
    if (m_isRecoveryComplete)
        return true;
    m_isRecoveryComplete = std::all_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return !entry.second->isRecorded || entry.second->isRecovered || hasLapsed(*entry.second);
    });
    if (m_isRecoveryComplete)
        log::info("recovery_complete",
                  {{"epoch", m_epoch.value()},
                   {"workers", m_workers.size()},
                   {"unread",
                    std::count_if(m_workers.begin(), m_workers.end(),
                                  [](const auto &entry) { return !entry.second->isRecovered; })}});
    return m_isRecoveryComplete;
}

DeadlineOutlook Dispatcher::outlookOf(const Job &job, const Occurrence &occurrence, uint32_t step,
                                      TimePoint now)
{
    const auto least =
            Duration(int64_t(double(job.criticalPaths[step].count()) * certainWorkShare));
    return deadlineOutlook(now, least, occurrence.targetTime, occurrence.noValueAfter);
}

std::vector<Dispatcher::Candidate> Dispatcher::candidates(TimePoint now)
{
    std::vector<Candidate> found;
    const bool settled = isRecoveryComplete();
    for (Job *job : m_open) {
        if (isFinal(job->state) || (job->isRestored && !settled))
            continue;
        PendingWork work;
        work.priority = job->spec.queue.priority;
        work.isWithinRate = job->isWithinRate;
        work.weightedShare = job->isWithinRate ? 0 : weightedShare(job->account);
        for (Occurrence &occurrence : job->occurrences) {
            if (occurrence.isDone)
                continue;
            work.targetTime = occurrence.targetTime;
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepState &state = occurrence.steps[step];
                if (state.waiting == 0 || now < state.retryAt || !isReady(occurrence, *job, step))
                    continue;
                work.isLongRunning = job->spec.steps[step].longRunning;
                work.outlook = outlookOf(*job, occurrence, step, now);
                found.push_back({orderKey(work), work.outlook, job, &occurrence, step});
            }
        }
    }
    std::sort(found.begin(), found.end(),
              [](const Candidate &a, const Candidate &b) { return a.key < b.key; });
    return found;
}

Orders Dispatcher::decide(TimePoint now, UnixMilliseconds wallNow)
{
    Orders orders;
    for (auto &[id, worker] : m_workers) {
        applyUnprovenReport(*worker);
        if (!worker->runs.empty() && hasLapsed(*worker))
            markRunsLost(*worker, now);
        if (worker->entry.isDraining)
            evacuate(*worker, now);
        if (worker->backfillUsed.value() > 0)
            adjustPace(*worker, orders, now);
    }
    for (Job *job : m_open) {
        if (!isFinal(job->state))
            addDueOccurrences(*job, now, wallNow);
    }
    updatePredictions(now);
    updateServicePools(now);
    updateUnreadUse();
    for (const Candidate &candidate : candidates(now))
        placeStep(candidate, orders, now);
    logServicePools(now);
    logCustomers(now);
    for (Job *job : m_open)
        queryAdviceEarly(*job, orders, now);
    sendDueStops(orders, now);
    for (Worker *worker : std::exchange(m_reserved, {}))
        worker->reservedFor = nullptr;
    return orders;
}

// Logs one line a second for each service: its free capacity and what could not be placed.
void Dispatcher::logServicePools(TimePoint now)
{
    if (now - m_poolsLoggedAt < poolLogInterval)
        return;
    m_poolsLoggedAt = now;
    for (const auto &[name, pool] : m_servicePools)
        log::info("service_capacity",
                  {{"service", name},
                   {"free_cores", pool.free.cores.value()},
                   {"cores", pool.capacity.cores.value()},
                   {"free_accelerators", pool.free.accelerators.value()},
                   {"accelerators", pool.capacity.accelerators.value()},
                   {"unplaced_steps", pool.unplaced},
                   {"unplaced_gangs", pool.unplacedGangs},
                   {"reserved_workers", m_reserved.size()}});
}

void Dispatcher::placeStep(const Candidate &candidate, Orders &orders, TimePoint now)
{
    const auto pool = m_servicePools.find(candidate.job->spec.queue.service);
    if (pool == m_servicePools.end() || pool->second.unplaced > maxUnplacedSteps)
        return;
    if (!candidate.job->isRestored && candidate.job->knownAt > m_ownershipConfirmedAt) {
        if (candidate.job->spec.queue.advice)
            queryAdvice(candidate, orders, now);
        return;
    }
    const PlacementResult placed = candidate.job->spec.steps[candidate.step].gang
            ? placeGang(candidate, orders, now)
            : placeTasks(candidate, orders, now);
    // A customer at its cap must not use up the steps that a pass looks at.
    if (placed == PlacementResult::All || placed == PlacementResult::CapReached)
        return;
    ++pool->second.unplaced;
    pool->second.unplacedGangs += candidate.job->spec.steps[candidate.step].gang ? 1 : 0;
    if (placed == PlacementResult::Reserved)
        return;
    preempt(candidate, now);
    if (candidate.job->spec.queue.advice)
        queryAdvice(candidate, orders, now);
}

// Section: workers for a task

bool Dispatcher::hasFreeCapacity(const Worker &worker, const Step &step) const
{
    if (step.backfill
        && worker.used.cores + worker.backfillUsed + step.each.cores > worker.entry.capacity.cores)
        return false;
    return reservedResources(step).fitsIn(freeCapacity(worker));
}

// Conditions for any task: the worker is listed, healthy, recorded as used and has reported to this
// owner, its entry and its report are of the same process, and the owner has been confirmed since
// it first saw that process.
bool Dispatcher::mayStart(const Worker &worker, TimePoint now) const
{
    const bool isEntryCurrent = worker.entry.born == 0 || worker.incarnation.born == 0
            || worker.entry.born == worker.incarnation.born;
    return worker.hasReported && isEntryCurrent && worker.isListed && !worker.entry.isDraining
            && worker.isRecorded && worker.unknownRuns == 0 && now >= worker.excludedUntil
            && now - worker.lastReport <= maxReportAge
            && isConfirmedAfter(worker.incarnationSeenAt);
}

// Conditions for this task, on a worker that may get starts.
bool Dispatcher::isUsable(const Worker &worker, const Candidate &candidate) const
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    if (!hasLabel(worker, step.label))
        return false;
    if (worker.reservedFor && priorityOf(*worker.reservedFor) < priorityOf(*candidate.job))
        return false;
    if (step.maxPerWorker == 0)
        return true;
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const auto count = state.perWorker.find(&worker);
    return count == state.perWorker.end() || count->second < step.maxPerWorker;
}

const Ticket *Dispatcher::findTicket(const StepState &step, const Worker &worker,
                                     TimePoint now) const
{
    const auto ticket = step.advice.allowed.find(worker.entry.id.value());
    if (ticket == step.advice.allowed.end() || now >= ticket->second.expires
        || ticket->second.born != worker.incarnation.born)
        return nullptr;
    return &ticket->second;
}

double Dispatcher::score(const Worker &worker, const Candidate &candidate) const
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    double score = 0;
    if (!step.rack.empty() && hasLabel(worker, step.rack))
        score += rackWeight;
    score -= slownessWeight * worker.slowness;
    const Resources free = freeCapacity(worker);
    const auto capacity = double(std::max<int64_t>(1, worker.entry.capacity.cores.value()));
    const int64_t leftCores =
            free.cores.value() - worker.backfillUsed.value() - step.each.cores.value();
    double left = double(leftCores) / capacity;
    if (worker.entry.capacity.accelerators.value() > 0) {
        const int64_t leftGpus = free.accelerators.value() - step.each.accelerators.value();
        left = 2.0 * double(leftGpus) / double(worker.entry.capacity.accelerators.value());
    }
    // Backfill tasks go where most capacity is left; other tasks fit tightly, which keeps large
    // gaps free.
    score += step.backfill ? fitWeight * left : -fitWeight * left;
    if ((step.backfill && worker.servingRuns > 0)
        || (step.tailTargetMs > 0 && worker.backfillUsed.value() > 0))
        score -= interferenceWeight;
    return score;
}

// Workers of the service that may get starts and may run the step: with advice, those that the
// service has allowed, whether or not their tickets are still valid.
std::vector<Worker *> Dispatcher::allowedWorkers(const Candidate &candidate) const
{
    std::vector<Worker *> found;
    const std::string &service = candidate.job->spec.queue.service;
    if (candidate.job->spec.queue.advice) {
        const StepState &state = candidate.occurrence->steps[candidate.step];
        for (const auto &[id, ticket] : state.advice.allowed) {
            const auto worker = m_workers.find(id);
            if (worker != m_workers.end() && worker->second->isInPool
                && worker->second->entry.service == service && isUsable(*worker->second, candidate))
                found.push_back(worker->second.get());
        }
        return found;
    }
    const auto pool = m_servicePools.find(service);
    if (pool == m_servicePools.end())
        return found;
    for (Worker *worker : pool->second.workers) {
        if (isUsable(*worker, candidate))
            found.push_back(worker);
    }
    return found;
}

// Those on which at least one task of the step can start now.
std::vector<Worker *> Dispatcher::startableWorkers(const Candidate &candidate, TimePoint now) const
{
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    const auto pool = m_servicePools.find(candidate.job->spec.queue.service);
    if (pool == m_servicePools.end() || !reservedResources(step).fitsIn(pool->second.largestFree))
        return {};
    std::vector<Worker *> workers = allowedWorkers(candidate);
    const bool needsTicket = candidate.job->spec.queue.advice.has_value();
    std::erase_if(workers, [&](const Worker *worker) {
        return !hasFreeCapacity(*worker, step) || (needsTicket && !findTicket(state, *worker, now));
    });
    return workers;
}

// The best place for the task; one where it has failed only if there is no other.
Dispatcher::Place *Dispatcher::choosePlace(std::vector<Place> &places, const Task &task)
{
    Place *best = nullptr;
    double bestScore = 0;
    for (Place &place : places) {
        const bool hasFailed = task.lastFailedOn == place.worker->entry.id;
        const double score = place.score - (hasFailed ? failedWeight : 0);
        if (!best || score > bestScore) {
            best = &place;
            bestScore = score;
        }
    }
    return best;
}

// Section: starts

// The end of a lease on the worker's clock: one lease after the last proof of ownership.
int64_t Dispatcher::leaseDeadline(Worker &worker)
{
    const Duration untilEnd = m_provenAt - worker.clockReadAt + m_settings.lease;
    const int64_t deadline =
            worker.clockMs + std::chrono::duration_cast<milliseconds>(untilEnd).count();
    const auto worstCase = Duration(int64_t(double(untilEnd.count()) / (1 - maxWorkerClockDrift)));
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, worker.clockReadAt + worstCase);
    return deadline;
}

void Dispatcher::start(const Candidate &candidate, uint32_t index, Worker &worker, int64_t attempt,
                       Orders &orders, TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    Run run;
    run.job = candidate.job;
    run.address = {candidate.job->spec.id, candidate.occurrence->number, candidate.step, index};
    run.attempt = attempt;
    run.orderedAt = now;
    const Ticket *const ticket =
            candidate.job->spec.queue.advice ? findTicket(state, worker, now) : nullptr;
    StartOrder order;
    order.worker = worker.entry.id;
    order.address = worker.entry.address;
    order.task = run.address.text();
    order.attempt = attempt;
    order.payload = candidate.job->spec.payload;
    order.checkpoint = state.tasks[index].progress.checkpoint;
    order.ticket = ticket ? ticket->text : std::string();
    order.leaseUntilMs = leaseDeadline(worker);
    order.incarnation = worker.incarnation;
    run.isFromStart = order.checkpoint.empty();
    log::info("run_ordered",
              {{"task", order.task},
               {"attempt", attempt},
               {"worker", order.worker.value()},
               {"checkpoint", !order.checkpoint.empty()},
               {"report_age", now - worker.lastReport},
               {"epoch", m_epoch.value()}});
    ++m_statistics.started;
    m_servicePools[worker.entry.service].free = m_servicePools[worker.entry.service].free
            - candidate.job->spec.steps[candidate.step].each;
    addRun(worker, std::move(run));
    orders.starts.push_back(std::move(order));
}

Dispatcher::PlacementResult Dispatcher::placeTasks(const Candidate &candidate, Orders &orders,
                                                   TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    const ServicePool &pool = m_servicePools[candidate.job->spec.queue.service];
    if (tasksWithinCap(candidate.job->account, step.each) == 0)
        return PlacementResult::CapReached;
    std::vector<Place> places;
    for (Worker *worker : startableWorkers(candidate, now))
        places.push_back({worker, score(*worker, candidate)});
    for (uint32_t index = 0; index < state.tasks.size(); ++index) {
        Task &task = state.tasks[index];
        if (task.phase != Task::Phase::Waiting)
            continue;
        if (tasksWithinCap(candidate.job->account, step.each) == 0)
            return PlacementResult::CapReached;
        if (!step.backfill && !step.longRunning && priorityOf(*candidate.job) > pool.topPriority
            && double(pool.free.cores.value() - step.each.cores.value())
                    < m_settings.urgentReserveShare * double(pool.capacity.cores.value()))
            return PlacementResult::Reserved;
        Place *const place = choosePlace(places, task);
        if (!place) {
            reserveWorkers(candidate, now);
            return PlacementResult::NoWorker;
        }
        Worker &worker = *place->worker;
        start(candidate, index, worker, nextAttempt(task.attempt, m_epoch, task.progress.failures),
              orders, now);
        if (hasFreeCapacity(worker, step) && isUsable(worker, candidate)) {
            place->score = score(worker, candidate);
        } else {
            *place = places.back();
            places.pop_back();
        }
    }
    return PlacementResult::All;
}

Dispatcher::PlacementResult Dispatcher::placeGang(const Candidate &candidate, Orders &orders,
                                                  TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    if (state.waiting < state.tasks.size())
        return PlacementResult::All; // members of the last run have not ended
    if (tasksWithinCap(candidate.job->account, step.each) < step.count)
        return PlacementResult::CapReached;
    std::vector<Place> places;
    for (Worker *worker : startableWorkers(candidate, now))
        places.push_back({worker, score(*worker, candidate)});
    std::sort(places.begin(), places.end(),
              [](const Place &a, const Place &b) { return a.score > b.score; });
    int64_t placeable = 0;
    for (const Place &place : places)
        placeable += tasksThatFit(freeCapacity(*place.worker), step);
    if (placeable < step.count) {
        reserveWorkers(candidate, now);
        return PlacementResult::NoWorker;
    }
    int64_t last = 0;
    std::string checkpoint;
    for (const Task &task : state.tasks) {
        last = std::max(last, task.attempt);
        if (checkpoint.empty())
            checkpoint = task.progress.checkpoint;
    }
    for (Task &task : state.tasks)
        task.progress.checkpoint = checkpoint; // valid for all members; each holds the same one
    const int64_t attempt = nextAttempt(last, m_epoch, state.tasks[0].progress.failures);
    uint32_t index = 0;
    for (const Place &place : places) {
        const int64_t fits = tasksThatFit(freeCapacity(*place.worker), step);
        for (int64_t n = 0; n < fits && index < step.count; ++n)
            start(candidate, index++, *place.worker, attempt, orders, now);
    }
    return PlacementResult::All;
}

// Returns when the runs on the worker are expected to have freed enough capacity for one task of
// the step, or TimePoint::max() if they never do.
TimePoint Dispatcher::expectedFreeAt(const Worker &worker, const Step &step, TimePoint now) const
{
    std::vector<std::pair<TimePoint, Resources>> ends;
    for (const auto &[task, run] : worker.runs) {
        if (!run.job)
            continue;
        const Step &spec = stepSpec(*run.job, run.address);
        const bool isStopping = run.phase == RunPhase::Stopping;
        if (spec.longRunning && !isStopping)
            continue;
        ends.emplace_back(now + (isStopping ? expectedStopTime : remainingOf(run, now)),
                          run.resources);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    Resources available = freeCapacity(worker);
    TimePoint when = now;
    for (const auto &[end, freed] : ends) {
        if (tasksThatFit(available, step) > 0)
            return when;
        available = available + freed;
        when = end;
    }
    return tasksThatFit(available, step) > 0 ? when : TimePoint::max();
}

// Reserves the workers that will have enough capacity first against less urgent work, for this
// pass. Otherwise small tasks would repeatedly take the capacity that a task needing most of a
// worker waits for.
void Dispatcher::reserveWorkers(const Candidate &candidate, TimePoint now)
{
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    if (step.backfill || candidate.outlook == DeadlineOutlook::NoValue
        || (step.gang && capacityOfAllowedWorkers(candidate) < step.count))
        return;
    const ServicePool &pool = m_servicePools.at(candidate.job->spec.queue.service);
    const size_t most =
            std::max<size_t>(1, size_t(double(pool.reportedWorkers) * maxReservedShare));
    if (m_reserved.size() >= most)
        return;
    std::vector<std::pair<TimePoint, Worker *>> places;
    for (Worker *worker : allowedWorkers(candidate)) {
        if (!isLarge(step, *worker))
            continue;
        const TimePoint when = expectedFreeAt(*worker, step, now);
        if (when != TimePoint::max())
            places.emplace_back(when, worker);
    }
    std::sort(places.begin(), places.end());
    uint32_t found = 0;
    for (const auto &[when, worker] : places) {
        if (found >= state.waiting || m_reserved.size() >= most)
            return;
        if (!worker->reservedFor) { // the first reservation is the most urgent and stays
            worker->reservedFor = candidate.job;
            m_reserved.push_back(worker);
        }
        found += uint32_t(
                std::clamp<int64_t>(tasksThatFit(worker->entry.capacity, step), 1, step.count));
    }
}

} // namespace cwl::jobs
