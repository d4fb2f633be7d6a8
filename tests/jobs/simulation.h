// Workers, a store and clients in memory, against which the real dispatcher is played by a seed:
// answers are lost, orders are carried out late, workers restart or fall silent, owners change.

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
    double lostResponses = 0.05; // share of orders whose answer is lost
    double delayedOrders = 0.03; // share of orders carried out seconds later
    double failures = 0.05;      // share of runs that fail
    double restarts = 0;         // of a worker, each second
    double cuts = 0;             // of a worker, each second
    double ownerChanges = 0;     // each second
    Duration faultsEnd = seconds(20);
    Duration end = seconds(60);
};

// What was seen to be wrong; empty when every rule was kept.
struct Result
{
    std::vector<std::string> violations;
    size_t completed = 0;
    size_t failed = 0;
    size_t open = 0;
};

Result simulate(const Options &options);

} // namespace cwl::jobs::simulation
