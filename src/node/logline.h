// The parts of the log that need no output: formatting and the rate limit. Internal to the log.

#pragma once

#include "node/log.h"

#include <map>
#include <optional>
#include <string>

namespace cwl::log {

// Returns `event=<name> key=value ...`; values with spaces, quotes, '=' or control characters are
// quoted, so that a line stays one line and its pairs can be told apart.
std::string formatLine(const std::string &name, Pairs pairs, uint64_t dropped);

// Allows maxPerSecond lines of each event in each second. Not thread-safe.
class RateLimit
{
public:
    // Returns how many lines of the event were dropped since its last line, or nullopt to drop this
    // one too.
    std::optional<uint64_t> admit(const std::string &name, TimePoint now);

private:
    struct Window
    {
        TimePoint began = {};
        uint64_t written = 0;
        uint64_t dropped = 0;
    };
    std::map<std::string, Window> m_windows; // at most maxEvents, then one shared
};

} // namespace cwl::log
