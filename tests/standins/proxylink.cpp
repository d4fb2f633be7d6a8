#include "standins/proxylink.h"

#include "standins/frame.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <utility>

namespace cwl::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t maxQueuedBytes = 8UL * 1024 * 1024; // per direction; then reading pauses
constexpr std::array directions{ToTarget, ToClient};

// "none", "both", "toTarget" or "toClient".
std::optional<std::array<bool, 2>> directionsFrom(const Json::Value &value)
{
    const std::string name = value.isString() ? value.asString() : std::string();
    if (name == "none")
        return std::array{false, false};
    if (name == "both")
        return std::array{true, true};
    if (name == "toTarget")
        return std::array{true, false};
    if (name == "toClient")
        return std::array{false, true};
    return std::nullopt;
}

} // namespace

// Section: one connection

ProxyPair::ProxyPair(ProxyLink &link, tcp::socket client)
    : m_link(link)
    , m_sockets{std::move(client), tcp::socket(link.context())}
    , m_timer(link.context())
{
    ErrorCode ignored;
    m_sockets[0].set_option(tcp::no_delay(true), ignored);
}

tcp::socket &ProxyPair::from(Direction direction)
{
    return m_sockets[direction];
}

tcp::socket &ProxyPair::to(Direction direction)
{
    return m_sockets[1 - direction];
}

void ProxyPair::open(const tcp::endpoint &target)
{
    if (m_link.faults().cut[ToTarget]) {
        m_hasLostBytes = true; // connected, but nothing of it reaches the target
        read(ToTarget);
        return;
    }
    m_sockets[1].async_connect(target, [self = shared_from_this()](ErrorCode error) {
        if (error) {
            self->reset();
            return;
        }
        self->m_sockets[1].set_option(tcp::no_delay(true), error);
        for (const Direction direction : directions)
            self->read(direction);
    });
}

void ProxyPair::read(Direction direction)
{
    Way &way = m_ways[direction];
    if (m_isClosed || way.isReading || way.hasEnded || way.queuedBytes >= maxQueuedBytes)
        return;
    way.isReading = true;
    from(direction).async_read_some(
            asio::buffer(way.block),
            [self = shared_from_this(), direction](ErrorCode error, size_t bytes) {
                self->onRead(direction, error, bytes);
            });
}

void ProxyPair::onRead(Direction direction, ErrorCode error, size_t bytes)
{
    Way &way = m_ways[direction];
    way.isReading = false;
    if (m_isClosed)
        return;
    way.hasEnded = bool(error);
    const bool isLost = m_isSilent || m_hasLostBytes || m_link.faults().cut[direction];
    if (isLost && !m_isSilent)
        m_hasLostBytes = true;
    if (isLost) {
        way.hasClosed = way.hasEnded;
        closeIfDone();
        read(direction);
        return;
    }
    if (error && error != asio::error::eof) {
        reset();
        return;
    }
    way.chunks.push_back({BootClock::now() + milliseconds(m_link.faults().delayMs),
                          std::string(way.block.data(), bytes)});
    way.queuedBytes += bytes;
    pump(direction);
    read(direction);
}

void ProxyPair::pump(Direction direction)
{
    Way &way = m_ways[direction];
    if (m_isClosed || way.isWriting || way.chunks.empty() || m_isSilent
        || m_link.faults().frozen[direction])
        return;
    const Duration wait = way.chunks.front().due - BootClock::now();
    if (wait <= Duration::zero()) {
        write(direction);
        return;
    }
    m_timer.expires_after(wait);
    m_timer.async_wait([self = shared_from_this()](ErrorCode) {
        for (const Direction each : directions)
            self->pump(each);
    });
}

void ProxyPair::write(Direction direction)
{
    Way &way = m_ways[direction];
    if (way.chunks.front().bytes.empty()) {
        ErrorCode ignored;
        to(direction).shutdown(tcp::socket::shutdown_send, ignored);
        way.chunks.clear();
        way.hasClosed = true;
        closeIfDone();
        return;
    }
    way.isWriting = true;
    asio::async_write(to(direction), asio::buffer(way.chunks.front().bytes),
                      [self = shared_from_this(), direction](ErrorCode error, size_t bytes) {
                          Way &written = self->m_ways[direction];
                          written.isWriting = false;
                          if (error) {
                              self->reset();
                              return;
                          }
                          written.queuedBytes -= bytes;
                          written.chunks.pop_front();
                          self->m_link.count(direction, bytes);
                          self->pump(direction);
                          self->read(direction);
                      });
}

void ProxyPair::closeIfDone()
{
    if (m_ways[ToTarget].hasClosed && m_ways[ToClient].hasClosed)
        reset();
}

void ProxyPair::reset()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_timer.cancel();
    const bool isOrderly = m_ways[ToTarget].hasClosed && m_ways[ToClient].hasClosed;
    for (tcp::socket &socket : m_sockets) {
        ErrorCode ignored;
        if (!isOrderly && socket.is_open())
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
    m_link.remove(shared_from_this());
}

// Section: one link

ProxyLink::ProxyLink(asio::io_context &context, std::string name, uint16_t port,
                     tcp::endpoint target)
    : m_context(context)
    , m_name(std::move(name))
    , m_target(std::move(target))
    , m_reservation(context)
    , m_acceptor(context)
{
    m_reservation.open(tcp::v4());
    m_reservation.set_option(asio::socket_base::reuse_address(true));
    m_reservation.bind({asio::ip::make_address("127.0.0.1"), port});
    listen();
}

void ProxyLink::listen()
{
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_reservation.local_endpoint());
    m_acceptor.listen();
    accept();
}

void ProxyLink::accept()
{
    m_acceptor.async_accept([this](ErrorCode error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error) {
            ++m_accepted;
            const auto pair = std::make_shared<ProxyPair>(*this, std::move(socket));
            m_pairs.insert(pair);
            pair->open(m_target);
        }
        accept();
    });
}

bool ProxyLink::command(const Json::Value &body)
{
    const bool wasCut = m_faults.cut[ToTarget] || m_faults.cut[ToClient];
    LinkFaults faults = m_faults;
    readMember(body, "delayMs", faults.delayMs);
    if (body.isMember("cut")) {
        const auto value = directionsFrom(body["cut"]);
        if (!value)
            return false;
        faults.cut = *value;
    }
    if (body.isMember("freeze")) {
        const auto value = directionsFrom(body["freeze"]);
        if (!value)
            return false;
        faults.frozen = *value;
    }
    m_faults = faults;
    const auto pairs = m_pairs;
    for (const auto &pair : pairs) {
        if (body["silenceOpen"] == Json::Value(true))
            pair->silence();
        if (body["closeOpen"] == Json::Value(true))
            pair->reset();
    }
    applyToOpen(wasCut);
    if (body["refuse"] == Json::Value(true))
        m_acceptor.close();
    else if (body["refuse"] == Json::Value(false) && !m_acceptor.is_open())
        listen();
    return true;
}

void ProxyLink::applyToOpen(bool wasCut)
{
    const bool isCut = m_faults.cut[ToTarget] || m_faults.cut[ToClient];
    const auto pairs = m_pairs;
    for (const auto &pair : pairs) {
        // A stream with a gap in it must not go on.
        if (wasCut && !isCut && pair->hasLostBytes())
            pair->reset();
        for (const Direction direction : directions)
            pair->pump(direction);
    }
}

Json::Value ProxyLink::state() const
{
    Json::Value result;
    result["port"] = port();
    result["target"] = m_target.address().to_string() + ":" + std::to_string(m_target.port());
    result["open"] = Json::UInt64(m_pairs.size());
    result["accepted"] = Json::UInt64(m_accepted);
    result["refuses"] = !m_acceptor.is_open();
    result["bytesToTarget"] = Json::UInt64(m_bytes[ToTarget]);
    result["bytesToClient"] = Json::UInt64(m_bytes[ToClient]);
    return result;
}

} // namespace cwl::standins
