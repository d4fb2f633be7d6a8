// Time: a monotonic clock that goes on while the process or the machine is paused.

#pragma once

#include <chrono>
#include <cstdint>

namespace cwl {

// Reads CLOCK_BOOTTIME, which counts time spent suspended. Satisfies the standard's Clock
// requirements.
struct BootClock
{
    using rep = int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point; // a deadline or an instant, on this process's own clock
using Duration = BootClock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time of day, for request ids and logs only: it may step, so no deadline is derived from it.
class UnixMilliseconds
{
public:
    constexpr UnixMilliseconds() = default;
    constexpr explicit UnixMilliseconds(int64_t value)
        : m_value(value)
    {
    }
    static UnixMilliseconds now();

    constexpr int64_t value() const { return m_value; }
    constexpr auto operator<=>(const UnixMilliseconds &) const = default;

private:
    int64_t m_value = 0;
};

// Largest difference in rate between the clocks of two machines.
constexpr double clockRateError = 0.002;

// Shortens a validity that this process grants itself, so that it ends first on every clock.
constexpr Duration shortenedByClockError(Duration duration)
{
    return duration - Duration(static_cast<int64_t>(duration.count() * clockRateError));
}

// Lengthens a wait for another machine's validity to end, so that it has ended on every clock.
constexpr Duration lengthenedByClockError(Duration duration)
{
    return duration + Duration(static_cast<int64_t>(duration.count() * clockRateError));
}

} // namespace cwl
