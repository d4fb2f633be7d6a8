// Conversion of deadlines to a worker's clock; docs/design.md, section 5.4.

#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace cwl::scheduler {

class WorkerClock
{
public:
    // Records the worker's time, in milliseconds, from a report received at `receivedAt`.
    void reported(int64_t workerMs, TimePoint receivedAt);

    // Converts a deadline to the worker's clock, in milliseconds. For any clock error within the
    // assumed bound, the worker reaches the result no later than `localTime` on this process's
    // clock. Nullopt before the first report.
    std::optional<int64_t> toWorkerDeadlineMs(TimePoint localTime) const;

private:
    std::optional<int64_t> m_workerMs;
    TimePoint m_receivedAt = {};
};

} // namespace cwl::scheduler
