// A cell of real processes that grows along one dimension at a time, while it runs.

#pragma once

#include "harness/deployment.h"
#include "harness/fleet.h"
#include "harness/harness.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cwl::bench {

struct CellOptions
{
    size_t instances = 3;       // that run at the start; each has an entry and a scheduler
    size_t mostInstances = 3;   // that run() may reach
    int64_t mostEndpoints = 12; // of the service "draw"
    int64_t endpoints = 12;     // in the instance list at the start
    int64_t mostWorkers = 48;   // of 64 cores each
    int64_t workers = 48;       // in the instance list at the start
    int64_t teams = 10;         // in the first settings
};

class Cell
{
public:
    // Starts everything and waits until all are ready. Throws std::runtime_error if not.
    explicit Cell(const CellOptions &options);

    const std::vector<harness::Member *> &members() const { return m_members; }
    const std::string &platform() const { return m_standins.platform; }

    // Each grows the cell and waits until it is in effect; throws std::runtime_error otherwise.
    void runInstances(size_t count);
    void listEndpoints(int64_t count);
    void listWorkers(int64_t count);
    void keepTeams(int64_t count); // one accepted change of the settings
    void runTasks(int64_t count);  // running at once, in jobs that outlast the benchmark

private:
    static harness::Fleet fleetOf(const CellOptions &options);
    void list(const std::string &kind, int64_t from, int64_t to);
    void commitSettings(int64_t teams);
    void waitForWorkers(int64_t count);
    Json::Value ownerState() const; // of the worker group; null while it has no owner

    harness::Harness m_harness;
    harness::Standins m_standins;
    harness::Deployment m_deployment;
    std::vector<harness::Member *> m_members;
    int64_t m_endpoints;
    int64_t m_workers;
    int64_t m_teams = 0;
    int64_t m_tasks = 0;
    int64_t m_version = 0; // of the settings
};

} // namespace cwl::bench
