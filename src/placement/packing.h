// Packing policies, as strategy objects that score how well a task fits a worker.

#pragma once

#include "placement/types.h"

namespace cwl::placement {

// A task and a worker that it would be placed on.
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

    // Returns true if candidates with the most free capacity are to be examined first.
    virtual bool prefersMostFree() const = 0;
};

// Returns the strategy of a policy. The object exists until the process ends.
const Packing &packingOf(PackingPolicy policy);

} // namespace cwl::placement
