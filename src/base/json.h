// Parsing and writing JSON, and typed access to the members of an object.

#pragma once

#include <absl/status/statusor.h>
#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cwl {

// Parses one strict JSON document without comments. Error: MalformedBody with line and column.
absl::StatusOr<Json::Value> parseJson(const std::string &text);

// Parses JSON with // and /* */ comments, refusing duplicate keys. Error: MalformedBody.
absl::StatusOr<Json::Value> parseJsonWithComments(const std::string &text);

// Writes compact JSON on one line.
std::string writeJson(const Json::Value &value);

// Writes indented JSON for people.
std::string writeJsonIndented(const Json::Value &value);

// Section: members of an object. Errors: MissingField or InvalidValue, naming the field.

absl::StatusOr<std::string> stringMember(const Json::Value &object, const char *name);
absl::StatusOr<int64_t> intMember(const Json::Value &object, const char *name, int64_t minimum,
                                  int64_t maximum);
absl::StatusOr<bool> boolMember(const Json::Value &object, const char *name);

} // namespace cwl
