// Typed failures carried by absl::Status: every failure has a Failure value, never only a text.

#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>

namespace cwl {

// Every kind of failure. The wire name is the snake_case form, see failureName().
enum class Failure {
    None,
    // Input
    MalformedBody,
    MissingField,
    UnknownField,
    InvalidValue,
    BodyTooLarge,
    UnknownTeam,
    UnknownService,
    UnknownMethod,
    UnknownJob,
    UnknownWorker,
    UnknownSubtree,
    NotAuthorized,
    JobTooLarge,
    JobConflict,
    VersionConflict,
    QuotaImpossible,
    // Limits
    QueueFull,
    DeadlineUnreachable,
    DeadlinePassed,
    RetryBudgetSpent,
    RateLimited,
    // Requests
    IdFromFuture,
    IdPredatesOwner,
    EndpointLost,
    AnswerTruncated,
    // State and ownership
    NotOwner,
    NoOwner,
    NotReady,
    LeaseLapsed,
    ShuttingDown,
    Conflict,
    // Outside systems and connections
    StoreUnavailable,
    StoreOutcomeUnknown,
    HistoryLost,
    ConnectionRefused,
    ConnectionLost,
    Timeout,
    ProtocolError,
    // Start-up
    InvalidSettings,
    AddressInUse,
    Internal,
};

// What a caller or an operator is told beside the kind of failure.
struct ErrorDetail
{
    std::string field = {}; // the field, header, key or line at fault; may be empty
    std::string limit = {}; // the limit that was passed, with its unit; may be empty
    std::optional<int64_t> retryAfterMs = {}; // milliseconds after which another try makes sense
};

// Section: making and reading errors

// Returns a status of the absl code that suits `failure`. `message` says what was wrong with which
// value.
absl::Status makeError(Failure failure, const std::string &message, const ErrorDetail &detail = {});

// Returns the kind of failure, None for an OK status, Internal for a status made elsewhere.
Failure failureOf(const absl::Status &status);

// Returns the detail of a status made by makeError(), or an empty detail.
ErrorDetail detailOf(const absl::Status &status);

// Section: names and JSON

// Returns the wire name, such as "queue_full".
const char *failureName(Failure failure);

// Returns the failure of that wire name, or nullopt.
std::optional<Failure> failureFromName(const std::string &name);

// Returns {"error": {"type", "message", "field"?, "limit"?, "retryAfterMs"?}}.
Json::Value errorToJson(const absl::Status &status);

// Reads what errorToJson() wrote; a value of another shape becomes ProtocolError.
absl::Status errorFromJson(const Json::Value &value);

} // namespace cwl
