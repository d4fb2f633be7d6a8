#include "caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in socketAddress(const std::string &address)
{
    const size_t colon = address.rfind(':');
    sockaddr_in result = {};
    result.sin_family = AF_INET;
    int port = 0;
    if (absl::SimpleAtoi(address.substr(colon + 1), &port))
        result.sin_port = htons(uint16_t(port));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

struct Socket
{
    int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ~Socket() { close(handle); }
};

} // namespace

CallerAnswer call(const std::string &address, const std::string &method, const std::string &path,
                  const std::string &body, std::chrono::milliseconds timeout)
{
    const Socket connection;
    timeval limit = {};
    limit.tv_sec = timeout.count() / 1000;
    limit.tv_usec = timeout.count() % 1000 * 1000;
    setsockopt(connection.handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(connection.handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in target = socketAddress(address);
    if (connect(connection.handle, reinterpret_cast<const sockaddr *>(&target), sizeof(target))
        != 0)
        return {};
    const std::string request =
            absl::StrCat(method, " ", path,
                         " HTTP/1.1\r\nHost: draws.example\r\nX-Deadline-Ms: ", timeout.count(),
                         "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                         "\r\nConnection: close\r\n\r\n", body);
    if (send(connection.handle, request.data(), request.size(), MSG_NOSIGNAL)
        != ssize_t(request.size()))
        return {};
    std::string text;
    char buffer[4096];
    for (;;) {
        const ssize_t got = recv(connection.handle, buffer, sizeof(buffer), 0);
        if (got <= 0)
            break;
        text.append(buffer, size_t(got));
    }
    CallerAnswer answer;
    const size_t headerEnd = text.find("\r\n\r\n");
    if (headerEnd == std::string::npos || text.size() < 12
        || !absl::SimpleAtoi(text.substr(9, 3), &answer.status))
        return {};
    answer.body = text.substr(headerEnd + 4);
    return answer;
}

uint16_t freePort()
{
    const Socket probe;
    sockaddr_in address = socketAddress("127.0.0.1:0");
    socklen_t length = sizeof(address);
    if (bind(probe.handle, reinterpret_cast<const sockaddr *>(&address), length) != 0
        || getsockname(probe.handle, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return 0;
    return ntohs(address.sin_port);
}

} // namespace review
