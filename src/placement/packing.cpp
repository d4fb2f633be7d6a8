#include "placement/packing.h"

#include <algorithm>

namespace cwl::placement {

namespace {

double ratio(int64_t part, int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

// Largest fraction of any resource that stays free after the task is placed.
double largestRemainder(const Fit &fit)
{
    const Resources remainder = fit.free - fit.demand;
    return std::max({ratio(remainder.cores.value(), fit.capacity.cores.value()),
                     ratio(remainder.memory.value(), fit.capacity.memory.value()),
                     ratio(remainder.accelerators.value(), fit.capacity.accelerators.value())});
}

// Difference between the free fractions of cores and memory after the task is placed. Unequal
// fractions are hard to use for later tasks.
double imbalance(const Fit &fit)
{
    const Resources remainder = fit.free - fit.demand;
    const double cores = ratio(remainder.cores.value(), fit.capacity.cores.value());
    const double memory = ratio(remainder.memory.value(), fit.capacity.memory.value());
    return cores > memory ? cores - memory : memory - cores;
}

// Prefers the worker with the least free capacity after placement, and balanced free cores and
// memory.
class BestFit : public Packing
{
public:
    double score(const Fit &fit) const override
    {
        return 1.0 - 0.7 * largestRemainder(fit) - 0.3 * imbalance(fit);
    }
    bool prefersMostFree() const override { return false; }
};

// Spreads load: prefers the worker with the most free capacity.
class WorstFit : public Packing
{
public:
    double score(const Fit &fit) const override { return largestRemainder(fit); }
    bool prefersMostFree() const override { return true; }
};

// Best fit that avoids empty workers, since gangs need many of them at once.
class ReserveForGangs : public Packing
{
public:
    double score(const Fit &fit) const override
    {
        const bool isEmpty = fit.free == fit.capacity;
        return (1.0 - largestRemainder(fit)) * (isEmpty ? 0.25 : 1.0);
    }
    bool prefersMostFree() const override { return false; }
};

} // namespace

const Packing &packingOf(PackingPolicy policy)
{
    static const BestFit bestFit;
    static const WorstFit worstFit;
    static const ReserveForGangs reserveForGangs;
    switch (policy) {
    case PackingPolicy::BestFit:
        return bestFit;
    case PackingPolicy::WorstFit:
        return worstFit;
    case PackingPolicy::ReserveForGangs:
        return reserveForGangs;
    }
    return bestFit;
}

} // namespace cwl::placement
