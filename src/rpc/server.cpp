#include "base/error.h"
#include "node/log.h"
#include "rpc/channel.h"
#include "rpc/codec/codec.h"
#include "rpc/rpc.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace cwl::rpc {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

// A peer with more calls under way on one connection is answered with QueueFull.
constexpr size_t maxCallsPerConnection = 8192;

constexpr Duration acceptRetryInterval = milliseconds(100); // after accept failed, such as no files

struct Counters
{
    std::atomic<size_t> underWay = 0;
    std::atomic<uint64_t> calls = 0;
    std::atomic<uint64_t> refused = 0;      // unknown methods and calls past the limit
    std::atomic<uint64_t> closedAtOnce = 0; // connections past the limit
};

// The part of a connection that replies need after the call was dispatched.
struct Link
{
    std::weak_ptr<Channel> channel;
    std::atomic<size_t> underWay = 0;
};

void sendError(Channel &channel, uint64_t id, Traffic traffic, const absl::Status &error)
{
    Frame frame{.json = encodeError(id, typedErrorCode, std::string(error.message()),
                                    errorToJson(error)),
                .attachment = {}};
    addSent(traffic, frame.bytes());
    if (!channel.send(std::move(frame)))
        channel.close(makeError(Failure::ConnectionLost, "the output buffer is full"));
}

// Answers one call exactly once. A method that drops its Reply answers Internal, so that the
// caller need not wait for its deadline.
class PendingReply
{
public:
    PendingReply(std::shared_ptr<Link> link, std::shared_ptr<Counters> counters, uint64_t id,
                 Traffic traffic)
        : m_link(std::move(link))
        , m_counters(std::move(counters))
        , m_id(id)
        , m_traffic(traffic)
    {
        ++m_link->underWay;
        ++m_counters->underWay;
    }

    PendingReply(const PendingReply &) = delete;
    PendingReply &operator=(const PendingReply &) = delete;

    ~PendingReply() { answer(makeError(Failure::Internal, "the method ended without an answer")); }

    void answer(absl::StatusOr<Message> outcome)
    {
        if (m_isAnswered.exchange(true))
            return;
        --m_link->underWay;
        --m_counters->underWay;
        const std::shared_ptr<Channel> channel = m_link->channel.lock();
        if (!channel || !channel->isOpen())
            return;
        if (!outcome.ok())
            return sendError(*channel, m_id, m_traffic, outcome.status());
        Frame frame{.json = encodeResult(m_id, outcome->content),
                    .attachment = std::move(outcome->attachment)};
        const absl::Status size = checkSize(frame);
        if (!size.ok())
            return sendError(*channel, m_id, m_traffic, size);
        addSent(m_traffic, frame.bytes());
        if (!channel->send(std::move(frame)))
            channel->close(makeError(Failure::ConnectionLost, "the output buffer is full"));
    }

private:
    std::shared_ptr<Link> m_link;
    std::shared_ptr<Counters> m_counters;
    uint64_t m_id;
    Traffic m_traffic;
    std::atomic<bool> m_isAnswered = false;
};

} // namespace

class Server::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    explicit Implementation(asio::io_context &context)
        : m_context(context)
        , m_acceptor(asio::make_strand(context))
        , m_retryTimer(m_acceptor.get_executor())
    {
    }

    absl::Status open(const ServerOptions &options);
    void accept();
    void close();
    void add(const std::string &name, Method method);
    uint16_t port() const { return m_port; }
    Json::Value state() const;

private:
    void accepted(Tcp::socket socket);
    void receive(const std::shared_ptr<Link> &link, Frame frame);
    void dispatch(const std::shared_ptr<Link> &link, Incoming incoming, std::string attachment);
    std::shared_ptr<const Method> method(const std::string &name) const;

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    Timer m_retryTimer;
    uint16_t m_port = 0;
    size_t m_maxConnections = 0;
    std::shared_ptr<Counters> m_counters = std::make_shared<Counters>();

    mutable std::mutex m_mutex; // guards the members below
    bool m_isClosed = false;
    std::map<std::string, std::shared_ptr<const Method>> m_methods;
    std::set<std::shared_ptr<Channel>> m_channels;
};

// Section: opening and accepting

absl::Status Server::Implementation::open(const ServerOptions &options)
{
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(options.address, error);
    if (error)
        return makeError(Failure::InvalidValue,
                         absl::StrCat("'", options.address, "' is not a numeric IP address"),
                         {.field = "address"});
    const Tcp::endpoint endpoint(address, options.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError(Failure::AddressInUse,
                         absl::StrCat("cannot listen on ", options.address, ":", options.port, ": ",
                                      error.message()),
                         {.field = "port"});
    m_port = m_acceptor.local_endpoint().port();
    m_maxConnections = options.maxConnections;
    return absl::OkStatus();
}

void Server::Implementation::accept()
{
    const asio::any_io_executor strand = asio::make_strand(m_context);
    m_acceptor.async_accept(
            strand,
            [self = shared_from_this()](boost::system::error_code error, Tcp::socket socket) {
                if (!self->m_acceptor.is_open())
                    return;
                if (!error) {
                    self->accepted(std::move(socket));
                    return self->accept();
                }
                self->m_retryTimer.expires_at(BootClock::now() + acceptRetryInterval);
                self->m_retryTimer.async_wait([self](boost::system::error_code cancelled) {
                    if (!cancelled && self->m_acceptor.is_open())
                        self->accept();
                });
            });
}

void Server::Implementation::accepted(Tcp::socket socket)
{
    const std::shared_ptr<Channel> channel = Channel::create(std::move(socket));
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed || m_channels.size() >= m_maxConnections) {
            ++m_counters->closedAtOnce;
            log::warn("rpc_connection_limit", {{"limit", m_maxConnections}});
            return;
        }
        m_channels.insert(channel);
    }
    const auto link = std::make_shared<Link>();
    link->channel = channel;
    Channel::Events events{
            .received = [self = shared_from_this(),
                         link](Frame frame) { self->receive(link, std::move(frame)); },
            .closed =
                    [self = shared_from_this(), link](const absl::Status &reason) {
                        log::debug("rpc_connection_closed", {{"reason", reason}});
                        const std::lock_guard lock(self->m_mutex);
                        self->m_channels.erase(link->channel.lock());
                    }};
    channel->start(std::move(events));
}

void Server::Implementation::close()
{
    std::set<std::shared_ptr<Channel>> channels;
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        m_methods.clear();
        channels.swap(m_channels);
    }
    for (const std::shared_ptr<Channel> &channel : channels)
        channel->close(makeError(Failure::ConnectionLost, "the server is closed"));
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_retryTimer.cancel();
    });
}

// Section: calls

void Server::Implementation::receive(const std::shared_ptr<Link> &link, Frame frame)
{
    Incoming incoming =
            decode(frame.json, [this](const std::string &name) { return method(name) != nullptr; });
    addReceived(trafficOf(incoming.method), frame.bytes());
    const std::shared_ptr<Channel> channel = link->channel.lock();
    if (!channel)
        return;
    switch (incoming.kind) {
    case Incoming::Kind::Call:
        return dispatch(link, std::move(incoming), std::move(frame.attachment));
    case Incoming::Kind::Refused:
        ++m_counters->refused;
        if (!channel->send({.json = std::move(incoming.reply), .attachment = {}}))
            channel->close(makeError(Failure::ConnectionLost, "the output buffer is full"));
        return;
    default:
        channel->close(makeError(Failure::ProtocolError, "not a call: " + incoming.errorMessage));
    }
}

void Server::Implementation::dispatch(const std::shared_ptr<Link> &link, Incoming incoming,
                                      std::string attachment)
{
    const std::shared_ptr<const Method> method = this->method(incoming.method);
    const std::shared_ptr<Channel> channel = link->channel.lock();
    if (!method || !channel)
        return;
    if (link->underWay >= maxCallsPerConnection) {
        ++m_counters->refused;
        return sendError(*channel, incoming.id, trafficOf(incoming.method),
                         makeError(Failure::QueueFull, "too many calls under way on a connection",
                                   {.limit = absl::StrCat(maxCallsPerConnection, " calls")}));
    }
    ++m_counters->calls;
    const auto pending = std::make_shared<PendingReply>(link, m_counters, incoming.id,
                                                        trafficOf(incoming.method));
    Message message{.content = std::move(incoming.content), .attachment = std::move(attachment)};
    try {
        (*method)(std::move(message), [pending](absl::StatusOr<Message> outcome) {
            pending->answer(std::move(outcome));
        });
    } catch (const std::exception &exception) {
        // jsoncpp throws when a member is read as another type than it has.
        pending->answer(
                makeError(Failure::InvalidValue,
                          absl::StrCat("parameters of ", incoming.method, ": ", exception.what())));
    }
}

void Server::Implementation::add(const std::string &name, Method method)
{
    const std::lock_guard lock(m_mutex);
    m_methods[name] = std::make_shared<const Method>(std::move(method));
}

std::shared_ptr<const Method> Server::Implementation::method(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_methods.find(name);
    return found == m_methods.end() ? nullptr : found->second;
}

Json::Value Server::Implementation::state() const
{
    Json::Value state;
    state["callsUnderWay"] = Json::UInt64(m_counters->underWay);
    state["calls"] = Json::UInt64(m_counters->calls);
    state["refusedCalls"] = Json::UInt64(m_counters->refused);
    state["connectionsClosedAtLimit"] = Json::UInt64(m_counters->closedAtOnce);
    const std::lock_guard lock(m_mutex);
    state["connections"] = Json::UInt64(m_channels.size());
    return state;
}

// Section: public interface

absl::StatusOr<std::unique_ptr<Server>> Server::create(asio::io_context &context,
                                                       const ServerOptions &options)
{
    auto implementation = std::make_shared<Implementation>(context);
    const absl::Status opened = implementation->open(options);
    if (!opened.ok())
        return opened;
    implementation->accept();
    return std::unique_ptr<Server>(new Server(std::move(implementation)));
}

Server::Server(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Server::~Server()
{
    m_implementation->close();
}

void Server::add(const std::string &name, Method method)
{
    m_implementation->add(name, std::move(method));
}

uint16_t Server::port() const
{
    return m_implementation->port();
}

Json::Value Server::state() const
{
    return m_implementation->state();
}

} // namespace cwl::rpc
