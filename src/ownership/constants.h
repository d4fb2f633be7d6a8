// Durations of the ownership protocol; docs/design.md, section 5.1.

#pragma once

#include "base/clock.h"

#include <chrono>

namespace cwl::ownership {

constexpr Duration memberLease = seconds(3);                   // of a member, from each renewal
constexpr Duration renewalInterval = seconds(1);               // between two renewals
constexpr Duration promiseLease = seconds(3);                  // of a witness's promise
constexpr Duration maxStoreAbsence = std::chrono::minutes(30); // longest time without the store
constexpr Duration handOverDelay = seconds(10); // a better-ranked member stays first for this long

// A renewal with a new witness set may take effect unnoticed while older promises still count.
// A takeover at the new revision waits memberLease, so no promise may outlast that wait.
static_assert(promiseLease <= memberLease);

} // namespace cwl::ownership
