// Simulation of the workers and jobs of a large cell in memory. Runs the dispatcher in simulated
// time and measures the processor time of its calls.

#pragma once

#include "jobs/dispatcher.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace cwl::bench {

struct FleetOptions
{
    uint64_t seed = 4;
    int plainWorkers = 252;      // with 16 cores
    int acceleratorWorkers = 98; // with 64 cores and 8 accelerators
    double jobsPerSecond = 55;
    Duration time = seconds(20); // simulated
};

struct FleetResult
{
    uint64_t starts = 0;
    uint64_t decisions = 0;
    double decideSeconds = 0;   // processor time
    double reportSeconds = 0;   // processor time
    double longestDecision = 0; // processor time in seconds
};

FleetResult simulateFleet(const FleetOptions &options);

} // namespace cwl::bench
