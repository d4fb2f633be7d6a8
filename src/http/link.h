// One connection of the client and the request on it. Internal to this library.

#pragma once

#include "http/client.h"
#include "http/wire.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cwl::http {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

constexpr uint32_t maxAnswerHeaderBytes = 64 * 1024; // of a header, all trailers, a chunk line

// One request on its way. Ends when the callback has been called.
struct Exchange
{
    Exchange(const Strand &strand, TimePoint requestDeadline, ResponseCallback responseCallback)
        : deadline(requestDeadline)
        , callback(std::move(responseCallback))
        , timer(strand)
    {
    }

    uint64_t id = 0;                     // within its client
    std::optional<BeastRequest> request; // none: `maker` makes it
    RequestMaker maker;
    TimePoint deadline;
    ResponseCallback callback; // empty once called
    SendGuard guard;           // may be empty
    boost::asio::steady_timer timer;

    void finish(absl::StatusOr<Response> result)
    {
        timer.cancel();
        if (const ResponseCallback called = std::exchange(callback, nullptr))
            called(std::move(result));
    }
};

enum class LinkState { Connecting, Idle, Busy, Closed };

// One connection to the server.
struct Link
{
    explicit Link(const Strand &strand)
        : socket(strand)
        , timer(strand)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer; // connect timeout, then idle timeout
    LinkState state = LinkState::Connecting;
    TimePoint openedAt = {};
    uint64_t uses = 0; // tells the idle periods of one connection apart
    std::shared_ptr<Exchange> exchange = {};
    // The parser keeps trailers and chunk lines here until they are complete, so
    // its size bounds them.
    boost::beast::flat_buffer buffer{maxAnswerHeaderBytes};
    std::optional<ResponseParser> parser = {};
    bool hasWriteFailed = false;
    bool closesAfterAnswer = false;
};

// Reads "ip:port" or "[ip]:port"; nullopt if `text` is neither.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &text);

// True if the server has not closed the connection, as far as this machine knows.
bool isOpen(boost::asio::ip::tcp::socket &socket);

// The failure of a request whose answer from `server` could not be read to its end.
absl::Status readFailure(boost::beast::error_code error, const ResponseParser &parser,
                         const std::string &server);

} // namespace cwl::http
