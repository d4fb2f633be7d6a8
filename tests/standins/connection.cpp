#include "standins/connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/ostream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <sstream>
#include <utility>

namespace cwl::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr size_t maxBodyBytes = 64UL * 1024 * 1024;

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, RequestHandler handler,
                       std::shared_ptr<size_t> open)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
    , m_open(std::move(open))
{
    beast::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    ++*m_open;
}

Connection::~Connection()
{
    close();
}

void Connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(maxBodyBytes);
    beast::http::async_read(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code error, size_t) { self->onRead(error); });
}

void Connection::onRead(beast::error_code error)
{
    if (error || m_isClosed) {
        close();
        return;
    }
    http::BeastRequest request = m_parser->release();
    m_keepAlive = request.keep_alive();
    m_isAnswered = false;
    m_self = shared_from_this();
    if (m_buffer.size() == 0)
        watchForEnd();
    m_handler(http::toPlain(std::move(request)), Reply(weak_from_this()));
}

// Notices that the caller has gone while its answer is owed, so that the connection stops counting.
void Connection::watchForEnd()
{
    m_socket.async_wait(
            asio::ip::tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
                if (error || self->m_isAnswered || self->m_isClosed)
                    return;
                char byte = 0;
                const ssize_t got =
                        ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                const bool isOpen = got > 0 || (got < 0 && errno == EAGAIN);
                if (!isOpen)
                    self->close();
            });
}

void Connection::write(http::Response response, bool isTruncated)
{
    if (m_isAnswered || m_isClosed)
        return;
    m_isAnswered = true;
    http::BeastResponse message = http::toBeast(std::move(response));
    const bool keepAlive = m_keepAlive && !isTruncated;
    message.keep_alive(keepAlive);
    const size_t left = isTruncated ? (message.body().size() + 1) / 2 : 0;
    std::ostringstream text;
    text << message;
    m_output = text.str();
    m_output.erase(m_output.size() - left);
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this(), keepAlive](beast::error_code error, size_t) {
                          self->onWritten(error, keepAlive);
                      });
}

void Connection::onWritten(beast::error_code error, bool keepAlive)
{
    m_self = nullptr;
    if (error || !keepAlive)
        close();
    else
        read();
}

void Connection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    --*m_open;
    beast::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_self = nullptr; // may end this object: nothing follows
}

void Reply::send(http::Response response) const
{
    if (const auto connection = m_connection.lock())
        connection->write(std::move(response), false);
}

void Reply::truncate(http::Response response) const
{
    if (const auto connection = m_connection.lock())
        connection->write(std::move(response), true);
}

void Reply::lose() const
{
    if (const auto connection = m_connection.lock())
        connection->close();
}

} // namespace cwl::standins
