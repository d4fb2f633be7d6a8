// Failures of a soak run: what begins when, at which target, and for how long.

#pragma once

#include "base/clock.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cwl::integration {

struct ScheduledFault
{
    int64_t atMs = 0;        // from the start of the workload
    std::string fault = {};  // a name of faultNames()
    std::string target = {}; // member, endpoint or worker; empty for the platform
    int64_t forMs = 0;       // until it ends; 0 for faults that happen once
};

struct ScheduleOptions
{
    int64_t lengthMs = 20000;
    uint64_t seed = 1;
    size_t instances = 3;
    size_t endpoints = 4;
    size_t workers = 4;
};

std::vector<std::string> faultNames();

// Draws failures about every 1.5 s by the seed, in order of their beginning.
std::vector<ScheduledFault> makeSchedule(const ScheduleOptions &options);

Json::Value toJson(const std::vector<ScheduledFault> &schedule);
std::vector<ScheduledFault> scheduleFromJson(const Json::Value &value); // throws std::runtime_error

} // namespace cwl::integration
