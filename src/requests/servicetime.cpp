#include "requests/servicetime.h"

#include <algorithm>

namespace cwl::requests {

namespace {

constexpr int64_t weight = 10; // a new observation counts one tenth
constexpr int64_t maxHalvings = 40;
constexpr int64_t highDeviations = 3;

} // namespace

void ServiceTime::add(Duration observed, TimePoint now)
{
    if (m_count > 0)
        m_deviation += (std::chrono::abs(observed - m_average) - m_deviation) / weight;
    m_average = m_count == 0 ? observed : m_average + (observed - m_average) / weight;
    m_last = now;
    ++m_count;
}

Duration ServiceTime::estimate(TimePoint now) const
{
    return faded(m_average, now);
}

Duration ServiceTime::highEstimate(TimePoint now) const
{
    return faded(lastHighEstimate(), now);
}

Duration ServiceTime::lastHighEstimate() const
{
    return m_average + highDeviations * m_deviation;
}

Duration ServiceTime::faded(Duration value, TimePoint now) const
{
    // A service slower than a second gives few observations, so it fades on its own scale.
    const Duration halfLife = std::max<Duration>(seconds(1), 2 * m_average);
    const int64_t halvings = now > m_last ? (now - m_last) / halfLife : 0;
    return value / (int64_t(1) << std::min(halvings, maxHalvings));
}

} // namespace cwl::requests
