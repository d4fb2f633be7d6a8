// Benchmark group "jobs": processor time of the dispatcher's decisions in a cell of 350 workers,
// under the usual load and under a load that causes a backlog. Prints one "group.name value unit"
// per line.

#include "fleet.h"

#include "node/log.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>

namespace {

using namespace cwl;
using namespace cwl::bench;

constexpr const char *usage = R"(Measures the processor time of the dispatcher's decisions.

Usage:
  bench-jobs [--seed N]

Options:
  --seed N  of the drawn jobs [default: 4]
)";

void print(const std::string &load, const FleetResult &result)
{
    const auto line = [&](const char *name, double value, const char *unit) {
        std::printf("jobs.%s.%s %.3f %s\n", load.c_str(), name, value, unit);
    };
    line("starts", double(result.starts), "tasks");
    line("decide_per_start", 1e6 * result.decideSeconds / double(result.starts), "us");
    line("report_per_start", 1e6 * result.reportSeconds / double(result.starts), "us");
    line("decide_mean", 1e6 * result.decideSeconds / double(result.decisions), "us");
    line("decide_longest", 1e3 * result.longestDecision, "ms");
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::runtime_error &error) {
        std::cerr << "bench-jobs: " << error.what() << "\n" << usage;
        return 2;
    }
    log::setLevel(log::Level::Error);
    FleetOptions options;
    options.seed = uint64_t(arguments["--seed"].asLong());
    std::printf("jobs.seed %llu -\n", static_cast<unsigned long long>(options.seed));
    options.jobsPerSecond = 45;
    print("usual", simulateFleet(options));
    options.jobsPerSecond = 110;
    print("backlog", simulateFleet(options));
    return 0;
}
