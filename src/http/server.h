// HTTP/1.1 server on Boost.Beast with a limit and a deadline on everything that it reads.
//
// The connections of a server share one memory budget. It covers receive buffers, requests and
// responses that have not been read yet. When it is used up, the connection that has been in the
// middle of a request or of an unread response for the longest time is closed. A request that has
// been read completely is never closed; if only such requests are left, a new one is answered 503
// and not handed to the handler.

#pragma once

#include "base/clock.h"
#include "http/message.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cwl::http {

struct ServerOptions
{
    std::string address = "127.0.0.1";       // numeric IP address
    uint16_t port = 0;                       // 0 lets the system choose; see Server::port()
    size_t maxBodyBytes = 4UL * 1024 * 1024; // larger bodies are answered with 413
    size_t maxHeaderBytes = 16UL * 1024; // of a header, all trailers, a chunk line; larger closes
    size_t maxHeaderFields = 256;        // in header and trailers; more close the connection
    size_t maxConnections = 2048;        // one more closes the one that has been idle longest
    size_t memoryBytes = 64UL * 1024 * 1024; // of all connections together
    Duration headerTimeout =
            seconds(5);                 // from the first byte of a request to the end of its header
    Duration bodyTimeout = seconds(15); // from the end of the header to the end of the body
    Duration idleTimeout = seconds(60); // between requests on a kept connection
    Duration writeTimeout = seconds(15); // for one answer
    Headers refusalHeaders = {}; // added to answers that the server gives without the handler
};

// Sends the answer of one request. May be called once, later, from any thread; further calls do
// nothing.
using Responder = std::function<void(Response)>;

// Called on a thread of the io_context given to create(). Must not block.
using Handler = std::function<void(Request, Responder)>;

// What ends a connection or refuses a request before the handler sees it.
enum class Limit {
    Memory,             // closed to free memory for others
    MemoryRefused,      // answered 503: only complete requests were left
    Connections,        // closed in favour of a new connection
    ConnectionsRefused, // a new connection, closed: none was idle or in the middle of a request
    Header,             // header, trailers or a chunk line too large, or too many fields
    Body,               // answered 413
    HeaderTime,
    BodyTime,
    IdleTime,
    WriteTime,
};
constexpr size_t limitCount = size_t(Limit::WriteTime) + 1;
const char *limitName(Limit limit); // as in metrics and logs

// How often each limit took effect. Any thread.
class ServerStatistics
{
public:
    void add(Limit limit) { m_counts[size_t(limit)].fetch_add(1, std::memory_order_relaxed); }
    uint64_t count(Limit limit) const
    {
        return m_counts[size_t(limit)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<uint64_t>, limitCount> m_counts = {};
};

class Server
{
public:
    // Opens the port and starts to accept on `context`. Errors: AddressInUse, InvalidValue.
    static absl::StatusOr<std::unique_ptr<Server>>
    create(boost::asio::io_context &context, const ServerOptions &options, Handler handler);
    ~Server();

    uint16_t port() const;
    size_t connections() const; // open now
    size_t memoryUsed() const;  // of the budget
    const ServerStatistics &statistics() const;

    // Bodies of requests that begin to arrive after the call may be so large. Any thread.
    void setMaxBodyBytes(size_t bytes);

    // Accepts no more connections; each open one closes after the answers it still owes.
    void stopAccepting();

private:
    class Implementation;
    explicit Server(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cwl::http
