#include "requests/outcome.h"

#include <utility>

namespace cwl::requests {

namespace {

int notRunStatus(Failure failure)
{
    switch (failure) {
    case Failure::MalformedBody:
    case Failure::MissingField:
    case Failure::UnknownField:
    case Failure::InvalidValue:
    case Failure::IdFromFuture:
        return 400;
    case Failure::UnknownService:
    case Failure::UnknownMethod:
        return 404;
    case Failure::BodyTooLarge:
        return 413;
    case Failure::QueueFull:
    case Failure::RateLimited:
        return 429;
    default:
        return 503;
    }
}

} // namespace

Outcome Outcome::answered(int status, std::string contentType, std::string body)
{
    return {.kind = OutcomeKind::Answered,
            .status = status,
            .contentType = std::move(contentType),
            .body = std::move(body)};
}

Outcome Outcome::notRun(absl::Status reason)
{
    return {.kind = OutcomeKind::NotRun, .error = std::move(reason)};
}

Outcome Outcome::unknown(absl::Status reason)
{
    return {.kind = OutcomeKind::Unknown, .error = std::move(reason)};
}

const char *outcomeName(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Answered:
        return "answered";
    case OutcomeKind::NotRun:
        return "not-run";
    case OutcomeKind::Unknown:
        break;
    }
    return "unknown";
}

int httpStatusOf(const Outcome &outcome)
{
    switch (outcome.kind) {
    case OutcomeKind::Answered:
        return outcome.status;
    case OutcomeKind::NotRun:
        return notRunStatus(failureOf(outcome.error));
    case OutcomeKind::Unknown:
        break;
    }
    return failureOf(outcome.error) == Failure::Timeout ? 504 : 502;
}

} // namespace cwl::requests
