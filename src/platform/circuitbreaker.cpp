#include "platform/circuitbreaker.h"

#include <algorithm>

namespace cwl::platform {

CircuitBreaker::CircuitBreaker(Duration firstPause)
    : m_firstPause(firstPause)
    , m_pause(firstPause)
{
}

bool CircuitBreaker::allows(TimePoint now)
{
    if (!isOpen())
        return true;
    if (now < m_openUntil)
        return false;
    // The next probe waits a pause even if this one never answers.
    m_openUntil = now + m_pause;
    return true;
}

void CircuitBreaker::succeeded()
{
    m_failures = 0;
    m_pause = m_firstPause;
}

void CircuitBreaker::failed(TimePoint now)
{
    ++m_failures;
    if (m_failures < failureLimit)
        return;
    if (m_failures > failureLimit)
        m_pause = std::min(m_pause * 2, maxPause);
    m_openUntil = now + m_pause;
}

} // namespace cwl::platform
