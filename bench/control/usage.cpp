#include "usage.h"

#include "harness/call.h"

#include <stdexcept>
#include <thread>
#include <utility>

namespace cwl::bench {

namespace {

constexpr double bytesPerMb = 1e6;

// Traffic that serves control in a cell without callers: requests between entries are left out.
constexpr const char *controlKinds[] = {"rpcControl", "httpPlatform", "httpWorkers",
                                        "httpEndpoints"};

Json::Value bodyOf(const std::string &address, const std::string &path)
{
    const auto answer = harness::getJson(address, path);
    if (!answer.ok() || answer->status != 200)
        throw std::runtime_error(address + path + " does not answer");
    return answer->body;
}

std::string roleOf(const harness::Member &member, const Json::Value &state)
{
    if (member.program == harness::Program::Entry)
        return "entry";
    return state["groups"].empty() ? "standby" : "owner";
}

} // namespace

struct Usage::Reading
{
    TimePoint at;
    Duration processorTime;
    int64_t residentBytes = 0;
    Json::Value state;
};

Usage::Usage(const std::vector<harness::Member *> &members, std::string platform)
    : m_members(members)
    , m_platform(std::move(platform))
{
}

// The processor time is read after the page, so that of two readings the first one's page is not
// counted.
Usage::Reading Usage::read(const harness::Member &member) const
{
    Reading reading;
    reading.state = bodyOf(member.httpAddress(), "/state");
    reading.at = BootClock::now();
    reading.processorTime = member.process->processorTime();
    reading.residentBytes = member.process->residentBytes();
    return reading;
}

Json::Value Usage::storeCounters() const
{
    return bodyOf(m_platform, "/control/counters");
}

Figures Usage::measure(Duration window) const
{
    std::vector<Reading> before;
    for (const harness::Member *member : m_members)
        before.push_back(read(*member));
    const Json::Value storeBefore = storeCounters();
    const TimePoint storeFrom = BootClock::now();
    std::this_thread::sleep_for(window);
    const Json::Value storeAfter = storeCounters();
    const double storeSeconds = std::chrono::duration<double>(BootClock::now() - storeFrom).count();

    Figures sums;
    std::map<std::string, double> processes;
    for (size_t index = 0; index < m_members.size(); ++index) {
        const harness::Member &member = *m_members[index];
        const Duration processorTime = member.process->processorTime();
        const TimePoint now = BootClock::now();
        const Reading &first = before[index];
        const Reading last = read(member);
        const std::string role = roleOf(member, last.state);
        if (roleOf(member, first.state) != role)
            continue; // it is neither the cost of one role nor of the other
        const double cpuSeconds =
                std::chrono::duration<double>(processorTime - first.processorTime).count();
        processes[role] += 1;
        sums[role + ".cpu_percent"] +=
                100 * cpuSeconds / std::chrono::duration<double>(now - first.at).count();
        sums[role + ".rss_mb"] += static_cast<double>(last.residentBytes) / bytesPerMb;
        const double trafficSeconds = std::chrono::duration<double>(last.at - first.at).count();
        for (const char *kind : controlKinds) {
            const Json::Value &from = first.state["traffic"][kind];
            const Json::Value &to = last.state["traffic"][kind];
            for (const char *direction : {"received", "sent"}) {
                const double bytes = (to[direction].asDouble() - from[direction].asDouble());
                sums[role + "." + direction + "_bytes_per_second"] += bytes / trafficSeconds;
                sums[role + "." + kind + "_bytes_per_second"] += bytes / trafficSeconds;
            }
        }
    }
    Figures figures;
    for (const auto &[name, sum] : sums)
        figures[name] = sum / processes[name.substr(0, name.find('.'))];
    for (const auto &[name, counter] : {std::pair("store.reads_per_second", "reads"),
                                        std::pair("store.writes_per_second", "writes"),
                                        std::pair("store.lists_per_second", "listCalls")})
        figures[name] =
                (storeAfter[counter].asDouble() - storeBefore[counter].asDouble()) / storeSeconds;
    return figures;
}

Line fit(const std::vector<double> &sizes, const std::vector<double> &values)
{
    const auto count = static_cast<double>(sizes.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (size_t index = 0; index < sizes.size(); ++index) {
        sumX += sizes[index];
        sumY += values[index];
        sumXX += sizes[index] * sizes[index];
        sumXY += sizes[index] * values[index];
    }
    Line line;
    line.slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    line.base = (sumY - line.slope * sumX) / count;
    return line;
}

} // namespace cwl::bench
