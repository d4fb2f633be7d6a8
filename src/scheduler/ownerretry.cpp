#include "scheduler/ownerretry.h"

#include "base/error.h"

#include <absl/strings/str_cat.h>

namespace cwl::scheduler {

bool OwnerRetry::isRetryable(const absl::Status &failure)
{
    switch (failureOf(failure)) {
    case Failure::ConnectionRefused:
    case Failure::ConnectionLost:
    case Failure::Timeout:
    case Failure::DeadlinePassed:
    case Failure::NoOwner:
    case Failure::NotOwner:
    case Failure::NotReady:
    case Failure::LeaseLapsed:
    case Failure::ShuttingDown:
        return true;
    default:
        return false;
    }
}

std::optional<TimePoint> OwnerRetry::nextAttempt(const absl::Status &failure, TimePoint now)
{
    const Failure kind = failureOf(failure);
    if (kind == Failure::ConnectionLost || kind == Failure::Timeout)
        m_mayHaveExecuted = true;
    const TimePoint next = now + ownerRetryDelay;
    if (next >= m_deadline)
        return std::nullopt;
    return next;
}

absl::Status OwnerRetry::finalError(const GroupId &group) const
{
    if (m_mayHaveExecuted)
        return makeError(Failure::ConnectionLost,
                         absl::StrCat("the response of the owner of ", group.value(),
                                      " was lost; the call may have been executed"),
                         {.retryAfterMs = 1000});
    return makeError(Failure::NoOwner,
                     absl::StrCat(group.value(), " has no reachable owner at the moment"),
                     {.retryAfterMs = 1000});
}

} // namespace cwl::scheduler
