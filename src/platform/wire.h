// The platform's messages as JSON; see docs/design.md, section 9.1.

#pragma once

#include "platform/platform.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <string>
#include <vector>

namespace cwl::platform {

std::string commitToJson(const Commit &commit);
std::string readsToJson(const std::vector<Read> &reads);

// The revision of a commit that took effect. Errors: Conflict, ProtocolError.
absl::StatusOr<Revision> commitAnswer(const std::string &body);

// What the platform knows of a change id.
struct ChangeOutcome
{
    bool known = false;                // the platform has decided a commit with this id
    absl::StatusOr<Revision> decision; // meaningful if known
};
absl::StatusOr<ChangeOutcome> changeAnswer(const std::string &body);

absl::StatusOr<std::vector<std::vector<Row>>> readAnswer(const std::string &body, size_t reads);
absl::StatusOr<std::vector<Instance>> instancesAnswer(const std::string &body);

} // namespace cwl::platform
