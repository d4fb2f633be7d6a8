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

constexpr Duration adviceQueueLimit = milliseconds(1200); // of a question that waits for a caller
constexpr Duration shortQuestion = milliseconds(60);      // a caller takes two of these at once
constexpr size_t callersKeptForShort = 2;                 // which long questions do not use
constexpr Duration adviceSlack = milliseconds(1200);      // beyond the expected time
constexpr Duration callerPause = seconds(2);              // after a failure of a caller

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

    // Error: QueueFull when no caller was free in time; those of the call otherwise.
    void ask(const jobs::AdviceQuery &query, AdviceService::Callback callback);

    // Gives waiting questions to callers that are free again, and up on those that waited too long.
    // Called from time to time, since a caller's pause ends without any news.
    void serve();

private:
    struct Caller
    {
        std::string address;                  // empty: this process
        std::unique_ptr<http::Client> client; // none: this process
        size_t underWay = 0;
        bool hasLong = false;
        TimePoint pausedUntil = {};
    };
    struct Question
    {
        jobs::AdviceQuery query;
        TimePoint giveUpAt;
        AdviceService::Callback callback;
    };

    std::shared_ptr<Caller> freeCaller(bool isLong, TimePoint now) const;
    void send(const std::shared_ptr<Caller> &caller, Question question);
    void onAnswer(const std::shared_ptr<Caller> &caller, bool isLong,
                  const AdviceService::Callback &callback,
                  const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed);

    boost::asio::io_context &m_context;
    AdviceService &m_local;
    std::map<std::string, std::shared_ptr<Caller>> m_callers; // by address
    std::multimap<int64_t, Question> m_waiting;               // by priority
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
