// Deadlines on a worker's clock; docs/design.md, section 5.4.

#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace cwl::scheduler {

class WorkerClock
{
public:
    // A report received at `receivedAt` carried the worker's time.
    void reported(int64_t workerMs, TimePoint receivedAt);

    // The time on the worker's clock, in milliseconds, that it reaches no later than `localTime` on
    // ours. Nullopt before the first report.
    std::optional<int64_t> notLaterThan(TimePoint localTime) const;

private:
    std::optional<int64_t> m_workerMs;
    TimePoint m_receivedAt = {};
};

} // namespace cwl::scheduler
