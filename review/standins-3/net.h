// Minimal HTTP/1.1 over loopback for the review's stand-ins: a server with one thread for each
// connection, and a client that makes one call on a connection of its own.

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace review {

inline int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Request
{
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response
{
    int status = 200; // of a call: 0 if no complete answer came
    std::string body;
};

inline sockaddr_in loopbackAddress(uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Reads one message from a socket; keeps what follows it for the next one.
class MessageReader
{
public:
    explicit MessageReader(int socket)
        : m_socket(socket)
    {
    }

    // Returns false at the end of the connection, on an error or after `deadline` (0: none).
    bool read(std::string &startLine, std::map<std::string, std::string> &headers,
              std::string &body, int64_t deadline = 0)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(deadline))
                return false;
        }
        const std::string head = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 4);
        size_t line = head.find("\r\n");
        startLine = head.substr(0, line);
        headers.clear();
        while (line != std::string::npos) {
            const size_t next = head.find("\r\n", line + 2);
            const std::string field = head.substr(
                    line + 2, next == std::string::npos ? std::string::npos : next - line - 2);
            const size_t colon = field.find(':');
            if (colon != std::string::npos) {
                std::string name = field.substr(0, colon);
                for (char &c : name)
                    c = char(std::tolower(static_cast<unsigned char>(c)));
                const size_t value = field.find_first_not_of(' ', colon + 1);
                headers[name] = value == std::string::npos ? "" : field.substr(value);
            }
            line = next;
        }
        const auto length = headers.find("content-length");
        const size_t size = length == headers.end() ? 0 : std::stoul(length->second);
        while (m_buffer.size() < size) {
            if (!more(deadline))
                return false;
        }
        body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

private:
    bool more(int64_t deadline)
    {
        if (deadline != 0) {
            pollfd waiting = {m_socket, POLLIN, 0};
            const int64_t left = deadline - steadyMs();
            if (left <= 0 || ::poll(&waiting, 1, int(left)) <= 0)
                return false;
        }
        char bytes[16384];
        const ssize_t got = ::recv(m_socket, bytes, sizeof(bytes), 0);
        if (got <= 0)
            return false;
        m_buffer.append(bytes, size_t(got));
        return true;
    }

    const int m_socket;
    std::string m_buffer;
};

inline bool sendAll(int socket, const std::string &text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += size_t(n);
    }
    return true;
}

class Server
{
public:
    // No value: the request is never answered, and nothing more is answered on its connection.
    using Handler = std::function<std::optional<Response>(const Request &)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopbackAddress(0);
        socklen_t size = sizeof(address);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(m_listener, 256) != 0
            || ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            return;
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach(); // servers live until the process ends
    }

    uint16_t port() const { return m_port; } // 0: it could not listen

private:
    void accept()
    {
        for (;;) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        MessageReader reader(socket);
        std::string line;
        Request request;
        bool isMute = false;
        while (reader.read(line, request.headers, request.body)) {
            if (isMute)
                continue;
            const size_t first = line.find(' ');
            const size_t second = line.find(' ', first + 1);
            request.method = line.substr(0, first);
            const std::string target = line.substr(first + 1, second - first - 1);
            const size_t mark = target.find('?');
            request.path = target.substr(0, mark);
            request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
            const std::optional<Response> response = m_handler(request);
            if (!response) {
                isMute = true;
                continue;
            }
            if (!sendAll(socket,
                         "HTTP/1.1 " + std::to_string(response->status)
                                 + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(response->body.size()) + "\r\n\r\n"
                                 + response->body))
                break;
        }
        ::close(socket);
    }

    const Handler m_handler;
    int m_listener = -1;
    uint16_t m_port = 0;
};

inline Response call(uint16_t port, const std::string &method, const std::string &target,
                     const std::string &host, const std::string &body, int64_t timeoutMs)
{
    const int64_t deadline = steadyMs() + timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopbackAddress(port);
    Response response{.status = 0, .body = {}};
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
        const std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host
                + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: "
                + std::to_string(timeoutMs) + "\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
        MessageReader reader(socket);
        std::string line;
        std::map<std::string, std::string> headers;
        if (sendAll(socket, text) && reader.read(line, headers, response.body, deadline)
            && line.size() > 12)
            response.status = std::atoi(line.c_str() + 9);
    }
    ::close(socket);
    return response;
}

// A port that was free a moment ago, below those that the system gives to connections. No port is
// given twice.
inline uint16_t freePort()
{
    static std::set<uint16_t> given;
    static std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const auto port = uint16_t(12000 + random() % 20000);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopbackAddress(port);
        const bool isBound =
                ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (isBound && given.insert(port).second)
            return port;
    }
    return 0;
}

} // namespace review
