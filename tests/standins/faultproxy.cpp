// TCP proxy that injects faults on command: each link is a port whose connections go to a target.
//
// Usage: fault-proxy [--port N] --settings FILE
// FILE holds {"links": [{"name", "target": "ip:port", "port"?}]}. The ready line names the control
// port, then the port of each link in the order of the file.
//
// GET /control/links shows every link. POST /control {"link": name or "*", ...} changes one or all:
//   "delayMs": N               delays every byte by N milliseconds, in order
//   "cut": directions          discards bytes; connections that lost bytes are reset when it ends
//   "freeze": directions       keeps bytes back and delivers them when it ends
//   "silenceOpen": true        open connections carry nothing any more, for good; new ones work
//   "closeOpen": true          resets the open connections
//   "refuse": bool             new connections are refused
// Directions are "none", "both", "toTarget" or "toClient". {"add": {"name", "target"}} opens a
// further link and answers {"port"}.

#include "base/error.h"
#include "standins/frame.h"
#include "standins/proxylink.h"

#include <boost/asio/ip/address.hpp>

#include <iostream>

namespace {

using namespace cwl;
using namespace cwl::standins;
using boost::asio::ip::tcp;

class FaultProxy
{
public:
    FaultProxy(Frame &frame, const Json::Value &settings)
        : m_frame(frame)
    {
        for (const Json::Value &link : settings["links"])
            add(link);
    }

    void control(const http::Request &request, const Reply &reply);
    std::vector<uint16_t> ports() const;

private:
    uint16_t add(const Json::Value &settings);
    void command(const http::Request &request, const Reply &reply);

    Frame &m_frame;
    std::vector<std::unique_ptr<ProxyLink>> m_links;
};

uint16_t FaultProxy::add(const Json::Value &settings)
{
    int64_t port = 0;
    readMember(settings, "port", port);
    const std::string target = settings["target"].asString();
    const size_t colon = target.rfind(':');
    const tcp::endpoint endpoint(boost::asio::ip::make_address(target.substr(0, colon)),
                                 portOf(target.substr(colon + 1)));
    m_links.push_back(std::make_unique<ProxyLink>(m_frame.context(), settings["name"].asString(),
                                                  uint16_t(port), endpoint));
    return m_links.back()->port();
}

std::vector<uint16_t> FaultProxy::ports() const
{
    std::vector<uint16_t> result;
    for (const auto &link : m_links)
        result.push_back(link->port());
    return result;
}

void FaultProxy::control(const http::Request &request, const Reply &reply)
{
    if (request.method == "POST" && request.path == "/control") {
        command(request, reply);
        return;
    }
    if (request.path != "/control/links") {
        reply.sendError(404, makeError(Failure::UnknownMethod, "no such path"));
        return;
    }
    Json::Value body;
    body["links"] = Json::Value(Json::objectValue);
    for (const auto &link : m_links)
        body["links"][link->name()] = link->state();
    reply.sendJson(200, body);
}

void FaultProxy::command(const http::Request &request, const Reply &reply)
{
    const std::optional<Json::Value> body = bodyOf(request, reply);
    if (!body
        || !hasOnly(
                *body,
                {"link", "delayMs", "cut", "freeze", "silenceOpen", "closeOpen", "refuse", "add"},
                reply))
        return;
    if (body->isMember("add")) {
        Json::Value answer;
        answer["port"] = add((*body)["add"]);
        reply.sendJson(200, answer);
        return;
    }
    const std::string name = (*body)["link"].asString();
    bool isKnown = false;
    for (const auto &link : m_links) {
        if (name != "*" && name != link->name())
            continue;
        isKnown = true;
        if (!link->command(*body)) {
            reply.sendError(400,
                            makeError(Failure::InvalidValue,
                                      "directions are none, both, toTarget or toClient"));
            return;
        }
    }
    if (isKnown)
        reply.sendJson(200, Json::Value(Json::objectValue));
    else
        reply.sendError(
                404, makeError(Failure::InvalidValue, "no link '" + name + "'", {.field = "link"}));
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = readArguments(argc, argv, {{"port", "0"}, {"settings", ""}});
    Frame frame;
    try {
        FaultProxy proxy(frame, readSettings(arguments["settings"]));
        const Listener listener(frame.context(), portOf(arguments["port"]),
                                [&proxy](const http::Request &request, const Reply &reply) {
                                    proxy.control(request, reply);
                                });
        std::vector<uint16_t> ports = proxy.ports();
        ports.insert(ports.begin(), listener.port());
        return frame.run(ports);
    } catch (const boost::system::system_error &error) {
        std::cerr << "cannot open a link: " << error.what() << std::endl;
        return 4;
    }
}
