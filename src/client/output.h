// Answers as text for people, errors with advice.

#pragma once

#include "base/exitcode.h"

#include <absl/status/status.h>
#include <json/value.h>

#include <string>
#include <vector>

namespace cwl::client {

// Section: answers

// Returns rows of objects as a table. The columns `first` come first, where any row has them; other
// members with plain values follow by name.
std::string table(const Json::Value &rows, const std::vector<std::string> &first);

// Returns an object as "name: value" lines; a member that is a list of objects becomes a table
// below its name.
std::string describe(const Json::Value &object);

// Returns a plain value without quotes, and any other as compact JSON.
std::string plainText(const Json::Value &value);

// Section: errors

// Returns the message, the field and limit at fault, and what to do about it.
std::string errorText(const absl::Status &status);

// Returns the exit code that suits a failure.
ExitCode exitCodeOf(const absl::Status &status);

} // namespace cwl::client
