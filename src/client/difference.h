// Difference of two texts, line by line.

#pragma once

#include <string>

namespace cwl::client {

// Returns the lines of both texts: those only in `before` after "-", those only in `after` after
// "+", common ones after a space. Empty when the texts are equal.
std::string lineDifference(const std::string &before, const std::string &after);

} // namespace cwl::client
