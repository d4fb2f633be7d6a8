// Helpers that match tasks with workers, shared by the parts of the dispatcher. Internal to this
// library.

#pragma once

#include "jobs/state.h"

#include <string>

namespace cwl::jobs {

// Expected remaining run time of a run whose job is known.
Duration remainingOf(const Run &run, TimePoint now);

// Tasks of the step that fit into `available`.
int64_t tasksThatFit(const Resources &available, const Step &step);

// Resources that one task reserves; a backfill task reserves no cores.
Resources reservedResources(const Step &step);

// True if one task of the step needs at least half of one of the worker's resources.
bool isLarge(const Step &step, const Worker &worker);

bool hasLabel(const Worker &worker, const std::string &label); // true for an empty label

// Capacity that is free now or once the runs being stopped have ended.
Resources freeCapacityAfterStops(const Worker &worker);

} // namespace cwl::jobs
