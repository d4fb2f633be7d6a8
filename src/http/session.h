// One connection of the server: reads a request, hands it over, writes its answer, and so on.
// Internal to this library.

#pragma once

#include "http/connectiontable.h"
#include "http/memorybudget.h"
#include "http/requestparser.h"
#include "http/server.h"
#include "http/wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace cwl::http {

// What the sessions of one server share.
struct SessionContext
{
    SessionContext(const ServerOptions &serverOptions, Handler requestHandler,
                   std::weak_ptr<ConnectionTable> connectionTable)
        : options(serverOptions)
        , handler(std::move(requestHandler))
        , connections(std::move(connectionTable))
        , memory(serverOptions.memoryBytes)
        , maxBodyBytes(serverOptions.maxBodyBytes)
    {
    }

    const ServerOptions options;
    const Handler handler;
    const std::weak_ptr<ConnectionTable> connections; // none once the server is gone
    MemoryBudget memory;
    ServerStatistics statistics = {};
    std::atomic<size_t> maxBodyBytes;
    std::atomic<bool> isStopping = false; // answers from now on end their connection
    std::atomic<bool> isDown = false;     // the server is gone: no handler may be called
};

// Its members are touched on the strand of its socket only.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context);

    void setEntry(ConnectionTable::Entry entry) { m_entry = entry; } // before start()
    void start();
    void stop();             // closes when no answer is owed; any thread
    void shut();             // closes at once; any thread
    void evict(Limit limit); // closes unless an answer is owed; any thread

private:
    enum class Phase { Idle, Reading, Handling, Writing, Draining, Closed };

    class Answer;
    using Step = void (Session::*)();

    void awaitRequest();
    void read();
    void onRead(boost::beast::error_code error, size_t bytes);
    void beginRequest();
    void parse();
    bool parseBuffered();
    void readMore();
    bool onHeader();
    void onParseError(boost::beast::error_code error);
    void sendContinue();
    void onRequest();
    void refuse(int status, const absl::Status &failure);
    void refuseBody();
    void answer(Response response);
    void write();
    void onWritten(boost::beast::error_code error);
    void drain();
    void onDrained(boost::beast::error_code error, size_t bytes);
    void stopNow();
    void closeFor(Limit limit);
    void close();
    void leave();

    Limit timeLimit() const;
    void moveTo(Stage stage);
    size_t ownMemory() const;
    void relieve(size_t wanted, Step next);

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<SessionContext> m_context;
    boost::asio::steady_timer m_stopTimer;
    MemoryCharge m_charge;
    boost::beast::flat_buffer m_buffer;
    ConnectionTable::Entry m_entry = {};
    Phase m_phase = Phase::Idle;
    std::optional<RequestParser> m_parser;
    std::optional<BeastResponse> m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>>
            m_serializer;
    boost::beast::http::response<boost::beast::http::empty_body> m_continue;
    bool m_isHeaderDone = false;
    bool m_keepAlive = false;
    bool m_isHead = false;
    bool m_mustDrain = false;
    bool m_hasServed = false;
    size_t m_drained = 0;
};

} // namespace cwl::http
