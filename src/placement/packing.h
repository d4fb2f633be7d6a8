// Packing policies: how well a task fits a worker, as small strategy objects.

#pragma once

#include "placement/types.h"

namespace cwl::placement {

// How much of the worker is free before and after the task.
struct Fit
{
    Resources capacity; // of the worker
    Resources free;     // before the task
    Resources demand;   // of the task
};

class Packing
{
public:
    virtual ~Packing() = default;

    // Returns 0 (poor) to 1 (best).
    virtual double score(const Fit &fit) const = 0;

    // True if candidates with much free capacity are looked at first.
    virtual bool prefersLoose() const = 0;
};

// Returns the strategy of a policy; it lives as long as the process.
const Packing &packingOf(PackingPolicy policy);

} // namespace cwl::placement
