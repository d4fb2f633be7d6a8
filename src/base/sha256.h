// SHA-256 of a text, for secrets that are compared and never kept.

#pragma once

#include <string>

namespace cwl {

std::string sha256Hex(const std::string &text); // 64 hexadecimal digits

} // namespace cwl
