#include "node/listenerwatch.h"

#include "node/log.h"

namespace cwl::node {

void ListenerWatch::add(const std::string &name, const http::Server &server)
{
    Listener listener{.name = name, .server = &server};
    listener.memory = &m_registry.gauge("cwl_http_memory_bytes",
                                        "Memory that connections hold of the listener's budget.",
                                        {{"listener", name}});
    listener.connections =
            &m_registry.gauge("cwl_http_connections", "Open connections.", {{"listener", name}});
    for (size_t index = 0; index < http::limitCount; ++index)
        listener.counters[index] = &m_registry.counter(
                "cwl_http_limited_total",
                "Connections closed and requests refused, by the limit that was "
                "reached.",
                {{"limit", http::limitName(http::Limit(index))}, {"listener", name}});
    m_listeners.push_back(std::move(listener));
}

void ListenerWatch::report(TimePoint now)
{
    if (now < m_nextReport)
        return;
    m_nextReport = now + limitReportInterval;
    for (Listener &listener : m_listeners)
        report(listener);
}

void ListenerWatch::report(Listener &listener)
{
    listener.memory->set(double(listener.server->memoryUsed()));
    listener.connections->set(double(listener.server->connections()));
    for (size_t index = 0; index < http::limitCount; ++index) {
        const auto limit = http::Limit(index);
        const uint64_t count = listener.server->statistics().count(limit);
        const uint64_t added = count - listener.reported[index];
        if (added == 0)
            continue;
        listener.reported[index] = count;
        listener.counters[index]->add(added);
        // Ordinary callers leave connections idle, too.
        log::event(
                limit == http::Limit::IdleTime ? log::Level::Debug : log::Level::Info,
                "client_limited",
                {{"listener", listener.name}, {"limit", http::limitName(limit)}, {"count", added}});
    }
}

} // namespace cwl::node
