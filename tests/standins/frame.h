// What the stand-ins share: one thread, a small HTTP server whose answers can be lost or truncated
// on purpose, the ready line, and the end on SIGTERM.

#pragma once

#include "base/clock.h"
#include "base/json.h"
#include "http/message.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cwl::standins {

class Connection;

// The way back to the caller of one request. Dropped without a call, it leaves the caller waiting.
class Reply
{
public:
    explicit Reply(std::weak_ptr<Connection> connection)
        : m_connection(std::move(connection))
    {
    }

    void send(http::Response response) const;
    void sendJson(int status, const Json::Value &body) const;
    void sendError(int status, const absl::Status &error) const;

    // States the whole length, sends half of the body and closes.
    void truncate(http::Response response) const;

    // Closes the connection without an answer.
    void lose() const;

private:
    std::weak_ptr<Connection> m_connection;
};

using RequestHandler = std::function<void(const http::Request &, const Reply &)>;

// Accepts connections on 127.0.0.1. Not safe for several threads. Lives as long as its io_context.
class Listener
{
public:
    Listener(boost::asio::io_context &context, uint16_t port, RequestHandler handler);

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    size_t connections() const; // open now; one that its caller closed does not count

    // Called after each accepted connection.
    void onAccepted(std::function<void()> callback) { m_accepted = std::move(callback); }

private:
    void accept();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    RequestHandler m_handler;
    std::function<void()> m_accepted;
    std::shared_ptr<size_t> m_open = std::make_shared<size_t>(0);
};

// The program around the handlers.
class Frame
{
public:
    boost::asio::io_context &context() { return m_context; }

    // Calls `action` after `delay`; zero calls it in the next turn.
    void after(Duration delay, std::function<void()> action);

    // Prints "ready <ports>" and runs until SIGTERM or SIGINT; returns the exit code.
    int run(const std::vector<uint16_t> &ports);

private:
    boost::asio::io_context m_context{1};
};

// Reads the command line of a stand-in: "--name value" pairs. Ends the program with exit code 2
// on a name that is not in `defaults`.
std::map<std::string, std::string> readArguments(int argc, char **argv,
                                                 std::map<std::string, std::string> defaults);

// The JSON file, or an empty object when `path` is empty. Ends the program with exit code 3 if it
// cannot be read.
Json::Value readSettings(const std::string &path);

// The port of the argument `text`; ends the program with exit code 2 if it is none.
uint16_t portOf(const std::string &text);

// Body of `request` as a JSON object; answers 400 and returns nullopt if it is none.
std::optional<Json::Value> bodyOf(const http::Request &request, const Reply &reply);

// Answers 400 and returns false if `body` has a member that is not in `known`: a misspelt command
// would let a test pass for the wrong reason.
bool hasOnly(const Json::Value &body, const std::vector<std::string> &known, const Reply &reply);

// Reads members of a command; a member that is absent leaves `value` as it is.
void readMember(const Json::Value &object, const char *name, bool &value);
void readMember(const Json::Value &object, const char *name, int64_t &value);
void readMember(const Json::Value &object, const char *name, std::string &value);

// Returns the part of `path` after `prefix`, or nullopt.
std::optional<std::string> pathAfter(const std::string &path, const std::string &prefix);

} // namespace cwl::standins
