// Conversion between the plain messages and those of Boost.Beast. Internal to this library.

#pragma once

#include "base/clock.h"
#include "http/message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace cwl::http {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

// True for a field that frames the message or belongs to one connection.
bool isFraming(boost::beast::http::field name);

// Fields that frame the message or belong to one connection are left out of the plain messages.
Request toPlain(BeastRequest &&message);
Response toPlain(BeastResponse &&message);

// Returns nullopt when method, path, query or a header cannot be written as one HTTP message.
std::optional<BeastRequest> toBeast(Request &&request, const std::string &host);

// Headers that cannot be written are left out; an impossible status becomes 500.
BeastResponse toBeast(Response &&response);

// The timer interval until `deadline`, zero when it has passed.
std::chrono::steady_clock::duration untilDeadline(TimePoint deadline);

} // namespace cwl::http
