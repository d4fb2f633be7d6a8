// HTTP/1.1 server on Boost.Beast with a limit and a deadline on everything that it reads.

#pragma once

#include "base/clock.h"
#include "http/message.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

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
    size_t maxHeaderBytes = 16UL * 1024;     // larger headers close the connection
    size_t maxConnections = 2048;            // further connections are closed at once
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

class Server
{
public:
    // Opens the port and starts to accept on `context`. Errors: AddressInUse, InvalidValue.
    static absl::StatusOr<std::unique_ptr<Server>>
    create(boost::asio::io_context &context, const ServerOptions &options, Handler handler);
    ~Server();

    uint16_t port() const;
    size_t connections() const; // open now

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
