// Benchmarks of placement decisions. Each runs together with its baselines.

#include "drive.h"

#include <docopt/docopt.h>

namespace {

constexpr const char *usage = R"(Usage: bench-placement [--seed N] [--only GROUP]

Prints one result per line: name, value, unit. Names of baseline results end in .first_fit,
.strict_priority, .longest_first or .arrival_order.

Options:
  --seed N      Seed of the arrivals. [default: 1]
  --only GROUP  One of rates, packing, floods, or all. [default: all]
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    cwl::bench::print("placement.seed", static_cast<double>(seed), "seed");
    const std::string only = arguments.at("--only").asString();
    if (only == "all" || only == "rates")
        cwl::bench::benchRates(seed);
    if (only == "all" || only == "packing")
        cwl::bench::benchPacking(seed);
    if (only == "all" || only == "floods")
        cwl::bench::benchFloods(seed);
    return 0;
}
