// JSON-RPC 2.0 between the system's own processes: framed over TCP, with heartbeats on every
// connection.

#pragma once

#include "base/clock.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cwl::rpc {

constexpr Duration heartbeatInterval =
        milliseconds(500);                           // on a connection with nothing else to send
constexpr Duration silenceLimit = seconds(2);        // a connection silent for longer is closed
constexpr size_t maxJsonBytes = size_t(1024) * 1024; // of one frame
constexpr size_t maxAttachmentBytes = size_t(4) * 1024 * 1024; // of one frame

struct Message
{
    Json::Value content;         // parameters or result
    std::string attachment = {}; // raw bytes, such as a request body; may be empty
};

// Answers one call. May be called once, later, from any thread; an error status travels as a typed
// error.
using Reply = std::function<void(absl::StatusOr<Message>)>;

// Called on a thread of the server's io_context. Must not block.
using Method = std::function<void(Message, Reply)>;

// Called once with the result or the failure. ConnectionRefused: the call was certainly not sent.
// ConnectionLost and Timeout: the peer may have acted on it. Others: the typed error that the peer
// answered.
using CallCallback = std::function<void(absl::StatusOr<Message>)>;

struct ServerOptions
{
    std::string address = "127.0.0.1"; // numeric IP address
    uint16_t port = 0;                 // 0 lets the system choose
    size_t maxConnections = 1024;      // further ones are closed at once
};

class Server
{
public:
    // Errors: AddressInUse, InvalidValue.
    static absl::StatusOr<std::unique_ptr<Server>> create(boost::asio::io_context &context,
                                                          const ServerOptions &options);
    ~Server();

    // Registers `method` under `name`, such as "member.promise". Call before the io_context runs,
    // or on its thread.
    void add(const std::string &name, Method method);

    uint16_t port() const;
    Json::Value state() const; // connections and calls under way, for the state dump

private:
    class Implementation;
    explicit Server(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

// One kept connection to each address that was called; opened when first needed and again after a
// loss.
class Client
{
public:
    explicit Client(boost::asio::io_context &context);
    ~Client();

    // Calls `method` at `address` ("ip:port"). The callback runs on a thread of the io_context, at
    // `deadline` at the latest.
    void call(const std::string &address, const std::string &method, Message parameters,
              TimePoint deadline, CallCallback callback);

    // Closes all connections; calls under way fail with ConnectionLost.
    void closeAll();

    Json::Value state() const; // per address: connected, calls under way, last received, losses

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cwl::rpc
