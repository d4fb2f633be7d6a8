// How tasks and workers fit together: shared by the parts of the dispatcher. Internal to this
// library.

#pragma once

#include "jobs/state.h"

#include <string>

namespace cwl::jobs {

// Time that the run is expected to take yet.
Duration remainingOf(const Run &run, const Step &spec, TimePoint now);

// Tasks of the step that fit into `room`.
int64_t tasksThatFit(const Resources &available, const Step &step);

// Room that one task holds: what fills reserves no cores.
Resources reservedResources(const Step &step);

// True if one task of the step takes much of the worker.
bool isLarge(const Step &step, const Worker &worker);

bool hasLabel(const Worker &worker, const std::string &label); // true for an empty label

// Room that is free now or once the runs that are being stopped have ended.
Resources freeCapacityAfterStops(const Worker &worker);

} // namespace cwl::jobs
