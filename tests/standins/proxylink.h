// One link of the fault proxy: a port whose connections go to a target, with faults on command.

#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace cwl::standins {

enum Direction : size_t { ToTarget = 0, ToClient = 1 };

struct LinkFaults
{
    int64_t delayMs = 0;             // added to every chunk, in order
    std::array<bool, 2> cut = {};    // by direction: bytes are discarded
    std::array<bool, 2> frozen = {}; // by direction: bytes are kept until it thaws
};

class ProxyLink;

// One accepted connection and its way to the target.
class ProxyPair : public std::enable_shared_from_this<ProxyPair>
{
public:
    ProxyPair(ProxyLink &link, boost::asio::ip::tcp::socket client);

    void open(const boost::asio::ip::tcp::endpoint &target);
    void pump(Direction direction); // sends what is due
    void silence() { m_isSilent = true; }
    bool hasLostBytes() const { return m_hasLostBytes; }
    void reset(); // both sides see a reset

private:
    struct Chunk
    {
        TimePoint due;
        std::string bytes; // empty marks the end of the stream
    };
    struct Way
    {
        std::deque<Chunk> chunks = {};
        size_t queuedBytes = 0;
        std::array<char, 16384> block = {};
        bool isReading = false;
        bool isWriting = false;
        bool hasEnded = false;  // the end was read
        bool hasClosed = false; // the end was passed on, or nothing more will be
    };

    boost::asio::ip::tcp::socket &from(Direction direction);
    boost::asio::ip::tcp::socket &to(Direction direction);
    void read(Direction direction);
    void onRead(Direction direction, boost::system::error_code error, size_t bytes);
    void write(Direction direction);
    void closeIfDone();

    ProxyLink &m_link;
    std::array<boost::asio::ip::tcp::socket, 2> m_sockets; // client, target
    std::array<Way, 2> m_ways;
    boost::asio::steady_timer m_timer; // for delayed chunks
    bool m_isSilent = false;           // for good
    bool m_hasLostBytes = false;
    bool m_isClosed = false;
};

class ProxyLink
{
public:
    ProxyLink(boost::asio::io_context &context, std::string name, uint16_t port,
              boost::asio::ip::tcp::endpoint target);

    // Applies a command; returns false if a member has an impossible value.
    bool command(const Json::Value &body);
    Json::Value state() const;

    const std::string &name() const { return m_name; }
    uint16_t port() const { return m_reservation.local_endpoint().port(); }
    const LinkFaults &faults() const { return m_faults; }
    boost::asio::io_context &context() { return m_context; }
    void count(Direction direction, size_t bytes) { m_bytes[direction] += bytes; }
    void remove(const std::shared_ptr<ProxyPair> &pair) { m_pairs.erase(pair); }

private:
    void listen();
    void accept();
    void applyToOpen(bool wasCut);

    boost::asio::io_context &m_context;
    std::string m_name;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::socket m_reservation; // keeps the port while the link refuses
    boost::asio::ip::tcp::acceptor m_acceptor;
    LinkFaults m_faults;
    std::unordered_set<std::shared_ptr<ProxyPair>> m_pairs;
    std::array<uint64_t, 2> m_bytes = {}; // passed on, by direction
    uint64_t m_accepted = 0;
};

} // namespace cwl::standins
