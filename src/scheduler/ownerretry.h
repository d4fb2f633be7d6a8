// Retry policy for calls to the owner of a worker group. Pure: the time is an argument.
//
// During a failover, which takes about 5 s, a call is refused, lost or answered by a process that
// does not own the group. Idempotent calls are retried until their deadline.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <absl/status/status.h>

#include <optional>

namespace cwl::scheduler {

constexpr Duration ownerRetryDelay = milliseconds(250); // between two attempts

class OwnerRetry
{
public:
    explicit OwnerRetry(TimePoint deadline)
        : m_deadline(deadline)
    {
    }

    // True if a later attempt, perhaps at another owner, may succeed.
    static bool isRetryable(const absl::Status &failure);

    // Time of the next attempt after `failure`; nullopt if that is at or after the deadline.
    std::optional<TimePoint> nextAttempt(const absl::Status &failure, TimePoint now);

    // The error to return when nextAttempt() returns nullopt: NoOwner, or ConnectionLost if an
    // owner may have executed one of the attempts. Both set retryAfterMs.
    absl::Status finalError(const GroupId &group) const;

    TimePoint deadline() const { return m_deadline; }

private:
    TimePoint m_deadline;
    bool m_mayHaveExecuted = false;
};

} // namespace cwl::scheduler
