#include "entry/endpointlink.h"

#include "base/error.h"
#include "base/json.h"

#include <cstdint>
#include <utility>

namespace cwl::entry {

namespace {

using requests::Outcome;
using requests::SendResult;

constexpr Duration statusTimeout = seconds(1);
constexpr int serverErrors = 500;          // status codes from here on count against the endpoint
constexpr int64_t maxReported = 1'000'000; // a larger number in a status is a fault

bool isCertainlyNotSent(Failure failure)
{
    return failure == Failure::ConnectionRefused || failure == Failure::DeadlinePassed
            || failure == Failure::LeaseLapsed;
}

} // namespace

SendEnd endOf(absl::StatusOr<http::Response> response)
{
    if (!response.ok()) {
        const bool isNotSent = isCertainlyNotSent(failureOf(response.status()));
        return {isNotSent ? SendResult::NotSent : SendResult::MayHaveRun,
                Outcome::unknown(response.status())};
    }
    const bool isError = response->status >= serverErrors;
    return {isError ? SendResult::AnsweredError : SendResult::Answered,
            Outcome::answered(response->status, response->headers.value("Content-Type"),
                              std::move(response->body))};
}

absl::StatusOr<requests::EndpointStatus> parseStatus(const absl::StatusOr<http::Response> &response)
{
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return makeError(Failure::ProtocolError,
                         "/status answered " + std::to_string(response->status));
    const absl::StatusOr<Json::Value> body = parseJson(response->body);
    if (!body.ok())
        return body.status();
    const absl::StatusOr<int64_t> slots = intMember(*body, "slots", 0, maxReported);
    const absl::StatusOr<int64_t> active = intMember(*body, "active", 0, maxReported);
    const absl::StatusOr<bool> isLeaving = boolMember(*body, "leaving");
    for (const absl::Status &status : {slots.status(), active.status(), isLeaving.status()}) {
        if (!status.ok())
            return status;
    }
    return requests::EndpointStatus{.slots = *slots, .active = *active, .isLeaving = *isLeaving};
}

absl::StatusOr<std::unique_ptr<EndpointLink>> EndpointLink::create(boost::asio::io_context &context,
                                                                   const std::string &address,
                                                                   size_t maxConnections)
{
    auto client = http::Client::create(context,
                                       {.address = address,
                                        .maxConnections = maxConnections,
                                        .traffic = Traffic::HttpEndpoints});
    if (!client.ok())
        return client.status();
    return std::unique_ptr<EndpointLink>(new EndpointLink(address, *std::move(client)));
}

EndpointLink::EndpointLink(std::string address, std::unique_ptr<http::Client> client)
    : m_address(std::move(address))
    , m_client(std::move(client))
{
}

uint64_t EndpointLink::send(const ExecuteRequest &request, TimePoint deadline,
                            http::SendGuard guard, SendCallback callback)
{
    http::Request message{.method = "POST", .path = "/" + request.method, .body = request.body};
    message.headers.set("Request-Id", request.id.id.value());
    if (!request.contentType.empty())
        message.headers.set("Content-Type", request.contentType);
    return m_client->send(
            std::move(message), deadline,
            [callback = std::move(callback)](absl::StatusOr<http::Response> response) {
                callback(endOf(std::move(response)));
            },
            std::move(guard));
}

void EndpointLink::askStatus(StatusCallback callback)
{
    m_client->send(
            {.method = "GET", .path = "/status"}, BootClock::now() + statusTimeout,
            [callback = std::move(callback)](const absl::StatusOr<http::Response> &response) {
                callback(parseStatus(response));
            });
}

} // namespace cwl::entry
