// scripts/demo: the whole path of both deployments with real processes, a failure on the way, and a
// judgement by the stand-ins' own records. Exits with 1 if any promise was broken.

#include "base/json.h"
#include "base/random.h"
#include "demo/cell.h"
#include "requests/routing.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cwl::demo;
using cwl::harness::Program;

constexpr const char *usage = R"(Shows the whole path on loopback and judges the promises.

Usage:
  cwl-demo --settings-folder DIR [--keep]
  cwl-demo --help

Options:
  --settings-folder DIR  folder that holds one folder of settings per deployment
  --keep                 leave the first deployment running until Ctrl-C and print the addresses
)";

constexpr int64_t endpointGroups = 6; // as in the settings of both deployments

// What the demo found, a line each.
class Report
{
public:
    void told(const std::string &what, const std::string &answer)
    {
        std::cout << "  " << std::left << std::setw(58) << what << answer << std::endl;
    }
    void check(const std::string &promise, bool isKept, const std::string &evidence)
    {
        m_lines.push_back({promise, isKept, evidence});
    }
    bool allKept() const
    {
        for (const Line &line : m_lines) {
            if (!line.isKept)
                return false;
        }
        return true;
    }
    void print() const
    {
        std::cout << "\n  " << std::left << std::setw(52) << "promise" << std::setw(8) << "kept"
                  << "evidence\n";
        for (const Line &line : m_lines)
            std::cout << "  " << std::setw(52) << line.promise << std::setw(8)
                      << (line.isKept ? "yes" : "NO") << line.evidence << "\n";
        std::cout << std::endl;
    }

private:
    struct Line
    {
        std::string promise;
        bool isKept;
        std::string evidence;
    };
    std::vector<Line> m_lines;
};

std::string newRequestId()
{
    return std::to_string(cwl::UnixMilliseconds::now().value()) + "-" + cwl::randomHexId();
}

std::string describe(const Told &told)
{
    return told.outcome + (told.detail.empty() ? "" : " (" + told.detail + ")");
}

// An id whose endpoint group is owned by another instance than `victim`, so that the owner survives
// it.
std::string idOwnedElsewhere(Cell &cell, const CellPlan &plan, int victim)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const std::string id = newRequestId();
        const int64_t number = cwl::requests::groupOfRequestId(cwl::RequestId(id), endpointGroups);
        const cwl::GroupId group =
                cwl::requests::endpointGroupId(cwl::ServiceId(plan.service), number);
        const int owner = cell.ownerOf(group.value(), Program::Entry);
        if (owner >= 0 && owner != victim)
            return id;
    }
    return newRequestId();
}

bool waitForOwners(Cell &cell, const CellPlan &plan)
{
    return cwl::harness::waitUntil(cwl::BootClock::now() + cwl::seconds(15), [&] {
        for (int64_t number = 0; number < endpointGroups; ++number) {
            const auto group = cwl::requests::endpointGroupId(cwl::ServiceId(plan.service), number);
            if (cell.ownerOf(group.value(), Program::Entry) < 0)
                return false;
        }
        return cell.ownerOf("worker/" + plan.name, Program::Scheduler) >= 0;
    });
}

Json::Value makeJob(const std::string &id, const std::string &team, const char *kind,
                    const char *urgency, int64_t count, int64_t runMs)
{
    Json::Value job;
    job["jobId"] = id;
    job["team"] = team;
    job["kind"] = kind;
    job["class"] = urgency;
    job["count"] = Json::Int64(count);
    job["cores"] = 2000;
    job["memoryMiB"] = 4096;
    job["accelerators"] = 0;
    job["runMs"] = Json::Int64(runMs);
    return job;
}

// Section: the steps

void showRequests(Cell &cell, const CellPlan &plan, Report &report)
{
    const Told read = cell.send(0, plan.readMethod, newRequestId());
    report.told("request " + plan.readMethod + " at entry 0", describe(read));
    report.check("an idempotent request is answered", read.outcome == "answered", describe(read));

    const int victim = 1;
    const std::string id = idOwnedElsewhere(cell, plan, victim);
    auto first = std::async(std::launch::async,
                            [&] { return cell.send(victim, plan.publishMethod, id); });
    std::this_thread::sleep_for(cwl::milliseconds(2));
    cell.killInstance(victim);
    report.told(plan.publishMethod + " at entry 1, which is killed meanwhile",
                describe(first.get()));
    const Told second = cell.send(2, plan.publishMethod, id);
    report.told("the same request id again at entry 2", describe(second));
    const Told third = cell.send(3, plan.publishMethod, id);
    report.told("and once more at entry 3", describe(third));
    const int64_t count = cell.executions(id);
    const bool isTruth = third.outcome != "not-run" || count == 0;
    report.check("the caller was told the truth about it", isTruth, "told " + third.outcome);
    report.check("a non-idempotent request runs exactly once here", count == 1,
                 std::to_string(count) + " execution(s), told " + second.outcome);
    cell.restartInstance(victim);
}

void showRefusals(Cell &cell, const CellPlan &plan, Report &report)
{
    const Told method = cell.send(0, "no-such-method", newRequestId());
    report.told("request for an unknown method", describe(method));
    Json::Value tooLarge = makeJob("too-large", plan.urgentTeam, "batch", "normal", 1, 100);
    tooLarge["memoryMiB"] = 100000000;
    const auto large = cell.submit(0, tooLarge);
    report.told("job larger than any worker", large.body["error"]["type"].asString());
    const auto team = cell.submit(0, makeJob("no-team", "strangers", "batch", "normal", 1, 100));
    report.told("job of an unknown team", team.body["error"]["type"].asString());
    const auto stranger = cell.changeSettings(0, plan.urgentTeam, "{}", "wrong token", 4);
    report.told("settings changed by a stranger", stranger.body["error"]["type"].asString());
    const bool typed = method.outcome == "not-run" && large.status == 400 && team.status == 400
            && stranger.status == 403;
    report.check("bad input gets a typed refusal", typed,
                 "status " + std::to_string(large.status) + ", " + std::to_string(team.status)
                         + ", " + std::to_string(stranger.status));
}

void showJobs(Cell &cell, const CellPlan &plan, Report &report)
{
    const auto service = makeJob("replicas", plan.urgentTeam, "service", "urgent", 5, 0);
    const auto batch = makeJob("array", plan.urgentTeam, "batch", "normal", 40, 300);
    const auto gang = makeJob("gang", plan.gangTeam, "gang", "normal", 12, 2000);
    int scheduler = 0;
    for (const Json::Value &job : {service, batch, gang}) {
        const auto answer = cell.submit(static_cast<size_t>(scheduler), job);
        report.told(job["kind"].asString() + " job submitted at scheduler "
                            + std::to_string(scheduler),
                    answer.status == 200 ? "accepted, durable: " + answer.body["durable"].asString()
                                         : cwl::writeJson(answer.body));
        scheduler += 2;
    }
    const bool isServiceUp = cell.waitForTasks(1, "replicas", "running", 5);
    const bool isBatchDone = cell.waitForTasks(3, "array", "succeeded", 40);
    const bool isGangDone = cell.waitForTasks(5, "gang", "succeeded", 12);
    report.told("service has 5 replicas running", isServiceUp ? "yes" : "no");
    report.told("batch has 40 tasks finished", isBatchDone ? "yes" : "no");
    report.told("gang of 12 finished", isGangDone ? "yes" : "no");
    report.check("service, batch and gang are placed and run",
                 isServiceUp && isBatchDone && isGangDone, "48 workers");
}

void showSettings(Cell &cell, const CellPlan &plan, Report &report)
{
    std::string text = cell.fileText(plan.urgentTeam);
    text.insert(text.find('{') + 1, "\"note\": \"changed by the demo\",");
    const int64_t before = cell.settingsVersion(cell.deployment().scheduler(0));
    const auto start = cwl::BootClock::now();
    const auto answer = cell.changeSettings(4, plan.urgentTeam, text, plan.operatorsToken, before);
    const bool inForce = answer.status == 200 && cell.waitForVersionEverywhere(before + 1);
    const double took = std::chrono::duration<double>(cwl::BootClock::now() - start).count();
    report.told("settings of team " + plan.urgentTeam + " changed",
                inForce ? "in force on all instances" : cwl::writeJson(answer.body));
    report.check("an accepted configuration is in force within 4 s", inForce && took < 4,
                 std::to_string(took).substr(0, 5) + " s");
    const auto late = cell.changeSettings(3, plan.urgentTeam, text, plan.operatorsToken, before);
    report.told("a second operator with the older version", late.body["error"]["type"].asString());
}

void showTakeover(Cell &cell, const CellPlan &plan, Report &report)
{
    int owner = -1;
    cwl::harness::waitUntil(cwl::harness::patience(), [&] {
        owner = cell.ownerOf("worker/" + plan.name, Program::Scheduler);
        return owner >= 0;
    });
    if (owner < 0) {
        report.check("urgent work runs within 9 s of losing the owner", false, "no owner to kill");
        return;
    }
    const size_t other = owner == 0 ? 1 : 0;
    cell.killInstance(static_cast<size_t>(owner));
    const auto killed = cwl::BootClock::now();
    const Json::Value job = makeJob("after-kill", plan.urgentTeam, "batch", "urgent", 3, 200);
    const bool accepted = cwl::harness::waitUntil(
            killed + cwl::seconds(20), [&] { return cell.submit(other, job).status == 200; });
    const bool finished = accepted && cell.waitForTasks(other, "after-kill", "succeeded", 3);
    const double took = std::chrono::duration<double>(cwl::BootClock::now() - killed).count();
    report.told("owner of the workers killed; urgent job finished",
                finished ? std::to_string(took).substr(0, 4) + " s after the kill" : "no");
    report.check("urgent work runs within 9 s of losing the owner", finished && took < 9,
                 std::to_string(took).substr(0, 4) + " s");
    const bool isServiceUp = cell.waitForTasks(other, "replicas", "running", 5);
    report.check("the service kept its replicas", isServiceUp, "5 running");
    cell.restartInstance(static_cast<size_t>(owner));
}

void judge(Cell &cell, Report &report)
{
    const Json::Value workers = cell.workerJudgement();
    const Json::Value endpoints = cell.endpointJudgement();
    const auto isZero = [](const Json::Value &value) {
        return value.isInt64() && value.asInt64() == 0;
    };
    report.check("no worker was overloaded", isZero(workers["counts"]["overloads"]),
                 "workers' records");
    report.check("no task ran in two places", isZero(workers["counts"]["doubleRuns"]),
                 "workers' records");
    report.check("no gang ran in part", isZero(workers["counts"]["partialGangs"]),
                 "workers' records");
    report.check("no endpoint was over its slots", isZero(endpoints["slotOverloads"]),
                 "endpoints' records");
    report.check("no endpoint was over its connections", isZero(endpoints["connectionOverloads"]),
                 "endpoints' records");
    int64_t most = 0;
    for (const Json::Value &count : endpoints["executions"])
        most = std::max<int64_t>(most, count.asInt64());
    report.check("no request ran twice", most <= 1, "endpoints' records");
    const std::vector<std::string> failed = cell.stopAll();
    report.check("every process stops gracefully with exit code 0", failed.empty(),
                 failed.empty() ? "12 processes" : failed.front());
}

void waitForInterrupt(Cell &cell)
{
    std::cout << "\nrunning; stop with Ctrl-C\n";
    for (const auto &member : cell.deployment().schedulers())
        std::cout << "  operators  " << member.httpAddress() << "  (" << member.name << ")\n";
    for (const auto &member : cell.deployment().entries())
        std::cout << "  callers    " << member.httpAddress() << "  (" << member.name << ")\n";
    std::cout << "  platform   " << cell.standins().platform << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    // Blocked only now: the processes started before would have inherited it.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    int signal = 0;
    sigwait(&signals, &signal);
}

bool showDeployment(const CellPlan &plan, const std::string &settingsFolder, bool keep)
{
    std::cout << plan.name << ": 48 workers, 48 endpoints, 6 instances" << std::endl;
    Report report;
    Cell cell(plan, settingsFolder);
    if (!cell.start() || !waitForOwners(cell, plan)) {
        std::cerr << cell.logs() << "\n" << plan.name << " did not start\n";
        return false;
    }
    showRefusals(cell, plan, report);
    showJobs(cell, plan, report);
    showSettings(cell, plan, report);
    showRequests(cell, plan, report);
    showTakeover(cell, plan, report);
    if (keep)
        waitForInterrupt(cell);
    judge(cell, report);
    report.print();
    return report.allKept();
}

} // namespace

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments =
            docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::string folder = arguments["--settings-folder"].asString();
    const bool keep = arguments["--keep"].asBool();
    bool kept = showDeployment(mocionesPlan(), folder, keep);
    if (!keep)
        kept = showDeployment(yarmoukPlan(), folder, false) && kept;
    std::cout << (kept ? "every promise shown was kept" : "a promise was BROKEN") << std::endl;
    return kept ? 0 : 1;
}
