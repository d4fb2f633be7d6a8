// Version of all programs.

#pragma once

namespace cwl {

constexpr const char *version = "0.1.0";

} // namespace cwl
