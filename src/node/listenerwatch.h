// Exports what the limits of the process's HTTP servers have done: a counter
// for each listener and limit, the memory and connections of each listener, and
// at most one log line a second for each limit of a listener.

#pragma once

#include "base/clock.h"
#include "http/server.h"
#include "metrics/metrics.h"

#include <array>
#include <string>
#include <vector>

namespace cwl::node {

constexpr Duration limitReportInterval = seconds(1);

// On one thread.
class ListenerWatch
{
public:
    explicit ListenerWatch(metrics::Registry &registry)
        : m_registry(registry)
    {
    }

    void add(const std::string &listener, const http::Server &server);

    // Does nothing within the interval after an earlier report.
    void report(TimePoint now);

private:
    struct Listener
    {
        std::string name;
        const http::Server *server = nullptr;
        metrics::Gauge *memory = nullptr;
        metrics::Gauge *connections = nullptr;
        std::array<metrics::Counter *, http::limitCount> counters = {};
        std::array<uint64_t, http::limitCount> reported = {};
    };

    static void report(Listener &listener);

    metrics::Registry &m_registry;
    std::vector<Listener> m_listeners;
    TimePoint m_nextReport = {};
};

} // namespace cwl::node
