// One TCP connection that carries frames both ways, with heartbeats, a silence limit and a bounded
// output buffer. Shared by the server and the client of this library.

#pragma once

#include "base/clock.h"
#include "base/traffic.h"

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cwl::rpc {

using Timer = boost::asio::basic_waitable_timer<BootClock>;

// Section: limits

constexpr size_t maxOutputBytes =
        size_t(32) * 1024 * 1024;        // waiting to be written on one connection
constexpr size_t maxFramesPerWrite = 64; // gathered into one write

// Section: frames

constexpr size_t frameHeaderBytes = 8; // the two lengths

struct Frame
{
    std::string json;       // one JSON-RPC text
    std::string attachment; // raw bytes

    size_t bytes() const { return frameHeaderBytes + json.size() + attachment.size(); }
};

// What the frames of a method and of its answer are counted as.
Traffic trafficOf(const std::string &method);

// Error: BodyTooLarge, naming the limit that the frame passes.
absl::Status checkSize(const Frame &frame);

// Section: the connection

class Channel : public std::enable_shared_from_this<Channel>
{
public:
    struct Events
    {
        std::function<void(Frame)> received;      // on the socket's executor
        std::function<void(absl::Status)> closed; // once, on the socket's executor
    };

    // The socket is open, and its executor is a strand.
    static std::shared_ptr<Channel> create(boost::asio::ip::tcp::socket socket);

    // Starts to read and to send heartbeats. Call once. Any thread.
    void start(Events events);

    // Queues a frame that passes checkSize(). Any thread. Returns false when the channel is closed
    // or its output buffer is full; the frame is then certainly not sent.
    bool send(Frame frame);

    // Closes the connection and reports `reason` through Events::closed. Any thread.
    void close(absl::Status reason);

    bool isOpen() const { return m_isOpen; }
    size_t queuedBytes() const { return m_queuedBytes; }
    TimePoint lastReceived() const { return TimePoint(Duration(m_lastReceived.load())); }

private:
    explicit Channel(boost::asio::ip::tcp::socket socket);

    void startNow(Events events);
    void readHeader();
    void readBody();
    void deliver();
    void writeQueued();
    void finishWrite(size_t frames, size_t bytes);
    void waitForTick();
    void tick();
    void closeNow(absl::Status reason);
    void noteReceived();

    boost::asio::ip::tcp::socket m_socket;
    Timer m_timer;
    Events m_events;
    std::array<uint8_t, frameHeaderBytes> m_header = {};
    Frame m_incoming;

    struct Outgoing
    {
        std::array<uint8_t, frameHeaderBytes> header;
        Frame frame;
    };
    std::deque<Outgoing> m_output;
    bool m_isWriting = false;
    TimePoint m_lastSent;

    std::atomic<bool> m_isOpen = true;
    std::atomic<size_t> m_queuedBytes = 0;
    std::atomic<int64_t> m_lastReceived; // nanoseconds of BootClock
};

} // namespace cwl::rpc
