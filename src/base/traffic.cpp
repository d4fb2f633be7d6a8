#include "base/traffic.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <atomic>

namespace cwl {

namespace {

constexpr std::array<const char *, 7> names = {"rpcControl",   "rpcRequests", "httpServer",
                                               "httpPlatform", "httpWorkers", "httpEndpoints",
                                               "httpOther"};

// One cache line each, since threads fill different kinds at the same time.
struct alignas(64) Counts
{
    std::atomic<uint64_t> received = 0;
    std::atomic<uint64_t> sent = 0;
};

Counts &counts(Traffic traffic)
{
    static std::array<Counts, names.size()> all;
    return all[static_cast<size_t>(traffic)];
}

} // namespace

void addReceived(Traffic traffic, size_t bytes)
{
    counts(traffic).received.fetch_add(bytes, std::memory_order_relaxed);
}

void addSent(Traffic traffic, size_t bytes)
{
    counts(traffic).sent.fetch_add(bytes, std::memory_order_relaxed);
}

TrafficBytes trafficBytes(Traffic traffic)
{
    const Counts &found = counts(traffic);
    return {found.received.load(std::memory_order_relaxed),
            found.sent.load(std::memory_order_relaxed)};
}

Json::Value trafficState()
{
    Json::Value state;
    for (size_t index = 0; index < names.size(); ++index) {
        const TrafficBytes bytes = trafficBytes(static_cast<Traffic>(index));
        state[names[index]]["received"] = Json::UInt64(bytes.received);
        state[names[index]]["sent"] = Json::UInt64(bytes.sent);
    }
    return state;
}

std::string trafficText()
{
    std::string text = "# HELP cwl_traffic_bytes_total Payload bytes of TCP connections.\n"
                       "# TYPE cwl_traffic_bytes_total counter\n";
    for (size_t index = 0; index < names.size(); ++index) {
        const TrafficBytes bytes = trafficBytes(static_cast<Traffic>(index));
        const std::string labels =
                absl::StrCat("cwl_traffic_bytes_total{traffic=\"", names[index], "\",direction=");
        absl::StrAppend(&text, labels, "\"received\"} ", bytes.received, "\n");
        absl::StrAppend(&text, labels, "\"sent\"} ", bytes.sent, "\n");
    }
    return text;
}

} // namespace cwl
