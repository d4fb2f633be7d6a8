#include "rpc/peer.h"

#include "base/error.h"
#include "node/log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace cwl::rpc {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

std::optional<Tcp::endpoint> parseEndpoint(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(host, error);
    uint32_t port = 0;
    if (error || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > 65535)
        return std::nullopt;
    return Tcp::endpoint(address, static_cast<uint16_t>(port));
}

// Returns the typed error that the peer answered.
absl::Status errorOf(const Incoming &incoming)
{
    if (incoming.errorCode == typedErrorCode)
        return errorFromJson(incoming.content);
    if (incoming.errorCode == methodNotFoundCode)
        return makeError(Failure::UnknownMethod, incoming.errorMessage);
    return makeError(Failure::ProtocolError, incoming.errorMessage);
}

} // namespace

std::shared_ptr<Peer> Peer::create(asio::io_context &context, std::string address)
{
    return std::shared_ptr<Peer>(new Peer(context, std::move(address)));
}

Peer::Peer(asio::io_context &context, std::string address)
    : m_strand(asio::make_strand(context))
    , m_address(std::move(address))
    , m_openTimer(m_strand)
    , m_lastUsed(BootClock::now().time_since_epoch().count())
{
}

// Section: calls

void Peer::call(const std::string &method, Message parameters, TimePoint deadline,
                CallCallback callback)
{
    const uint64_t id = ++m_lastId;
    ++m_underWay;
    m_lastUsed = BootClock::now().time_since_epoch().count();
    const Json::Value &content = parameters.content;
    absl::Status problem;
    Frame frame{.json = {}, .attachment = std::move(parameters.attachment)};
    if (content.isObject() || content.isArray() || content.isNull()) {
        frame.json = encodeCall(id, method, content);
        problem = checkSize(frame);
    } else {
        problem = makeError(Failure::InvalidValue,
                            "the parameters of " + method + " must be an object, an array or null");
    }
    auto call = std::make_unique<Call>(Call{.frame = std::move(frame),
                                            .method = method,
                                            .callback = std::move(callback),
                                            .timer = Timer(m_strand)});
    asio::post(
            m_strand,
            [self = shared_from_this(), id, call = std::move(call), deadline, problem]() mutable {
                if (problem.ok())
                    return self->begin(id, std::move(call), deadline);
                self->m_calls.emplace(id, std::move(call));
                self->finish(id, problem);
            });
}

void Peer::begin(uint64_t id, std::unique_ptr<Call> call, TimePoint deadline)
{
    Call &added = *m_calls.emplace(id, std::move(call)).first->second;
    if (BootClock::now() >= deadline)
        return expire(id);
    added.timer.expires_at(deadline);
    added.timer.async_wait([weak = weak_from_this(), id](boost::system::error_code error) {
        const std::shared_ptr<Peer> self = weak.lock();
        if (self && !error)
            self->expire(id);
    });
    if (m_connection == Connection::Open)
        return send(id);
    if (m_connection == Connection::None)
        open();
}

void Peer::send(uint64_t id)
{
    Call &call = *m_calls.at(id);
    const size_t bytes = call.frame.bytes();
    call.isSent = m_channel->send(std::exchange(call.frame, {}));
    if (call.isSent)
        addSent(trafficOf(call.method), bytes);
    if (!call.isSent)
        finish(id,
               makeError(Failure::ConnectionRefused,
                         absl::StrCat(call.method, " not sent: the output buffer for ", m_address,
                                      " is full"),
                         {.field = {}, .limit = absl::StrCat(maxOutputBytes, " bytes")}));
}

void Peer::expire(uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call &call = *found->second;
    if (call.isSent)
        return finish(id,
                      makeError(Failure::Timeout,
                                absl::StrCat(call.method, " at ", m_address,
                                             ": no answer by the deadline")));
    finish(id,
           makeError(Failure::ConnectionRefused,
                     absl::StrCat(call.method, " not sent: no connection to ", m_address,
                                  " by the deadline")));
}

void Peer::finish(uint64_t id, absl::StatusOr<Message> outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        ++m_lateAnswers;
        return;
    }
    const std::unique_ptr<Call> call = std::move(found->second);
    m_calls.erase(found);
    --m_underWay;
    call->callback(std::move(outcome));
}

void Peer::finishAll(Failure failure, const std::string &message)
{
    // A callback may make a new call, which must not fail with the old ones.
    for (auto &[id, call] : std::exchange(m_calls, {})) {
        --m_underWay;
        call->timer.cancel();
        call->callback(makeError(failure, call->method + ": " + message));
    }
}

// Section: connection

void Peer::open()
{
    const uint64_t attempt = ++m_attempt;
    const std::optional<Tcp::endpoint> endpoint = parseEndpoint(m_address);
    if (!endpoint)
        return finishAll(Failure::ConnectionRefused,
                         "'" + m_address + "' is not a numeric ip:port");
    m_connection = Connection::Opening;
    m_opening = std::make_unique<Tcp::socket>(m_strand);
    m_opening->async_connect(*endpoint,
                             [self = shared_from_this(), attempt](boost::system::error_code error) {
                                 self->opened(attempt, error);
                             });
    m_openTimer.expires_at(BootClock::now() + connectTimeout);
    m_openTimer.async_wait([self = shared_from_this(), attempt](boost::system::error_code error) {
        if (!error)
            self->opened(attempt, asio::error::timed_out);
    });
}

void Peer::opened(uint64_t attempt, boost::system::error_code error)
{
    if (attempt != m_attempt || m_connection != Connection::Opening)
        return;
    m_openTimer.cancel();
    const std::unique_ptr<Tcp::socket> socket = std::move(m_opening);
    if (error) {
        m_connection = Connection::None;
        log::info("rpc_connect_failed", {{"address", m_address}, {"error", error.message()}});
        return finishAll(Failure::ConnectionRefused,
                         "no connection to " + m_address + ": " + error.message());
    }
    m_connection = Connection::Open;
    setChannel(Channel::create(std::move(*socket)));
    const std::weak_ptr<Peer> weak = weak_from_this();
    m_channel->start({.received =
                              [weak](Frame frame) {
                                  if (const std::shared_ptr<Peer> self = weak.lock())
                                      self->receive(std::move(frame));
                              },
                      .closed =
                              [weak](const absl::Status &reason) {
                                  if (const std::shared_ptr<Peer> self = weak.lock())
                                      self->lose(reason);
                              }});
    std::vector<uint64_t> waiting;
    for (const auto &[id, call] : m_calls)
        waiting.push_back(id);
    for (const uint64_t id : waiting)
        send(id);
}

void Peer::lose(const absl::Status &reason)
{
    if (m_connection != Connection::Open)
        return;
    m_connection = Connection::None;
    ++m_losses;
    log::warn("rpc_connection_lost",
              {{"address", m_address}, {"calls", m_calls.size()}, {"reason", reason}});
    setChannel(nullptr);
    finishAll(Failure::ConnectionLost,
              absl::StrCat("connection to ", m_address, " lost: ", std::string(reason.message())));
}

void Peer::receive(Frame frame)
{
    Incoming incoming = decode(frame.json, [](const std::string &) { return false; });
    const auto call = m_calls.find(incoming.id);
    addReceived(call == m_calls.end() ? Traffic::RpcControl : trafficOf(call->second->method),
                frame.bytes());
    if (incoming.kind == Incoming::Kind::Result) {
        finish(incoming.id,
               Message{.content = std::move(incoming.content),
                       .attachment = std::move(frame.attachment)});
    } else if (incoming.kind == Incoming::Kind::Error) {
        finish(incoming.id, errorOf(incoming));
    } else {
        m_channel->close(
                makeError(Failure::ProtocolError, "not an answer: " + incoming.errorMessage));
    }
}

void Peer::setChannel(std::shared_ptr<Channel> channel)
{
    const std::lock_guard lock(m_mutex);
    m_channel = std::move(channel);
}

void Peer::close()
{
    asio::post(m_strand, [self = shared_from_this()] { self->closeNow(); });
}

void Peer::closeNow()
{
    ++m_attempt;
    m_openTimer.cancel();
    m_opening.reset();
    m_connection = Connection::None;
    if (m_channel)
        m_channel->close(makeError(Failure::ConnectionLost, "closed by this process"));
    setChannel(nullptr);
    finishAll(Failure::ConnectionLost, "connection to " + m_address + " closed by this process");
}

// Section: state

bool Peer::isUnusedSince(TimePoint instant) const
{
    return m_connection == Connection::None && m_underWay == 0
            && TimePoint(Duration(m_lastUsed.load())) < instant;
}

Json::Value Peer::state() const
{
    Json::Value state;
    state["connected"] = m_connection == Connection::Open;
    state["callsUnderWay"] = Json::UInt64(m_underWay);
    state["losses"] = Json::UInt64(m_losses);
    state["lateAnswers"] = Json::UInt64(m_lateAnswers);
    const std::lock_guard lock(m_mutex);
    if (m_channel) {
        const Duration silence = BootClock::now() - m_channel->lastReceived();
        state["lastReceivedMsAgo"] =
                Json::Int64(std::chrono::duration_cast<milliseconds>(silence).count());
        state["queuedBytes"] = Json::UInt64(m_channel->queuedBytes());
    }
    return state;
}

} // namespace cwl::rpc
