#include "harness/call.h"

#include "base/error.h"
#include "base/json.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace cwl::harness {

namespace {

absl::StatusOr<JsonAnswer> callJson(const std::string &address, http::Request request,
                                    TimePoint deadline)
{
    absl::StatusOr<http::Response> response = call(address, std::move(request), deadline);
    if (!response.ok())
        return response.status();
    JsonAnswer answer{.status = response->status, .headers = response->headers};
    if (response->body.empty())
        return answer;
    absl::StatusOr<Json::Value> body = parseJson(response->body);
    if (!body.ok())
        return body.status();
    answer.body = *std::move(body);
    return answer;
}

} // namespace

absl::StatusOr<http::Response> call(const std::string &address, http::Request request,
                                    TimePoint deadline)
{
    boost::asio::io_context context(1);
    auto client = http::Client::create(
            context, {.address = address, .maxConnections = 1, .maxBodyBytes = 64UL * 1024 * 1024});
    if (!client.ok())
        return client.status();
    std::optional<absl::StatusOr<http::Response>> result;
    (*client)->send(std::move(request), deadline, [&](absl::StatusOr<http::Response> response) {
        result = std::move(response);
        client->reset(); // closes the connection, so that run() returns
    });
    context.run();
    return *std::move(result);
}

absl::StatusOr<JsonAnswer> getJson(const std::string &address, const std::string &path,
                                   TimePoint deadline)
{
    return callJson(address, {.method = "GET", .path = path}, deadline);
}

absl::StatusOr<JsonAnswer> postJson(const std::string &address, const std::string &path,
                                    const Json::Value &body, TimePoint deadline)
{
    http::Request request{.method = "POST", .path = path, .body = writeJson(body)};
    request.headers.set("Content-Type", "application/json");
    return callJson(address, std::move(request), deadline);
}

bool waitForReady(const std::string &address, TimePoint deadline)
{
    return waitUntil(deadline, [&] {
        const auto response = call(address, {.path = "/readyz"},
                                   std::min(deadline, BootClock::now() + seconds(2)));
        return response.ok() && response->status == 200;
    });
}

std::string loopback(uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace cwl::harness
