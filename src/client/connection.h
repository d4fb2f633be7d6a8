// The client's side of the operators' HTTP: tries the given servers in turn and repeats what may be
// repeated, until the command's deadline.

#pragma once

#include "base/clock.h"
#include "http/client.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <memory>
#include <string>
#include <vector>

namespace cwl::client {

constexpr Duration attemptLimit = seconds(3);         // for one server to answer
constexpr Duration retryInterval = milliseconds(200); // after all servers were tried

struct ConnectionOptions
{
    std::vector<std::string> servers; // "ip:port", tried in this order
    std::string token = {};           // of the team or of the cell's operators; may be empty
    Duration timeout = seconds(10);   // of a whole command, with its repetitions
};

// An answer of a server, or the typed error that it sent.
struct Answer
{
    std::string server; // that answered
    Json::Value body;
};

// For one thread; calls block.
class Connection
{
public:
    // Error: InvalidValue for a malformed address.
    static absl::StatusOr<std::unique_ptr<Connection>> create(const ConnectionOptions &options);

    // Sends to the servers in turn until one answers. Every request may be repeated: a write
    // carries a change id or names what it writes. Errors: the typed error of the server;
    // ConnectionRefused when no server could be reached; ConnectionLost or Timeout when the outcome
    // is unknown.
    absl::StatusOr<Answer> send(http::Request request);

    // Sends once to one server.
    absl::StatusOr<Answer> sendTo(const std::string &server, http::Request request);

    const std::vector<std::string> &servers() const { return m_options.servers; }
    TimePoint deadline() const { return m_deadline; }

private:
    explicit Connection(const ConnectionOptions &options);

    absl::StatusOr<Answer> attempt(size_t index, http::Request request);

    ConnectionOptions m_options;
    TimePoint m_deadline;
    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<http::Client>> m_clients; // one for each server
};

// Splits "ip:port,ip:port".
std::vector<std::string> splitServers(const std::string &text);

// Escapes an id for use as one segment of a path or as a value of a query.
std::string escapedSegment(const std::string &id);

} // namespace cwl::client
