// HTTP/1.1 client on Boost.Beast: kept connections to one address, each request with its deadline.

#pragma once

#include "base/clock.h"
#include "base/traffic.h"
#include "http/message.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cwl::http {

bool isAddress(const std::string &text); // "ip:port" or "[ip]:port" with a port above 0

struct ClientOptions
{
    std::string address;       // "127.0.0.1:7000"
    size_t maxConnections = 4; // requests beyond it wait in order until their deadline
    size_t maxBodyBytes = 4UL * 1024 * 1024; // a larger answer fails with BodyTooLarge
    Duration connectTimeout = milliseconds(1000);
    Duration idleTimeout = seconds(30); // a kept connection unused for longer is closed
    // Time after a deadline in which an answer is still read if this process was late itself.
    Duration deadlineGrace = Duration::zero();
    Traffic traffic = Traffic::HttpOther; // what its bytes are counted as
};

constexpr Duration maxTimerLateness = milliseconds(50); // of a process that runs as it should

// The answer, complete, or a failure. Failures that mean "certainly not sent": ConnectionRefused
// (no connection, or the kept connection was found closed before any byte was written),
// DeadlinePassed (it waited for a connection until its deadline) and LeaseLapsed (the guard refused
// it). All others may have reached the server: ConnectionLost, Timeout, AnswerTruncated,
// BodyTooLarge, ProtocolError.
using ResponseCallback = std::function<void(absl::StatusOr<Response>)>;

// Asked right before a request is written, on a thread of the io_context; false stops the request.
// It may have waited for a connection, in which time the right to send it may have ended.
using SendGuard = std::function<bool()>;

// Makes a request for the connection that it is written to, right before that, on a thread of the
// io_context. `openedAt` is when the connection was opened. A connection ends with the process that
// accepted it, so a request for the process that has answered before can be told from one that may
// meet another process at the same address.
using RequestMaker = std::function<Request(TimePoint openedAt)>;

class Client
{
public:
    // Connections are opened when needed. Error: InvalidValue for a malformed address.
    static absl::StatusOr<std::unique_ptr<Client>> create(boost::asio::io_context &context,
                                                          const ClientOptions &options);
    ~Client(); // fails what is under way with ConnectionLost

    // Sends `request`; calls `callback` exactly once on a thread of the io_context, at `deadline`
    // at the latest, or up to `deadlineGrace` later if this process was late itself. Nothing is
    // retried.
    // Returns the number of the request, for giveUp().
    uint64_t send(Request request, TimePoint deadline, ResponseCallback callback,
                  SendGuard guard = {});

    // As above, for a request that depends on the connection.
    uint64_t sendMade(RequestMaker maker, TimePoint deadline, ResponseCallback callback);

    // Ends a request under way as its deadline would. Also closes the idle connections, because
    // they may have gone silent with the one that the request used. Does nothing if the request has
    // ended.
    void giveUp(uint64_t request);

    size_t openConnections() const;

    // Closes idle connections now and busy ones after their answers.
    void closeAll();

private:
    class Implementation;
    explicit Client(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cwl::http
