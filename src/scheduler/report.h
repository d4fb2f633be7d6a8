// A worker's report as plain data; docs/design.md, section 9.2.

#pragma once

#include "base/strongid.h"
#include "base/units.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <vector>

namespace cwl::scheduler {

struct ReportedTask
{
    TaskId id;
    GroupId group;
    Attempt attempt;
    Epoch epoch;
    int64_t throttlePercent = 100; // 0 while a gang waits for its other tasks
    int64_t checkpointMs = 0;      // run time kept by the last checkpoint
};

struct FinishedTask
{
    TaskId id;
    Attempt attempt;
    Epoch epoch;
    std::string outcome; // "succeeded", "failed", "stopped" or "lease_lapsed"
};

struct WorkerReport
{
    int64_t clockMs = 0; // on the worker's clock
    int64_t sequence = 0;
    Resources capacity;
    std::vector<ReportedTask> running = {};
    std::vector<FinishedTask> finished = {};
};

// Error: ProtocolError.
absl::StatusOr<WorkerReport> reportFromJson(const Json::Value &body);

} // namespace cwl::scheduler
