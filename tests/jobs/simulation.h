// Seeded simulation of workers, a store and clients in memory, against which the real dispatcher
// runs: responses are lost, orders are executed late, workers restart or become unreachable, owners
// change.

#pragma once

#include "jobs/dispatcher.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cwl::jobs::simulation {

struct Options
{
    uint64_t seed = 1;
    int workers = 6;
    int jobs = 25;
    double lostResponses = 0.05; // share of orders whose response is lost
    double delayedOrders = 0.03; // share of orders executed seconds late
    double failures = 0.05;      // share of runs that fail
    double restarts = 0;         // per second and worker
    double cuts = 0;             // times a worker becomes unreachable, per second and worker
    double ownerChanges = 0;     // per second
    int customers = 0;           // with caps, that the jobs are spread over; 0: none
    Duration faultsEnd = seconds(20);
    Duration end = seconds(60);
};

// Rule violations, empty if there were none, and the number of jobs by outcome.
struct Result
{
    std::vector<std::string> violations;
    size_t completed = 0;
    size_t failed = 0;
    size_t open = 0;
};

Result simulate(const Options &options);

} // namespace cwl::jobs::simulation
