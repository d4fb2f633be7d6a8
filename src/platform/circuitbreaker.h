// Stops calls to an outside system that keeps failing, and probes it now and then.

#pragma once

#include "base/clock.h"

namespace cwl::platform {

// Closed: calls pass. Open: calls are refused until a pause has passed, which doubles with each
// failed probe. After the pause one probe passes; its success closes the breaker.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(Duration firstPause);

    // True if a call may be made now. While open, it lets one probe through after the pause.
    bool allows(TimePoint now);
    void succeeded();
    void failed(TimePoint now);

    bool isOpen() const { return m_failures >= failureLimit; }
    TimePoint openUntil() const { return m_openUntil; }

private:
    static constexpr int failureLimit = 3; // consecutive failures that open it
    static constexpr Duration maxPause = seconds(4);

    Duration m_firstPause;
    Duration m_pause;
    int m_failures = 0;
    TimePoint m_openUntil;
};

} // namespace cwl::platform
