#include "jobs/callercost.h"

#include <algorithm>

namespace cwl::jobs {

namespace {

// Groups in which pending work starts.
enum Group {
    LongRunning, // few, and all time without them is lost
    InTime,
    Late,
    BeyondRateInTime, // of customers that submit more than is due to them
    BeyondRateLate,
    WithoutValue,
};

constexpr int64_t beyondRatePriority = 1000; // added to the priority of a queue, at most 100
constexpr double shareSteps = 8;             // that make up what is due to a customer
constexpr double maxShare = 16;

Group groupOf(const PendingWork &work)
{
    if (work.outlook == DeadlineOutlook::NoValue && !work.isLongRunning)
        return WithoutValue;
    const bool isInTime = work.outlook == DeadlineOutlook::InTime;
    if (!work.isWithinRate)
        return isInTime ? BeyondRateInTime : BeyondRateLate;
    if (work.isLongRunning)
        return LongRunning;
    // Late jobs of the most urgent queue are short and stay ahead of all other queues.
    return isInTime || work.priority == mostUrgentPriority ? InTime : Late;
}

} // namespace

OrderKey orderKey(const PendingWork &work)
{
    OrderKey key;
    key.group = groupOf(work);
    key.targetTime = work.targetTime;
    if (key.group == LongRunning)
        return key;
    key.priority = work.priority;
    key.isLate = work.outlook != DeadlineOutlook::InTime;
    if (!work.isWithinRate)
        key.share = int(std::clamp(work.weightedShare, 0.0, maxShare) * shareSteps);
    return key;
}

int64_t effectivePriority(int64_t priority, bool isWithinRate)
{
    return isWithinRate ? priority : priority + beyondRatePriority;
}

DeadlineOutlook deadlineOutlook(TimePoint now, Duration least, TimePoint targetTime,
                                TimePoint noValueAfter)
{
    if (now > noValueAfter)
        return DeadlineOutlook::NoValue;
    return now + least > targetTime ? DeadlineOutlook::Late : DeadlineOutlook::InTime;
}

} // namespace cwl::jobs
