// Connection to one worker: polls its reports and sends commands to it.

#pragma once

#include "base/clock.h"
#include "http/client.h"
#include "scheduler/report.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace cwl::scheduler {

// All calls and callbacks are on the control thread. Network I/O runs on the traffic threads.
class WorkerLink : public std::enable_shared_from_this<WorkerLink>
{
public:
    struct Listener
    {
        // `requestedAt`: when the report was requested, on this process's clock.
        std::function<void(const WorkerReport &, TimePoint requestedAt, TimePoint receivedAt)>
                reported;
        std::function<void(const absl::Status &)> pollFailed;
    };
    using ResponseCallback = std::function<void(absl::StatusOr<Json::Value>)>;

    static absl::StatusOr<std::shared_ptr<WorkerLink>>
    create(boost::asio::io_context &control, boost::asio::io_context &traffic,
           const WorkerId &worker, const std::string &address, Listener listener);

    void startPolling();
    void close(); // no callback comes after it

    // Sends POST /workers/{id}/{action}. Errors: those of http::Client and those that the
    // worker returns.
    void send(const std::string &action, const Json::Value &body, TimePoint deadline,
              ResponseCallback callback);

    const std::string &address() const { return m_address; }

private:
    WorkerLink(boost::asio::io_context &control, const WorkerId &worker, std::string address,
               Listener listener);

    void poll();
    void polled(absl::StatusOr<WorkerReport> report, TimePoint requestedAt, TimePoint receivedAt);
    void retryPoll();
    http::Request makeRequest(const std::string &action, const Json::Value &body) const;

    boost::asio::io_context &m_control;
    WorkerId m_worker;
    std::string m_address;
    Listener m_listener;
    std::unique_ptr<http::Client> m_reports; // a separate connection for the long poll
    std::unique_ptr<http::Client> m_commands;
    boost::asio::steady_timer m_timer;
    int64_t m_sequence = 0; // of the last report; 0 after a failed poll
    Duration m_backoff = {};
    bool m_isClosed = false;
};

} // namespace cwl::scheduler
