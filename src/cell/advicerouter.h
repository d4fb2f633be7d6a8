// Spreads questions to the advice service over the members of the cell: the service answers one
// question at a time for each calling instance.

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

constexpr Duration longestAdviceQueue = milliseconds(1500); // of questions at one caller
constexpr Duration adviceSlack = milliseconds(1200);        // beyond the expected time
constexpr Duration callerPause = seconds(2);                // after a failure of a caller

// Bodies of POST /cell/advise between members.
std::string encodeAdviceQuestion(const std::string &step, const std::vector<WorkerId> &workers);
absl::StatusOr<std::pair<std::string, std::vector<WorkerId>>>
decodeAdviceQuestion(const std::string &body);
std::string encodeAdviceAnswer(const std::vector<jobs::AllowedWorker> &allowed);
absl::StatusOr<std::vector<jobs::AllowedWorker>> decodeAdviceAnswer(const std::string &body);

class AdviceRouter
{
public:
    AdviceRouter(boost::asio::io_context &context, AdviceService &local);

    // Addresses of the other members, "ip:port".
    void setMembers(const std::vector<std::string> &addresses);

    // Error: QueueFull when every caller is busy for too long; those of the call otherwise.
    void ask(const jobs::AdviceQuery &query, AdviceService::Callback callback);

private:
    struct Caller
    {
        std::unique_ptr<http::Client> client; // none: this process
        TimePoint busyUntil = {};
        TimePoint pausedUntil = {};
    };

    boost::asio::io_context &m_context;
    AdviceService &m_local;
    std::map<std::string, std::shared_ptr<Caller>> m_callers; // by address; "" is this process
};

} // namespace cwl::cell
