#include "scheduler/workerclock.h"

namespace cwl::scheduler {

void WorkerClock::reported(int64_t workerMs, TimePoint receivedAt)
{
    m_workerMs = workerMs;
    m_receivedAt = receivedAt;
}

std::optional<int64_t> WorkerClock::toWorkerDeadlineMs(TimePoint localTime) const
{
    if (!m_workerMs)
        return std::nullopt;
    // Rounded down, so that the deadline is never late.
    const Duration ahead = shortenedByClockError(localTime - m_receivedAt);
    return *m_workerMs + std::chrono::floor<milliseconds>(ahead).count();
}

} // namespace cwl::scheduler
