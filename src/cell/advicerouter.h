// Sends queries to the advice service through the members of the cell, as AdviceQueue decides. Runs
// on the control thread of the owner.

#pragma once

#include "base/clock.h"
#include "cell/advicequeue.h"
#include "cell/ports.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cwl::cell {

constexpr Duration adviceTimeoutMargin = milliseconds(1200); // beyond the expected time
constexpr Duration callerConnectTimeout = milliseconds(300); // it is in the same region
constexpr Duration callerProbeTimeout = milliseconds(300);   // of one response to a probe

// Bodies of POST /cell/advise between members.
std::string encodeAdviceRequest(const std::string &step, const std::vector<WorkerId> &workers);
absl::StatusOr<std::pair<std::string, std::vector<WorkerId>>>
decodeAdviceRequest(const std::string &body);
std::string encodeAdviceResponse(const std::vector<jobs::AllowedWorker> &allowed);
absl::StatusOr<std::vector<jobs::AllowedWorker>> decodeAdviceResponse(const std::string &body);

class AdviceRouter
{
public:
    AdviceRouter(boost::asio::io_context &context, AdviceService &local);
    ~AdviceRouter();

    // Addresses of the other members, "ip:port".
    void setMembers(const std::vector<std::string> &addresses);

    // Error: QueueFull when no caller was free in time; those of the call otherwise.
    void query(const jobs::AdviceQuery &query, AdviceService::Callback callback);

    // Sends waiting queries to free callers and fails those that have waited too long.
    // Called periodically, since no event marks the end of a caller's backoff.
    void dispatchWaiting();

    AdviceQueue::Counts counts() const;

private:
    struct Query
    {
        jobs::AdviceQuery query;
        AdviceService::Callback callback;
    };

    std::shared_ptr<http::Client> makeClient(const std::string &address);
    std::shared_ptr<http::Client> clientOf(const std::string &address);
    void failTimedOut(TimePoint now);
    void send(const AdviceQueue::Assignment &assignment);
    void onResponse(const AdviceQueue::Assignment &assignment,
                    const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed);
    void probe(const std::string &address);

    boost::asio::io_context &m_context;
    AdviceService &m_local;
    AdviceQueue m_queue;
    std::map<AdviceQueue::Number, Query> m_queries;                 // waiting and in flight
    std::map<std::string, std::shared_ptr<http::Client>> m_clients; // by address
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
