// Benchmark group "control": what control costs in cells of real processes without callers, against
// the number of members, endpoints, teams, workers and running tasks. Prints
// "control.<dimension>.<size>.<role>.<figure> value unit" a line, then the slope of each figure by
// least squares, in the same unit for one more of the dimension. The dimensions are measured at the
// same time, each in a cell of its own: processor time and bytes are those of the process, so that
// they take little harm from it, and one run takes two minutes.

#include "cell.h"
#include "usage.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <functional>
#include <future>
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

constexpr Duration settleTime = seconds(2); // between a change and the window
// Several periods of everything that is periodic; task leases are renewed about every 15 s.
constexpr Duration window = seconds(16);

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

void print(std::string &output, const std::string &name, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, " %.5f ", value);
    output += "control." + name + text + unitOf(name) + "\n";
}

// Measures one cell at each size that `grow` brings it to; returns the lines to print.
std::string measure(const std::string &dimension, const CellOptions &options,
                    const std::vector<int64_t> &sizes, Duration duration,
                    const std::function<void(Cell &, int64_t)> &grow)
{
    Cell cell(options);
    const Usage usage(cell.members(), cell.platform());
    std::map<std::string, Series> series;
    std::string output;
    for (const int64_t size : sizes) {
        grow(cell, size);
        std::this_thread::sleep_for(settleTime);
        for (const auto &[name, value] : usage.measure(duration)) {
            print(output, dimension + "." + std::to_string(size) + "." + name, value);
            series[name].sizes.push_back(double(size));
            series[name].values.push_back(value);
        }
    }
    for (const auto &[name, points] : series) {
        if (points.sizes.size() < 2)
            continue;
        const Line line = fit(points.sizes, points.values);
        print(output, dimension + ".slope." + name, line.slope);
        print(output, dimension + ".base." + name, line.base);
    }
    return output;
}

std::string measureMembers()
{
    return measure("members", {.instances = 1, .mostInstances = 12}, {2, 6, 12, 24}, window,
                   [](Cell &cell, int64_t size) { cell.runInstances(size_t(size / 2)); });
}

std::string measureEndpoints()
{
    return measure("endpoints", {.mostEndpoints = 192}, {12, 48, 192}, window,
                   [](Cell &cell, int64_t size) { cell.listEndpoints(size); });
}

std::string measureTeams()
{
    return measure("teams", {}, {10, 100, 280}, window,
                   [](Cell &cell, int64_t size) { cell.keepTeams(size); });
}

std::string measureWorkers()
{
    return measure("workers", {.mostWorkers = 600}, {48, 150, 300, 600}, window,
                   [](Cell &cell, int64_t size) { cell.listWorkers(size); });
}

std::string measureTasks()
{
    return measure("tasks", {.mostWorkers = 150, .workers = 150}, {500, 2000, 6000}, window,
                   [](Cell &cell, int64_t size) { cell.runTasks(size); });
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::function<std::string()>> dimensions = {
            {"members", measureMembers}, {"endpoints", measureEndpoints}, {"teams", measureTeams},
            {"workers", measureWorkers}, {"tasks", measureTasks},
    };
    try {
        auto arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
        std::vector<std::string> chosen = arguments["DIMENSION"].asStringList();
        if (chosen.empty())
            chosen = {"members", "endpoints", "teams", "workers", "tasks"};
        std::vector<std::future<std::string>> outputs;
        for (const std::string &dimension : chosen) {
            const auto found = dimensions.find(dimension);
            if (found == dimensions.end())
                throw std::runtime_error("no dimension is named '" + dimension + "'");
            outputs.push_back(std::async(std::launch::async, found->second));
        }
        for (std::future<std::string> &output : outputs)
            std::cout << output.get() << std::flush;
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "bench-control: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
