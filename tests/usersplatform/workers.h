// Stand-in for one of the users' workers: runs tasks under a lease, keeps the highest epoch that it
// has seen, lists ends until they are acknowledged, and records what breaks the rules.

#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <deque>
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
    std::set<std::string> done;      // tasks, acknowledged or not
    std::set<std::string> started;   // jobs
    std::vector<std::string> broken; // rules
    size_t acknowledged = 0;         // ends
};

// Lives on the thread that runs the io_context.
class Worker
{
public:
    Worker(boost::asio::io_context &context, std::string id, Ledger &ledger);

    absl::Status open(); // Errors: as of http::Server
    uint16_t port() const { return m_server->port(); }
    std::string entry(uint16_t port) const; // for the store's list of workers, reached at `port`
    const std::string &id() const { return m_id; }

    int64_t runMs = 150;          // of each task
    bool isSilent = false;        // answers nothing; leases run on
    std::string answersWith = {}; // this body with status 200, whatever was asked; empty: off

private:
    struct Run
    {
        int64_t attempt = 0;
        int64_t cores = 0;
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
    void answer(const http::Responder &respond, int status, Json::Value body) const;

    boost::asio::io_context &m_context;
    const std::string m_id;
    Ledger &m_ledger;
    std::unique_ptr<http::Server> m_server;
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
