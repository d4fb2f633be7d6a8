#include "placement/packing.h"

#include <algorithm>

namespace cwl::placement {

namespace {

double ratio(int64_t part, int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

// Largest part of any dimension that stays free after the task.
double largestRest(const Fit &fit)
{
    const Resources rest = fit.free - fit.demand;
    return std::max({ratio(rest.cores.value(), fit.capacity.cores.value()),
                     ratio(rest.memory.value(), fit.capacity.memory.value()),
                     ratio(rest.accelerators.value(), fit.capacity.accelerators.value())});
}

// Difference between the dimensions in what stays free: unequal rests are hard to use.
double imbalance(const Fit &fit)
{
    const Resources rest = fit.free - fit.demand;
    const double cores = ratio(rest.cores.value(), fit.capacity.cores.value());
    const double memory = ratio(rest.memory.value(), fit.capacity.memory.value());
    return cores > memory ? cores - memory : memory - cores;
}

// Fills the fullest worker, and prefers rests that stay usable in both dimensions.
class BestFit : public Packing
{
public:
    double score(const Fit &fit) const override
    {
        return 1.0 - 0.7 * largestRest(fit) - 0.3 * imbalance(fit);
    }
    bool prefersLoose() const override { return false; }
};

// Spreads load: the emptiest worker first.
class WorstFit : public Packing
{
public:
    double score(const Fit &fit) const override { return largestRest(fit); }
    bool prefersLoose() const override { return true; }
};

// Best fit that keeps empty workers whole, since gangs need many at once.
class ReserveForGangs : public Packing
{
public:
    double score(const Fit &fit) const override
    {
        const bool isEmpty = fit.free == fit.capacity;
        return (1.0 - largestRest(fit)) * (isEmpty ? 0.25 : 1.0);
    }
    bool prefersLoose() const override { return false; }
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
