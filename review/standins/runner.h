// Stand-in for one of the users' runners: runs tasks under a lease, keeps the highest fencing token
// that it has seen, lists ends 500 at a time until they are acknowledged, and can crash and start
// again under its id. A task runs for as long as its spec says: "run 200" is 200 ms.

#pragma once

#include "http/server.h"
#include "ledger.h"
#include "store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

struct RunnerShape
{
    std::string service;
    int64_t cpu = 16000;
    int64_t memMb = 65536;
    int64_t gpu = 0;
    std::vector<std::string> labels = {};
    int64_t holdMaxMs = 6000;
};

class Runner
{
public:
    Runner(boost::asio::io_context &context, Store &store, Ledger &ledger, std::string id,
           RunnerShape shape);

    bool open();
    // Ends the process: connections are reset, what runs is gone, nothing is sent.
    void crash();
    // Starts a new life at the same address under the same id: it listens, then registers.
    bool startAgain(const RunnerShape &shape);
    // Between this and reconnect() the runner is cut off: it runs on, but nothing that it is sent
    // is read or answered.
    void cutOff() { m_isCutOff = true; }
    // Closes the connections that were cut; what was sent on them is lost.
    void closeConnections();
    bool reconnect();
    // An unhealthy runner answers starts with 503, does nothing, and goes on sending heartbeats.
    void setUnhealthy(bool isUnhealthy) { m_isUnhealthy = isUnhealthy; }

    const std::string &id() const { return m_id; }
    const std::string &life() const { return m_life; }
    const RunnerShape &shape() const { return m_shape; }
    size_t running() const { return m_running.size(); }
    size_t unacknowledged() const { return m_ended.size(); }
    int64_t lastEnd() const { return m_lastEnd; }

private:
    struct Run
    {
        int64_t attempt = 0;
        std::chrono::steady_clock::time_point startedAt;
        std::chrono::milliseconds time = {};
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct End
    {
        int64_t number = 0;
        std::string task;
        int64_t attempt = 0;
        std::string how;
    };

    bool listen(uint16_t port);
    bool beginLife(uint16_t port);
    void beat();
    std::string entry() const;
    void handle(const cwl::http::Request &request, const cwl::http::Responder &respond);
    void start(const Json::Value &body, const cwl::http::Responder &respond);
    void stop(const Json::Value &body, const cwl::http::Responder &respond);
    void hold(const Json::Value &body, const cwl::http::Responder &respond);
    void end(const std::string &task, const std::string &how);
    void extend(const Json::Value &body);
    void checkLease();
    void answerWaiting();
    Json::Value lists() const;
    int64_t clockMs() const;
    void judgeRoom(const std::string &task);
    void answer(const cwl::http::Responder &respond, int status, Json::Value body) const;
    void refuse(const cwl::http::Responder &respond, const char *reason) const;

    boost::asio::io_context &m_context;
    Store &m_store;
    Ledger &m_ledger;
    const std::string m_id;
    RunnerShape m_shape;
    std::string m_life;
    int m_lives = 0;
    uint16_t m_port = 0;
    std::unique_ptr<cwl::http::Server> m_server;
    boost::asio::steady_timer m_leaseTimer;
    boost::asio::steady_timer m_beatTimer;
    std::map<std::string, Run> m_running;
    std::map<std::string, int64_t> m_endedAttempts;
    std::deque<End> m_ended;
    cwl::http::Responder m_waiting;
    std::shared_ptr<boost::asio::steady_timer> m_waitTimer;
    std::chrono::steady_clock::time_point m_bornAt;
    int64_t m_born = 0; // Unix milliseconds
    int64_t m_sequence = 0;
    int64_t m_lastEnd = 0;
    int64_t m_holds = 0;
    int64_t m_token = 0;
    int64_t m_leaseUntil = 0;
    bool m_isUnhealthy = false;
    bool m_isCutOff = false;
    std::vector<cwl::http::Responder> m_unread;
};

} // namespace review
