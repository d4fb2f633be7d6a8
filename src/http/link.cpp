#include "http/link.h"

#include "base/error.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/error.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <charconv>

namespace cwl::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::error_code;

bool isHttpError(error_code error)
{
    return error.category()
            == beast::http::make_error_code(beast::http::error::end_of_stream).category();
}

} // namespace

std::optional<tcp::endpoint> parseAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, problem] = std::from_chars(text.data() + colon + 1, end, port);
    if (problem != std::errc() || rest != end || port == 0)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    error_code error;
    const asio::ip::address address = asio::ip::make_address(host, error);
    if (error)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

bool isAddress(const std::string &text)
{
    return parseAddress(text).has_value();
}

bool isOpen(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

absl::Status readFailure(error_code error, const ResponseParser &parser, const std::string &server)
{
    if (error == beast::http::error::body_limit)
        return makeError(Failure::BodyTooLarge, "the answer of " + server + " is too large");
    const bool isEnd = !isHttpError(error) || error == beast::http::error::end_of_stream
            || error == beast::http::error::partial_message;
    if (!isEnd)
        return makeError(Failure::ProtocolError,
                         "the answer of " + server + " is not valid HTTP: " + error.message());
    if (parser.got_some())
        return makeError(Failure::AnswerTruncated,
                         "the connection to " + server + " ended within the answer");
    return makeError(Failure::ConnectionLost,
                     "the connection to " + server + " ended before the answer");
}

} // namespace cwl::http
