// Runs a scheduler against seeded arrivals in simulated time. This is no cluster simulator: a
// started task ends after its run time, and nothing fails.

#pragma once

#include "placement/planner.h"

#include <cstdio>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cwl::bench {

using placement::JobSpec;
using placement::TaskRef;
using placement::UrgencyClass;
using placement::WorkerSpec;

inline void print(const std::string &name, double value, const char *unit)
{
    std::printf("%s %.6g %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

inline Resources sized(int64_t cores, int64_t memory, int64_t accelerators)
{
    return {Millicores(cores), Mebibytes(memory), Accelerators(accelerators)};
}

double percentile(std::vector<double> &values, double part);

// The two deployments of docs/design.md, section 1.6, repeated to the given number of workers.
std::vector<WorkerSpec> mocionesFleet(size_t workers);
std::vector<WorkerSpec> yarmoukFleet(size_t workers);

// A job that arrives, with the true run time of its tasks.
struct Arrival
{
    JobSpec spec;
    double at = 0;        // seconds
    double run = 0;       // seconds
    bool isFlood = false; // part of the flood; excluded from the waits of regular jobs
};

// Scheduler under test: the planner or a baseline.
class Scheduler
{
public:
    virtual ~Scheduler() = default;
    virtual void submit(size_t arrival, const JobSpec &spec, TimePoint now) = 0;
    // Calls `start` for each task started and `stop` for each one preempted.
    virtual void decide(TimePoint now, const std::function<void(size_t, TaskRef)> &start,
                        const std::function<void(size_t, TaskRef)> &stop) = 0;
    virtual void finish(size_t arrival, TaskRef task, TimePoint now) = 0;
};

std::unique_ptr<Scheduler> plannerScheduler(const std::vector<WorkerSpec> &fleet, size_t teams);
// Baseline that takes jobs in order of arrival, or of class and then arrival, and places each task
// on the first worker that fits. Sizes that fit no worker are skipped.
std::unique_ptr<Scheduler> firstFitScheduler(const std::vector<WorkerSpec> &fleet,
                                             bool isStrictPriority);

struct DriveResult
{
    double makespan = 0;            // seconds until the last task ended
    std::vector<double> waits[3];   // seconds, by class, without the flood
    double coreSeconds[3] = {};     // used in the window, without the flood
    double floodCoreSeconds = 0;    // used by the flood in the window
    double capacityCoreSeconds = 0; // of the fleet in the window
    size_t preemptions = 0;
};

struct Window
{
    double from = 0;
    double to = 1e18;
};

// Runs until all tasks have ended, or until `until` seconds. Waits are recorded for tasks that
// arrive in the window. A task that has not started by the end is recorded with its wait so far.
DriveResult drive(Scheduler &scheduler, const std::vector<Arrival> &arrivals,
                  const std::vector<WorkerSpec> &fleet, Window window, double until);

void benchRates(uint64_t seed);   // rates.cpp
void benchPacking(uint64_t seed); // waits.cpp
void benchFloods(uint64_t seed);  // waits.cpp

} // namespace cwl::bench
