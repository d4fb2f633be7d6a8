// Connections to one endpoint: sends requests, asks for /status, and says how each send ended.

#pragma once

#include "base/clock.h"
#include "entry/wire.h"
#include "http/client.h"
#include "requests/endpointpool.h"
#include "requests/outcome.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cwl::entry {

struct SendEnd
{
    requests::SendResult result;
    requests::Outcome outcome; // the response, or unknown with the failure
};

// Says what a response or a failure of the HTTP client means.
SendEnd endOf(absl::StatusOr<http::Response> response);

// Reads the body of GET /status.
absl::StatusOr<requests::EndpointStatus>
parseStatus(const absl::StatusOr<http::Response> &response);

class EndpointLink
{
public:
    using SendCallback = std::function<void(SendEnd)>;
    using StatusCallback = std::function<void(absl::StatusOr<requests::EndpointStatus>)>;

    static absl::StatusOr<std::unique_ptr<EndpointLink>>
    create(boost::asio::io_context &context, const std::string &address, size_t maxConnections);

    const std::string &address() const { return m_address; }

    // Callbacks run on a thread of the io_context. `guard` is asked right before the request is
    // written. Returns the number of the send, for giveUp().
    uint64_t send(const ExecuteRequest &request, TimePoint deadline, http::SendGuard guard,
                  SendCallback callback);

    // Ends a send as its deadline would, and drops its connection.
    void giveUp(uint64_t send) { m_client->giveUp(send); }

    void askStatus(StatusCallback callback);

private:
    EndpointLink(std::string address, std::unique_ptr<http::Client> client);

    std::string m_address;
    std::unique_ptr<http::Client> m_client;
};

} // namespace cwl::entry
