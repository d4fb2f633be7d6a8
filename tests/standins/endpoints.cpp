// Stand-in for endpoints: one process holds many, each on its own port, and counts what it ran.
// The protocol is in docs/design.md, section 9.3.
//
// Usage: standin-endpoints [--port N] --settings FILE
// FILE holds {"endpoints": [{"id", "port"?, "slots"?, "connections"?, "serviceMs"?}]}. The ready
// line names the control port, then the port of each endpoint in the order of the file. The control
// paths answer on the control port and on every endpoint.
//
// Commands beyond section 9.3: "answerBytes" pads answers to that length, "failNext" answers that
// many requests with 500, "loseNext" closes the connection of that many after running them.

#include "base/error.h"
#include "standins/frame.h"

#include <iostream>

namespace {

using namespace cwl;
using namespace cwl::standins;

struct Endpoint
{
    std::string id;
    std::unique_ptr<Listener> listener;
    int64_t slots = 8;
    int64_t connections = 64;
    int64_t serviceMs = 5;
    int64_t answerBytes = 0;
    int64_t failNext = 0;
    int64_t loseNext = 0;
    int64_t active = 0;
    int64_t executed = 0;
    int64_t mostActive = 0;
    int64_t mostConnections = 0;
    bool leaving = false;
    bool silent = false;
    bool truncate = false;
    TimePoint leavingSince = {};
    int64_t lastStartAfterLeavingMs = -1; // -1 when none started while it was leaving
};

class Endpoints
{
public:
    Endpoints(Frame &frame, const Json::Value &settings);

    void control(const http::Request &request, const Reply &reply);
    std::vector<uint16_t> ports() const;

private:
    void add(const Json::Value &settings);
    void handle(Endpoint &endpoint, const http::Request &request, const Reply &reply);
    void countConnections(Endpoint &endpoint);
    void execute(Endpoint &endpoint, const http::Request &request, const Reply &reply);
    void finish(Endpoint &endpoint, const http::Request &request, const Reply &reply);
    static Json::Value status(const Endpoint &endpoint);
    Json::Value executions() const;
    void command(const http::Request &request, const Reply &reply);

    Frame &m_frame;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::map<std::string, int64_t> m_executions; // by request id
    int64_t m_withoutId = 0;
    int64_t m_slotOverloads = 0;
    int64_t m_connectionOverloads = 0;
};

Endpoints::Endpoints(Frame &frame, const Json::Value &settings)
    : m_frame(frame)
{
    for (const Json::Value &endpoint : settings["endpoints"])
        add(endpoint);
}

void Endpoints::add(const Json::Value &settings)
{
    auto endpoint = std::make_unique<Endpoint>();
    Endpoint &added = *endpoint;
    int64_t port = 0;
    readMember(settings, "id", added.id);
    readMember(settings, "port", port);
    readMember(settings, "slots", added.slots);
    readMember(settings, "connections", added.connections);
    readMember(settings, "serviceMs", added.serviceMs);
    added.listener = std::make_unique<Listener>(
            m_frame.context(), uint16_t(port),
            [this, &added](const http::Request &request, const Reply &reply) {
                handle(added, request, reply);
            });
    added.listener->onAccepted([this, &added] { countConnections(added); });
    m_endpoints.push_back(std::move(endpoint));
}

std::vector<uint16_t> Endpoints::ports() const
{
    std::vector<uint16_t> result;
    for (const auto &endpoint : m_endpoints)
        result.push_back(endpoint->listener->port());
    return result;
}

// Section: requests

void Endpoints::handle(Endpoint &endpoint, const http::Request &request, const Reply &reply)
{
    if (request.path.starts_with("/control"))
        control(request, reply);
    else if (endpoint.silent && request.path == "/status")
        return;
    else if (request.path == "/status")
        reply.sendJson(200, status(endpoint));
    else if (request.method == "POST")
        execute(endpoint, request, reply);
    else
        reply.sendError(404, makeError(Failure::UnknownMethod, "no such path"));
}

void Endpoints::countConnections(Endpoint &endpoint)
{
    const auto open = int64_t(endpoint.listener->connections());
    endpoint.mostConnections = std::max(endpoint.mostConnections, open);
    m_connectionOverloads += open > endpoint.connections;
}

void Endpoints::execute(Endpoint &endpoint, const http::Request &request, const Reply &reply)
{
    const std::string id = request.headers.value("Request-Id");
    if (id.empty())
        ++m_withoutId;
    else if (++m_executions[id] == 2)
        std::cerr << "request " << id << " runs a second time, on " << endpoint.id << std::endl;
    ++endpoint.executed;
    ++endpoint.active;
    endpoint.mostActive = std::max(endpoint.mostActive, endpoint.active);
    m_slotOverloads += endpoint.active > endpoint.slots;
    if (endpoint.leaving)
        endpoint.lastStartAfterLeavingMs =
                std::chrono::duration_cast<milliseconds>(BootClock::now() - endpoint.leavingSince)
                        .count();
    m_frame.after(milliseconds(endpoint.serviceMs), [this, &endpoint, request, reply] {
        --endpoint.active;
        finish(endpoint, request, reply);
    });
}

void Endpoints::finish(Endpoint &endpoint, const http::Request &request, const Reply &reply)
{
    if (endpoint.silent)
        return;
    if (endpoint.loseNext > 0) {
        --endpoint.loseNext;
        reply.lose();
        return;
    }
    Json::Value body;
    body["requestId"] = request.headers.value("Request-Id");
    body["endpoint"] = endpoint.id;
    body["method"] = request.path.substr(1);
    body["body"] = request.body;
    http::Response response{.status = 200, .body = writeJson(body)};
    if (endpoint.failNext > 0) {
        --endpoint.failNext;
        response.status = 500;
    }
    response.headers.set("Content-Type", "application/json");
    if (endpoint.answerBytes > int64_t(response.body.size()))
        response.body.resize(size_t(endpoint.answerBytes), ' ');
    if (endpoint.truncate)
        reply.truncate(std::move(response));
    else
        reply.send(std::move(response));
}

// Section: commands

Json::Value Endpoints::status(const Endpoint &endpoint)
{
    Json::Value result;
    result["slots"] = Json::Int64(endpoint.slots);
    result["connections"] = Json::Int64(endpoint.listener->connections());
    result["active"] = Json::Int64(endpoint.active);
    result["leaving"] = endpoint.leaving;
    return result;
}

Json::Value Endpoints::executions() const
{
    Json::Value result;
    result["executions"] = Json::Value(Json::objectValue);
    for (const auto &[id, count] : m_executions)
        result["executions"][id] = Json::Int64(count);
    result["withoutId"] = Json::Int64(m_withoutId);
    result["slotOverloads"] = Json::Int64(m_slotOverloads);
    result["connectionOverloads"] = Json::Int64(m_connectionOverloads);
    for (const auto &endpoint : m_endpoints) {
        Json::Value &one = result["endpoints"][endpoint->id];
        one = status(*endpoint);
        one["executed"] = Json::Int64(endpoint->executed);
        one["mostActive"] = Json::Int64(endpoint->mostActive);
        one["mostConnections"] = Json::Int64(endpoint->mostConnections);
        one["lastStartAfterLeavingMs"] = Json::Int64(endpoint->lastStartAfterLeavingMs);
    }
    return result;
}

void Endpoints::control(const http::Request &request, const Reply &reply)
{
    if (request.method == "GET" && request.path == "/control/executions")
        reply.sendJson(200, executions());
    else if (request.method == "POST" && request.path == "/control")
        command(request, reply);
    else
        reply.sendError(404, makeError(Failure::UnknownMethod, "no such path"));
}

void Endpoints::command(const http::Request &request, const Reply &reply)
{
    const std::optional<Json::Value> body = bodyOf(request, reply);
    if (!body
        || !hasOnly(*body,
                    {"endpoint", "leaving", "serviceMs", "silent", "truncate", "answerBytes",
                     "failNext", "loseNext"},
                    reply))
        return;
    std::string id;
    readMember(*body, "endpoint", id);
    bool isKnown = false;
    for (const auto &endpoint : m_endpoints) {
        if (id != endpoint->id && id != "*")
            continue;
        isKnown = true;
        const bool wasLeaving = endpoint->leaving;
        readMember(*body, "leaving", endpoint->leaving);
        readMember(*body, "serviceMs", endpoint->serviceMs);
        readMember(*body, "silent", endpoint->silent);
        readMember(*body, "truncate", endpoint->truncate);
        readMember(*body, "answerBytes", endpoint->answerBytes);
        readMember(*body, "failNext", endpoint->failNext);
        readMember(*body, "loseNext", endpoint->loseNext);
        if (endpoint->leaving && !wasLeaving)
            endpoint->leavingSince = BootClock::now();
    }
    if (isKnown)
        reply.sendJson(200, Json::Value(Json::objectValue));
    else
        reply.sendError(404,
                        makeError(Failure::InvalidValue, "no endpoint '" + id + "'",
                                  {.field = "endpoint"}));
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = readArguments(argc, argv, {{"port", "0"}, {"settings", ""}});
    Frame frame;
    Endpoints endpoints(frame, readSettings(arguments["settings"]));
    const Listener listener(frame.context(), portOf(arguments["port"]),
                            [&endpoints](const http::Request &request, const Reply &reply) {
                                endpoints.control(request, reply);
                            });
    std::vector<uint16_t> ports = endpoints.ports();
    ports.insert(ports.begin(), listener.port());
    return frame.run(ports);
}
