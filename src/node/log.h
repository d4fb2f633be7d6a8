// Logs, one event a line, as key=value pairs. Every library may use it. Long-running programs log
// to standard output; others to standard error, beside their own output.
//
//     log::warn("rpc_connection_lost", {{"address", address}, {"error", status}});
//     if (log::isEnabled(log::Level::Debug))
//         log::debug("queue", {{"text", expensiveText()}});
//
// gives
//
//     time=2026-01-02T03:04:05.678Z level=WARN event=rpc_connection_lost address=127.0.0.1:7000 ...
//
// An event that comes more often than its rate limit is dropped; the next line of that event says
// how many were, as dropped=N. Lines are written by a thread of their own, so no caller waits for
// its reader; when 4,096 lines wait, further ones are dropped.

#pragma once

#include "base/clock.h"

#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace cwl::log {

// Section: limits

constexpr size_t maxValueBytes = 1024; // a longer value is cut and ends in "..."
constexpr uint64_t maxPerSecond = 60;  // lines of one event
constexpr size_t maxEvents = 4096;     // event names that are limited one by one

// Section: levels

enum class Level { Trace, Debug, Info, Warn, Error };

// Any thread, at any time. Info before the first call.
void setLevel(Level level);
Level level();
bool isEnabled(Level level);

// Wire names "trace", "debug", "info", "warn", "error". Error: InvalidValue.
absl::StatusOr<Level> levelFromName(const std::string &name);
const char *levelName(Level level);

// Section: destination

enum class Stream { Error, Output };

// Standard error before the first call. At the start of a program, before other threads log.
void setStream(Stream stream);

// Section: pairs

// A value that is written without a limit on its length, for state dumps.
struct Whole
{
    std::string text;
};

struct Pair
{
    using Value = std::variant<std::string, int64_t, uint64_t, double, bool, Whole>;

    Pair(const char *name, std::string text)
        : key(name)
        , value(std::move(text))
    {
    }
    Pair(const char *name, const char *text)
        : key(name)
        , value(std::string(text))
    {
    }
    Pair(const char *name, std::string_view text)
        : key(name)
        , value(std::string(text))
    {
    }
    Pair(const char *name, bool flag)
        : key(name)
        , value(flag)
    {
    }
    Pair(const char *name, std::signed_integral auto number)
        : key(name)
        , value(static_cast<int64_t>(number))
    {
    }
    Pair(const char *name, std::unsigned_integral auto number)
        : key(name)
        , value(static_cast<uint64_t>(number))
    {
    }
    Pair(const char *name, double number)
        : key(name)
        , value(number)
    {
    }
    Pair(const char *name, Duration duration);          // written in milliseconds, such as 1.5ms
    Pair(const char *name, const absl::Status &status); // written as "type: message"
    Pair(const char *name, Whole whole)
        : key(name)
        , value(std::move(whole))
    {
    }

    const char *key; // lower case with underscores
    Value value;
};

using Pairs = std::initializer_list<Pair>;

// Section: events. `name` is lower case with underscores and says what happened.

void event(Level level, const std::string &name, Pairs pairs = {});

inline void trace(const std::string &name, Pairs pairs = {})
{
    event(Level::Trace, name, pairs);
}
inline void debug(const std::string &name, Pairs pairs = {})
{
    event(Level::Debug, name, pairs);
}
inline void info(const std::string &name, Pairs pairs = {})
{
    event(Level::Info, name, pairs);
}
inline void warn(const std::string &name, Pairs pairs = {})
{
    event(Level::Warn, name, pairs);
}
inline void error(const std::string &name, Pairs pairs = {})
{
    event(Level::Error, name, pairs);
}

// Writes what waits and ends the writing thread; later events are lost. Also done at exit().
void finish();

} // namespace cwl::log
