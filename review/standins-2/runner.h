// Stand-in for one runner, by the users' page on running tasks: it keeps the highest fencing token,
// runs tasks under a lease, lists ends until they are acknowledged, and records each start and end.
//
// Lives on the thread that runs the io_context.

#pragma once

#include "http/server.h"
#include "record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cwl::review {

// How a task runs: for so long, and how it ends. A task that lasts works until it is stopped, or
// ends as `how` after `runMs` if that is above zero.
struct Behaviour
{
    int64_t runMs = 200;
    std::string how = "done";
    bool lasts = false;
};

struct RunnerOptions
{
    std::string id;
    std::string service = "draw";
    int64_t cpu = 4000; // thousandths of a core
    int64_t memMb = 16384;
    std::vector<std::string> labels = {"a", "r1"}; // kind and rack
    int64_t holdMaxMs = 6000;
    int recordedTasks = -1; // of each step, the first ones; -1: all
};

// What all runners of one case have done.
struct RunnerLog
{
    struct Start
    {
        int64_t atMs = 0;
        std::string runner;
        int64_t attempt = 0;
        int64_t failedBefore = 0; // runs of the task that had ended as "failed"
    };
    std::map<std::string, std::vector<Start>> starts;     // by task; only those that began to run
    std::map<std::string, std::string> running;           // task to runner
    std::map<std::string, int64_t> lastEndMs;             // by task
    std::map<std::string, std::vector<std::string>> ends; // by task, how each run ended
    std::map<std::string, int64_t> refusedOld;            // starts refused with "old", by task
};

class Runner
{
public:
    using Plan = std::function<Behaviour(const std::string &task, const std::string &spec)>;

    Runner(boost::asio::io_context &context, RunnerOptions options, Plan plan, RunnerLog &log,
           Record &record);

    absl::Status open();
    uint16_t port() const { return m_port; }
    const std::string &id() const { return m_options.id; }
    std::string entry() const; // its row in the store's table of servers
    size_t running() const { return m_running.size(); }
    size_t unacknowledged() const { return m_ended.size(); } // ends
    void crash(); // everything that runs ends, and the port refuses connections

private:
    struct Run
    {
        int64_t attempt = 0;
        int64_t startedMs = 0;
        Behaviour behaviour;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct End
    {
        int64_t number = 0;
        std::string task;
        int64_t attempt = 0;
        std::string how;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void start(const Json::Value &body, const http::Responder &respond);
    void stop(const Json::Value &body, const http::Responder &respond);
    void hold(const Json::Value &body, const http::Responder &respond);
    void end(const std::string &task, const std::string &how);
    void extend(const Json::Value &body);
    void checkLease();
    void answerWaiting();
    void note(const std::string &task, const std::string &text);
    Json::Value lists() const;
    int64_t clockMs() const;
    void answer(const http::Responder &respond, int status, Json::Value body) const;

    boost::asio::io_context &m_context;
    const RunnerOptions m_options;
    const Plan m_plan;
    RunnerLog &m_log;
    Record &m_record;
    std::unique_ptr<http::Server> m_server;
    uint16_t m_port = 0;
    const int64_t m_born;
    const TimePoint m_bootedAt;
    boost::asio::steady_timer m_leaseTimer;
    std::map<std::string, Run> m_running;
    std::map<std::string, int64_t> m_endedAttempts;
    std::deque<End> m_ended;
    http::Responder m_waiting;
    std::shared_ptr<boost::asio::steady_timer> m_waitTimer;
    int64_t m_lastEnd = 0;
    int64_t m_token = 0;
    int64_t m_leaseUntil = 0;
};

} // namespace cwl::review
