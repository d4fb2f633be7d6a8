// Benchmark group "control": what control costs in cells of real processes without callers, against
// the number of members, endpoints, teams, workers and running tasks. Prints
// "control.<dimension>.<size>.<role>.<figure> value unit" a line, then the slope of each figure by
// least squares, in the same unit for one more of the dimension.

#include "cell.h"
#include "usage.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::bench;

constexpr const char *usage = R"(Measures the control cost of real processes.

Usage:
  bench-control [--seed N] [DIMENSION...]

Options:
  --seed N   accepted for the sake of scripts/bench; this group draws nothing at random
  DIMENSION  members, endpoints, teams, workers or tasks; all of them if none is named
)";

constexpr Duration settleTime = seconds(2);   // between a change and the window
constexpr Duration window = seconds(4);       // several periods of everything but lease renewals
constexpr Duration tasksWindow = seconds(16); // task leases are renewed about every 15 s

std::string unitOf(const std::string &name)
{
    if (name.ends_with("cpu_percent"))
        return "%";
    if (name.ends_with("rss_mb"))
        return "MB";
    return name.ends_with("bytes_per_second") ? "B/s" : "1/s";
}

struct Series
{
    std::vector<double> sizes = {};
    std::vector<double> values = {};
};

// Measures one cell at each size that `grow` brings it to.
void measure(const std::string &dimension, const CellOptions &options,
             const std::vector<int64_t> &sizes, Duration duration,
             const std::function<void(Cell &, int64_t)> &grow)
{
    Cell cell(options);
    const Usage usage(cell.members(), cell.platform());
    std::map<std::string, Series> series;
    for (const int64_t size : sizes) {
        grow(cell, size);
        std::this_thread::sleep_for(settleTime);
        for (const auto &[name, value] : usage.measure(duration)) {
            std::printf("control.%s.%d.%s %.3f %s\n", dimension.c_str(), int(size), name.c_str(),
                        value, unitOf(name).c_str());
            series[name].sizes.push_back(double(size));
            series[name].values.push_back(value);
        }
        std::fflush(stdout);
    }
    for (const auto &[name, points] : series) {
        if (points.sizes.size() < 2)
            continue;
        const Line line = fit(points.sizes, points.values);
        const std::string prefix = "control." + dimension + ".";
        std::printf("%sslope.%s %.5f %s\n%sbase.%s %.3f %s\n", prefix.c_str(), name.c_str(),
                    line.slope, unitOf(name).c_str(), prefix.c_str(), name.c_str(), line.base,
                    unitOf(name).c_str());
    }
    std::fflush(stdout);
}

void measureMembers()
{
    measure("members", {.instances = 1, .mostInstances = 12}, {2, 6, 12, 24}, window,
            [](Cell &cell, int64_t size) { cell.runInstances(size_t(size / 2)); });
}

void measureEndpoints()
{
    measure("endpoints", {.mostEndpoints = 192}, {12, 48, 192}, window,
            [](Cell &cell, int64_t size) { cell.listEndpoints(size); });
}

void measureTeams()
{
    measure("teams", {}, {10, 100, 280}, window,
            [](Cell &cell, int64_t size) { cell.keepTeams(size); });
}

void measureWorkers()
{
    measure("workers", {.mostWorkers = 600}, {48, 150, 300, 600}, window,
            [](Cell &cell, int64_t size) { cell.listWorkers(size); });
}

void measureTasks()
{
    measure("tasks", {.mostWorkers = 150, .workers = 150}, {500, 2000, 6000}, tasksWindow,
            [](Cell &cell, int64_t size) { cell.runTasks(size); });
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<void()>> dimensions = {
            {"members", measureMembers}, {"endpoints", measureEndpoints}, {"teams", measureTeams},
            {"workers", measureWorkers}, {"tasks", measureTasks},
    };
    try {
        auto arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
        std::vector<std::string> chosen = arguments["DIMENSION"].asStringList();
        if (chosen.empty())
            chosen = {"members", "endpoints", "teams", "workers", "tasks"};
        for (const std::string &dimension : chosen) {
            const auto found = dimensions.find(dimension);
            if (found == dimensions.end())
                throw std::runtime_error("no dimension is named '" + dimension + "'");
            found->second();
        }
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "bench-control: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
