// One connection of the server: reads a request, hands it over, writes its answer, and so on.
// Internal to this library.

#pragma once

#include "http/server.h"
#include "http/wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace cwl::http {

class Session;

// What the sessions of one server share.
struct SessionContext
{
    ServerOptions options;
    Handler handler;
    std::function<void(const std::shared_ptr<Session> &)> closed; // called once per session
    std::atomic<size_t> maxBodyBytes = 0;
    std::atomic<bool> isStopping = false; // answers from now on end their connection
    std::atomic<bool> isDown = false;     // the server is gone: no handler may be called
};

// Its members are touched on the strand of its socket only.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context);

    void start();
    void stop(); // closes when no answer is owed; any thread
    void shut(); // closes at once; any thread

private:
    enum class Phase { Idle, Reading, Handling, Writing, Draining, Closed };

    class Answer;
    void awaitRequest();
    void onFirstBytes(boost::beast::error_code error, size_t bytes);
    void readHeader();
    void onHeader(boost::beast::error_code error);
    void sendContinue();
    void readBody();
    void onRequest(boost::beast::error_code error);
    void refuse(int status, const std::string &message);
    void answer(Response response);
    void write();
    void onWritten(boost::beast::error_code error);
    void drain();
    void onDrained(boost::beast::error_code error, size_t bytes);
    void stopNow();
    void close();

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<SessionContext> m_context;
    boost::asio::steady_timer m_stopTimer;
    boost::beast::flat_buffer m_buffer;
    Phase m_phase = Phase::Idle;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::optional<BeastResponse> m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>>
            m_serializer;
    boost::beast::http::response<boost::beast::http::empty_body> m_continue;
    bool m_keepAlive = false;
    bool m_isHead = false;
    bool m_mustDrain = false;
    bool m_hasServed = false;
    size_t m_drained = 0;
};

} // namespace cwl::http
