// Stand-in for workers: one process holds all workers of a test, so that it can judge across them.
// The protocol is in docs/design.md, section 9.2.
//
// Usage: standin-workers [--port N] --settings FILE
// FILE holds {"workers": [{"id", "cores"?, "memoryMiB"?, "accelerators"?, "clockOffsetMs"?,
// "clockRatePerMille"?, "usageLagMs"?}], "gangToleranceMs"?}.
//
// A start with kind "service" or runMs 0 runs until stopped. Members of "spec" that the worker
// understands: "fail" (ends as failed), "usedPercent" (usage relative to the declared size),
// "resumeMs" (unthrottled time already done), "gangSize" (tells the judge). Outcomes: succeeded,
// failed, stopped, lease_lapsed. Commands beyond section 9.2: "failRuns" makes tasks fail 20 ms
// after their start; {"gang": {"jobId", "size"}} tells the judge the size of a gang.

#include "base/error.h"
#include "standins/frame.h"
#include "standins/judge.h"
#include "standins/worker.h"

namespace {

using namespace cwl;
using namespace cwl::standins;

constexpr int64_t defaultGangToleranceMs = 10000;

class Workers
{
public:
    Workers(Frame &frame, const Json::Value &settings);
    void handle(const http::Request &request, const Reply &reply);

private:
    void act(const std::string &path, const http::Request &request, const Reply &reply);
    void advanceHolders(const Json::Value &body);
    void command(const http::Request &request, const Reply &reply);

    Judge m_judge;
    std::map<std::string, std::unique_ptr<Worker>> m_workers;
};

milliseconds gangTolerance(const Json::Value &settings)
{
    int64_t value = defaultGangToleranceMs;
    readMember(settings, "gangToleranceMs", value);
    return milliseconds(value);
}

Workers::Workers(Frame &frame, const Json::Value &settings)
    : m_judge(gangTolerance(settings))
{
    for (const Json::Value &value : settings["workers"]) {
        WorkerSettings worker;
        readMember(value, "id", worker.id);
        readMember(value, "cores", worker.cores);
        readMember(value, "memoryMiB", worker.memoryMiB);
        readMember(value, "accelerators", worker.accelerators);
        readMember(value, "clockOffsetMs", worker.clockOffsetMs);
        readMember(value, "clockRatePerMille", worker.clockRatePerMille);
        readMember(value, "usageLagMs", worker.usageLagMs);
        m_workers[worker.id] = std::make_unique<Worker>(frame, m_judge, worker);
    }
}

void Workers::handle(const http::Request &request, const Reply &reply)
{
    if (const auto path = pathAfter(request.path, "/workers/"))
        act(*path, request, reply);
    else if (request.method == "POST" && request.path == "/control")
        command(request, reply);
    else if (request.method == "GET" && request.path == "/control/judgements") {
        for (const auto &[id, worker] : m_workers)
            worker->advance();
        reply.sendJson(200, m_judge.judgements(BootClock::now()));
    } else
        reply.sendError(404, makeError(Failure::UnknownMethod, "no such path"));
}

void Workers::act(const std::string &path, const http::Request &request, const Reply &reply)
{
    const size_t slash = path.rfind('/');
    const auto worker = m_workers.find(path.substr(0, slash));
    if (worker == m_workers.end() || slash == std::string::npos) {
        reply.sendError(404, makeError(Failure::UnknownWorker, "no worker at '" + path + "'"));
        return;
    }
    const std::optional<Json::Value> body = bodyOf(request, reply);
    if (!body)
        return;
    if (path.ends_with("/start"))
        advanceHolders(*body);
    worker->second->handle(path.substr(slash + 1), *body, reply);
}

// A lease that ran out while this process was paused must not look like a double run.
void Workers::advanceHolders(const Json::Value &body)
{
    for (const Json::Value &task : body["tasks"]) {
        for (const std::string &holder : m_judge.workersRunning(task["taskId"].asString()))
            m_workers.at(holder)->advance();
    }
}

void Workers::command(const http::Request &request, const Reply &reply)
{
    const std::optional<Json::Value> body = bodyOf(request, reply);
    if (!body || !hasOnly(*body, {"worker", "failStarts", "failRuns", "dead", "gang"}, reply))
        return;
    if (body->isMember("gang"))
        m_judge.expectGang((*body)["gang"]["jobId"].asString(), (*body)["gang"]["size"].asInt64());
    if (body->isMember("worker")) {
        const auto worker = m_workers.find((*body)["worker"].asString());
        if (worker == m_workers.end()) {
            reply.sendError(
                    404, makeError(Failure::UnknownWorker, "no such worker", {.field = "worker"}));
            return;
        }
        if (body->isMember("failStarts"))
            worker->second->setFailStarts((*body)["failStarts"].asBool());
        if (body->isMember("failRuns"))
            worker->second->setFailRuns((*body)["failRuns"].asBool());
        if (body->isMember("dead"))
            worker->second->setDead((*body)["dead"].asBool());
    }
    reply.sendJson(200, Json::Value(Json::objectValue));
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = readArguments(argc, argv, {{"port", "0"}, {"settings", ""}});
    Frame frame;
    Workers workers(frame, readSettings(arguments["settings"]));
    const Listener listener(frame.context(), portOf(arguments["port"]),
                            [&workers](const http::Request &request, const Reply &reply) {
                                workers.handle(request, reply);
                            });
    return frame.run({listener.port()});
}
