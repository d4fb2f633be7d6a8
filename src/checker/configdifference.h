// Differences between two configurations of a cell, entry by entry. A key counts only by its
// number: neither keys nor digests are in a difference.

#pragma once

#include "jobs/types.h"

#include <string>
#include <vector>

namespace cwl::checker {

enum class Change { Added, Removed, Changed };

struct Difference
{
    Change change = Change::Changed;
    std::string entry;       // such as "queue r1" or "configuration"
    std::string field = {};  // of an entry that changed, such as "priority"
    std::string before = {}; // with its unit
    std::string after = {};  // with its unit
};

// Entries are compared by name; of several with the same name, the first one counts.
std::vector<Difference> differences(const jobs::CellConfig &inForce, const jobs::CellConfig &next);

} // namespace cwl::checker
