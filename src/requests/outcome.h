// What became of a request: answered, certainly not run, or unknown. Exactly one per request.

#pragma once

#include "base/error.h"

#include <absl/status/status.h>

#include <cstddef>
#include <memory>
#include <string>

namespace cwl::requests {

enum class OutcomeKind {
    Answered, // the endpoint's complete response
    NotRun,   // certainly not run, and it can no longer be sent to an endpoint
    Unknown,  // it may have run
};

struct Outcome
{
    OutcomeKind kind = OutcomeKind::Unknown;
    int status = 0;               // HTTP status code of the endpoint; answered only
    std::string contentType = {}; // of the endpoint's answer; answered only
    std::string body = {};        // complete; answered only
    absl::Status error = {};      // typed reason; OK when answered

    static Outcome answered(int status, std::string contentType, std::string body);
    static Outcome notRun(absl::Status reason);
    static Outcome unknown(absl::Status reason);
};

using SharedOutcome = std::shared_ptr<const Outcome>;

// Wire name: "answered", "not-run" or "unknown".
const char *outcomeName(OutcomeKind kind);

// HTTP status code that a caller gets: the endpoint's own, or the code that suits the failure.
int httpStatusOf(const Outcome &outcome);

} // namespace cwl::requests
