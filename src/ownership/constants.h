// Durations of the ownership protocol; docs/design.md, section 5.1.

#pragma once

#include "base/clock.h"

#include <chrono>

namespace cwl::ownership {

constexpr Duration memberLease = seconds(3);     // validity of a member after each renewal
constexpr Duration renewalInterval = seconds(1); // time between two renewals
constexpr Duration promiseLease = seconds(3);    // validity of a witness's promise
constexpr Duration maxStoreAbsence = std::chrono::minutes(30); // longest validity without a renewal
constexpr Duration handOverDelay = seconds(10); // another member must rank first this long

// A renewal with a new witness set may commit without the member's knowledge while older promises
// still count. A takeover at the new revision waits memberLease, so no promise may last longer than
// that wait.
static_assert(promiseLease <= memberLease);

} // namespace cwl::ownership
