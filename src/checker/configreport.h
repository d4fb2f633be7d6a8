// The whole check of an operators' configuration, from its text to what is printed.

#pragma once

#include "checker/configdifference.h"
#include "checker/finding.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace cwl::checker {

struct ConfigReport
{
    std::vector<Finding> findings = {};
    std::vector<Difference> differences = {}; // from the version in force
};

// Checks `text`, and compares it with the text of the version in force if there is one.
ConfigReport checkConfigText(const std::string &text, const std::optional<std::string> &inForce);

// 0 without findings, 3 with an error, 4 with warnings only. Differences alone are not findings.
int exitCode(const ConfigReport &report);

// One line for each finding and difference. Control characters in names are replaced.
std::string toText(const ConfigReport &report);

// {"findings": [{"severity", "code", "entry", "message"}],
//  "differences": [{"change", "entry", "field"?, "before"?, "after"?}]}
Json::Value toJson(const ConfigReport &report);

} // namespace cwl::checker
