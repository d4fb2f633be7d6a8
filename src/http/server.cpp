#include "http/server.h"

#include "base/error.h"
#include "http/connectiontable.h"
#include "http/session.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <cerrno>
#include <utility>

namespace cwl::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Pause after an accept that failed for lack of file descriptors.
constexpr auto acceptRetryPause = milliseconds(50);

constexpr std::array<const char *, limitCount> limitNames{
        "memory", "memory_refused", "connections", "connections_refused", "header",
        "body",   "header_time",    "body_time",   "idle_time",           "write_time"};

} // namespace

const char *limitName(Limit limit)
{
    return limitNames[size_t(limit)];
}

class Server::Implementation : public std::enable_shared_from_this<Server::Implementation>
{
public:
    Implementation(asio::io_context &context, const ServerOptions &options, Handler handler)
        : m_context(context)
        , m_acceptor(asio::make_strand(context))
        , m_retryTimer(m_acceptor.get_executor())
        , m_connections(std::make_shared<ConnectionTable>(options.maxConnections))
        , m_shared(std::make_shared<SessionContext>(options, std::move(handler), m_connections))
    {
    }

    absl::Status open();
    void start();
    void stopAccepting();
    void shutDown();

    uint16_t port() const { return m_port; }
    void setMaxBodyBytes(size_t bytes) { m_shared->maxBodyBytes = bytes; }
    size_t connections() const { return m_connections->size(); }
    size_t memoryUsed() const { return m_shared->memory.used(); }
    const ServerStatistics &statistics() const { return m_shared->statistics; }

private:
    void accept();
    void onAccepted(ErrorCode error, tcp::socket socket);
    void admit(tcp::socket socket);
    void admitBacklog();

    asio::io_context &m_context;
    tcp::acceptor m_acceptor; // on its own strand
    asio::steady_timer m_retryTimer;
    std::shared_ptr<ConnectionTable> m_connections;
    std::shared_ptr<SessionContext> m_shared;
    uint16_t m_port = 0;
};

absl::Status Server::Implementation::open()
{
    const ServerOptions &options = m_shared->options;
    const std::string name = options.address + ":" + std::to_string(options.port);
    ErrorCode error;
    const asio::ip::address address = asio::ip::make_address(options.address, error);
    if (error)
        return makeError(Failure::InvalidValue,
                         "'" + options.address + "' is not a numeric IP address",
                         {.field = "address"});
    const tcp::endpoint endpoint(address, options.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        m_acceptor.non_blocking(true, error);
    if (error == asio::error::address_in_use)
        return makeError(Failure::AddressInUse, name + " is in use");
    if (error)
        return makeError(Failure::InvalidValue, "cannot listen on " + name + ": " + error.message(),
                         {.field = "address"});
    m_port = m_acceptor.local_endpoint().port();
    return absl::OkStatus();
}

void Server::Implementation::start()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->accept(); });
}

void Server::Implementation::accept()
{
    if (!m_acceptor.is_open())
        return;
    m_acceptor.async_accept(asio::make_strand(m_context),
                            [self = shared_from_this()](ErrorCode error, tcp::socket socket) {
                                self->onAccepted(error, std::move(socket));
                            });
}

void Server::Implementation::onAccepted(ErrorCode error, tcp::socket socket)
{
    if (!error) {
        admit(std::move(socket));
        accept();
        return;
    }
    if (error == asio::error::no_descriptors || error.value() == ENFILE)
        m_connections->closeIdle();
    m_retryTimer.expires_after(acceptRetryPause);
    m_retryTimer.async_wait([self = shared_from_this()](ErrorCode) { self->accept(); });
}

void Server::Implementation::admit(tcp::socket socket)
{
    if (m_shared->isDown)
        return; // the socket closes as it goes out of scope
    const auto session = std::make_shared<Session>(std::move(socket), m_shared);
    if (m_connections->add(session))
        session->start();
    else
        m_shared->statistics.add(Limit::ConnectionsRefused);
}

void Server::Implementation::admitBacklog()
{
    ErrorCode error;
    while (m_acceptor.is_open()) {
        tcp::socket socket(asio::make_strand(m_context));
        m_acceptor.accept(socket, error);
        if (error)
            return;
        admit(std::move(socket));
    }
}

void Server::Implementation::stopAccepting()
{
    m_shared->isStopping = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        // Closing the listening socket would reset connections that wait to be accepted.
        self->admitBacklog();
        ErrorCode ignored;
        self->m_acceptor.close(ignored);
        self->m_retryTimer.cancel();
        for (const std::shared_ptr<Session> &session : self->m_connections->sessions())
            session->stop();
    });
}

void Server::Implementation::shutDown()
{
    m_shared->isDown = true;
    m_shared->isStopping = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        ErrorCode ignored;
        self->m_acceptor.close(ignored);
        self->m_retryTimer.cancel();
        for (const std::shared_ptr<Session> &session : self->m_connections->sessions())
            session->shut();
    });
}

// Section: public interface

absl::StatusOr<std::unique_ptr<Server>>
Server::create(asio::io_context &context, const ServerOptions &options, Handler handler)
{
    auto implementation = std::make_shared<Implementation>(context, options, std::move(handler));
    const absl::Status status = implementation->open();
    if (!status.ok())
        return status;
    implementation->start();
    return std::unique_ptr<Server>(new Server(std::move(implementation)));
}

Server::Server(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Server::~Server()
{
    m_implementation->shutDown();
}

uint16_t Server::port() const
{
    return m_implementation->port();
}

size_t Server::connections() const
{
    return m_implementation->connections();
}

size_t Server::memoryUsed() const
{
    return m_implementation->memoryUsed();
}

const ServerStatistics &Server::statistics() const
{
    return m_implementation->statistics();
}

void Server::setMaxBodyBytes(size_t bytes)
{
    m_implementation->setMaxBodyBytes(bytes);
}

void Server::stopAccepting()
{
    m_implementation->stopAccepting();
}

} // namespace cwl::http
