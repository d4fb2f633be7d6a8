// Observed service time as a moving average that fades without new observations.

#pragma once

#include "base/clock.h"

#include <cstdint>

namespace cwl::requests {

class ServiceTime
{
public:
    void add(Duration observed, TimePoint now);

    // The average, or zero before the first observation. It halves each second (or twice the
    // average, if longer) that passes without an observation, so a high value cannot refuse every
    // request for ever.
    Duration estimate(TimePoint now) const;

    // A time that few requests exceed: the average and three mean deviations. Fades likewise.
    Duration highEstimate(TimePoint now) const;

    // The same without fading, for decisions about requests that were sent already.
    Duration lastHighEstimate() const;

    int64_t count() const { return m_count; } // observations so far

private:
    Duration faded(Duration value, TimePoint now) const;

    Duration m_average = {};
    Duration m_deviation = {}; // moving average of the distance from the average
    TimePoint m_last = {};
    int64_t m_count = 0;
};

} // namespace cwl::requests
