// Figures with their units, for people.

#pragma once

#include "base/clock.h"
#include "base/units.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <string>

namespace cwl::checker {

inline std::string millisecondsText(Duration duration)
{
    return absl::StrCat(std::chrono::duration<double, std::milli>(duration).count(), " ms");
}

inline std::string millicoresText(Millicores cores)
{
    return absl::StrCat(cores.value(), " millicores");
}

inline std::string mebibytesText(Mebibytes memory)
{
    return absl::StrCat(memory.value(), " MiB");
}

} // namespace cwl::checker
