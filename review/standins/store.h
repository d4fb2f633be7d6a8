// Stand-in for the users' metadata store: rows, transactions under conditions, a feed. It can be
// silent for a while: what arrives meanwhile is not done and is refused with 503 afterwards.

#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace review {

class Store
{
public:
    explicit Store(boost::asio::io_context &context);

    bool open();
    uint16_t port() const { return m_server->port(); }

    // What the operator and the runners write.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void setSilent(bool isSilent);
    bool isSilent() const { return m_isSilent; }

private:
    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key
    using Query = std::map<std::string, std::string>;
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
        cwl::http::Responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const cwl::http::Request &request, const cwl::http::Responder &respond);
    void transaction(const cwl::http::Request &request, const cwl::http::Responder &respond);
    void read(const Query &query, const cwl::http::Responder &respond);
    void feed(const Query &query, const cwl::http::Responder &respond);
    Json::Value changesAfter(const std::string &table, int64_t after) const;
    void answerWaiters(bool all);
    void answer(const cwl::http::Responder &respond, int status, Json::Value body) const;

    boost::asio::io_context &m_context;
    std::unique_ptr<cwl::http::Server> m_server;
    std::map<Key, StoredRow> m_rows;
    std::list<Waiter> m_waiters;
    std::vector<cwl::http::Responder> m_unanswered;
    int64_t m_version = 0;
    bool m_isSilent = false;
};

} // namespace review
