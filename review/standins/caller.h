// A client of the users: one request at a time, on a connection of its own.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace review {

struct CallerAnswer
{
    int status = 0; // 0: no answer in time, or the connection broke
    std::string body;
};

CallerAnswer call(const std::string &address, const std::string &method, const std::string &path,
                  const std::string &body = {},
                  std::chrono::milliseconds timeout = std::chrono::milliseconds(3000));

// An address 127.0.0.1:PORT with a port that is free now.
uint16_t freePort();

} // namespace review
