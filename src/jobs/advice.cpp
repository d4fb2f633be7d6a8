// Queries to the advice service: about which workers, when, and how responses are applied.

#include "jobs/dispatcher.h"
#include "jobs/fit.h"

#include "node/log.h"

#include <algorithm>

namespace cwl::jobs {

namespace {

constexpr double initialAllowedShare = 0.5;   // of the queried workers, before any response
constexpr double allowedShareSmoothing = 0.1; // weight of the newest response
constexpr double adviceSurplus = 1.4;         // places queried per place needed
// A gang needs capacity on all its workers at once, and other jobs take some of it while the query
// is in flight.
constexpr double gangSurplus = 3.0; // also of a lasting task, which must not wait
constexpr double minAllowedShare = 0.1;
// Gangs that query at the same time should not all query the same workers: weight of a hash of the
// job and the worker.
constexpr double spreadWeight = 2.0;
constexpr int64_t usualWorkers = 30; // named by one query
constexpr int adviceRetryFactor = 3; // retry delay as a multiple of the query's expected time
constexpr Duration adviceRetryDelay = milliseconds(100);
constexpr Duration adviceLeadMargin = milliseconds(60); // before the step is expected to be ready

} // namespace

// Section: advice

// Number of tasks of the step that the workers known to be allowed could hold if they were empty.
int64_t Dispatcher::capacityOfAllowedWorkers(const Candidate &candidate) const
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    int64_t places = 0;
    for (const Worker *worker : allowedWorkers(candidate))
        places += tasksThatFit(worker->entry.capacity, step);
    return places;
}

namespace {

// Returns a hash of the job and the worker, from 0 to 1.
double spreadOf(const Job &job, const Worker &worker)
{
    const size_t mixed = std::hash<std::string>()(job.spec.id.value() + worker.entry.id.value());
    return double(mixed % 1024) / 1024;
}

} // namespace

// Returns the workers to query, the best first, until enough places can be expected: workers known
// to be allowed whose tickets have expired, and others.
std::vector<WorkerId> Dispatcher::chooseWorkersToQuery(const Candidate &candidate, TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    const AdvicePolicy &policy = *candidate.job->spec.queue.advice;
    const bool isFirst = state.advice.responses.empty();
    struct Choice
    {
        const Worker *worker;
        double score;
        bool isAllowed;
        int64_t fits;
    };
    // A gang that does not fit on the allowed workers even when they are empty needs others.
    const bool considersAll =
            isFirst || (step.gang && capacityOfAllowedWorkers(candidate) < step.count);
    std::vector<Choice> choices;
    int64_t placesNow = 0;
    const auto pool = m_servicePools.find(candidate.job->spec.queue.service);
    if (pool == m_servicePools.end())
        return {};
    for (const Worker *worker : pool->second.workers) {
        if (!step.each.fitsIn(worker->entry.capacity) || !isUsable(*worker, candidate))
            continue;
        const auto response = state.advice.responses.find(worker->entry.id.value());
        const bool isAllowed = response != state.advice.responses.end() && response->second;
        // A ticket that expires before the response arrives is requested again.
        if ((response != state.advice.responses.end() && !isAllowed)
            || findTicket(state, *worker, now + policy.decision + usualWorkers * policy.perWorker))
            continue;
        int64_t fits = 0;
        if (step.gang)
            fits = tasksThatFit(reclaimableCapacity(*worker, priorityOf(*candidate.job), now),
                                step);
        else if (hasFreeCapacity(*worker, step))
            fits = tasksThatFit(freeCapacityAfterStops(*worker), step);
        placesNow += fits;
        if (fits == 0 && !considersAll && !isAllowed)
            continue;
        const double value = score(*worker, candidate) + (isAllowed ? 5 : 0) - (fits > 0 ? 0 : 10)
                + (step.gang ? spreadWeight * spreadOf(*candidate.job, *worker) : 0);
        choices.push_back({worker, value, isAllowed, fits});
    }
    // Tickets are for an immediate start, so a query waits for free capacity. The first one does
    // not, because its response also tells on which workers to wait for capacity.
    const int64_t needed = step.gang ? step.count : 1;
    if (!considersAll && placesNow < needed)
        return {};
    std::sort(choices.begin(), choices.end(),
              [](const Choice &a, const Choice &b) { return a.score > b.score; });
    const double share =
            std::max(minAllowedShare,
                     m_allowedShare.emplace(candidate.job->spec.queue.name, initialAllowedShare)
                             .first->second);
    const double surplus = step.gang || step.longRunning ? gangSurplus : adviceSurplus;
    const double wanted = state.waiting * surplus + 1;
    double expected = 0;
    std::vector<WorkerId> workers;
    for (const Choice &choice : choices) {
        if (expected >= wanted || workers.size() == maxAdviceWorkers)
            break;
        workers.push_back(choice.worker->entry.id);
        expected += double(std::max<int64_t>(choice.fits, step.gang ? 1 : 0))
                * (choice.isAllowed ? 1.0 : share);
    }
    return workers;
}

void Dispatcher::queryAdvice(const Candidate &candidate, Orders &orders, TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    if (state.advice.isPending || now < state.advice.retryAt)
        return;
    AdviceQuery query;
    query.workers = chooseWorkersToQuery(candidate, now);
    if (query.workers.empty()) {
        // Capacity is expected to take some time to become free.
        state.advice.retryAt = now + adviceRetryDelay;
        return;
    }
    const AdvicePolicy &policy = *candidate.job->spec.queue.advice;
    query.step = {candidate.job->spec.id, candidate.occurrence->number, candidate.step, 0};
    query.priority =
            candidate.job->spec.steps[candidate.step].longRunning ? -1 : priorityOf(*candidate.job);
    query.expected = policy.decision + policy.perWorker * int64_t(query.workers.size());
    query.wantedSince = state.advice.wantedSince.value_or(now);
    state.advice.wantedSince = query.wantedSince;
    state.advice.isPending = true;
    log::info("advice_asked",
              {{"step", query.step.stepText()},
               {"workers", query.workers.size()},
               {"waiting", state.waiting},
               {"expected", query.expected}});
    orders.queries.push_back(std::move(query));
}

// Queries advice for steps that are about to become ready, so that the response arrives in time.
void Dispatcher::queryAdviceEarly(Job &job, Orders &orders, TimePoint now)
{
    if (!job.spec.queue.advice || isFinal(job.state))
        return;
    for (Occurrence &occurrence : job.occurrences) {
        for (uint32_t number = 0; number < occurrence.steps.size() && !occurrence.isDone;
             ++number) {
            StepState &state = occurrence.steps[number];
            const std::vector<uint32_t> &after = job.spec.steps[number].after;
            if (state.waiting == 0 || state.advice.isPending || after.empty()
                || !state.advice.responses.empty() || isReady(occurrence, job, number))
                continue;
            Duration remaining = {};
            bool isNear = true;
            for (const uint32_t before : after) {
                if (before >= occurrence.steps.size())
                    continue;
                const StepState &earlier = occurrence.steps[before];
                if (earlier.waiting > 0) {
                    isNear = false;
                    break;
                }
                for (uint32_t index = 0; index < earlier.tasks.size(); ++index) {
                    const Task &task = earlier.tasks[index];
                    if (task.phase != Task::Phase::Active)
                        continue;
                    const TaskAddress address = {job.spec.id, occurrence.number, before, index};
                    const auto run = task.worker->runs.find(address.text());
                    if (run != task.worker->runs.end())
                        remaining = std::max(remaining, remainingOf(run->second, now));
                }
            }
            const AdvicePolicy &policy = *job.spec.queue.advice;
            const Duration lead = policy.decision
                    + policy.perWorker * int64_t(std::min<size_t>(m_workers.size(), 20))
                    + adviceLeadMargin;
            if (isNear && remaining <= std::max(lead, policy.validity / 3))
                queryAdvice({{}, DeadlineOutlook::InTime, &job, &occurrence, number}, orders, now);
        }
    }
}

void Dispatcher::onAdvice(const AdviceQuery &query, const std::vector<AllowedWorker> &allowed,
                          TimePoint now)
{
    Job *const job = findJob(query.step.job);
    StepState *const step = job ? findStep(*job, query.step) : nullptr;
    if (!step)
        return;
    step->advice.isPending = false;
    step->advice.wantedSince.reset();
    // A step that finds no capacity with these tickets queries again once most of their validity
    // has passed.
    // Time without a lasting task is lost, so such a step does not wait.
    const bool isLasting = stepSpec(*job, query.step).longRunning;
    const int factor = !isLasting ? adviceRetryFactor : allowed.empty() ? 0 : 1;
    step->advice.retryAt = now + factor * query.expected;
    const Duration validity =
            job->spec.queue.advice ? job->spec.queue.advice->validity : Duration::zero();
    // All members need tickets at one moment, so those of a gang are renewed before they expire.
    if (stepSpec(*job, query.step).gang)
        step->advice.retryAt =
                std::min(step->advice.retryAt,
                         now + std::max(query.expected, validity - ticketMargin - query.expected));
    size_t newResponses = 0;
    size_t newAllowed = 0;
    for (const WorkerId &id : query.workers) {
        if (step->advice.responses.emplace(id.value(), false).second)
            ++newResponses;
    }
    for (const AllowedWorker &entry : allowed) {
        const Worker *const worker = findWorker(entry.worker);
        if (!worker)
            continue;
        newAllowed += step->advice.responses[entry.worker.value()] ? 0 : 1;
        step->advice.responses[entry.worker.value()] = true;
        step->advice.allowed[entry.worker.value()] = {entry.ticket, now + validity - ticketMargin,
                                                      worker->incarnation.born};
    }
    if (newResponses > 0) {
        double &share =
                m_allowedShare.emplace(job->spec.queue.name, initialAllowedShare).first->second;
        share += allowedShareSmoothing * (double(newAllowed) / double(newResponses) - share);
    }
    log::info("advice_received",
              {{"step", query.step.stepText()},
               {"asked", query.workers.size()},
               {"allowed", allowed.size()}});
}

void Dispatcher::onAdviceFailed(const AdviceQuery &query, TimePoint now)
{
    Job *const job = findJob(query.step.job);
    StepState *const step = job ? findStep(*job, query.step) : nullptr;
    if (!step)
        return;
    step->advice.isPending = false;
    step->advice.retryAt = now + adviceRetryDelay;
}

} // namespace cwl::jobs
