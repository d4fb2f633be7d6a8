// Jobs as operators see them.

#pragma once

#include "placement/planner.h"
#include "scheduler/jobrecord.h"

#include <json/value.h>

#include <optional>

namespace cwl::scheduler {

constexpr uint32_t maxExplainedTasks = 200; // of one job; the answer says how many there are

Json::Value describeJob(const JobRecord &record, const std::optional<placement::JobCounts> &counts,
                        bool isDurable);

// The state of each task: where it runs and with which score, or why it waits.
Json::Value explainJob(const JobRecord &record, const placement::Planner &planner, TimePoint now);

} // namespace cwl::scheduler
