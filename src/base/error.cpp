#include "base/error.h"

#include "base/json.h"

#include <absl/strings/cord.h>

#include <array>
#include <utility>

namespace cwl {

namespace {

constexpr const char *payloadUrl = "carawayledge/failure";

struct FailureEntry
{
    Failure failure;
    const char *name;
    absl::StatusCode code;
};

using Code = absl::StatusCode;

constexpr std::array failureTable{
        FailureEntry{Failure::None, "none", Code::kOk},
        FailureEntry{Failure::MalformedBody, "malformed_body", Code::kInvalidArgument},
        FailureEntry{Failure::MissingField, "missing_field", Code::kInvalidArgument},
        FailureEntry{Failure::UnknownField, "unknown_field", Code::kInvalidArgument},
        FailureEntry{Failure::InvalidValue, "invalid_value", Code::kInvalidArgument},
        FailureEntry{Failure::BodyTooLarge, "body_too_large", Code::kInvalidArgument},
        FailureEntry{Failure::UnknownTeam, "unknown_team", Code::kNotFound},
        FailureEntry{Failure::UnknownService, "unknown_service", Code::kNotFound},
        FailureEntry{Failure::UnknownMethod, "unknown_method", Code::kNotFound},
        FailureEntry{Failure::UnknownJob, "unknown_job", Code::kNotFound},
        FailureEntry{Failure::UnknownWorker, "unknown_worker", Code::kNotFound},
        FailureEntry{Failure::UnknownSubtree, "unknown_subtree", Code::kNotFound},
        FailureEntry{Failure::NotAuthorized, "not_authorized", Code::kPermissionDenied},
        FailureEntry{Failure::JobTooLarge, "job_too_large", Code::kInvalidArgument},
        FailureEntry{Failure::JobConflict, "job_conflict", Code::kAlreadyExists},
        FailureEntry{Failure::VersionConflict, "version_conflict", Code::kAborted},
        FailureEntry{Failure::QuotaImpossible, "quota_impossible", Code::kInvalidArgument},
        FailureEntry{Failure::QueueFull, "queue_full", Code::kResourceExhausted},
        FailureEntry{Failure::DeadlineUnreachable, "deadline_unreachable",
                     Code::kResourceExhausted},
        FailureEntry{Failure::DeadlinePassed, "deadline_passed", Code::kDeadlineExceeded},
        FailureEntry{Failure::RetryBudgetSpent, "retry_budget_spent", Code::kResourceExhausted},
        FailureEntry{Failure::RateLimited, "rate_limited", Code::kResourceExhausted},
        FailureEntry{Failure::IdFromFuture, "id_from_future", Code::kInvalidArgument},
        FailureEntry{Failure::IdPredatesOwner, "id_predates_owner", Code::kUnknown},
        FailureEntry{Failure::EndpointLost, "endpoint_lost", Code::kUnknown},
        FailureEntry{Failure::AnswerTruncated, "answer_truncated", Code::kUnknown},
        FailureEntry{Failure::NotOwner, "not_owner", Code::kFailedPrecondition},
        FailureEntry{Failure::NoOwner, "no_owner", Code::kUnavailable},
        FailureEntry{Failure::NotReady, "not_ready", Code::kUnavailable},
        FailureEntry{Failure::LeaseLapsed, "lease_lapsed", Code::kFailedPrecondition},
        FailureEntry{Failure::ShuttingDown, "shutting_down", Code::kUnavailable},
        FailureEntry{Failure::Conflict, "conflict", Code::kAborted},
        FailureEntry{Failure::StoreUnavailable, "store_unavailable", Code::kUnavailable},
        FailureEntry{Failure::StoreOutcomeUnknown, "store_outcome_unknown", Code::kUnknown},
        FailureEntry{Failure::HistoryLost, "history_lost", Code::kOutOfRange},
        FailureEntry{Failure::ConnectionRefused, "connection_refused", Code::kUnavailable},
        FailureEntry{Failure::ConnectionLost, "connection_lost", Code::kUnknown},
        FailureEntry{Failure::Timeout, "timeout", Code::kDeadlineExceeded},
        FailureEntry{Failure::ProtocolError, "protocol_error", Code::kInternal},
        FailureEntry{Failure::InvalidSettings, "invalid_settings", Code::kInvalidArgument},
        FailureEntry{Failure::AddressInUse, "address_in_use", Code::kUnavailable},
        FailureEntry{Failure::Internal, "internal", Code::kInternal},
};

const FailureEntry &entryOf(Failure failure)
{
    for (const FailureEntry &entry : failureTable) {
        if (entry.failure == failure)
            return entry;
    }
    return failureTable.back();
}

std::optional<Json::Value> payloadOf(const absl::Status &status)
{
    const absl::optional<absl::Cord> payload = status.GetPayload(payloadUrl);
    if (!payload)
        return std::nullopt;
    absl::StatusOr<Json::Value> parsed = parseJson(std::string(*payload));
    if (!parsed.ok())
        return std::nullopt;
    return *std::move(parsed);
}

} // namespace

absl::Status makeError(Failure failure, const std::string &message, const ErrorDetail &detail)
{
    const FailureEntry &entry = entryOf(failure);
    absl::Status status(entry.code, message);
    Json::Value payload;
    payload["type"] = entry.name;
    if (!detail.field.empty())
        payload["field"] = detail.field;
    if (!detail.limit.empty())
        payload["limit"] = detail.limit;
    if (detail.retryAfterMs)
        payload["retryAfterMs"] = Json::Int64(*detail.retryAfterMs);
    status.SetPayload(payloadUrl, absl::Cord(writeJson(payload)));
    return status;
}

Failure failureOf(const absl::Status &status)
{
    if (status.ok())
        return Failure::None;
    const std::optional<Json::Value> payload = payloadOf(status);
    if (!payload)
        return Failure::Internal;
    return failureFromName((*payload)["type"].asString()).value_or(Failure::Internal);
}

ErrorDetail detailOf(const absl::Status &status)
{
    ErrorDetail detail;
    const std::optional<Json::Value> payload = payloadOf(status);
    if (!payload)
        return detail;
    detail.field = payload->get("field", "").asString();
    detail.limit = payload->get("limit", "").asString();
    if (payload->isMember("retryAfterMs"))
        detail.retryAfterMs = (*payload)["retryAfterMs"].asInt64();
    return detail;
}

const char *failureName(Failure failure)
{
    return entryOf(failure).name;
}

std::optional<Failure> failureFromName(const std::string &name)
{
    for (const FailureEntry &entry : failureTable) {
        if (name == entry.name)
            return entry.failure;
    }
    return std::nullopt;
}

Json::Value errorToJson(const absl::Status &status)
{
    const ErrorDetail detail = detailOf(status);
    Json::Value error;
    error["type"] = failureName(failureOf(status));
    error["message"] = std::string(status.message());
    if (!detail.field.empty())
        error["field"] = detail.field;
    if (!detail.limit.empty())
        error["limit"] = detail.limit;
    if (detail.retryAfterMs)
        error["retryAfterMs"] = Json::Int64(*detail.retryAfterMs);
    Json::Value body;
    body["error"] = error;
    return body;
}

absl::Status errorFromJson(const Json::Value &value)
{
    const Json::Value error = value.isObject() ? value["error"] : Json::Value();
    if (!error.isObject() || !error["type"].isString() || !error["message"].isString())
        return makeError(Failure::ProtocolError,
                         "an error answer has no error.type or error.message");
    ErrorDetail detail;
    if (error["field"].isString())
        detail.field = error["field"].asString();
    if (error["limit"].isString())
        detail.limit = error["limit"].asString();
    if (error["retryAfterMs"].isInt64())
        detail.retryAfterMs = error["retryAfterMs"].asInt64();
    const Failure failure =
            failureFromName(error["type"].asString()).value_or(Failure::ProtocolError);
    return makeError(failure, error["message"].asString(), detail);
}

} // namespace cwl
