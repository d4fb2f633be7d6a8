// Distributes queries to the advice service over the members of the cell: the service handles one
// query at a time for each calling instance.

#pragma once

#include "base/clock.h"
#include "cell/ports.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cwl::cell {

constexpr Duration adviceQueueTimeout = milliseconds(1200); // for a query that waits for a caller
constexpr Duration shortQueryTime = milliseconds(60);       // a caller handles two of these at once
constexpr size_t maxCallerConnections = 2;    // as many queries as a caller gets at once
constexpr size_t callersReservedForShort = 2; // not used by long queries
constexpr Duration adviceTimeoutMargin = milliseconds(1200); // beyond the expected time
constexpr Duration callerBackoff = seconds(2);               // after a failure of a caller

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

    // Addresses of the other members, "ip:port".
    void setMembers(const std::vector<std::string> &addresses);

    // Error: QueueFull when no caller was free in time; those of the call otherwise.
    void query(const jobs::AdviceQuery &query, AdviceService::Callback callback);

    // Sends waiting queries to free callers and fails those that have waited too long.
    // Called periodically, since no event marks the end of a caller's backoff.
    void dispatchWaiting();

private:
    struct Caller
    {
        std::string address;                  // empty: this process
        std::unique_ptr<http::Client> client; // none: this process
        size_t inFlight = 0;
        bool hasLongQuery = false;
        TimePoint pausedUntil = {};
    };
    struct WaitingQuery
    {
        jobs::AdviceQuery query;
        TimePoint giveUpAt;
        AdviceService::Callback callback;
    };

    std::shared_ptr<Caller> freeCaller(bool isLong, TimePoint now) const;
    void send(const std::shared_ptr<Caller> &caller, WaitingQuery waiting);
    void onResponse(const std::shared_ptr<Caller> &caller, bool isLong,
                    const AdviceService::Callback &callback,
                    const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed);

    boost::asio::io_context &m_context;
    AdviceService &m_local;
    std::map<std::string, std::shared_ptr<Caller>> m_callers; // by address
    std::multimap<int64_t, WaitingQuery> m_waiting;           // by priority
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
