#include "integration/schedule.h"

#include "base/random.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace cwl::integration {

namespace {

enum class Target { Platform, Entry, Scheduler, Endpoint, Worker };

struct FaultKind
{
    const char *name;
    Target target;
    int64_t shortestMs; // 0 for faults that happen once
    int64_t longestMs;
};

constexpr std::array faultKinds = {
        FaultKind{"kill", Target::Entry, 500, 4000},
        FaultKind{"kill", Target::Scheduler, 500, 4000},
        FaultKind{"pause", Target::Entry, 500, 6000},
        FaultKind{"pause", Target::Scheduler, 500, 6000},
        FaultKind{"terminate", Target::Entry, 500, 1000},
        FaultKind{"terminate", Target::Scheduler, 500, 1000},
        FaultKind{"store-cut", Target::Entry, 1000, 5000},
        FaultKind{"store-cut", Target::Scheduler, 1000, 5000},
        FaultKind{"rpc-silence", Target::Entry, 0, 0},
        FaultKind{"rpc-silence", Target::Scheduler, 0, 0},
        FaultKind{"rpc-cut", Target::Entry, 1000, 3000},
        FaultKind{"outage", Target::Platform, 1000, 6000},
        FaultKind{"lose-answers", Target::Platform, 500, 2000},
        FaultKind{"slow-store", Target::Platform, 1000, 3000},
        FaultKind{"endpoint-silence", Target::Endpoint, 0, 0},
        FaultKind{"endpoint-truncate", Target::Endpoint, 500, 2000},
        FaultKind{"endpoint-leave", Target::Endpoint, 1000, 4000},
        FaultKind{"worker-cut", Target::Worker, 500, 4000},
        FaultKind{"worker-lose-answers", Target::Worker, 500, 3000},
        FaultKind{"worker-fail", Target::Worker, 500, 3000},
        FaultKind{"change-settings", Target::Platform, 0, 0},
        FaultKind{"cancel-job", Target::Platform, 0, 0},
};

int64_t drawBetween(Generator &generator, int64_t lowest, int64_t highest)
{
    return lowest + int64_t(generator() % uint64_t(highest - lowest + 1));
}

std::string drawTarget(Generator &generator, Target target, const ScheduleOptions &options)
{
    const auto numbered = [&](const char *prefix, size_t count) {
        return prefix + std::to_string(generator() % count);
    };
    switch (target) {
    case Target::Entry:
        return numbered("entry-", options.instances);
    case Target::Scheduler:
        return numbered("scheduler-", options.instances);
    case Target::Endpoint:
        return numbered("draw-endpoint-", options.endpoints);
    case Target::Worker:
        return numbered("draw-worker-", options.workers);
    case Target::Platform:
        break;
    }
    return {};
}

} // namespace

std::vector<std::string> faultNames()
{
    std::vector<std::string> names;
    for (const FaultKind &kind : faultKinds)
        names.emplace_back(kind.name);
    return names;
}

std::vector<ScheduledFault> makeSchedule(const ScheduleOptions &options)
{
    Generator generator(options.seed);
    std::vector<ScheduledFault> schedule;
    for (int64_t at = 1000; at < options.lengthMs; at += drawBetween(generator, 500, 2500)) {
        const FaultKind &kind = faultKinds.at(generator() % faultKinds.size());
        ScheduledFault fault{.atMs = at, .fault = kind.name};
        fault.target = drawTarget(generator, kind.target, options);
        fault.forMs = drawBetween(generator, kind.shortestMs, kind.longestMs);
        schedule.push_back(fault);
    }
    return schedule;
}

Json::Value toJson(const std::vector<ScheduledFault> &schedule)
{
    Json::Value list(Json::arrayValue);
    for (const ScheduledFault &fault : schedule) {
        Json::Value item;
        item["atMs"] = Json::Int64(fault.atMs);
        item["fault"] = fault.fault;
        item["target"] = fault.target;
        item["forMs"] = Json::Int64(fault.forMs);
        list.append(item);
    }
    return list;
}

std::vector<ScheduledFault> scheduleFromJson(const Json::Value &value)
{
    const std::vector<std::string> known = faultNames();
    std::vector<ScheduledFault> schedule;
    for (const Json::Value &item : value) {
        ScheduledFault fault;
        fault.atMs = item["atMs"].asInt64();
        fault.fault = item["fault"].asString();
        fault.target = item["target"].asString();
        fault.forMs = item["forMs"].asInt64();
        if (std::find(known.begin(), known.end(), fault.fault) == known.end())
            throw std::runtime_error("unknown fault '" + fault.fault + "'");
        schedule.push_back(fault);
    }
    return schedule;
}

} // namespace cwl::integration
