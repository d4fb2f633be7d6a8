// JSON descriptions of jobs for operators.

#pragma once

#include "placement/planner.h"
#include "scheduler/jobrecord.h"

#include <json/value.h>

#include <optional>

namespace cwl::scheduler {

constexpr uint32_t maxExplainedTasks = 200; // in one response; its field "count" has the total

Json::Value describeJob(const JobRecord &record, const std::optional<placement::JobCounts> &counts,
                        bool isDurable);

// Describes each task: its worker and placement score, or why it is waiting.
Json::Value explainJob(const JobRecord &record, const placement::Planner &planner, TimePoint now);

} // namespace cwl::scheduler
