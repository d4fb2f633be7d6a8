#include "base/clock.h"

#include <ctime>

namespace cwl {

BootClock::time_point BootClock::now() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec)
                      + std::chrono::nanoseconds(reading.tv_nsec));
}

UnixMilliseconds UnixMilliseconds::now()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return UnixMilliseconds(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace cwl
