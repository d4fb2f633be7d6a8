// What the HTTP tests share: an io_context run by several threads, plain sockets, and a way to wait
// for answers.

#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <poll.h>
#include <sys/socket.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace httptest {

namespace asio = boost::asio;
using cwl::milliseconds;
using cwl::seconds;

constexpr auto patience = seconds(20); // generous: only a hang takes this long

inline cwl::TimePoint soon()
{
    return cwl::BootClock::now() + patience;
}

template <typename Condition>
bool waitUntil(Condition condition)
{
    const cwl::TimePoint deadline = soon();
    while (!condition()) {
        if (cwl::BootClock::now() > deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

class Threads
{
public:
    Threads()
        : m_guard(asio::make_work_guard(context))
    {
        for (int i = 0; i < 3; ++i)
            m_threads.emplace_back([this] { context.run(); });
    }
    ~Threads()
    {
        context.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::vector<std::thread> m_threads;
};

// A blocking connection that sends and receives exactly the bytes that a test chooses.
class PlainSocket
{
public:
    explicit PlainSocket(uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }
    PlainSocket(asio::io_context &, asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    void write(const std::string &text)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(text), ignored);
    }

    // Reads until the text contains `end`, the connection ends or patience does.
    std::string readTo(const std::string &end)
    {
        while (m_received.find(end) == std::string::npos && readSome()) {
        }
        return m_received;
    }

    // Reads to the end of the connection; false if it stays open.
    bool readToEnd()
    {
        while (readSome()) {
        }
        return m_hasEnded;
    }

    const std::string &received() const { return m_received; }
    void reset()
    {
        m_socket.set_option(asio::socket_base::linger(true, 0));
        m_socket.close();
    }
    void close() { m_socket.close(); }

private:
    bool readSome()
    {
        pollfd descriptor{.fd = m_socket.native_handle(), .events = POLLIN, .revents = 0};
        const int timeoutMs = int(milliseconds(patience).count());
        if (::poll(&descriptor, 1, timeoutMs) <= 0)
            return false;
        char block[65536];
        const ssize_t got = ::recv(m_socket.native_handle(), block, sizeof block, 0);
        m_hasEnded = got <= 0;
        if (got > 0)
            m_received.append(block, size_t(got));
        return got > 0;
    }

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    std::string m_received;
    bool m_hasEnded = false;
};

// Accepts connections one at a time for tests that play the server's part byte by byte.
class PlainServer
{
public:
    PlainServer()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    PlainSocket accept() { return {m_context, m_acceptor.accept()}; }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

using Answer = absl::StatusOr<cwl::http::Response>;

inline std::future<Answer> sendWith(cwl::http::Client &client, cwl::http::Request request,
                                    cwl::TimePoint deadline = soon())
{
    const auto promise = std::make_shared<std::promise<Answer>>();
    client.send(std::move(request), deadline,
                [promise](Answer answer) { promise->set_value(std::move(answer)); });
    return promise->get_future();
}

inline Answer resultOf(std::future<Answer> future)
{
    CPPUNIT_ASSERT_MESSAGE("the callback was not called",
                           future.wait_for(patience) == std::future_status::ready);
    return future.get();
}

} // namespace httptest
