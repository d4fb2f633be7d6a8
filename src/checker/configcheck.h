// Checks a decoded configuration of a cell: entries that can never match a request, and limits that
// contradict each other. Plain functions on plain input; the fields as they are written are checked
// by platform/configfields.h.

#pragma once

#include "checker/finding.h"
#include "jobs/types.h"

#include <vector>

namespace cwl::checker {

// Caps below these are reported. The bounds are chosen, not measured: hardly any task asks for
// less, and a cap in the wrong unit, such as cores for millicores, falls below them. An accelerator
// is used as a whole, so a cap of one is usable.
constexpr Millicores minUsableCores = Millicores(100);
constexpr Mebibytes minUsableMemory = Mebibytes(16);

std::vector<Finding> checkConfig(const jobs::CellConfig &config);

// Members ignore a configuration whose version is not above the one in force.
std::vector<Finding> checkVersion(const jobs::CellConfig &inForce, const jobs::CellConfig &config);

} // namespace cwl::checker
