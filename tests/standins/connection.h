// One connection of a stand-in's HTTP server.

#pragma once

#include "http/wire.h"
#include "standins/frame.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace cwl::standins {

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::ip::tcp::socket socket, RequestHandler handler,
               std::shared_ptr<size_t> open);
    ~Connection();

    void read();
    void write(http::Response response, bool isTruncated);
    void close();

private:
    void onRead(boost::beast::error_code error);
    void watchForEnd();
    void onWritten(boost::beast::error_code error, bool keepAlive);

    boost::asio::ip::tcp::socket m_socket;
    RequestHandler m_handler;
    std::shared_ptr<size_t> m_open;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::string m_output;
    std::shared_ptr<Connection> m_self; // keeps a connection whose answer is owed
    bool m_isAnswered = true;
    bool m_isClosed = false;
    bool m_keepAlive = false;
};

} // namespace cwl::standins
