// The client's side of one address: its connection and the calls under way on it.

#pragma once

#include "base/error.h"
#include "rpc/channel.h"
#include "rpc/codec/codec.h"
#include "rpc/rpc.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cwl::rpc {

constexpr Duration connectTimeout = seconds(1); // also ends at the deadlines of the waiting calls

class Peer : public std::enable_shared_from_this<Peer>
{
public:
    static std::shared_ptr<Peer> create(boost::asio::io_context &context, std::string address);

    // Section: any thread

    void call(const std::string &method, Message parameters, TimePoint deadline,
              CallCallback callback);
    void close(); // calls under way fail with ConnectionLost
    Json::Value state() const;

    // True if there is no connection and no call was made since `instant`.
    bool isUnusedSince(TimePoint instant) const;

private:
    struct Call
    {
        Frame frame;           // moved out once sent
        std::string method;    // for messages
        CallCallback callback; // called once
        Timer timer;           // fires at the deadline
        bool isSent = false;   // the peer may have acted on it
    };
    enum class Connection { None, Opening, Open };
    using Calls = std::map<uint64_t, std::unique_ptr<Call>>; // in the order they were made

    Peer(boost::asio::io_context &context, std::string address);

    // Section: on the strand

    void begin(uint64_t id, std::unique_ptr<Call> call, TimePoint deadline);
    void send(uint64_t id);
    void expire(uint64_t id);
    void finish(uint64_t id, absl::StatusOr<Message> outcome);
    void finishAll(Failure failure, const std::string &message);
    void open();
    void opened(uint64_t attempt, boost::system::error_code error);
    void lose(const absl::Status &reason);
    void receive(Frame frame);
    void closeNow();
    void setChannel(std::shared_ptr<Channel> channel);

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    const std::string m_address;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_opening;
    Timer m_openTimer;
    uint64_t m_attempt = 0; // tells the current attempt to connect from abandoned ones
    Calls m_calls;

    mutable std::mutex m_mutex; // guards writing m_channel on the strand, reading it elsewhere
    std::shared_ptr<Channel> m_channel;

    std::atomic<Connection> m_connection = Connection::None;
    std::atomic<uint64_t> m_lastId = 0;
    std::atomic<size_t> m_underWay = 0;
    std::atomic<uint64_t> m_losses = 0;      // connections that ended without close()
    std::atomic<uint64_t> m_lateAnswers = 0; // arrived after their calls had ended
    std::atomic<int64_t> m_lastUsed;         // nanoseconds of BootClock
};

} // namespace cwl::rpc
