#include "entry/callersapi.h"

#include "base/error.h"
#include "base/json.h"
#include "base/random.h"
#include "requests/endpointpool.h"

#include <absl/strings/str_cat.h>

#include <charconv>
#include <utility>

namespace cwl::entry {

namespace {

using requests::Outcome;
using requests::SharedOutcome;

constexpr const char *idHeader = "Request-Id";
constexpr const char *deadlineHeader = "Request-Deadline-Ms";
constexpr const char *classHeader = "Request-Class";
constexpr const char *attemptHeader = "Request-Attempt";
constexpr int64_t defaultDeadlineMs = 10000;
constexpr int64_t shedRetryMs = 500;
constexpr int64_t notReadyRetryMs = 1000;

int64_t maxDeadlineMs()
{
    return std::chrono::duration_cast<milliseconds>(requests::maxRequestDeadline).count();
}

// Only the caller knows whether an id was sent before; without its word a repeat is assumed.
bool isFirstAttempt(const http::Headers &headers)
{
    return headers.value(attemptHeader) == "1";
}

absl::Status readPath(const http::Request &request, const settings::CellSettings &settings,
                      ExecuteRequest &result)
{
    const std::string rest = request.path.substr(std::string(servicesPrefix).size());
    const size_t slash = rest.find('/');
    const std::string service = rest.substr(0, slash);
    const auto found = settings.cell.services.find(service);
    if (found == settings.cell.services.end())
        return makeError(Failure::UnknownService,
                         absl::StrCat("service '", service, "' does not exist"),
                         {.field = "service"});
    const std::string method = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const auto methodFound = found->second.methods.find(method);
    if (methodFound == found->second.methods.end())
        return makeError(Failure::UnknownMethod,
                         absl::StrCat("service '", service, "' has no method '", method, "'"),
                         {.field = "method"});
    if (request.method != "POST")
        return makeError(Failure::InvalidValue,
                         absl::StrCat("HTTP method ", request.method, " is not supported here"),
                         {.field = "HTTP method", .limit = "POST"});
    result.service = ServiceId(service);
    result.method = method;
    result.isIdempotent = methodFound->second.idempotent;
    return absl::OkStatus();
}

absl::Status readDeadline(const http::Headers &headers, TimePoint now, ExecuteRequest &result)
{
    int64_t value = defaultDeadlineMs;
    if (headers.contains(deadlineHeader)) {
        const std::string &text = headers.value(deadlineHeader);
        const char *end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc() || stop != end || value < 1 || value > maxDeadlineMs())
            return makeError(Failure::InvalidValue,
                             absl::StrCat("header ", deadlineHeader, " is '", text,
                                          "', not a whole number in its range"),
                             {.field = deadlineHeader,
                              .limit = absl::StrCat("1 to ", maxDeadlineMs(), " ms")});
    }
    result.deadline = now + milliseconds(value);
    return absl::OkStatus();
}

absl::Status readClass(const http::Headers &headers, ExecuteRequest &result)
{
    if (!headers.contains(classHeader))
        return absl::OkStatus();
    const std::string &text = headers.value(classHeader);
    const auto urgency = settings::urgencyClassFromName(text);
    if (!urgency.ok())
        return makeError(Failure::InvalidValue,
                         absl::StrCat("header ", classHeader, " is '", text, "'"),
                         {.field = classHeader, .limit = "urgent, normal or deferred"});
    result.urgency = *urgency;
    return absl::OkStatus();
}

absl::Status readId(const http::Headers &headers, UnixMilliseconds unixNow, ExecuteRequest &result)
{
    std::string text = headers.value(idHeader);
    if (text.empty() && !result.isIdempotent)
        return makeError(Failure::MissingField,
                         absl::StrCat("header Request-Id is required: method '", result.method,
                                      "' is not idempotent"),
                         {.field = idHeader, .limit = "<unix milliseconds>-<unique>"});
    if (text.empty())
        text = std::to_string(unixNow.value()) + "-" + randomHexId();
    const auto id = requests::parseRequestId(text);
    if (!id.ok())
        return id.status();
    result.id = *id;
    result.mayBeRepeat = !result.isIdempotent && !isFirstAttempt(headers);
    return absl::OkStatus();
}

// A refusal that says nothing about earlier attempts with the same id. Input errors are final for
// any attempt.
bool isTransient(Failure failure)
{
    return failure == Failure::ShuttingDown || failure == Failure::QueueFull
            || failure == Failure::NotReady;
}

} // namespace

absl::StatusOr<ExecuteRequest> parseCallerRequest(http::Request request,
                                                  const settings::CellSettings *settings,
                                                  TimePoint now, UnixMilliseconds unixNow)
{
    if (!settings)
        return makeError(Failure::NotReady, "no cell settings are known yet",
                         {.retryAfterMs = notReadyRetryMs});
    ExecuteRequest result;
    absl::Status status = readPath(request, *settings, result);
    if (status.ok())
        status = readDeadline(request.headers, now, result);
    if (status.ok())
        status = readClass(request.headers, result);
    if (status.ok())
        status = readId(request.headers, unixNow, result);
    if (!status.ok())
        return status;
    result.contentType = request.headers.value("Content-Type");
    result.body = std::move(request.body);
    return result;
}

http::Response responseFor(const Outcome &outcome)
{
    http::Response response;
    response.status = httpStatusOf(outcome);
    response.headers.set(outcomeHeader, outcomeName(outcome.kind));
    if (outcome.kind == requests::OutcomeKind::Answered) {
        if (!outcome.contentType.empty())
            response.headers.set("Content-Type", outcome.contentType);
        response.body = outcome.body;
        return response;
    }
    response.headers.set("Content-Type", "application/json");
    const std::optional<int64_t> retryAfterMs = detailOf(outcome.error).retryAfterMs;
    if (retryAfterMs)
        response.headers.set("Retry-After", std::to_string((*retryAfterMs + 999) / 1000));
    response.body = writeJson(errorToJson(outcome.error));
    return response;
}

CallersApi::CallersApi(CurrentSettings settings, Route route, LoadLimits &limits,
                       metrics::Registry &metrics)
    : m_settings(std::move(settings))
    , m_route(std::move(route))
    , m_limits(limits)
{
    for (const auto kind : {requests::OutcomeKind::Answered, requests::OutcomeKind::NotRun,
                            requests::OutcomeKind::Unknown})
        m_metrics.outcomes.at(static_cast<size_t>(kind)) =
                &metrics.counter("cwl_requests_total", "Callers' requests by outcome.",
                                 {{"outcome", outcomeName(kind)}});
    for (size_t i = 0; i < settings::urgencyClassCount; ++i) {
        const auto urgency = static_cast<settings::UrgencyClass>(i);
        m_metrics.times.at(i) =
                &metrics.histogram("cwl_request_seconds", "Time from request to response.",
                                   {{"class", settings::urgencyClassName(urgency)}});
    }
}

absl::StatusOr<ExecuteRequest> CallersApi::accept(http::Request request,
                                                  LoadLimits::Place &place) const
{
    if (m_isStopping)
        return makeError(Failure::ShuttingDown, "this entry is shutting down",
                         {.retryAfterMs = notReadyRetryMs});
    place = m_limits.take(request.body.size());
    if (!place)
        return makeError(
                Failure::QueueFull, "this entry holds too many requests",
                {.limit = absl::StrCat(maxRequestsHeld, " requests, ", maxBytesHeld, " bytes"),
                 .retryAfterMs = shedRetryMs});
    const auto settings = m_settings();
    return parseCallerRequest(std::move(request), settings.get(), BootClock::now(),
                              UnixMilliseconds::now());
}

void CallersApi::handle(http::Request request, http::Responder respond)
{
    const TimePoint start = BootClock::now();
    LoadLimits::Place place;
    const bool mayBeRepeat = request.headers.contains(idHeader) && !isFirstAttempt(request.headers);
    absl::StatusOr<ExecuteRequest> accepted = accept(std::move(request), place);
    ++*m_underWay;
    const auto finish = [respond = std::move(respond), metrics = m_metrics, place, start,
                         underWay = m_underWay](const Outcome &outcome, size_t urgency) {
        metrics.outcomes.at(static_cast<size_t>(outcome.kind))->add();
        metrics.times.at(urgency)->observe(BootClock::now() - start);
        respond(responseFor(outcome));
        --*underWay;
    };
    if (!accepted.ok()) {
        const bool mayHaveRun = mayBeRepeat && isTransient(failureOf(accepted.status()));
        finish(mayHaveRun ? Outcome::unknown(accepted.status())
                          : Outcome::notRun(accepted.status()),
               static_cast<size_t>(settings::UrgencyClass::Normal));
        return;
    }
    const auto urgency = static_cast<size_t>(accepted->urgency);
    m_route(*std::move(accepted),
            [finish, urgency](const SharedOutcome &outcome) { finish(*outcome, urgency); });
}

} // namespace cwl::entry
