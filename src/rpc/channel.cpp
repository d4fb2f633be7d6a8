#include "rpc/channel.h"

#include "base/error.h"
#include "rpc/codec/codec.h"
#include "rpc/rpc.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <utility>

namespace cwl::rpc {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

const std::string &heartbeatText()
{
    static const std::string text = encodeNotification("rpc.heartbeat");
    return text;
}

absl::Status lost(const std::string &what)
{
    return makeError(Failure::ConnectionLost, what);
}

absl::Status tooLarge(const char *part, size_t size, size_t limit)
{
    return makeError(Failure::BodyTooLarge,
                     absl::StrCat("the ", part, " of a frame has ", size, " bytes"),
                     {.field = part, .limit = absl::StrCat(limit, " bytes")});
}

absl::Status checkSizes(size_t jsonBytes, size_t attachmentBytes)
{
    if (jsonBytes > maxJsonBytes)
        return tooLarge("JSON part", jsonBytes, maxJsonBytes);
    if (attachmentBytes > maxAttachmentBytes)
        return tooLarge("attachment", attachmentBytes, maxAttachmentBytes);
    return absl::OkStatus();
}

} // namespace

absl::Status checkSize(const Frame &frame)
{
    return checkSizes(frame.json.size(), frame.attachment.size());
}

Traffic trafficOf(const std::string &method)
{
    return method.starts_with("request.") ? Traffic::RpcRequests : Traffic::RpcControl;
}

std::shared_ptr<Channel> Channel::create(Tcp::socket socket)
{
    return std::shared_ptr<Channel>(new Channel(std::move(socket)));
}

Channel::Channel(Tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_lastSent(BootClock::now())
{
    boost::system::error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    noteReceived();
}

void Channel::start(Events events)
{
    asio::dispatch(m_socket.get_executor(),
                   [self = shared_from_this(), events = std::move(events)]() mutable {
                       self->startNow(std::move(events));
                   });
}

void Channel::startNow(Events events)
{
    // close() may have come first.
    if (!m_isOpen)
        return events.closed(makeError(Failure::ConnectionLost, "closed before it was used"));
    m_events = std::move(events);
    readHeader();
    waitForTick();
}

// Section: reading

void Channel::readHeader()
{
    asio::async_read(m_socket, asio::buffer(m_header),
                     [self = shared_from_this()](boost::system::error_code error, size_t) {
                         if (error)
                             return self->closeNow(lost("read failed: " + error.message()));
                         self->noteReceived();
                         self->readBody();
                     });
}

void Channel::readBody()
{
    const size_t jsonBytes = boost::endian::load_big_u32(m_header.data());
    const size_t attachmentBytes = boost::endian::load_big_u32(m_header.data() + 4);
    // Checked before anything is allocated for the frame.
    const absl::Status size = checkSizes(jsonBytes, attachmentBytes);
    if (!size.ok())
        return closeNow(makeError(Failure::ProtocolError, std::string(size.message())));
    m_incoming.json.resize(jsonBytes);
    m_incoming.attachment.resize(attachmentBytes);
    const std::array<asio::mutable_buffer, 2> buffers{asio::buffer(m_incoming.json),
                                                      asio::buffer(m_incoming.attachment)};
    // A large frame on a slow link is no silence: every part that arrives counts as received.
    asio::async_read(
            m_socket, buffers,
            [self = shared_from_this()](boost::system::error_code error, size_t) -> size_t {
                self->noteReceived();
                return error ? 0 : size_t(65536);
            },
            [self = shared_from_this()](boost::system::error_code error, size_t) {
                if (error)
                    return self->closeNow(lost("read failed: " + error.message()));
                self->deliver();
            });
}

void Channel::deliver()
{
    if (!m_isOpen)
        return;
    Frame frame = std::exchange(m_incoming, {});
    if (frame.json == heartbeatText())
        addReceived(Traffic::RpcControl, frame.bytes());
    else
        m_events.received(std::move(frame));
    if (m_isOpen)
        readHeader();
}

void Channel::noteReceived()
{
    m_lastReceived = BootClock::now().time_since_epoch().count();
}

// Section: writing

bool Channel::send(Frame frame)
{
    if (!m_isOpen)
        return false;
    Outgoing outgoing{.header = {}, .frame = std::move(frame)};
    boost::endian::store_big_u32(outgoing.header.data(),
                                 static_cast<uint32_t>(outgoing.frame.json.size()));
    boost::endian::store_big_u32(outgoing.header.data() + 4,
                                 static_cast<uint32_t>(outgoing.frame.attachment.size()));
    const size_t bytes = outgoing.frame.bytes();
    if (m_queuedBytes.fetch_add(bytes) + bytes > maxOutputBytes) {
        m_queuedBytes -= bytes;
        return false;
    }
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), outgoing = std::move(outgoing)]() mutable {
                   if (!self->m_isOpen)
                       return;
                   self->m_output.push_back(std::move(outgoing));
                   self->writeQueued();
               });
    return true;
}

void Channel::writeQueued()
{
    if (m_isWriting || m_output.empty() || !m_isOpen)
        return;
    m_isWriting = true;
    const size_t frames = std::min(m_output.size(), maxFramesPerWrite);
    size_t bytes = 0;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(frames * 3);
    for (size_t index = 0; index < frames; ++index) {
        const Outgoing &outgoing = m_output[index];
        buffers.push_back(asio::buffer(outgoing.header));
        buffers.push_back(asio::buffer(outgoing.frame.json));
        buffers.push_back(asio::buffer(outgoing.frame.attachment));
        bytes += outgoing.frame.bytes();
    }
    asio::async_write(
            m_socket, buffers,
            [self = shared_from_this(), frames, bytes](boost::system::error_code error, size_t) {
                if (error)
                    return self->closeNow(lost("write failed: " + error.message()));
                self->finishWrite(frames, bytes);
            });
}

void Channel::finishWrite(size_t frames, size_t bytes)
{
    m_isWriting = false;
    m_output.erase(m_output.begin(), m_output.begin() + static_cast<std::ptrdiff_t>(frames));
    m_queuedBytes -= bytes;
    m_lastSent = BootClock::now();
    writeQueued();
}

// Section: heartbeats and silence

void Channel::waitForTick()
{
    const TimePoint heartbeat = m_isWriting ? TimePoint::max() : m_lastSent + heartbeatInterval;
    m_timer.expires_at(std::min(
            {heartbeat, lastReceived() + silenceLimit, BootClock::now() + heartbeatInterval}));
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && self->m_isOpen)
            self->tick();
    });
}

void Channel::tick()
{
    const TimePoint now = BootClock::now();
    if (now >= lastReceived() + silenceLimit)
        return closeNow(lost("the peer sent nothing within the silence limit"));
    if (!m_isWriting && m_output.empty() && now >= m_lastSent + heartbeatInterval) {
        m_lastSent = now;
        Frame heartbeat{.json = heartbeatText(), .attachment = {}};
        addSent(Traffic::RpcControl, heartbeat.bytes());
        send(std::move(heartbeat));
    }
    waitForTick();
}

// Section: closing

void Channel::close(absl::Status reason)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), reason = std::move(reason)]() mutable {
                   self->closeNow(std::move(reason));
               });
}

void Channel::closeNow(absl::Status reason)
{
    if (!m_isOpen.exchange(false))
        return;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    // Handlers that still hold this channel must not keep the owner alive.
    const Events events = std::exchange(m_events, {});
    if (events.closed)
        events.closed(std::move(reason));
}

} // namespace cwl::rpc
