#include "clientlimits/crowd.h"

#include "http/link.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cwl::clientlimits {

namespace {

constexpr int pollMs = 10;

// The bytes of the script from `offset`, at most one piece.
std::string pieceOf(const Script &script, size_t offset)
{
    if (offset < script.prefix.size())
        return script.prefix.substr(offset, script.pieceBytes);
    if (script.block.empty() || offset >= script.bytes)
        return {};
    std::string piece = script.block.substr((offset - script.prefix.size()) % script.block.size());
    const size_t wanted = std::min(script.pieceBytes, script.bytes - offset);
    while (piece.size() < wanted)
        piece += script.block;
    piece.resize(wanted);
    return piece;
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

Crowd::Crowd(std::string address, std::vector<Script> scripts)
    : m_address(std::move(address))
{
    for (Script &script : scripts) {
        m_clients.emplace_back();
        m_clients.back().script = std::move(script);
        open(m_clients.back());
    }
}

Crowd::~Crowd()
{
    for (const Client &client : m_clients) {
        if (client.socket >= 0)
            ::close(client.socket);
    }
}

void Crowd::open(Client &client) const
{
    const auto endpoint = http::parseAddress(m_address);
    client.sent = 0;
    client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.socket < 0 || !endpoint
        || (::connect(client.socket, endpoint->data(), socklen_t(endpoint->size())) != 0
            && errno != EINPROGRESS))
        end(client);
}

void Crowd::end(Client &client) const
{
    if (client.socket >= 0)
        ::close(client.socket);
    client.socket = -1;
    client.isDone = !client.script.reopens;
}

void Crowd::send(Client &client)
{
    const std::string piece = pieceOf(client.script, client.sent);
    if (piece.empty()) {
        if (client.script.reopens)
            end(client);
        else
            client.isDone = true;
        return;
    }
    const ssize_t sent = ::send(client.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (sent < 0 && wouldBlock())
        return;
    if (sent < 0) {
        end(client);
        return;
    }
    client.sent += size_t(sent);
    m_sent += uint64_t(sent);
    client.nextSend = BootClock::now() + client.script.pause;
}

void Crowd::read(Client &client)
{
    std::array<char, 65536> block{};
    const ssize_t got = ::recv(client.socket, block.data(), block.size(), 0);
    if (got == 0 || (got < 0 && !wouldBlock()))
        end(client);
}

void Crowd::sendUntil(TimePoint end)
{
    while (BootClock::now() < end) {
        std::vector<pollfd> polled;
        std::vector<Client *> clients;
        const TimePoint now = BootClock::now();
        bool isLeft = false;
        for (Client &client : m_clients) {
            if (client.socket < 0 && client.script.reopens)
                open(client);
            if (client.socket < 0 || (client.isDone && !client.script.readsResponses))
                continue;
            isLeft = isLeft || !client.isDone;
            const bool sends = !client.isDone && client.nextSend <= now;
            const int events = (sends ? POLLOUT : 0) | (client.script.readsResponses ? POLLIN : 0);
            polled.push_back({.fd = client.socket, .events = short(events), .revents = 0});
            clients.push_back(&client);
        }
        if (!isLeft)
            return;
        ::poll(polled.data(), polled.size(), pollMs);
        for (size_t index = 0; index < polled.size(); ++index) {
            if ((polled[index].revents & POLLIN) != 0)
                read(*clients[index]);
            if ((polled[index].revents & POLLOUT) != 0 && clients[index]->socket >= 0)
                send(*clients[index]);
            else if ((polled[index].revents & (POLLERR | POLLHUP)) != 0
                     && clients[index]->socket >= 0)
                this->end(*clients[index]);
        }
    }
}

} // namespace cwl::clientlimits
