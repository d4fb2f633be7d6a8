// Stand-in for the users' metadata store: versioned rows, transactions under conditions, a feed.
// Faults: answers that are lost after the write, refusals, silence, a history that is dropped.

#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace cwl::usersplatform {

struct StoreFaults
{
    double lostAnswers = 0;       // share of writes that take effect and are not answered
    bool refuses = false;         // everything is answered with 503
    bool isSilent = false;        // nothing is answered
    bool refusesSide = false;     // like `refuses`, on the side port only
    std::string answersWith = {}; // this body with status 200, whatever was asked; empty: off
};

// Lives on the thread that runs the io_context.
class TableStore
{
public:
    TableStore(boost::asio::io_context &context, uint64_t seed);

    absl::Status open(); // Errors: as of http::Server
    uint16_t port() const { return m_server->port(); }
    // The same store for instances that it may turn away while it serves the others.
    uint16_t sidePort() const { return m_sideServer->port(); }

    // What the operator and the workers write.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    void dropHistory() { m_firstKept = m_version + 1; }

    size_t rows(const std::string &table) const;
    StoreFaults faults;

private:
    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct StoredRow
    {
        std::string value; // base64
        int64_t version = 0;
        bool isDeleted = false;
    };
    struct Waiter
    {
        std::string table;
        int64_t after = 0;
        http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const http::Request &request, const http::Responder &respond);
    void transaction(const http::Request &request, const http::Responder &respond);
    void read(const std::map<std::string, std::string> &query, const http::Responder &respond);
    void feed(const std::map<std::string, std::string> &query, const http::Responder &respond);
    void wake();
    Json::Value changesAfter(const std::string &table, int64_t after) const;
    void answer(const http::Responder &respond, int status, const Json::Value &body);

    boost::asio::io_context &m_context;
    std::unique_ptr<http::Server> m_server;
    std::unique_ptr<http::Server> m_sideServer;
    std::map<Key, StoredRow> m_rows;
    std::list<Waiter> m_waiters;
    std::mt19937_64 m_random;
    int64_t m_version = 0;
    int64_t m_firstKept = 0;
};

} // namespace cwl::usersplatform
