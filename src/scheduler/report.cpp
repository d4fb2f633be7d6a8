#include "scheduler/report.h"

#include "base/error.h"

namespace cwl::scheduler {

namespace {

bool isInt(const Json::Value &object, const char *name)
{
    return object[name].isInt64();
}

bool isTask(const Json::Value &task)
{
    return task.isObject() && task["taskId"].isString() && isInt(task, "attempt")
            && isInt(task, "epoch");
}

} // namespace

absl::StatusOr<WorkerReport> reportFromJson(const Json::Value &body)
{
    const auto malformed = [](const char *what) {
        return makeError(Failure::ProtocolError,
                         std::string("missing or invalid in a worker's report: ") + what);
    };
    if (!body.isObject())
        return malformed("the report as a JSON object");
    for (const char *name : {"clockMs", "sequence", "cores", "memoryMiB", "accelerators"}) {
        if (!isInt(body, name))
            return malformed(name);
    }
    if (!body["running"].isArray() || !body["finished"].isArray())
        return malformed("running or finished");
    WorkerReport report;
    report.clockMs = body["clockMs"].asInt64();
    report.sequence = body["sequence"].asInt64();
    report.capacity = {Millicores(body["cores"].asInt64()), Mebibytes(body["memoryMiB"].asInt64()),
                       Accelerators(body["accelerators"].asInt64())};
    for (const Json::Value &task : body["running"]) {
        if (!isTask(task) || !task["group"].isString())
            return malformed("running task");
        ReportedTask reported;
        reported.id = TaskId(task["taskId"].asString());
        reported.group = GroupId(task["group"].asString());
        reported.attempt = Attempt(task["attempt"].asInt64());
        reported.epoch = Epoch(task["epoch"].asInt64());
        if (isInt(task, "throttlePercent"))
            reported.throttlePercent = task["throttlePercent"].asInt64();
        if (isInt(task, "checkpointMs"))
            reported.checkpointMs = task["checkpointMs"].asInt64();
        report.running.push_back(std::move(reported));
    }
    for (const Json::Value &task : body["finished"]) {
        if (!isTask(task) || !task["outcome"].isString())
            return malformed("finished task");
        report.finished.push_back({TaskId(task["taskId"].asString()),
                                   Attempt(task["attempt"].asInt64()),
                                   Epoch(task["epoch"].asInt64()), task["outcome"].asString()});
    }
    return report;
}

} // namespace cwl::scheduler
