// Request ids: "<unix milliseconds>-<unique>". The time is the creation time by the caller's clock.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>

namespace cwl::requests {

constexpr size_t maxRequestIdBytes = 128; // ids are kept for minutes, so their length is bounded

struct ParsedRequestId
{
    RequestId id;          // as sent
    UnixMilliseconds time; // creation time, from the id itself
};

// Reads an id: 1 to 15 digits without a leading zero, '-', then letters, digits, '-', '_' or '.'.
// Error: InvalidValue naming the header Request-Id.
absl::StatusOr<ParsedRequestId> parseRequestId(const std::string &text);

} // namespace cwl::requests
