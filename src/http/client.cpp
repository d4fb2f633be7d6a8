#include "http/client.h"

#include "base/error.h"
#include "http/link.h"
#include "http/wire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cwl::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::error_code;

absl::Status unusableRequest()
{
    return makeError(Failure::ProtocolError,
                     "the request has a method, path or header that HTTP cannot carry");
}

} // namespace

class Client::Implementation : public std::enable_shared_from_this<Client::Implementation>
{
public:
    Implementation(asio::io_context &context, const ClientOptions &options, tcp::endpoint server)
        : m_strand(asio::make_strand(context))
        , m_options(options)
        , m_server(std::move(server))
    {
    }

    uint64_t send(Request request, TimePoint deadline, ResponseCallback callback, SendGuard guard);
    uint64_t sendMade(RequestMaker maker, TimePoint deadline, ResponseCallback callback);
    void giveUp(uint64_t request);
    void closeAll();
    void shutDown();
    size_t openConnections() const { return m_open; }

private:
    using LinkPointer = std::shared_ptr<Link>;
    using ExchangePointer = std::shared_ptr<Exchange>;

    uint64_t post(ExchangePointer exchange);
    void enqueue(const ExchangePointer &exchange);
    void serveQueue();
    LinkPointer takeIdleLink();
    void onTimer(const ExchangePointer &exchange);
    void onDeadline(const ExchangePointer &exchange);
    ExchangePointer findExchange(uint64_t id) const;
    void closeIdle();
    void connect();
    void onConnected(const LinkPointer &link, error_code error);
    bool makeRequest(const LinkPointer &link, const ExchangePointer &exchange);
    void assign(const LinkPointer &link, const ExchangePointer &exchange);
    void onWritten(const LinkPointer &link, error_code error, size_t bytes);
    void readAnswer(const LinkPointer &link);
    void onAnswerHeader(const LinkPointer &link, error_code error);
    void onAnswer(const LinkPointer &link, error_code error);
    void rest(const LinkPointer &link);
    void close(const LinkPointer &link);
    size_t connecting() const;

    Strand m_strand; // everything below is touched on it only
    const ClientOptions m_options;
    const tcp::endpoint m_server;
    std::deque<ExchangePointer> m_waiting;
    std::unordered_set<LinkPointer> m_links;
    std::vector<LinkPointer> m_idle; // the last one used comes last
    bool m_isDown = false;
    std::atomic<size_t> m_open = 0;
    std::atomic<uint64_t> m_lastId = 0; // any thread
};

// Section: requests and their queue

uint64_t Client::Implementation::send(Request request, TimePoint deadline,
                                      ResponseCallback callback, SendGuard guard)
{
    auto exchange = std::make_shared<Exchange>(m_strand, deadline, std::move(callback));
    exchange->request = toBeast(std::move(request), m_options.address);
    exchange->guard = std::move(guard);
    if (!exchange->request) {
        asio::post(m_strand, [exchange] { exchange->finish(unusableRequest()); });
        return ++m_lastId;
    }
    return post(std::move(exchange));
}

uint64_t Client::Implementation::sendMade(RequestMaker maker, TimePoint deadline,
                                          ResponseCallback callback)
{
    auto exchange = std::make_shared<Exchange>(m_strand, deadline, std::move(callback));
    exchange->maker = std::move(maker);
    return post(std::move(exchange));
}

uint64_t Client::Implementation::post(ExchangePointer exchange)
{
    const uint64_t id = ++m_lastId;
    exchange->id = id;
    asio::post(m_strand, [self = shared_from_this(), exchange] { self->enqueue(exchange); });
    return id;
}

void Client::Implementation::giveUp(uint64_t request)
{
    asio::post(m_strand, [self = shared_from_this(), request] {
        const ExchangePointer exchange = self->findExchange(request);
        if (!exchange)
            return;
        self->closeIdle();
        self->onDeadline(exchange);
    });
}

Client::Implementation::ExchangePointer Client::Implementation::findExchange(uint64_t id) const
{
    for (const LinkPointer &link : m_links) {
        if (link->exchange && link->exchange->id == id)
            return link->exchange;
    }
    for (const ExchangePointer &exchange : m_waiting) {
        if (exchange->id == id)
            return exchange;
    }
    return nullptr;
}

void Client::Implementation::enqueue(const ExchangePointer &exchange)
{
    if (m_isDown) {
        exchange->finish(makeError(Failure::ConnectionLost, "the client was closed"));
        return;
    }
    exchange->timer.expires_after(untilDeadline(exchange->deadline));
    exchange->timer.async_wait([self = shared_from_this(), exchange](error_code error) {
        if (!error)
            self->onTimer(exchange);
    });
    m_waiting.push_back(exchange);
    serveQueue();
}

void Client::Implementation::serveQueue()
{
    while (!m_waiting.empty()) {
        if (m_waiting.front()->deadline <= BootClock::now()) {
            onDeadline(ExchangePointer(m_waiting.front()));
            continue;
        }
        if (m_waiting.front()->guard && !m_waiting.front()->guard()) {
            const ExchangePointer refused = m_waiting.front();
            m_waiting.pop_front();
            refused->finish(makeError(Failure::LeaseLapsed,
                                      "the right to send to " + m_options.address + " has ended"));
            continue;
        }
        const LinkPointer link = takeIdleLink();
        if (!link)
            break;
        const ExchangePointer exchange = m_waiting.front();
        m_waiting.pop_front();
        if (makeRequest(link, exchange)) {
            assign(link, exchange);
        } else {
            m_idle.push_back(link);
            exchange->finish(unusableRequest());
        }
    }
    while (connecting() < m_waiting.size() && m_links.size() < m_options.maxConnections)
        connect();
}

Client::Implementation::LinkPointer Client::Implementation::takeIdleLink()
{
    while (!m_idle.empty()) {
        const LinkPointer link = m_idle.back();
        m_idle.pop_back();
        if (isOpen(link->socket))
            return link;
        close(link);
    }
    return nullptr;
}

// A process that was paused or overloaded finds the deadline and the answer at the same time. What
// has arrived is read first, so that its own lateness does not count as the server's.
void Client::Implementation::onTimer(const ExchangePointer &exchange)
{
    const Duration lateness = BootClock::now() - exchange->deadline;
    if (m_options.deadlineGrace == Duration::zero() || lateness <= maxTimerLateness) {
        onDeadline(exchange);
        return;
    }
    exchange->timer.expires_after(std::min(lateness, m_options.deadlineGrace));
    exchange->timer.async_wait([self = shared_from_this(), exchange](error_code error) {
        if (!error)
            self->onDeadline(exchange);
    });
}

void Client::Implementation::onDeadline(const ExchangePointer &exchange)
{
    const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), exchange);
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        exchange->finish(makeError(Failure::DeadlinePassed,
                                   "the deadline passed before a connection to " + m_options.address
                                           + " was free"));
        return;
    }
    const auto busy = std::find_if(m_links.begin(), m_links.end(), [&](const LinkPointer &link) {
        return link->exchange == exchange;
    });
    if (busy != m_links.end())
        close(LinkPointer(*busy));
    exchange->finish(
            makeError(Failure::Timeout,
                      "no complete answer from " + m_options.address + " before the deadline"));
    serveQueue();
}

// Section: connections

size_t Client::Implementation::connecting() const
{
    return size_t(std::count_if(m_links.begin(), m_links.end(), [](const LinkPointer &link) {
        return link->state == LinkState::Connecting;
    }));
}

void Client::Implementation::connect()
{
    const auto link = std::make_shared<Link>(m_strand);
    m_links.insert(link);
    link->timer.expires_after(m_options.connectTimeout);
    link->timer.async_wait([self = shared_from_this(), link](error_code error) {
        if (!error && link->state == LinkState::Connecting)
            self->onConnected(link, asio::error::timed_out);
    });
    link->socket.async_connect(m_server, [self = shared_from_this(), link](error_code error) {
        if (link->state == LinkState::Connecting)
            self->onConnected(link, error);
    });
}

void Client::Implementation::onConnected(const LinkPointer &link, error_code error)
{
    link->timer.cancel();
    if (error) {
        close(link);
        if (!m_waiting.empty()) {
            const ExchangePointer exchange = m_waiting.front();
            m_waiting.pop_front();
            exchange->finish(
                    makeError(Failure::ConnectionRefused,
                              "cannot connect to " + m_options.address + ": " + error.message()));
        }
        serveQueue();
        return;
    }
    error_code ignored;
    link->socket.set_option(tcp::no_delay(true), ignored);
    link->openedAt = BootClock::now();
    ++m_open;
    rest(link);
}

void Client::Implementation::rest(const LinkPointer &link)
{
    link->state = LinkState::Idle;
    const uint64_t use = ++link->uses;
    const auto endsRest = [self = shared_from_this(), link, use](error_code error) {
        if (error || link->state != LinkState::Idle || link->uses != use)
            return;
        std::erase(self->m_idle, link);
        self->close(link);
    };
    m_idle.push_back(link);
    serveQueue();
    if (link->state != LinkState::Idle || link->uses != use)
        return;
    link->timer.expires_after(m_options.idleTimeout);
    link->timer.async_wait(endsRest);
    // Input on an idle connection is its end, or an answer that nobody asked for.
    link->socket.async_wait(tcp::socket::wait_read, endsRest);
}

void Client::Implementation::close(const LinkPointer &link)
{
    if (link->state == LinkState::Closed)
        return;
    if (link->state != LinkState::Connecting)
        --m_open;
    link->state = LinkState::Closed;
    link->exchange = nullptr;
    link->timer.cancel();
    error_code ignored;
    link->socket.close(ignored);
    m_links.erase(link);
}

// Section: one exchange on a connection

bool Client::Implementation::makeRequest(const LinkPointer &link, const ExchangePointer &exchange)
{
    if (!exchange->request)
        exchange->request = toBeast(exchange->maker(link->openedAt), m_options.address);
    return exchange->request.has_value();
}

void Client::Implementation::assign(const LinkPointer &link, const ExchangePointer &exchange)
{
    link->timer.cancel();
    link->state = LinkState::Busy;
    ++link->uses;
    link->exchange = exchange;
    link->hasWriteFailed = false;
    beast::http::async_write(
            link->socket, *exchange->request,
            [self = shared_from_this(), link, exchange](error_code error, size_t bytes) {
                if (link->exchange == exchange)
                    self->onWritten(link, error, bytes);
            });
}

void Client::Implementation::onWritten(const LinkPointer &link, error_code error, size_t bytes)
{
    addSent(m_options.traffic, bytes);
    if (error && bytes == 0) {
        const ExchangePointer exchange = link->exchange;
        close(link);
        exchange->finish(makeError(Failure::ConnectionRefused,
                                   "the connection to " + m_options.address
                                           + " was closed before anything was written"));
        serveQueue();
        return;
    }
    // A server that refuses a large body may answer and close before it has read all of it.
    link->hasWriteFailed = bool(error);
    readAnswer(link);
}

void Client::Implementation::readAnswer(const LinkPointer &link)
{
    link->parser.emplace();
    link->parser->header_limit(maxAnswerHeaderBytes);
    link->parser->body_limit(m_options.maxBodyBytes);
    if (link->exchange->request->method() == beast::http::verb::head)
        link->parser->skip(true);
    // The header is read on its own: Beast 1.74 overlooks a stated length above the limit when it
    // parses header and body in one step.
    beast::http::async_read_header(link->socket, link->buffer, *link->parser,
                                   [self = shared_from_this(), link,
                                    exchange = link->exchange](error_code error, size_t bytes) {
                                       addReceived(self->m_options.traffic, bytes);
                                       if (link->exchange == exchange)
                                           self->onAnswerHeader(link, error);
                                   });
}

void Client::Implementation::onAnswerHeader(const LinkPointer &link, error_code error)
{
    if (error) {
        onAnswer(link, error);
        return;
    }
    const bool isInterim = beast::http::to_status_class(link->parser->get().result())
            == beast::http::status_class::informational;
    if (isInterim) {
        readAnswer(link);
        return;
    }
    beast::http::async_read(link->socket, link->buffer, *link->parser,
                            [self = shared_from_this(), link,
                             exchange = link->exchange](error_code error, size_t bytes) {
                                addReceived(self->m_options.traffic, bytes);
                                if (link->exchange == exchange)
                                    self->onAnswer(link, error);
                            });
}

void Client::Implementation::onAnswer(const LinkPointer &link, error_code error)
{
    const ExchangePointer exchange = link->exchange;
    if (error) {
        const absl::Status failure = readFailure(error, *link->parser, m_options.address);
        close(link);
        exchange->finish(failure);
        serveQueue();
        return;
    }
    // The end of the connection marks the end of such an answer, so a loss looks like its end.
    const bool hasStatedEnd = !link->parser->need_eof();
    const bool keep = link->parser->keep_alive() && !link->hasWriteFailed
            && !link->closesAfterAnswer && link->buffer.size() == 0 && hasStatedEnd;
    Response response = toPlain(link->parser->release());
    link->exchange = nullptr;
    if (!keep || m_isDown)
        close(link);
    else
        rest(link);
    if (hasStatedEnd)
        exchange->finish(std::move(response));
    else
        exchange->finish(makeError(Failure::AnswerTruncated,
                                   "the answer of " + m_options.address
                                           + " states no length, so its end is unknown"));
    serveQueue();
}

// Section: closing

void Client::Implementation::closeIdle()
{
    for (const LinkPointer &link : std::exchange(m_idle, {}))
        close(link);
}

void Client::Implementation::closeAll()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->closeIdle();
        for (const LinkPointer &link : self->m_links) {
            if (link->state == LinkState::Busy)
                link->closesAfterAnswer = true;
        }
    });
}

void Client::Implementation::shutDown()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_isDown = true;
        self->m_idle.clear();
        std::deque<ExchangePointer> ended = std::exchange(self->m_waiting, {});
        for (const LinkPointer &link : std::unordered_set<LinkPointer>(self->m_links)) {
            if (link->exchange)
                ended.push_back(link->exchange);
            self->close(link);
        }
        for (const ExchangePointer &exchange : ended)
            exchange->finish(makeError(Failure::ConnectionLost, "the client was closed"));
    });
}

// Section: public interface

absl::StatusOr<std::unique_ptr<Client>> Client::create(asio::io_context &context,
                                                       const ClientOptions &options)
{
    const std::optional<tcp::endpoint> server = parseAddress(options.address);
    if (!server)
        return makeError(Failure::InvalidValue,
                         "'" + options.address + "' is not an address of the form ip:port",
                         {.field = "address"});
    return std::unique_ptr<Client>(
            new Client(std::make_shared<Implementation>(context, options, *server)));
}

Client::Client(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Client::~Client()
{
    m_implementation->shutDown();
}

uint64_t Client::send(Request request, TimePoint deadline, ResponseCallback callback,
                      SendGuard guard)
{
    return m_implementation->send(std::move(request), deadline, std::move(callback),
                                  std::move(guard));
}

uint64_t Client::sendMade(RequestMaker maker, TimePoint deadline, ResponseCallback callback)
{
    return m_implementation->sendMade(std::move(maker), deadline, std::move(callback));
}

void Client::giveUp(uint64_t request)
{
    m_implementation->giveUp(request);
}

size_t Client::openConnections() const
{
    return m_implementation->openConnections();
}

void Client::closeAll()
{
    m_implementation->closeAll();
}

} // namespace cwl::http
