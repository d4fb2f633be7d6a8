#include "entry/wire.h"

#include "base/error.h"
#include "base/json.h"
#include "requests/endpointpool.h"
#include "requests/routing.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cwl::entry {

namespace {

using requests::Outcome;
using requests::OutcomeKind;

constexpr int64_t maxGroupNumber = 255; // see ServiceSettings::endpointGroups

int64_t inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

absl::StatusOr<Outcome> outcomeFrom(rpc::Message message)
{
    const Json::Value &content = message.content;
    const absl::StatusOr<std::string> name = stringMember(content, "outcome");
    if (!name.ok())
        return name.status();
    if (*name == outcomeName(OutcomeKind::Answered)) {
        const absl::StatusOr<int64_t> status = intMember(content, "status", 100, 599);
        if (!status.ok())
            return status.status();
        return Outcome::answered(static_cast<int>(*status), content["contentType"].asString(),
                                 std::move(message.attachment));
    }
    Json::Value error;
    error["error"] = content["error"];
    if (*name == outcomeName(OutcomeKind::NotRun))
        return Outcome::notRun(errorFromJson(error));
    if (*name == outcomeName(OutcomeKind::Unknown))
        return Outcome::unknown(errorFromJson(error));
    return makeError(Failure::ProtocolError, "unknown outcome '" + *name + "'",
                     {.field = "outcome"});
}

// Fields whose range needs no check beyond their type.
absl::Status readTexts(const Json::Value &content, ExecuteRequest &request)
{
    const absl::StatusOr<std::string> service = stringMember(content, "service");
    const absl::StatusOr<std::string> method = stringMember(content, "method");
    const absl::StatusOr<std::string> contentType = stringMember(content, "contentType");
    const absl::StatusOr<bool> isIdempotent = boolMember(content, "idempotent");
    for (const absl::Status &status :
         {service.status(), method.status(), contentType.status(), isIdempotent.status()}) {
        if (!status.ok())
            return status;
    }
    request.service = ServiceId(*service);
    request.method = *method;
    request.contentType = *contentType;
    request.isIdempotent = *isIdempotent;
    return absl::OkStatus();
}

absl::Status readNumbers(const Json::Value &content, TimePoint now, ExecuteRequest &request)
{
    const absl::StatusOr<int64_t> group = intMember(content, "group", 0, maxGroupNumber);
    const absl::StatusOr<int64_t> hops = intMember(content, "hops", 1, maxHops);
    const absl::StatusOr<int64_t> remaining =
            intMember(content, "remainingMs", 0, inMilliseconds(requests::maxRequestDeadline));
    for (const absl::Status &status : {group.status(), hops.status(), remaining.status()}) {
        if (!status.ok())
            return status;
    }
    request.group = *group;
    request.hops = *hops;
    request.deadline = now + milliseconds(*remaining);
    return absl::OkStatus();
}

} // namespace

GroupId groupIdOf(const ExecuteRequest &request)
{
    return requests::endpointGroupId(request.service, request.group);
}

rpc::Message encodeRequest(const ExecuteRequest &request, TimePoint now)
{
    Json::Value content;
    content["service"] = request.service.value();
    content["method"] = request.method;
    content["group"] = Json::Int64(request.group);
    content["requestId"] = request.id.id.value();
    content["idempotent"] = request.isIdempotent;
    content["class"] = settings::urgencyClassName(request.urgency);
    content["remainingMs"] =
            Json::Int64(std::max<int64_t>(0, inMilliseconds(request.deadline - now)));
    content["hops"] = Json::Int64(request.hops);
    content["contentType"] = request.contentType;
    return {.content = std::move(content), .attachment = request.body};
}

absl::StatusOr<ExecuteRequest> decodeRequest(rpc::Message message, TimePoint now)
{
    ExecuteRequest request;
    absl::Status status = readTexts(message.content, request);
    if (status.ok())
        status = readNumbers(message.content, now, request);
    if (!status.ok())
        return status;
    const absl::StatusOr<std::string> id = stringMember(message.content, "requestId");
    const absl::StatusOr<std::string> urgency = stringMember(message.content, "class");
    if (!id.ok() || !urgency.ok())
        return id.ok() ? urgency.status() : id.status();
    const auto parsedId = requests::parseRequestId(*id);
    const auto parsedClass = settings::urgencyClassFromName(*urgency);
    if (!parsedId.ok() || !parsedClass.ok())
        return parsedId.ok() ? parsedClass.status() : parsedId.status();
    request.id = *parsedId;
    request.urgency = *parsedClass;
    request.body = std::move(message.attachment);
    return request;
}

rpc::Message encodeResult(const ExecuteResult &result)
{
    const Outcome &outcome = *result.outcome;
    Json::Value content;
    content["outcome"] = outcomeName(outcome.kind);
    content["load"] = result.load;
    if (outcome.kind != OutcomeKind::Answered) {
        content["error"] = errorToJson(outcome.error)["error"];
        return {.content = std::move(content)};
    }
    content["status"] = outcome.status;
    content["contentType"] = outcome.contentType;
    return {.content = std::move(content), .attachment = outcome.body};
}

absl::StatusOr<ExecuteResult> decodeResult(rpc::Message message)
{
    if (!message.content.isObject())
        return makeError(Failure::ProtocolError, "the result is not an object");
    const Json::Value load = message.content["load"];
    absl::StatusOr<Outcome> outcome = outcomeFrom(std::move(message));
    if (!outcome.ok())
        return outcome.status();
    return ExecuteResult{std::make_shared<const Outcome>(*std::move(outcome)),
                         load.isNumeric() ? load.asDouble() : 0};
}

ExecuteResult notRun(const absl::Status &reason)
{
    return {std::make_shared<const Outcome>(Outcome::notRun(reason))};
}

} // namespace cwl::entry
