// Settings of the cell's process: those of every process, the addresses that it serves, and the
// platform's limits that bound its decisions. JSON with comments.

#pragma once

#include "jobs/dispatcher.h"
#include "settings/processsettings.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace cwl::cell {

struct CellSettings
{
    settings::ProcessSettings process;
    std::string callersAddress;   // "ip:port" that clients reach
    std::string readinessAddress; // "ip:port" that the platform's balancer polls
    std::string adviceAddress;    // "ip:port" of the advice service; empty: none
    uint16_t metricsPort = 0;     // 0: metrics only with the other admin pages
    double coreShare = 0;         // of one core, that this instance may use; 0: not known
    int64_t maxDescriptors = 0;   // of this process; 0: not known
    int64_t memoryMb = 0;         // of the machine, in megabytes; 0: not known
    int64_t maxLeaseMs = 0;       // a worker shortens longer leases
    int64_t stopGraceMs = 0;      // the process is killed so long after the signal to stop
};

// Lease of runs on workers: shorter than the longest allowed one, so that the work of a lost worker
// restarts elsewhere soon, and longer than a change of the owner takes.
constexpr int64_t preferredLeaseMs = 4500;

jobs::DispatcherSettings dispatcherSettings(const CellSettings &settings);

// Reads and checks a file. Error: InvalidSettings with file, line or key, and the allowed range.
absl::StatusOr<CellSettings> loadCellSettings(const std::string &path);
absl::StatusOr<CellSettings> parseCellSettings(const std::string &text, const std::string &name);

} // namespace cwl::cell
