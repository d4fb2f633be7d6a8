#include "harness/ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace cwl::harness {

Ports::~Ports()
{
    for (const int socket : m_sockets)
        ::close(socket);
}

uint16_t Ports::next()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    m_sockets.push_back(socket);
    const int enabled = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto *const generic = reinterpret_cast<sockaddr *>(&address);
    if (::bind(socket, generic, size) != 0 || ::getsockname(socket, generic, &size) != 0)
        throw std::system_error(errno, std::generic_category(), "no free port");
    return ntohs(address.sin_port);
}

} // namespace cwl::harness
