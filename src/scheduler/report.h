// Parser for reports of workers; docs/design.md, section 9.2.

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
    int64_t throttlePercent = 100; // 0 while a gang task waits for the rest of its gang
    int64_t checkpointMs = 0;      // run time saved by the last checkpoint
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
    int64_t clockMs = 0; // time of the report on the worker's clock
    int64_t sequence = 0;
    Resources capacity;
    std::vector<ReportedTask> running = {};
    std::vector<FinishedTask> finished = {};
};

// Parses a report. Error: ProtocolError.
absl::StatusOr<WorkerReport> reportFromJson(const Json::Value &body);

} // namespace cwl::scheduler
