// Workers and jobs of a large cell in memory: drives the dispatcher through simulated time and
// measures the processor time that its calls take.

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
    int plainWorkers = 252;      // of 16 cores
    int acceleratorWorkers = 98; // of 64 cores and 8 accelerators
    double jobsPerSecond = 55;
    Duration time = seconds(20); // simulated
};

struct FleetResult
{
    uint64_t starts = 0;
    uint64_t decisions = 0;
    double decideSeconds = 0; // processor time
    double reportSeconds = 0;
    double longestDecision = 0; // seconds
};

FleetResult simulateFleet(const FleetOptions &options);

} // namespace cwl::bench
