#include "jobs/fit.h"

#include <algorithm>

namespace cwl::jobs {

Duration remainingOf(const Run &run, TimePoint now)
{
    const Duration predicted = run.job->predictedTimes[run.address.step];
    if (run.confirmedAt == TimePoint())
        return predicted;
    const Duration elapsed = now - run.confirmedAt;
    if (run.percent > 5 && run.percent < 100)
        return elapsed * (100 - run.percent) / run.percent;
    return std::max(Duration::zero(), predicted - elapsed);
}

int64_t tasksThatFit(const Resources &available, const Step &step)
{
    int64_t fits = step.maxPerWorker > 0 ? step.maxPerWorker : step.count;
    if (step.each.cores.value() > 0 && !step.backfill)
        fits = std::min(fits, available.cores.value() / step.each.cores.value());
    if (step.each.memory.value() > 0)
        fits = std::min(fits, available.memory.value() / step.each.memory.value());
    if (step.each.accelerators.value() > 0)
        fits = std::min(fits, available.accelerators.value() / step.each.accelerators.value());
    return std::max<int64_t>(0, fits);
}

Resources reservedResources(const Step &step)
{
    Resources resources = step.each;
    if (step.backfill)
        resources.cores = Millicores(0);
    return resources;
}

bool isLarge(const Step &step, const Worker &worker)
{
    const Resources &all = worker.entry.capacity;
    return step.each.fitsIn(all)
            && (2 * step.each.cores.value() >= all.cores.value()
                || 2 * step.each.memory.value() >= all.memory.value()
                || (all.accelerators.value() > 0
                    && 2 * step.each.accelerators.value() >= all.accelerators.value()));
}

bool hasLabel(const Worker &worker, const std::string &label)
{
    return label.empty()
            || std::find(worker.entry.labels.begin(), worker.entry.labels.end(), label)
            != worker.entry.labels.end();
}

Resources freeCapacityAfterStops(const Worker &worker)
{
    Resources available = freeCapacity(worker);
    for (const auto &[task, run] : worker.runs) {
        if (run.phase == RunPhase::Stopping)
            available = available + run.resources;
    }
    return available;
}

} // namespace cwl::jobs
