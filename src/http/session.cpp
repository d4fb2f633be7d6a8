#include "http/session.h"

#include "base/error.h"
#include "base/json.h"
#include "base/traffic.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace cwl::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr size_t readBytes = 4096;

// A connection accepted shortly before the stop may have a request on its way; it has this long.
constexpr auto firstRequestGrace = milliseconds(1000);

// Closing with unread input resets the connection, which can destroy an answer that the caller
// has not read yet. So the input that follows a refusal is read and discarded, within limits.
constexpr size_t maxDrainBytes = 16UL * 1024 * 1024;
constexpr auto drainTimeout = seconds(2);

} // namespace

// Answers 500 if every copy of the responder is dropped without an answer, so that no caller waits
// for an answer that never comes.
class Session::Answer
{
public:
    explicit Answer(std::weak_ptr<Session> session)
        : m_session(std::move(session))
    {
    }
    ~Answer()
    {
        const absl::Status status =
                makeError(Failure::Internal, "the request was dropped without an answer");
        send({.status = 500, .body = writeJson(errorToJson(status))});
    }
    Answer(const Answer &) = delete;
    Answer &operator=(const Answer &) = delete;

    void send(Response response)
    {
        if (m_isSent.exchange(true))
            return;
        const std::shared_ptr<Session> session = m_session.lock();
        if (!session)
            return;
        asio::post(session->m_stream.get_executor(),
                   [session, response = std::move(response)]() mutable {
                       session->answer(std::move(response));
                   });
    }

private:
    std::weak_ptr<Session> m_session;
    std::atomic<bool> m_isSent = false;
};

Session::Session(asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context)
    : m_stream(std::move(socket))
    , m_context(std::move(context))
    , m_stopTimer(m_stream.get_executor())
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Session::start()
{
    asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        self->awaitRequest();
        if (self->m_context->isStopping)
            self->stopNow();
    });
}

void Session::stop()
{
    asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->stopNow(); });
}

void Session::shut()
{
    asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->close(); });
}

// Section: reading

void Session::awaitRequest()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Idle;
    if (m_buffer.size() > 0) {
        readHeader(); // pipelined: the next request is here already
        return;
    }
    m_stream.expires_after(m_context->options.idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(readBytes),
                             [self = shared_from_this()](beast::error_code error, size_t bytes) {
                                 self->onFirstBytes(error, bytes);
                             });
}

void Session::onFirstBytes(beast::error_code error, size_t bytes)
{
    if (m_phase == Phase::Closed)
        return;
    if (error) {
        close();
        return;
    }
    m_buffer.commit(bytes);
    readHeader();
}

void Session::readHeader()
{
    m_phase = Phase::Reading;
    m_parser.emplace();
    m_parser->header_limit(uint32_t(m_context->options.maxHeaderBytes));
    m_parser->body_limit(m_context->maxBodyBytes.load());
    m_stream.expires_after(m_context->options.headerTimeout);
    beast::http::async_read_header(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code error, size_t bytes) {
                addReceived(Traffic::HttpServer, bytes);
                self->onHeader(error);
            });
}

void Session::onHeader(beast::error_code error)
{
    if (m_phase == Phase::Closed)
        return;
    m_isHead = m_parser->get().method() == beast::http::verb::head;
    if (error == beast::http::error::body_limit) {
        refuse(413, "the body is larger than the limit");
        return;
    }
    const bool isSyntax = error.category()
            == beast::http::make_error_code(beast::http::error::end_of_stream).category();
    if (isSyntax && error != beast::http::error::end_of_stream
        && error != beast::http::error::partial_message
        && error != beast::http::error::header_limit) {
        refuse(400, "the header is not valid HTTP: " + error.message());
        return;
    }
    if (error) {
        close();
        return;
    }
    const auto &header = m_parser->get();
    if (header.count(beast::http::field::transfer_encoding) > 0 && !m_parser->chunked()) {
        refuse(400, "the only transfer encoding understood is chunked");
        return;
    }
    if (beast::http::token_list(header[beast::http::field::expect]).exists("100-continue"))
        sendContinue();
    else
        readBody();
}

void Session::sendContinue()
{
    m_continue = {beast::http::status::continue_, 11};
    beast::http::async_write(m_stream, m_continue,
                             [self = shared_from_this()](beast::error_code error, size_t) {
                                 if (error)
                                     self->close();
                                 else
                                     self->readBody();
                             });
}

void Session::readBody()
{
    if (m_phase == Phase::Closed)
        return;
    m_stream.expires_after(m_context->options.bodyTimeout);
    beast::http::async_read(m_stream, m_buffer, *m_parser,
                            [self = shared_from_this()](beast::error_code error, size_t bytes) {
                                addReceived(Traffic::HttpServer, bytes);
                                self->onRequest(error);
                            });
}

void Session::onRequest(beast::error_code error)
{
    if (m_phase == Phase::Closed)
        return;
    if (error == beast::http::error::body_limit) {
        refuse(413, "the body is larger than the limit");
        return;
    }
    if (error || m_context->isDown) {
        close();
        return;
    }
    m_phase = Phase::Handling;
    m_stream.expires_never();
    BeastRequest request = m_parser->release();
    m_keepAlive = request.keep_alive();
    const auto owed = std::make_shared<Answer>(weak_from_this());
    m_context->handler(toPlain(std::move(request)),
                       [owed](Response response) { owed->send(std::move(response)); });
}

// Section: answering

void Session::refuse(int status, const std::string &message)
{
    const Failure failure = status == 413 ? Failure::BodyTooLarge : Failure::MalformedBody;
    ErrorDetail detail;
    if (status == 413)
        detail.limit = std::to_string(m_context->maxBodyBytes) + " bytes";
    Response response{.status = status,
                      .body = writeJson(errorToJson(makeError(failure, message, detail)))};
    response.headers.set("Content-Type", "application/json");
    for (const auto &[name, value] : m_context->options.refusalHeaders.all())
        response.headers.set(name, value);
    m_phase = Phase::Handling;
    m_keepAlive = false;
    m_mustDrain = true;
    answer(std::move(response));
}

void Session::answer(Response response)
{
    if (m_phase != Phase::Handling)
        return;
    m_phase = Phase::Writing;
    m_hasServed = true;
    // A request that was received together with this one is still owed an answer.
    if (m_context->isStopping && m_buffer.size() == 0)
        m_keepAlive = false;
    m_response = toBeast(std::move(response));
    m_response->keep_alive(m_keepAlive);
    write();
}

void Session::write()
{
    m_serializer.emplace(*m_response);
    m_stream.expires_after(m_context->options.writeTimeout);
    auto written = [self = shared_from_this()](beast::error_code error, size_t bytes) {
        addSent(Traffic::HttpServer, bytes);
        self->onWritten(error);
    };
    // The answer to HEAD states the length of the body and leaves it out.
    if (m_isHead)
        beast::http::async_write_header(m_stream, *m_serializer, std::move(written));
    else
        beast::http::async_write(m_stream, *m_serializer, std::move(written));
}

void Session::onWritten(beast::error_code error)
{
    if (m_phase == Phase::Closed)
        return;
    m_serializer.reset();
    m_response.reset();
    if (error) {
        close();
        return;
    }
    if (m_keepAlive) {
        awaitRequest();
        if (m_context->isStopping)
            stopNow();
        return;
    }
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (m_mustDrain)
        drain();
    else
        close();
}

void Session::drain()
{
    if (m_phase != Phase::Draining)
        m_stream.expires_after(drainTimeout);
    m_phase = Phase::Draining;
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(readBytes),
                             [self = shared_from_this()](beast::error_code error, size_t bytes) {
                                 self->onDrained(error, bytes);
                             });
}

void Session::onDrained(beast::error_code error, size_t bytes)
{
    m_drained += bytes;
    addReceived(Traffic::HttpServer, bytes);
    if (error || m_drained > maxDrainBytes)
        close();
    else if (m_phase == Phase::Draining)
        drain();
}

// Section: closing

void Session::stopNow()
{
    if (m_phase != Phase::Idle)
        return;
    beast::error_code ignored;
    if (m_stream.socket().available(ignored) > 0)
        return; // a request has arrived and will be read next
    if (m_hasServed) {
        close();
        return;
    }
    m_stopTimer.expires_after(firstRequestGrace);
    m_stopTimer.async_wait([self = shared_from_this()](beast::error_code error) {
        if (!error && self->m_phase == Phase::Idle)
            self->close();
    });
}

void Session::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    m_stopTimer.cancel();
    m_stream.close();
    m_context->closed(shared_from_this());
}

} // namespace cwl::http
