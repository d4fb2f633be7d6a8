#include "standins/frame.h"

#include "base/error.h"
#include "standins/connection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace cwl::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

[[noreturn]] void endWith(int code, const std::string &message)
{
    std::cerr << message << std::endl;
    std::exit(code);
}

} // namespace

// Section: answers

void Reply::sendJson(int status, const Json::Value &body) const
{
    http::Response response{.status = status, .body = writeJson(body)};
    response.headers.set("Content-Type", "application/json");
    send(std::move(response));
}

void Reply::sendError(int status, const absl::Status &error) const
{
    sendJson(status, errorToJson(error));
}

// Section: listening

Listener::Listener(asio::io_context &context, uint16_t port, RequestHandler handler)
    : m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        endWith(4, "cannot listen on port " + std::to_string(port) + ": " + error.what());
    }
    accept();
}

size_t Listener::connections() const
{
    return *m_open;
}

void Listener::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            std::make_shared<Connection>(std::move(socket), m_handler, m_open)->read();
            if (m_accepted)
                m_accepted();
        }
        accept();
    });
}

// Section: the program

void Frame::after(Duration delay, std::function<void()> action)
{
    if (delay <= Duration::zero()) {
        asio::post(m_context, std::move(action));
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

int Frame::run(const std::vector<uint16_t> &ports)
{
    asio::signal_set signals(m_context, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code, int) { m_context.stop(); });
    std::cout << "ready";
    for (const uint16_t port : ports)
        std::cout << ' ' << port;
    std::cout << std::endl;
    m_context.run();
    return 0;
}

std::map<std::string, std::string> readArguments(int argc, char **argv,
                                                 std::map<std::string, std::string> defaults)
{
    for (int i = 1; i < argc; i += 2) {
        const std::string argument = argv[i];
        const std::string name = argument.starts_with("--") ? argument.substr(2) : std::string();
        if (!defaults.contains(name) || i + 1 >= argc) {
            std::string usage = std::string("usage: ") + argv[0];
            for (const auto &[known, value] : defaults)
                usage += " [--" + known + " VALUE]";
            endWith(2, "unknown or incomplete argument '" + argument + "'\n" + usage);
        }
        defaults[name] = argv[i + 1];
    }
    return defaults;
}

Json::Value readSettings(const std::string &path)
{
    if (path.empty())
        return Json::Value(Json::objectValue);
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const absl::StatusOr<Json::Value> value = parseJsonWithComments(text.str());
    if (!file || !value.ok() || !value->isObject())
        endWith(3, path + ": not a readable JSON object: " + std::string(value.status().message()));
    return *value;
}

uint16_t portOf(const std::string &text)
{
    uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, problem] = std::from_chars(text.data(), end, port);
    if (problem != std::errc() || rest != end)
        endWith(2, "'" + text + "' is not a port");
    return port;
}

// Section: reading requests

std::optional<Json::Value> bodyOf(const http::Request &request, const Reply &reply)
{
    absl::StatusOr<Json::Value> body = parseJson(request.body);
    if (body.ok() && body->isObject())
        return *std::move(body);
    reply.sendError(400,
                    body.ok() ? makeError(Failure::MalformedBody, "the body is no JSON object")
                              : body.status());
    return std::nullopt;
}

bool hasOnly(const Json::Value &body, const std::vector<std::string> &known, const Reply &reply)
{
    for (const std::string &name : body.getMemberNames()) {
        if (std::find(known.begin(), known.end(), name) != known.end())
            continue;
        reply.sendError(
                400,
                makeError(Failure::UnknownField, "unknown field '" + name + "'", {.field = name}));
        return false;
    }
    return true;
}

void readMember(const Json::Value &object, const char *name, bool &value)
{
    if (object.isObject() && object[name].isBool())
        value = object[name].asBool();
}

void readMember(const Json::Value &object, const char *name, int64_t &value)
{
    if (object.isObject() && object[name].isInt64())
        value = object[name].asInt64();
}

void readMember(const Json::Value &object, const char *name, std::string &value)
{
    if (object.isObject() && object[name].isString())
        value = object[name].asString();
}

std::optional<std::string> pathAfter(const std::string &path, const std::string &prefix)
{
    if (!path.starts_with(prefix))
        return std::nullopt;
    return path.substr(prefix.size());
}

} // namespace cwl::standins
