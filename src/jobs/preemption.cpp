// Runs that are taken away: for urgent work, from draining workers, on cancellation; and the pace
// of what fills beside tasks that serve.

#include "jobs/dispatcher.h"
#include "jobs/fit.h"

#include "node/log.h"

#include <algorithm>

namespace cwl::jobs {

namespace {

constexpr Duration leastRunBeforePreemption = milliseconds(400); // a run that just began is left
constexpr int64_t mostUrgentPriority = 0;                        // of a queue; others wait for room
constexpr size_t maxPreemptionsPerStep = 16;                     // in one pass
constexpr Duration drainMargin = milliseconds(1300);             // a stop takes up to 0.9 s

// A tail above `paceDownAt` of its target slows what fills beside it; below `paceUpAt` it speeds
// up again.
constexpr double paceDownAt = 0.75;
constexpr double paceUpAt = 0.45;
constexpr int64_t paceStep = 50;

} // namespace

// Section: preemption

// Runs of less urgent queues whose progress is saved, the largest first.
std::vector<Run *> Dispatcher::victimsOn(Worker &worker, const Candidate &candidate, TimePoint now)
{
    std::vector<Run *> victims;
    for (auto &[task, run] : worker.runs) {
        if (!run.job || run.phase != RunPhase::Running || isFinal(run.job->state)
            || run.job->spec.queue.priority <= candidate.job->spec.queue.priority
            || now - run.confirmedAt < leastRunBeforePreemption)
            continue;
        const Step &spec = stepSpec(*run.job, run.address);
        if (spec.checkpoints && !spec.lasting && !spec.gang && !spec.fill)
            victims.push_back(&run);
    }
    std::sort(victims.begin(), victims.end(),
              [](const Run *a, const Run *b) { return a->room.cores > b->room.cores; });
    return victims;
}

// Stops less urgent runs where that makes room for the tasks of the candidate.
void Dispatcher::preempt(const Candidate &candidate, TimePoint now)
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    const StepState &state = candidate.occurrence->steps[candidate.step];
    if (step.fill || now > candidate.job->hopeless
        || candidate.job->spec.queue.priority != mostUrgentPriority)
        return;
    const bool needsAdvice = candidate.job->spec.queue.advice.has_value();
    std::vector<Worker *> workers;
    int64_t places = 0;
    for (Worker *worker : m_rooms.at(candidate.job->spec.queue.service).workers) {
        if (!isUsable(*worker, candidate)
            || (needsAdvice && !state.advice.allowed.contains(worker->entry.id.value())))
            continue;
        workers.push_back(worker);
        places += tasksThatFit(comingRoom(*worker), step);
    }
    const int64_t needed = state.waiting;
    size_t stopped = 0;
    for (Worker *worker : workers) {
        Resources room = comingRoom(*worker);
        int64_t fits = tasksThatFit(room, step);
        std::vector<Run *> chosen;
        for (Run *victim : victimsOn(*worker, candidate, now)) {
            if (places >= needed || stopped + chosen.size() >= maxPreemptionsPerStep)
                break;
            room = room + victim->room;
            chosen.push_back(victim);
            const int64_t fitsThen = tasksThatFit(room, step);
            if (fitsThen <= fits)
                continue;
            for (Run *run : chosen) {
                run->phase = RunPhase::Stopping;
                log::info("run_preempted",
                          {{"task", run->address.text()},
                           {"worker", worker->entry.id.value()},
                           {"for", candidate.job->spec.id.value()},
                           {"waiting", state.waiting},
                           {"objective_left", candidate.job->objective - now}});
            }
            m_figures.preempted += chosen.size();
            stopped += chosen.size();
            chosen.clear();
            places += fitsThen - fits;
            fits = fitsThen;
        }
    }
}

// Section: stops

void Dispatcher::repeatStops(Orders &orders, TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        for (auto &[task, run] : worker->runs) {
            const bool isDue = run.phase == RunPhase::Stopping && run.stopAckedAt == TimePoint()
                    && now - run.stopSentAt >= stopRepeat;
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
        const bool endsInTime = !isShort
                || now + remainingOf(run, spec, now) + milliseconds(100) < worker.drainDeadline;
        const bool isLastMoment = isShort && now + drainMargin >= worker.drainDeadline;
        const bool moves = spec.lasting || (!endsInTime && (spec.checkpoints || isLastMoment));
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

void Dispatcher::controlPace(Worker &worker, Orders &orders, TimePoint now)
{
    double worst = 0;
    for (const auto &[task, run] : worker.runs) {
        if (run.job && stepSpec(*run.job, run.address).tailTargetMs > 0)
            worst = std::max(worst,
                             double(run.figure)
                                     / double(stepSpec(*run.job, run.address).tailTargetMs));
    }
    if (worker.fillUsed.value() == 0 || (worst <= paceDownAt && worst >= paceUpAt))
        return;
    for (auto &[task, run] : worker.runs) {
        if (run.fillCores.value() == 0 || run.phase != RunPhase::Running
            || now - run.pacedAt < milliseconds(500))
            continue;
        const int64_t pace =
                std::clamp<int64_t>(run.pace + (worst > paceDownAt ? -paceStep : 10), 0, 100);
        if (pace == run.pace)
            continue;
        run.pace = pace;
        run.pacedAt = now;
        run.percentAt = now;
        log::info("run_paced",
                  {{"task", task},
                   {"worker", worker.entry.id.value()},
                   {"percent", pace},
                   {"tail_of_target", worst}});
        orders.paces.push_back({worker.entry.id, worker.entry.address, task, run.attempt, pace});
    }
}

} // namespace cwl::jobs
