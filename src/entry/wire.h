// The RPC method request.execute: what one entry asks of the owner of an endpoint group.
//
// Parameters: {"service", "method", "group", "requestId", "idempotent", "class", "remainingMs",
// "hops", "contentType"}, attachment: the request body.
// Result: {"outcome", "status"?, "contentType"?, "error"?, "load"}, attachment: the response body.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "requests/outcome.h"
#include "requests/requestid.h"
#include "rpc/rpc.h"
#include "settings/cellsettings.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>

namespace cwl::entry {

constexpr const char *executeMethod = "request.execute";
constexpr int64_t maxHops = 2; // from the caller's entry to the owner, with one stale view between

struct ExecuteRequest
{
    ServiceId service = {};
    std::string method = {};
    int64_t group = 0; // number of the endpoint group within the service
    requests::ParsedRequestId
            id; // made by the entry if the caller of an idempotent method sent none
    bool isIdempotent = false;
    bool mayBeRepeat = false; // of an id that may have run; known at the caller's entry only
    settings::UrgencyClass urgency = settings::UrgencyClass::Normal;
    TimePoint deadline = {};      // on this process's clock
    int64_t hops = 0;             // forwards so far
    std::string contentType = {}; // of the body; may be empty
    std::string body = {};
};

struct ExecuteResult
{
    requests::SharedOutcome outcome;
    double load = 0; // of the group, as the owner sees it
};

using ExecuteCallback = std::function<void(ExecuteResult)>; // called once, on any thread

GroupId groupIdOf(const ExecuteRequest &request);

rpc::Message encodeRequest(const ExecuteRequest &request, TimePoint now);
absl::StatusOr<ExecuteRequest> decodeRequest(rpc::Message message, TimePoint now);

rpc::Message encodeResult(const ExecuteResult &result);
absl::StatusOr<ExecuteResult> decodeResult(rpc::Message message);

ExecuteResult notRun(const absl::Status &reason);

} // namespace cwl::entry
