#include "supervisor/restartpolicy.h"

#include <algorithm>
#include <cmath>

namespace cwl::supervisor {

std::optional<TimePoint> RestartHistory::recordFailure(TimePoint started, TimePoint now,
                                                       Generator &generator)
{
    if (now - started >= m_policy.healthyAfter)
        m_consecutive = 0;
    while (!m_failures.empty() && m_failures.front() <= now - m_policy.window)
        m_failures.pop_front();
    m_failures.push_back(now);
    if (m_failures.size() > m_policy.maxRestarts)
        return std::nullopt;
    const double first = static_cast<double>(m_policy.firstDelay.count());
    const double longest = static_cast<double>(m_policy.maxDelay.count());
    const double delay = std::min(std::ldexp(first, m_consecutive), longest);
    ++m_consecutive;
    std::uniform_real_distribution<double> factor(1 - m_policy.jitter, 1 + m_policy.jitter);
    return now + Duration(static_cast<int64_t>(delay * factor(generator)));
}

} // namespace cwl::supervisor
