#include "node/adminpages.h"

#include "base/error.h"
#include "base/json.h"
#include "base/traffic.h"

namespace cwl::node {

namespace {

http::Response response(int status, const char *type, std::string body)
{
    http::Response response{.status = status, .body = std::move(body)};
    response.headers.set("Content-Type", type);
    return response;
}

http::Response jsonResponse(int status, const Json::Value &value)
{
    return response(status, "application/json", writeJson(value) + "\n");
}

} // namespace

http::Response errorResponse(int status, const absl::Status &error)
{
    return jsonResponse(status, errorToJson(error));
}

AdminPages::AdminPages(StateDump &dump, const Readiness &readiness,
                       const metrics::Registry &metrics)
    : m_dump(dump)
    , m_readiness(readiness)
    , m_metrics(metrics)
{
}

bool AdminPages::handle(const http::Request &request, const http::Responder &respond)
{
    const std::string &path = request.path;
    if (path != "/healthz" && path != "/readyz" && path != "/metrics" && path != "/state")
        return false;
    const TimePoint now = BootClock::now();
    if (request.method != "GET") {
        respond(errorResponse(405,
                              makeError(Failure::UnknownMethod, path + " answers GET only",
                                        {.field = "method"})));
    } else if (path == "/healthz") {
        // isStalled() counts from controlStallLimit on.
        const bool isHealthy = !m_readiness.isStalled(now - unhealthyAfter + controlStallLimit);
        Json::Value body;
        body["status"] = isHealthy ? "ok" : "the control thread is stalled";
        respond(jsonResponse(isHealthy ? 200 : 503, body));
    } else if (path == "/readyz") {
        const Json::Value state = m_readiness.state(now);
        respond(jsonResponse(state["ready"].asBool() ? 200 : 503, state));
    } else if (path == "/metrics") {
        respond(response(200, "text/plain; version=0.0.4", m_metrics.text() + trafficText()));
    } else {
        answerState(respond);
    }
    return true;
}

void AdminPages::answerState(const http::Responder &respond)
{
    const bool isUnderWay = m_dump.collect([respond](const StateDump::Texts &texts) {
        respond(response(200, "application/json", StateDump::joined(texts)));
    });
    if (!isUnderWay)
        respond(errorResponse(503,
                              makeError(Failure::RateLimited, "too many state dumps are under way",
                                        {.limit = std::to_string(maxDumpsUnderWay) + " dumps",
                                         .retryAfterMs = 1000})));
}

} // namespace cwl::node
