// A crowd of clients on plain sockets, each of which sends an endless or incomplete request. One
// thread serves them all; no client blocks another.

#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cwl::clientlimits {

// What one client sends: `prefix`, then `block` again and again up to `bytes` in all.
struct Script
{
    std::string prefix;
    std::string block = {};
    size_t bytes = 0;                  // of one connection; the prefix is always sent whole
    Duration pause = Duration::zero(); // between two sends of `pieceBytes`
    size_t pieceBytes = 65536;         // most of one send
    bool readsResponses = false;       // responses stay unread otherwise
    bool reopens = false;              // a new connection follows one that has ended or sent all
};

class Crowd
{
public:
    Crowd(std::string address, std::vector<Script> scripts);
    ~Crowd(); // closes all connections
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    // Sends until each client has sent all or was disconnected, or until `end`. Connections stay
    // open.
    void sendUntil(TimePoint end);

    uint64_t sentBytes() const { return m_sent; }

private:
    struct Client
    {
        Script script;
        int socket = -1;
        size_t sent = 0;
        TimePoint nextSend = {};
        bool isDone = false;
    };

    void open(Client &client) const;
    void send(Client &client);
    void read(Client &client);
    void end(Client &client) const;

    std::string m_address;
    std::vector<Client> m_clients;
    uint64_t m_sent = 0;
};

} // namespace cwl::clientlimits
