#include "cell.h"

#include "base/json.h"

#include <stdexcept>
#include <thread>

namespace cwl::bench {

namespace {

using harness::Member;

constexpr int64_t endpointGroups = 6;
// A better-ranked member takes over a group 10 s after it appeared, so the roles are settled then.
constexpr auto handOverTime = seconds(12);
constexpr auto deadline = seconds(60); // for a change to take effect; only a fault takes so long

Json::Value settingsWrite(const std::string &key, const Json::Value &value)
{
    Json::Value write;
    write["table"] = "settings";
    write["key"] = key;
    write["value"] = value;
    return write;
}

Json::Value subtreeWrite(const std::string &name, const Json::Value &content, int64_t version)
{
    Json::Value row;
    row["text"] = writeJson(content);
    row["version"] = Json::Int64(version);
    row["changeId"] = "bench-" + name;
    return settingsWrite("team/" + name, row);
}

Json::Value cellSubtree()
{
    Json::Value cell;
    cell["tokenSha256"] = std::string(64, '0');
    Json::Value &service = cell["services"]["draw"];
    service["endpointGroups"] = Json::Int64(endpointGroups);
    service["methods"]["motions"]["idempotent"] = true;
    return cell;
}

Json::Value teamSubtree()
{
    Json::Value team;
    team["tokenSha256"] = std::string(64, '1');
    team["quota"]["cores"] = 100000000;
    team["quota"]["memoryMiB"] = 100000000;
    team["quota"]["accelerators"] = 10000;
    return team;
}

} // namespace

Cell::Cell(const CellOptions &options)
    : m_standins(harness::startStandins(m_harness, fleetOf(options)))
    , m_deployment(m_harness, {.instances = options.mostInstances, .platform = m_standins.platform})
    , m_endpoints(options.endpoints)
    , m_workers(options.workers)
{
    int64_t endpoint = 0;
    int64_t worker = 0;
    for (const Json::Value &instance : m_standins.instances) {
        const bool isWorker = instance["kind"] == "worker";
        const bool isListed = isWorker ? worker++ < m_workers : endpoint++ < m_endpoints;
        if (isListed)
            continue;
        Json::Value command;
        command["removeInstance"] = instance["id"];
        if (!harness::postJson(m_standins.platform, "/control", command).ok())
            throw std::runtime_error("the platform's instance list cannot be changed");
    }
    harness::addInstances(m_standins, m_deployment.instanceList());
    commitSettings(options.teams);
    runInstances(options.instances);
    waitForWorkers(m_workers);
}

harness::Fleet Cell::fleetOf(const CellOptions &options)
{
    harness::Fleet fleet;
    fleet.parts = {{.service = "draw",
                    .endpoints = options.mostEndpoints,
                    .workers = options.mostWorkers,
                    .cores = 64000,
                    .memoryMiB = 262144}};
    return fleet;
}

void Cell::runInstances(size_t count)
{
    if (m_members.size() / 2 >= count)
        return;
    for (size_t index = m_members.size() / 2; index < count; ++index) {
        for (Member *member : {&m_deployment.scheduler(index), &m_deployment.entry(index)}) {
            m_deployment.start(*member);
            m_members.push_back(member);
        }
    }
    if (!m_deployment.waitForAllReady(BootClock::now() + deadline).empty())
        throw std::runtime_error("a process did not become ready\n" + m_harness.logs());
    std::this_thread::sleep_for(handOverTime);
}

void Cell::list(const std::string &kind, int64_t from, int64_t to)
{
    int64_t index = 0;
    std::vector<Json::Value> added;
    for (const Json::Value &instance : m_standins.instances) {
        if (instance["kind"] != kind)
            continue;
        if (index >= from && index < to)
            added.push_back(instance);
        ++index;
    }
    harness::addInstances(m_standins, added);
}

void Cell::listEndpoints(int64_t count)
{
    list("endpoint", m_endpoints, count);
    m_endpoints = count;
}

void Cell::listWorkers(int64_t count)
{
    list("worker", m_workers, count);
    m_workers = count;
    waitForWorkers(count);
}

void Cell::waitForWorkers(int64_t count)
{
    const bool areThere = harness::waitUntil(BootClock::now() + deadline, [&] {
        for (const Member &member : m_deployment.schedulers()) {
            if (member.process == nullptr)
                continue;
            const auto answer = harness::getJson(member.httpAddress(), "/v1/workers");
            if (answer.ok() && int64_t(answer->body["workers"].size()) == count)
                return true;
        }
        return false;
    });
    if (!areThere)
        throw std::runtime_error("the workers were not taken up\n" + m_harness.logs());
}

// The rows are those that accepted changes leave.
void Cell::commitSettings(int64_t teams)
{
    const int64_t version = m_version + 1;
    Json::Value commit;
    commit["changeId"] = "bench-" + std::to_string(version);
    commit["conditions"] = Json::Value(Json::arrayValue);
    Json::Value head;
    head["version"] = Json::Int64(version);
    commit["writes"].append(settingsWrite("head", head));
    if (m_version == 0)
        commit["writes"].append(subtreeWrite("cell", cellSubtree(), version));
    for (int64_t team = m_teams; team < teams; ++team)
        commit["writes"].append(
                subtreeWrite("team-" + std::to_string(team), teamSubtree(), version));
    const auto answer = harness::postJson(m_standins.platform, "/tables/commit", commit);
    if (!answer.ok() || !answer->body["committed"].asBool())
        throw std::runtime_error("the platform refused the settings");
    m_version = version;
    m_teams = teams;
}

void Cell::keepTeams(int64_t count)
{
    commitSettings(count);
    const bool isInForce = harness::waitUntil(BootClock::now() + deadline, [&] {
        for (const Member *member : m_members) {
            const auto state = harness::getJson(member->httpAddress(), "/state");
            if (!state.ok() || state->body["settings"]["version"].asInt64() != m_version)
                return false;
        }
        return true;
    });
    if (!isInForce)
        throw std::runtime_error("the settings did not come into force\n" + m_harness.logs());
}

Json::Value Cell::ownerState() const
{
    for (const Member *member : m_members) {
        if (member->program != harness::Program::Scheduler)
            continue;
        const auto state = harness::getJson(member->httpAddress(), "/state");
        if (state.ok() && !state->body["groups"].empty())
            return state->body["groups"][0];
    }
    return {};
}

void Cell::runTasks(int64_t count)
{
    Json::Value job;
    job["jobId"] = "tasks-" + std::to_string(count);
    job["team"] = "team-0";
    job["kind"] = "batch";
    job["class"] = "normal";
    job["count"] = Json::Int64(count - m_tasks);
    job["cores"] = 1000;
    job["memoryMiB"] = 1024;
    job["accelerators"] = 0;
    job["runMs"] = 3600000;
    m_tasks = count;
    std::string last;
    const TimePoint end = BootClock::now() + deadline;
    const bool isAccepted = harness::waitUntil(end, [&] {
        const auto answer =
                harness::postJson(m_deployment.scheduler(0).httpAddress(), "/v1/jobs", job);
        last = answer.ok() ? writeJson(answer->body) : answer.status().ToString();
        return answer.ok() && answer->status == 200;
    });
    if (!isAccepted)
        throw std::runtime_error("the job was not accepted: " + last);
    if (!harness::waitUntil(end,
                            [&] { return ownerState()["tasks"]["running"] == Json::Int64(count); }))
        throw std::runtime_error("the tasks did not start: " + writeJson(ownerState()));
}

} // namespace cwl::bench
