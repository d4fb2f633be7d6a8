#include "demo/cell.h"

#include "base/json.h"
#include "base/random.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace cwl::demo {

using harness::JsonAnswer;
using harness::Member;
using harness::Program;

namespace {

constexpr Duration startTimeout = seconds(20);
constexpr Duration settingsTimeout = seconds(10);
constexpr Duration jobTimeout = seconds(20);
constexpr Duration stopTimeout = seconds(45);
constexpr Duration answerTimeout = seconds(12);

// The body of a JSON answer, or null if there was none.
Json::Value bodyOf(const absl::StatusOr<JsonAnswer> &answer)
{
    return answer.ok() ? answer->body : Json::Value();
}

Json::Value stateOf(const Member &member)
{
    return bodyOf(harness::getJson(member.httpAddress(), "/state"));
}

JsonAnswer answerOf(const absl::StatusOr<http::Response> &response)
{
    JsonAnswer answer;
    if (!response.ok())
        return answer;
    answer.status = response->status;
    answer.headers = response->headers;
    answer.body = parseJson(response->body).value_or(Json::Value());
    return answer;
}

} // namespace

// Section: plans

CellPlan mocionesPlan()
{
    CellPlan plan;
    plan.name = "mociones";
    plan.fleet = harness::mocionesFleet();
    plan.dataCentres = plan.fleet.dataCentres;
    plan.operatorsToken = "mociones-operators";
    plan.teams = {"draws", "archive", "transcripts"};
    plan.service = "draw";
    plan.readMethod = "standing-motions";
    plan.publishMethod = "publish-motion";
    plan.urgentTeam = "draws";
    plan.gangTeam = "transcripts";
    return plan;
}

CellPlan yarmoukPlan()
{
    CellPlan plan;
    plan.name = "yarmouk";
    plan.fleet = harness::yarmoukFleet();
    plan.dataCentres = plan.fleet.dataCentres;
    plan.operatorsToken = "yarmouk-operators";
    plan.teams = {"watches", "intake", "dossiers"};
    plan.service = "intake";
    plan.readMethod = "validate-reading";
    plan.publishMethod = "issue-certificate";
    plan.urgentTeam = "watches";
    plan.gangTeam = "dossiers";
    return plan;
}

// Section: start

Cell::Cell(const CellPlan &plan, const std::string &settingsFolder)
    : m_plan(plan)
    , m_settingsFolder(settingsFolder)
    , m_standins(harness::startStandins(m_harness, plan.fleet))
    , m_deployment(m_harness, {.dataCentres = plan.dataCentres, .platform = m_standins.platform})
{
}

bool Cell::start()
{
    harness::addInstances(m_standins, m_deployment.instanceList());
    m_deployment.startAll();
    for (const std::string &name : m_deployment.waitForAllReady(BootClock::now() + startTimeout)) {
        std::cerr << name << " did not become ready\n";
        return false;
    }
    return applySettings();
}

bool Cell::applySettings()
{
    std::vector<std::string> subtrees = {"cell"};
    subtrees.insert(subtrees.end(), m_plan.teams.begin(), m_plan.teams.end());
    int64_t version = 0;
    for (const std::string &subtree : subtrees) {
        const JsonAnswer answer =
                changeSettings(0, subtree, fileText(subtree), m_plan.operatorsToken, version);
        if (answer.status != 200) {
            std::cerr << "settings of " << subtree << " were refused: " << writeJson(answer.body)
                      << "\n";
            return false;
        }
        ++version;
    }
    return waitForVersionEverywhere(version);
}

std::string Cell::fileText(const std::string &subtree) const
{
    std::ostringstream text;
    text << std::ifstream(m_settingsFolder + "/" + m_plan.name + "/" + subtree + ".json").rdbuf();
    return text.str();
}

// Section: callers

Told Cell::send(size_t entry, const std::string &method, const std::string &requestId)
{
    http::Request request;
    request.method = "POST";
    request.path = "/v1/services/" + m_plan.service + "/" + method;
    request.headers.set("Request-Id", requestId);
    request.headers.set("Request-Class", "urgent");
    request.body = "{\"round\": 3}";
    const absl::StatusOr<http::Response> response = harness::call(
            m_deployment.entry(entry).httpAddress(), request, BootClock::now() + answerTimeout);
    if (!response.ok())
        return {"no answer", std::string(response.status().message()), 0};
    Told told{response->headers.value("Request-Outcome"), {}, response->status};
    const Json::Value body = parseJson(response->body).value_or(Json::Value());
    if (body.isObject() && body["error"].isObject())
        told.detail = body["error"]["type"].asString();
    return told;
}

// Section: operators

JsonAnswer Cell::submit(size_t scheduler, const Json::Value &job)
{
    http::Request request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.headers.set("Authorization", "Bearer " + job["team"].asString());
    request.body = writeJson(job);
    return answerOf(harness::call(m_deployment.scheduler(scheduler).httpAddress(), request));
}

Json::Value Cell::job(size_t scheduler, const std::string &jobId)
{
    return bodyOf(
            harness::getJson(m_deployment.scheduler(scheduler).httpAddress(), "/v1/jobs/" + jobId));
}

bool Cell::waitForTasks(size_t scheduler, const std::string &jobId, const std::string &state,
                        int64_t count)
{
    return harness::waitUntil(BootClock::now() + jobTimeout, [&] {
        const Json::Value shown = job(scheduler, jobId);
        return shown.isObject() && shown[state].isInt64() && shown[state].asInt64() == count;
    });
}

JsonAnswer Cell::changeSettings(size_t scheduler, const std::string &subtree,
                                const std::string &text, const std::string &token, int64_t basedOn)
{
    http::Request request;
    request.method = "PUT";
    request.path = "/v1/settings/" + subtree;
    request.headers.set("Change-Id", randomHexId());
    request.headers.set("If-Match", std::to_string(basedOn));
    request.headers.set("Authorization", "Bearer " + token);
    request.body = text;
    return answerOf(harness::call(m_deployment.scheduler(scheduler).httpAddress(), request));
}

int64_t Cell::settingsVersion(const Member &member) const
{
    const Json::Value state = stateOf(member);
    const Json::Value &version = state["settings"]["version"];
    return version.isInt64() ? version.asInt64() : -1;
}

bool Cell::waitForVersionEverywhere(int64_t version)
{
    const std::vector<const Member *> members = running();
    return harness::waitUntil(BootClock::now() + settingsTimeout, [&] {
        return std::all_of(members.begin(), members.end(), [&](const Member *member) {
            return settingsVersion(*member) >= version;
        });
    });
}

std::vector<const Member *> Cell::running()
{
    std::vector<const Member *> result;
    for (std::vector<Member> *members : {&m_deployment.entries(), &m_deployment.schedulers()}) {
        for (const Member &member : *members) {
            if (member.process != nullptr)
                result.push_back(&member);
        }
    }
    return result;
}

// Section: failures

void Cell::killInstance(size_t instance)
{
    m_deployment.kill(m_deployment.entry(instance));
    m_deployment.kill(m_deployment.scheduler(instance));
}

void Cell::restartInstance(size_t instance)
{
    m_deployment.start(m_deployment.entry(instance));
    m_deployment.start(m_deployment.scheduler(instance));
    m_deployment.waitForAllReady(BootClock::now() + startTimeout);
}

int Cell::ownerOf(const std::string &group, Program program)
{
    auto &members = program == Program::Entry ? m_deployment.entries() : m_deployment.schedulers();
    for (size_t index = 0; index < members.size(); ++index) {
        if (members[index].process == nullptr)
            continue;
        const Json::Value state = stateOf(members[index]);
        if (state["member"]["groups"]["held"].isMember(group))
            return static_cast<int>(index);
    }
    return -1;
}

std::vector<std::string> Cell::stopAll()
{
    std::vector<std::string> failed;
    const std::vector<const Member *> members = running();
    for (const Member *member : members)
        member->process->terminate();
    for (const Member *member : members) {
        const absl::StatusOr<int> code =
                member->process->waitForExit(BootClock::now() + stopTimeout);
        if (!code.ok() || *code != 0)
            failed.push_back(member->name + ": "
                             + (code.ok() ? "exit code " + std::to_string(*code)
                                          : std::string(code.status().message())));
    }
    return failed;
}

// Section: judgement

int64_t Cell::executions(const std::string &requestId) const
{
    const Json::Value executions = endpointJudgement()["executions"];
    return executions.isMember(requestId) ? executions[requestId].asInt64() : 0;
}

Json::Value Cell::endpointJudgement() const
{
    return bodyOf(harness::getJson(m_standins.endpoints, "/control/executions"));
}

Json::Value Cell::workerJudgement() const
{
    return bodyOf(harness::getJson(m_standins.workers, "/control/judgements"));
}

} // namespace cwl::demo
