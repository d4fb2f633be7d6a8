#include "http/session.h"

#include "base/error.h"
#include "base/json.h"
#include "base/traffic.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace cwl::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr size_t readBytes = 4096;
constexpr size_t bodyReadBytes = 16UL * 1024; // fewer reads of a body, in a buffer that is bounded

// Of a session without its buffer: the session itself, its parser and the operations under way.
constexpr size_t sessionBytes = 4096;

constexpr int64_t overloadRetryMs = 1000;

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
    , m_charge(m_context->memory)
    , m_buffer(std::max(m_context->options.maxHeaderBytes, readBytes))
{
    m_charge.hold(sessionBytes + readBytes);
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

void Session::evict(Limit limit)
{
    asio::post(m_stream.get_executor(), [self = shared_from_this(), limit] {
        if (self->m_phase != Phase::Handling)
            self->closeFor(limit);
    });
}

// Section: the shares of the listener

void Session::moveTo(Stage stage)
{
    if (const auto connections = m_context->connections.lock())
        connections->move(m_entry, stage);
}

size_t Session::ownMemory() const
{
    return sessionBytes + std::max(m_buffer.capacity(), readBytes);
}

// Goes on with `next` once another connection has given memory back.
void Session::relieve(size_t wanted, Step next)
{
    moveTo(Stage::Active);
    const auto connections = m_context->connections.lock();
    Relief relief = connections ? connections->relieve(m_entry) : Relief::Self;
    // A connection that was being closed on another thread may have ended since the budget was
    // asked: what it held is given back before it leaves the table.
    if (connections && relief != Relief::Coming && m_charge.tryHold(wanted))
        relief = Relief::Coming;
    if (relief == Relief::Self) {
        closeFor(Limit::Memory);
        return;
    }
    if (relief == Relief::None) {
        m_context->statistics.add(Limit::MemoryRefused);
        refuse(503,
               makeError(Failure::NotReady, "too many requests at the same time",
                         {.retryAfterMs = overloadRetryMs}));
        return;
    }
    asio::post(m_stream.get_executor(), [self = shared_from_this(), next] {
        if (self->m_phase == Phase::Reading)
            (self.get()->*next)();
    });
}

// Section: reading

void Session::awaitRequest()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Idle;
    m_parser.reset();
    moveTo(Stage::Idle);
    if (m_buffer.size() > 0) {
        beginRequest(); // pipelined: the next request is here already
        return;
    }
    if (m_buffer.capacity() > readBytes)
        m_buffer.shrink_to_fit();
    m_charge.hold(ownMemory());
    m_stream.expires_after(m_context->options.idleTimeout);
    read();
}

void Session::read()
{
    const size_t room = m_buffer.max_size() - m_buffer.size();
    const size_t unused = m_buffer.capacity() - m_buffer.size();
    const size_t wanted = m_phase == Phase::Reading && m_isHeaderDone ? bodyReadBytes : readBytes;
    m_stream.async_read_some(m_buffer.prepare(std::min(room, std::max(unused, wanted))),
                             [self = shared_from_this()](beast::error_code error, size_t bytes) {
                                 self->onRead(error, bytes);
                             });
}

void Session::onRead(beast::error_code error, size_t bytes)
{
    addReceived(Traffic::HttpServer, bytes);
    if (m_phase == Phase::Closed)
        return;
    if (error == beast::error::timeout) {
        closeFor(timeLimit());
        return;
    }
    if (error) {
        close();
        return;
    }
    m_buffer.commit(bytes);
    if (m_phase == Phase::Idle)
        beginRequest();
    else
        parse();
}

Limit Session::timeLimit() const
{
    if (m_phase == Phase::Idle)
        return Limit::IdleTime;
    return m_isHeaderDone ? Limit::BodyTime : Limit::HeaderTime;
}

void Session::beginRequest()
{
    m_phase = Phase::Reading;
    m_isHeaderDone = false;
    m_parser.emplace(RequestLimits{.headerBytes = m_context->options.maxHeaderBytes,
                                   .headerFields = m_context->options.maxHeaderFields,
                                   .bodyBytes = m_context->maxBodyBytes.load()});
    m_stream.expires_after(m_context->options.headerTimeout);
    parse();
}

void Session::parse()
{
    const size_t wanted = ownMemory() + m_parser->memoryWith(m_buffer.size());
    if (!m_charge.tryHold(wanted)) {
        relieve(wanted, &Session::parse);
        return;
    }
    if (!parseBuffered())
        return;
    if (m_parser->is_done())
        onRequest();
    else
        readMore();
}

// Returns false if the request has been refused, or goes on later.
bool Session::parseBuffered()
{
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        beast::error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == beast::http::error::need_more)
            break;
        if (error) {
            onParseError(error);
            return false;
        }
        if (!m_isHeaderDone && m_parser->is_header_done() && !onHeader())
            return false;
    }
    return true;
}

void Session::readMore()
{
    if (m_buffer.size() == m_buffer.max_size()) {
        closeFor(Limit::Header); // a header, trailer or chunk line that does not end
        return;
    }
    moveTo(Stage::Active);
    read();
}

// Returns false if the request has been refused, or goes on once it has been confirmed.
bool Session::onHeader()
{
    m_isHeaderDone = true;
    if (m_parser->hasTransferEncoding() && !m_parser->chunked()) {
        refuse(400,
               makeError(Failure::MalformedBody,
                         "the only transfer encoding understood is chunked"));
        return false;
    }
    m_stream.expires_after(m_context->options.bodyTimeout);
    if (!m_parser->expectsContinue() || m_parser->is_done())
        return true;
    sendContinue();
    return false;
}

void Session::onParseError(beast::error_code error)
{
    if (error == beast::http::error::body_limit)
        refuseBody();
    else if (error == beast::http::error::header_limit)
        closeFor(Limit::Header);
    else if (m_isHeaderDone)
        close();
    else
        refuse(400,
               makeError(Failure::MalformedBody,
                         "the header is not valid HTTP: " + error.message()));
}

void Session::sendContinue()
{
    moveTo(Stage::Active);
    m_continue = {beast::http::status::continue_, 11};
    beast::http::async_write(m_stream, m_continue,
                             [self = shared_from_this()](beast::error_code error, size_t) {
                                 if (error)
                                     self->close();
                                 else if (self->m_phase == Phase::Reading)
                                     self->parse();
                             });
}

void Session::onRequest()
{
    if (m_context->isDown) {
        close();
        return;
    }
    m_phase = Phase::Handling;
    moveTo(Stage::Owed);
    m_stream.expires_never();
    m_isHead = m_parser->isHead();
    m_keepAlive = m_parser->keep_alive();
    m_charge.hold(ownMemory() + m_parser->memory());
    const auto owed = std::make_shared<Answer>(weak_from_this());
    m_context->handler(m_parser->release(),
                       [owed](Response response) { owed->send(std::move(response)); });
}

// Section: answering

void Session::refuse(int status, const absl::Status &failure)
{
    Response response{.status = status, .body = writeJson(errorToJson(failure))};
    response.headers.set("Content-Type", "application/json");
    if (status == 503)
        response.headers.set("Retry-After", std::to_string(overloadRetryMs / 1000));
    for (const auto &[name, value] : m_context->options.refusalHeaders.all())
        response.headers.set(name, value);
    m_phase = Phase::Handling;
    m_isHead = m_parser->isHead();
    m_keepAlive = false;
    m_mustDrain = true;
    answer(std::move(response));
}

void Session::refuseBody()
{
    m_context->statistics.add(Limit::Body);
    refuse(413,
           makeError(Failure::BodyTooLarge, "the body is larger than the limit",
                     {.limit = std::to_string(m_context->maxBodyBytes) + " bytes"}));
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
    m_parser.reset();
    m_response = toBeast(std::move(response));
    m_response->keep_alive(m_keepAlive);
    moveTo(Stage::Active);
    m_charge.hold(ownMemory() + m_response->body().capacity());
    if (m_context->memory.isExceeded()) {
        if (const auto connections = m_context->connections.lock())
            connections->relieveOthers(m_entry);
    }
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
    m_serializer.reset();
    m_response.reset();
    if (m_phase == Phase::Closed) {
        leave();
        return;
    }
    m_phase = Phase::Idle;
    if (error == beast::error::timeout)
        m_context->statistics.add(Limit::WriteTime);
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
    m_charge.hold(ownMemory());
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

void Session::closeFor(Limit limit)
{
    if (m_phase != Phase::Closed)
        m_context->statistics.add(limit);
    close();
}

void Session::close()
{
    if (m_phase == Phase::Closed)
        return;
    const bool isWriting = m_phase == Phase::Writing;
    m_phase = Phase::Closed;
    m_stopTimer.cancel();
    m_stream.close();
    if (!isWriting) // a response is kept until its write has ended
        leave();
}

void Session::leave()
{
    m_parser.reset();
    m_charge.hold(0);
    const auto connections = m_context->connections.lock();
    if (!connections)
        return;
    connections->remove(m_entry);
    // Only one connection is closed at a time, and responses are charged even above the budget.
    if (m_context->memory.isExceeded())
        connections->relieveRest();
}

} // namespace cwl::http
