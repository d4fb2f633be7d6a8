// Benchmark group "request": what the product adds to a request, what it costs, and what it serves
// when more is asked for than the endpoints can do. Prints "group.name value unit" a line.

#include "entry/entrycell.h"
#include "load.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <stdexcept>

namespace {

using namespace cwl;
using namespace cwl::bench;

constexpr const char *usage = R"(Measures requests through real entries.

Usage:
  bench-requests [--seed N]

Options:
  --seed N  accepted for the sake of scripts/bench; this group draws nothing at random
)";

constexpr const char *productPath = "/v1/services/draw/motions";
constexpr const char *directPath = "/motions";

void print(const std::string &name, double value, const char *unit)
{
    std::printf("request.%s %.3f %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

std::vector<Target> entriesOf(tests::EntryCell &cell)
{
    std::vector<Target> targets;
    for (const harness::Member &entry : cell.deployment().entries())
        targets.push_back({entry.httpAddress(), productPath});
    return targets;
}

// Direct calls and calls through the product take turns, so that both meet the same machine.
void measureAdded()
{
    tests::EntryCell cell({.serviceMs = 2});
    const Target direct{cell.endpointAddress(0), directPath};
    const Target product = entriesOf(cell).front();
    alternate({direct, product}, 100); // connections, caches, service times
    const std::vector<LoadResult> results = alternate({direct, product}, 1500);
    for (const auto &[name, fraction] : {std::pair("added_p50", 0.5), std::pair("added_p99", 0.99)})
        print(name, results[1].percentile(fraction) - results[0].percentile(fraction), "ms");
    print("direct_p50", results[0].percentile(0.5), "ms");
    print("failed", static_cast<double>(results[1].failed + results[1].refused), "requests");
}

void measureRate()
{
    tests::EntryCell cell({.endpoints = 24, .serviceMs = 1});
    closedLoop(entriesOf(cell), 48, seconds(1));
    Duration before{};
    Duration after{};
    for (const harness::Member &entry : cell.deployment().entries())
        before += entry.process->processorTime();
    const LoadResult result = closedLoop(entriesOf(cell), 48, seconds(4));
    for (const harness::Member &entry : cell.deployment().entries())
        after += entry.process->processorTime();
    const double coreSeconds = std::chrono::duration<double>(after - before).count();
    print("per_second", static_cast<double>(result.answeredMs.size()) / result.seconds, "1/s");
    print("per_second_core", static_cast<double>(result.answeredMs.size()) / coreSeconds, "1/s");
}

// Goodput is what is answered within the deadline, as a part of what the endpoints can do.
void measureGoodput()
{
    constexpr int64_t endpoints = 4;
    constexpr int64_t slots = 8;
    constexpr int64_t serviceMs = 100;
    constexpr double capacity = endpoints * slots * 1000.0 / serviceMs; // requests a second
    constexpr milliseconds deadline(500);
    tests::EntryCell cell({.endpoints = endpoints, .serviceMs = serviceMs});
    openLoop(entriesOf(cell), capacity / 2, seconds(1), deadline);
    for (const int factor : {1, 2, 10}) {
        const Duration duration = seconds(5);
        const LoadResult result = openLoop(entriesOf(cell), capacity * factor, duration, deadline);
        const auto inTime = std::count_if(
                result.answeredMs.begin(), result.answeredMs.end(),
                [&deadline](double time) { return time <= static_cast<double>(deadline.count()); });
        const std::string name = std::to_string(factor) + "x";
        print("goodput." + name, 100.0 * static_cast<double>(inTime) / (capacity * 5), "%");
        print("unknown." + name, static_cast<double>(result.failed), "requests");
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
        measureAdded();
        measureRate();
        measureGoodput();
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "bench-requests: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
