// Ports that tests running in parallel cannot take from each other.

#pragma once

#include <cstdint>
#include <vector>

namespace cwl::harness {

// Chooses free ports and keeps each of them bound, without listening, as long as it lives. The
// system gives a bound port to nobody who asks for any free one. A process that binds it by number
// with SO_REUSEADDR, as every program here does, can listen on it, again after a restart too.
class Ports
{
public:
    Ports() = default;
    ~Ports();
    Ports(const Ports &) = delete;
    Ports &operator=(const Ports &) = delete;

    uint16_t next(); // throws std::system_error if there is none

private:
    std::vector<int> m_sockets;
};

} // namespace cwl::harness
