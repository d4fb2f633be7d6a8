// Stand-in for one of the users' workers: runs tasks under a lease, keeps the highest epoch that it
// has seen, lists ends until they are acknowledged, can crash and start again under its id, and
// records what breaks the rules.

#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cwl::usersplatform {

// What all workers of one test have seen together.
struct Ledger
{
    std::map<std::string, std::string> running; // task to worker
    std::set<std::string> acknowledgedDone;
    // Ends as done that are not acknowledged, by task: "worker/born/number".
    std::map<std::string, std::set<std::string>> unacknowledgedDone;
    std::set<std::string> startedAfter; // those of them after which their task was started again
    std::set<std::string> done;         // tasks, acknowledged or not
    std::set<std::string> started;      // jobs
    std::vector<std::string> broken;    // rules
    size_t acknowledged = 0;            // ends
    std::function<void(const std::string &task)> onStarted = [](const std::string &) {};
};

// Lives on the thread that runs the io_context.
class Worker
{
public:
    Worker(boost::asio::io_context &context, std::string id, Ledger &ledger);

    absl::Status open(); // Errors: as of http::Server
    uint16_t port() const { return m_port; }
    bool isUp() const { return m_server != nullptr; }
    std::string entry(uint16_t port) const; // for the store's list of workers, reached at `port`
    const std::string &id() const { return m_id; }
    size_t running() const { return m_running.size(); }
    size_t unacknowledged() const { return m_ended.size(); } // ends
    int64_t epoch() const { return m_epoch; }                // highest one seen

    // The process ends: connections are reset, and runs, ends and the epoch are gone.
    void crash();
    // A new process listens on the same port under the same id; its clock and its numbers of ends
    // start anew. Errors: as of http::Server.
    absl::Status startAgain();

    int64_t runMs = 150;  // of each task
    int64_t cores = 4000; // thousandths; each task of the tests asks for 1000
    std::vector<std::string> labels = {"a", "r1"};
    bool isDraining = false; // in its entry
    bool isSilent = false;   // answers nothing; leases run on
    // Only owners of these epochs reach the worker; the others get no answer.
    int64_t firstEpochReached = 0;
    int64_t lastEpochReached = INT64_MAX;
    std::string answersWith = {}; // this body with status 200, whatever was asked; empty: off

private:
    struct Run
    {
        int64_t attempt = 0;
        int64_t startedMs = 0; // on this worker's clock
        int64_t runMs = 0;     // in all
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
    Json::Value lists() const;
    int64_t clockMs() const;
    std::string endName(int64_t number) const;
    void forgetUnacknowledged();
    void answer(const http::Responder &respond, int status, Json::Value body) const;

    boost::asio::io_context &m_context;
    const std::string m_id;
    Ledger &m_ledger;
    std::unique_ptr<http::Server> m_server;
    uint16_t m_port = 0; // of all its processes
    int64_t m_born;
    int64_t m_clockOffset; // from the owner's clock
    boost::asio::steady_timer m_leaseTimer;
    std::map<std::string, Run> m_running;
    std::map<std::string, int64_t> m_endedAttempts;
    std::deque<End> m_ended;
    http::Responder m_waiting;
    std::shared_ptr<boost::asio::steady_timer> m_waitTimer;
    int64_t m_lastEnd = 0;
    int64_t m_epoch = 0;
    int64_t m_leaseUntil = 0;
};

} // namespace cwl::usersplatform
