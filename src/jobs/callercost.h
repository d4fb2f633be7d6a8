// What it costs callers to wait, and the order that follows: what costs callers least is delayed
// first. Queue order, reservation and preemption ask here. Plain functions on plain input.
//
// A job has its full value until its target time, a part of it until `noValueAfter`, and none
// later. So time given to a job that can still meet its target time is worth most; a late job loses
// little by waiting longer; and a job past `noValueAfter` loses nothing.

#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>

namespace cwl::jobs {

// Value that a job can still earn if work on it begins now.
enum class DeadlineOutlook { InTime, Late, NoValue };

constexpr int64_t mostUrgentPriority = 0; // of a queue; it may preempt all others

// One step of a job whose turn has come.
struct PendingWork
{
    int64_t priority = 0; // of the queue; 0 is the most urgent
    bool isLongRunning = false;
    bool isWithinRate = true; // of its customer
    // Of its customer, in proportion to its weight: 1 is exactly what is due to it.
    double weightedShare = 0;
    DeadlineOutlook outlook = DeadlineOutlook::InTime;
    TimePoint targetTime = {};
};

// Work with the smaller key starts first.
struct OrderKey
{
    int group = 0;
    int64_t priority = 0;
    bool isLate = false;
    int share = 0; // in steps, so that small differences do not decide
    TimePoint targetTime = {};

    auto operator<=>(const OrderKey &) const = default;
};

OrderKey orderKey(const PendingWork &work);

// Whether work begins, ends or is stopped for other work is decided by this priority: work beyond
// its customer's rate is less urgent than all work within it.
int64_t effectivePriority(int64_t priority, bool isWithinRate);

// The outlook of work that needs at least `least` more time.
DeadlineOutlook deadlineOutlook(TimePoint now, Duration least, TimePoint targetTime,
                                TimePoint noValueAfter);

} // namespace cwl::jobs
