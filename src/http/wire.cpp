#include "http/wire.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace cwl::http {

namespace {

namespace beast = boost::beast;

constexpr std::array framingFields{
        beast::http::field::connection,
        beast::http::field::content_length,
        beast::http::field::transfer_encoding,
        beast::http::field::keep_alive,
        beast::http::field::proxy_connection,
        beast::http::field::te,
        beast::http::field::trailer,
        beast::http::field::upgrade,
        beast::http::field::expect,
};

// Repeated fields are joined by commas, as RFC 7230 section 3.2.2 allows.
template <typename Fields>
Headers plainHeaders(const Fields &fields)
{
    Headers headers;
    for (const auto &field : fields) {
        if (isFraming(field.name()))
            continue;
        const std::string name(field.name_string());
        std::string value(field.value());
        if (headers.contains(name))
            value = headers.value(name) + ", " + value;
        headers.set(name, std::move(value));
    }
    return headers;
}

bool isToken(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c)
                || std::string_view("!#$%&'*+-.^_`|~").find(char(c)) != std::string_view::npos;
    });
}

bool isFieldValue(const std::string &text)
{
    return std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

bool isTarget(const std::string &text)
{
    return !text.empty() && text.front() == '/'
            && std::all_of(text.begin(), text.end(),
                           [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

bool isWritable(const std::pair<std::string, std::string> &field)
{
    return isToken(field.first) && isFieldValue(field.second);
}

// Returns false if a field cannot be written; such a field is left out.
template <typename Message>
bool setFields(Message &message, const Headers &headers)
{
    bool allWritable = true;
    for (const auto &field : headers.all()) {
        if (!isWritable(field))
            allWritable = false;
        else if (!isFraming(beast::http::string_to_field(field.first)))
            message.set(field.first, field.second);
    }
    return allWritable;
}

bool mayHaveBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

bool isFraming(beast::http::field name)
{
    return std::find(framingFields.begin(), framingFields.end(), name) != framingFields.end();
}

Request toPlain(BeastRequest &&message)
{
    Request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos)
        request.query = target.substr(mark + 1);
    request.headers = plainHeaders(message);
    request.body = std::move(message.body());
    return request;
}

Response toPlain(BeastResponse &&message)
{
    Response response;
    response.status = int(message.result_int());
    response.headers = plainHeaders(message);
    response.body = std::move(message.body());
    return response;
}

std::optional<BeastRequest> toBeast(Request &&request, const std::string &host)
{
    const std::string target =
            request.query.empty() ? request.path : request.path + "?" + request.query;
    if (!isToken(request.method) || !isTarget(target))
        return std::nullopt;
    BeastRequest message;
    message.version(11);
    message.method_string(request.method);
    message.target(target);
    message.set(beast::http::field::host, host);
    if (!setFields(message, request.headers))
        return std::nullopt;
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

BeastResponse toBeast(Response &&response)
{
    const bool possible = response.status >= 200 && response.status <= 599;
    const int status = possible ? response.status : 500;
    BeastResponse message;
    message.version(11);
    message.result(unsigned(status));
    setFields(message, response.headers);
    // prepare_payload() throws on a body that the status does not allow.
    if (mayHaveBody(status))
        message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

std::chrono::steady_clock::duration untilDeadline(TimePoint deadline)
{
    return std::max(Duration::zero(), deadline - BootClock::now());
}

} // namespace cwl::http
