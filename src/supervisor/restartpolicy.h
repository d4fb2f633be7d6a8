// Decides when a child that failed is started again, or that it has failed too often. Pure: the
// time is passed in.

#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <deque>
#include <optional>

namespace cwl::supervisor {

struct RestartPolicy
{
    Duration firstDelay = milliseconds(100); // before the first restart; doubles with each further
    Duration maxDelay = seconds(10);         // before any restart, without jitter
    double jitter = 0.2;                     // delays vary by this fraction either way
    Duration healthyAfter = seconds(30);     // a run of this length resets the delay
    size_t maxRestarts = 8;                  // within `window`; one more failure escalates
    Duration window = seconds(60);           // over which restarts are counted
    Duration stopLimit = seconds(5);         // for a failed child to clean up; then it escalates
};

class RestartHistory
{
public:
    explicit RestartHistory(const RestartPolicy &policy)
        : m_policy(policy)
    {
    }

    // Records a failure of a run that began at `started`. Returns when to start again, or nullopt
    // when the child has failed too often.
    std::optional<TimePoint> recordFailure(TimePoint started, TimePoint now, Generator &generator);

private:
    RestartPolicy m_policy;
    std::deque<TimePoint> m_failures; // within the window, oldest first
    int m_consecutive = 0;            // failures since the last healthy run
};

} // namespace cwl::supervisor
