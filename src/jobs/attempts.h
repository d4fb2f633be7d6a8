// Numbers of the starts of a task. They rise, also from one owner of the cell to the next.
//
// A number contains how many runs of the task had failed when it was chosen. A failed run thus
// tells the count by itself: it is one more than before the run. The ends of a task may be read in
// any order and more than once, by several owners, and no more than the count has to be stored.

#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace cwl::jobs {

constexpr uint32_t maxCountedFailures = 4095; // of one task

// Returns a number above `last`, and above those of all earlier owners, for a run of a task that
// has failed `failures` times. `last` is the highest number known, 0: none.
int64_t nextAttempt(int64_t last, Epoch epoch, uint32_t failures);

// Returns how many runs of the task had failed before this one; none for a number that an owner of
// an earlier version chose, which does not contain it.
std::optional<uint32_t> failuresBefore(int64_t attempt);

} // namespace cwl::jobs
