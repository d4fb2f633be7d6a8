// When a call to the owner of a worker group is tried again. Pure: the time is an argument.
//
// While an owner is dead and not yet replaced, which takes about 5 s, a call is refused, lost or
// answered by a process that does not own the group. Calls that are idempotent go on until their
// deadline.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <absl/status/status.h>

#include <optional>

namespace cwl::scheduler {

constexpr Duration ownerRetryPause = milliseconds(250); // between two tries

class OwnerRetry
{
public:
    explicit OwnerRetry(TimePoint deadline)
        : m_deadline(deadline)
    {
    }

    // True for a failure that a later try, perhaps at another owner, may not meet.
    static bool isRepeated(const absl::Status &failure);

    // Time of the next try after `failure`; nothing if that is at the deadline or later.
    std::optional<TimePoint> nextTry(const absl::Status &failure, TimePoint now);

    // The answer once no try is left: NoOwner, or ConnectionLost if an owner may have acted on one
    // of the tries. Both say when to repeat the call.
    absl::Status finalError(const GroupId &group) const;

    TimePoint deadline() const { return m_deadline; }

private:
    TimePoint m_deadline;
    bool m_mayHaveActed = false;
};

} // namespace cwl::scheduler
