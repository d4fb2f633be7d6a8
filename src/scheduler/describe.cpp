#include "scheduler/describe.h"

#include <algorithm>

namespace cwl::scheduler {

namespace {

const char *stateName(placement::TaskState state)
{
    switch (state) {
    case placement::TaskState::Waiting:
        return "waiting";
    case placement::TaskState::Running:
        return "running";
    case placement::TaskState::Stopping:
        return "stopping";
    case placement::TaskState::Complete:
        return "complete";
    case placement::TaskState::Failed:
        return "failed";
    }
    return "waiting";
}

Json::Value explainTask(uint32_t index, const placement::Explanation &explanation,
                        const placement::Planner &planner, TimePoint now)
{
    Json::Value task;
    task["index"] = index;
    task["state"] = stateName(explanation.state);
    if (explanation.reason != placement::WaitReason::NotWaiting)
        task["reason"] = placement::waitReasonName(explanation.reason);
    if (explanation.notBefore) {
        const Duration left = std::max(Duration(), *explanation.notBefore - now);
        task["retryAfterMs"] = Json::Int64(std::chrono::duration_cast<milliseconds>(left).count());
    }
    if (explanation.assignment) {
        const placement::Assignment &assignment = *explanation.assignment;
        task["worker"] = planner.fleet().worker(assignment.worker).spec.id.value();
        task["attempt"] = Json::Int64(assignment.attempt.value());
        task["score"]["total"] = assignment.score.total();
        task["score"]["packing"] = assignment.score.packing;
        task["score"]["spread"] = assignment.score.spread;
        task["score"]["accelerator"] = assignment.score.accelerator;
    }
    return task;
}

} // namespace

Json::Value describeJob(const JobRecord &record, const std::optional<placement::JobCounts> &counts,
                        bool isDurable)
{
    Json::Value value;
    value["jobId"] = record.spec.id.value();
    value["state"] = jobStateName(record.state);
    value["durable"] = isDurable;
    value["job"] = record.submitted;
    value["waiting"] = counts ? counts->waiting : 0;
    value["running"] = counts ? counts->running : 0;
    value["succeeded"] = Json::UInt64(counts ? counts->succeeded : record.succeeded.size());
    value["failed"] = Json::UInt64(counts ? counts->failed : record.failed.size());
    return value;
}

Json::Value explainJob(const JobRecord &record, const placement::Planner &planner, TimePoint now)
{
    Json::Value value;
    value["jobId"] = record.spec.id.value();
    value["state"] = jobStateName(record.state);
    value["count"] = record.spec.count;
    value["tasks"] = Json::Value(Json::arrayValue);
    for (uint32_t index = 0; index < record.spec.count; ++index) {
        if (value["tasks"].size() == maxExplainedTasks)
            break;
        const auto explanation = planner.explain(record.spec.id, index, now);
        if (explanation)
            value["tasks"].append(explainTask(index, *explanation, planner, now));
    }
    return value;
}

} // namespace cwl::scheduler
