#include "scheduler/operatorsapi.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include <charconv>
#include <utility>

namespace cwl::scheduler {

namespace {

constexpr const char *jobsPath = "/v1/jobs";
constexpr const char *workersPath = "/v1/workers";
constexpr const char *settingsPath = "/v1/settings";

int statusCode(Failure failure)
{
    switch (failure) {
    case Failure::UnknownJob:
    case Failure::UnknownWorker:
    case Failure::UnknownSubtree:
    case Failure::UnknownMethod:
        return 404;
    case Failure::JobConflict:
    case Failure::VersionConflict:
    case Failure::Conflict:
        return 409;
    case Failure::NotAuthorized:
        return 403;
    case Failure::BodyTooLarge:
        return 413;
    case Failure::QueueFull:
    case Failure::RateLimited:
        return 429;
    case Failure::NotOwner:
    case Failure::NoOwner:
    case Failure::NotReady:
    case Failure::LeaseLapsed:
    case Failure::ShuttingDown:
    case Failure::StoreUnavailable:
    case Failure::ConnectionRefused:
        return 503;
    case Failure::ConnectionLost:
    case Failure::StoreOutcomeUnknown:
    case Failure::Timeout:
        return 504;
    case Failure::Internal:
    case Failure::ProtocolError:
        return 500;
    default:
        return 400;
    }
}

http::Response jsonResponse(int status, const Json::Value &body)
{
    http::Response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = writeJson(body);
    return response;
}

void answer(const http::Responder &respond, const absl::StatusOr<Json::Value> &value)
{
    if (value.ok())
        respond(jsonResponse(200, *value));
    else
        respond(jsonResponse(statusCode(failureOf(value.status())), errorToJson(value.status())));
}

bool startsWith(const std::string &path, const std::string &prefix)
{
    return path == prefix || path.rfind(prefix + "/", 0) == 0;
}

absl::Status unknownPath(const http::Request &request)
{
    return makeError(Failure::UnknownMethod,
                     absl::StrCat(request.method, " ", request.path, " does not exist"));
}

std::string bearerToken(const http::Request &request)
{
    const std::string &value = request.headers.value("Authorization");
    const std::string prefix = "Bearer ";
    return value.rfind(prefix, 0) == 0 ? value.substr(prefix.size()) : "";
}

} // namespace

void OperatorsApi::handle(http::Request request, http::Responder respond)
{
    boost::asio::post(m_control,
                      [this, request = std::move(request), respond = std::move(respond)] {
                          dispatch(request, respond);
                      });
}

void OperatorsApi::dispatch(const http::Request &request, const http::Responder &respond)
{
    using Handle = void (OperatorsApi::*)(const http::Request &, const std::string &,
                                          const http::Responder &);
    const std::pair<std::string, Handle> handlers[] = {
            {jobsPath, &OperatorsApi::handleJobs},
            {workersPath, &OperatorsApi::handleWorkers},
            {settingsPath, &OperatorsApi::handleSettings},
    };
    for (const auto &[prefix, handle] : handlers) {
        if (!startsWith(request.path, prefix))
            continue;
        const bool hasRest = request.path.size() > prefix.size() + 1;
        (this->*handle)(request, hasRest ? request.path.substr(prefix.size() + 1) : "", respond);
        return;
    }
    answer(respond, unknownPath(request));
}

// Section: jobs

void OperatorsApi::handleJobs(const http::Request &request, const std::string &rest,
                              const http::Responder &respond)
{
    const auto reply = [respond](const absl::StatusOr<Json::Value> &value) {
        answer(respond, value);
    };
    const size_t slash = rest.find('/');
    const JobId job(rest.substr(0, slash));
    const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (rest.empty() && request.method == "POST")
        submitJob(request, respond);
    else if (rest.empty() && request.method == "GET")
        m_groups.list(reply);
    else if (request.method == "GET" && action.empty() && !rest.empty())
        m_groups.show(job, reply);
    else if (request.method == "GET" && action == "explain")
        m_groups.explain(job, reply);
    else if (request.method == "DELETE" && action.empty() && !rest.empty())
        m_groups.cancel(job, reply);
    else
        answer(respond, unknownPath(request));
}

void OperatorsApi::submitJob(const http::Request &request, const http::Responder &respond)
{
    const auto body = parseJson(request.body);
    if (!body.ok()) {
        answer(respond, body.status());
        return;
    }
    m_groups.submit(
            *body, [respond](const absl::StatusOr<Json::Value> &value) { answer(respond, value); });
}

// Section: workers

void OperatorsApi::handleWorkers(const http::Request &request, const std::string &rest,
                                 const http::Responder &respond)
{
    if (rest.empty() && request.method == "GET") {
        answer(respond, m_groups.workers());
        return;
    }
    const size_t slash = rest.find('/');
    const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method != "POST" || (action != "drain" && action != "undrain")) {
        answer(respond, unknownPath(request));
        return;
    }
    const std::string worker = rest.substr(0, slash);
    m_groups.setDraining(
            WorkerId(worker), action == "drain",
            [respond](const absl::StatusOr<Json::Value> &value) { answer(respond, value); });
}

// Section: settings

void OperatorsApi::handleSettings(const http::Request &request, const std::string &rest,
                                  const http::Responder &respond)
{
    if (request.method == "GET")
        showSettings(rest, respond);
    else if (request.method == "PUT" && !rest.empty())
        changeSettings(request, rest, respond);
    else
        answer(respond, unknownPath(request));
}

void OperatorsApi::showSettings(const std::string &subtree, const http::Responder &respond)
{
    const auto settings = m_follower.current();
    if (!settings) {
        answer(respond,
               makeError(Failure::NotReady, "the cell settings are not known yet",
                         {.retryAfterMs = 500}));
        return;
    }
    Json::Value value;
    value["version"] = Json::Int64(settings->version.value());
    if (subtree.empty()) {
        value["subtrees"] = Json::Value(Json::arrayValue);
        for (const auto &[name, text] : settings->texts)
            value["subtrees"].append(name);
        answer(respond, value);
        return;
    }
    const auto text = settings->texts.find(subtree);
    if (text == settings->texts.end()) {
        answer(respond,
               makeError(Failure::UnknownSubtree,
                         absl::StrCat("settings subtree \"", subtree, "\" does not exist"),
                         {.field = "subtree"}));
        return;
    }
    value["subtree"] = subtree;
    value["text"] = text->second;
    answer(respond, value);
}

void OperatorsApi::changeSettings(const http::Request &request, const std::string &subtree,
                                  const http::Responder &respond)
{
    settings::Change change;
    change.changeId = ChangeId(request.headers.value("Change-Id"));
    change.subtree = subtree;
    change.text = request.body;
    change.token = bearerToken(request);
    if (change.changeId.isEmpty()) {
        answer(respond,
               makeError(Failure::MissingField, "the header Change-Id is missing",
                         {.field = "Change-Id"}));
        return;
    }
    const std::string &version = request.headers.value("If-Match");
    int64_t basedOn = -1;
    const char *const end = version.data() + version.size();
    const auto [stopped, error] = std::from_chars(version.data(), end, basedOn);
    if (error != std::errc() || stopped != end || basedOn < 0) {
        answer(respond,
               makeError(Failure::InvalidValue, "the header If-Match is not a settings version",
                         {.field = "If-Match", .limit = "0 or more"}));
        return;
    }
    change.basedOn = SettingsVersion(basedOn);
    m_follower.change(std::move(change), [respond](const absl::StatusOr<SettingsVersion> &result) {
        if (!result.ok()) {
            answer(respond, result.status());
            return;
        }
        Json::Value value;
        value["version"] = Json::Int64(result->value());
        answer(respond, value);
    });
}

} // namespace cwl::scheduler
