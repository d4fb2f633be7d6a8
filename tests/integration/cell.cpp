#include "integration/cell.h"

#include "base/json.h"
#include "ownership/assignment.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cwl::integration {

namespace {

using harness::patience;

// SHA-256 of operatorsToken.
constexpr const char *tokenDigest =
        "fe8a3cb87c782fc77e53a550c42af1f0c92dbc71d19ec9f74a1827095c56ab8a";

Json::Value command(const std::string &member, const Json::Value &value)
{
    Json::Value result;
    result[member] = value;
    return result;
}

void post(const std::string &address, const Json::Value &command)
{
    const auto answer = harness::postJson(address, "/control", command);
    if (!answer.ok() || answer->status != 200)
        throw std::runtime_error("a stand-in refused the command " + writeJson(command));
}

Json::Value get(const std::string &address, const std::string &path)
{
    const auto answer = harness::getJson(address, path);
    if (!answer.ok() || answer->status != 200)
        throw std::runtime_error("a stand-in does not answer " + path);
    return answer->body;
}

Json::Value settingsWrite(const std::string &key, const char *member, const Json::Value &value)
{
    Json::Value write;
    write["table"] = "settings";
    write["key"] = key;
    write["value"][member] = value;
    return write;
}

} // namespace

Cell::Cell(const CellOptions &options)
    : m_options(options)
    , m_standins(harness::startStandins(m_harness, fleet()))
    , m_deployment(m_harness, {.instances = options.instances, .platform = m_standins.platform})
{
    openLinks();
    harness::addInstances(m_standins, m_deployment.instanceList());
    commitSettings();
    if (options.start)
        startMembers();
}

harness::Fleet Cell::fleet() const
{
    harness::Fleet fleet;
    fleet.parts = {{.service = "draw",
                    .endpoints = m_options.endpoints,
                    .serviceMs = m_options.serviceMs,
                    .workers = m_options.workers,
                    .cores = m_options.cores,
                    .memoryMiB = 16384,
                    .workersPerRack = 2}};
    return fleet;
}

// Section: construction

std::string Cell::openLink(const std::string &name, const std::string &target)
{
    Json::Value add;
    add["add"]["name"] = name;
    add["add"]["target"] = target;
    const auto answer = harness::postJson(m_proxy, "/control", add);
    if (!answer.ok() || answer->status != 200)
        throw std::runtime_error("the fault proxy refused the link " + name);
    return harness::loopback(uint16_t(answer->body["port"].asUInt()));
}

void Cell::openLinks()
{
    Json::Value none;
    none["links"] = Json::Value(Json::arrayValue);
    std::vector<uint16_t> ports;
    m_harness.startReady("proxy", "fault-proxy",
                         {"--settings", m_harness.writeFile("proxy.json", none)}, ports);
    m_proxy = harness::loopback(ports.at(0));
    std::vector<Json::Value> listed;
    for (Json::Value instance : m_standins.instances) {
        const std::string name = instance["kind"].asString() + "/" + instance["id"].asString();
        instance["address"] = openLink(name, instance["address"].asString());
        listed.push_back(instance);
    }
    harness::addInstances(m_standins, listed);
    m_standins.instances = listed;
    for (std::vector<harness::Member> *members :
         {&m_deployment.entries(), &m_deployment.schedulers()}) {
        for (harness::Member &member : *members)
            rewriteSettings(member);
    }
}

void Cell::rewriteSettings(harness::Member &member)
{
    std::ifstream file(member.settingsFile);
    std::ostringstream text;
    text << file.rdbuf();
    Json::Value settings = *parseJson(text.str());
    settings["platform"] = openLink("platform/" + member.name, m_standins.platform);
    if (m_options.proxyRpc)
        settings["rpcAdvertised"] = openLink("rpc/" + member.name, member.rpcAddress());
    member.settingsFile = m_harness.writeFile(member.name + ".json", settings);
}

// Writes the first version as an operator's change would leave it.
void Cell::commitSettings() const
{
    Json::Value cell;
    cell["tokenSha256"] = tokenDigest;
    Json::Value &service = cell["services"]["draw"];
    service["endpointGroups"] = Json::Int64(m_options.endpointGroups);
    service["methods"]["motions"]["idempotent"] = true;
    service["methods"]["pair"]["idempotent"] = false;
    Json::Value team;
    team["tokenSha256"] = tokenDigest;
    team["quota"]["cores"] = 1000000;
    team["quota"]["memoryMiB"] = 10000000;
    team["quota"]["accelerators"] = 0;
    Json::Value commit;
    commit["changeId"] = "first-settings";
    commit["conditions"] = Json::Value(Json::arrayValue);
    commit["writes"].append(settingsWrite("head", "version", 1));
    commit["writes"].append(settingsWrite("team/cell", "text", writeJson(cell)));
    commit["writes"].append(settingsWrite("team/draws", "text", writeJson(team)));
    const auto answer = harness::postJson(m_standins.platform, "/tables/commit", commit);
    if (!answer.ok() || !answer->body["committed"].asBool())
        throw std::runtime_error("the platform refused the settings");
}

void Cell::startMembers()
{
    if (m_options.schedulers) {
        for (harness::Member &member : m_deployment.schedulers())
            start(member);
    }
    if (m_options.entries) {
        for (harness::Member &member : m_deployment.entries())
            start(member);
    }
    for (const std::string &name : m_deployment.waitForAllReady(patience()))
        throw std::runtime_error(name + " did not become ready\n" + logs());
    const size_t members = m_options.instances;
    if (m_options.entries
        && !(waitUntilOwned("endpoint/", size_t(m_options.endpointGroups))
             && waitUntilWitnessed("entry", members)))
        throw std::runtime_error("the entries did not settle\n" + logs());
    if (m_options.schedulers
        && !(waitUntilOwned("worker/", 1) && waitUntilWitnessed("scheduler", members)))
        throw std::runtime_error("the schedulers did not settle\n" + logs());
    if (m_options.settleAssignment && !waitUntilAssigned("endpoint/", "entry"))
        throw std::runtime_error("the groups were not assigned\n" + logs());
}

std::vector<std::string> Cell::entryAddresses()
{
    std::vector<std::string> result;
    for (const harness::Member &member : m_deployment.entries())
        result.push_back(member.httpAddress());
    return result;
}

std::vector<std::string> Cell::schedulerAddresses()
{
    std::vector<std::string> result;
    for (const harness::Member &member : m_deployment.schedulers())
        result.push_back(member.httpAddress());
    return result;
}

// Section: faults

void Cell::link(const std::string &name, const std::string &fault, const Json::Value &value) const
{
    Json::Value whole = command(fault, value);
    whole["link"] = name;
    post(m_proxy, whole);
}

void Cell::platform(const std::string &fault, const Json::Value &value) const
{
    post(m_standins.platform, command(fault, value));
}

void Cell::endpoint(const std::string &id, const std::string &fault, const Json::Value &value) const
{
    Json::Value whole = command(fault, value);
    whole["endpoint"] = id;
    post(m_standins.endpoints, whole);
}

void Cell::worker(const std::string &id, const std::string &fault, const Json::Value &value) const
{
    Json::Value whole = command(fault, value);
    whole["worker"] = id;
    post(m_standins.workers, whole);
}

void Cell::expectGang(const std::string &jobId, int64_t size) const
{
    Json::Value gang;
    gang["jobId"] = jobId;
    gang["size"] = Json::Int64(size);
    post(m_standins.workers, command("gang", gang));
}

void Cell::listEndpoint(const std::string &id, const std::string &state) const
{
    for (Json::Value instance : m_standins.instances) {
        if (instance["id"] != id)
            continue;
        instance["state"] = state;
        post(m_standins.platform, command("instance", instance));
    }
}

// Section: what the stand-ins saw

Json::Value Cell::executions() const
{
    return get(m_standins.endpoints, "/control/executions");
}

Json::Value Cell::judgements() const
{
    return get(m_standins.workers, "/control/judgements");
}

Json::Value Cell::counters() const
{
    return get(m_standins.platform, "/control/counters");
}

std::vector<Json::Value> Cell::rows(const std::string &table, const std::string &prefix) const
{
    Json::Value read;
    Json::Value one;
    one["table"] = table;
    one["prefix"] = prefix;
    read["reads"].append(one);
    std::vector<Json::Value> result;
    const auto answer = harness::postJson(m_standins.platform, "/tables/read", read);
    if (!answer.ok() || answer->status != 200)
        return result;
    for (const Json::Value &row : answer->body["rows"][0])
        result.push_back(row);
    return result;
}

bool Cell::isOwned(const std::string &prefix, size_t groups) const
{
    const auto members = rows("members", "");
    const auto owned = rows("groups", prefix);
    const auto hasOwner = [&](const Json::Value &group) {
        return std::any_of(members.begin(), members.end(), [&](const Json::Value &member) {
            return member["key"] == group["value"]["owner"];
        });
    };
    return owned.size() == groups && std::all_of(owned.begin(), owned.end(), hasOwner);
}

// Section: waiting

bool Cell::waitUntilOwned(const std::string &prefix, size_t groups)
{
    return harness::waitUntil(patience(), [&] { return isOwned(prefix, groups); });
}

bool Cell::waitUntilWitnessed(const std::string &role, size_t members)
{
    return harness::waitUntil(patience(), [&] {
        const auto listed = rows("members", "");
        const auto isWitnessed = [&](const Json::Value &row) {
            return row["value"]["role"] == role && row["value"]["witnesses"].size() + 1 >= members;
        };
        return size_t(std::count_if(listed.begin(), listed.end(), isWitnessed)) >= members;
    });
}

bool Cell::waitUntilAssigned(const std::string &prefix, const std::string &role)
{
    return harness::waitUntil(patience(), [&] {
        std::vector<MemberId> members;
        for (const Json::Value &row : rows("members", "")) {
            if (row["value"]["role"] == role)
                members.emplace_back(row["key"].asString());
        }
        const auto groups = rows("groups", prefix);
        return std::all_of(groups.begin(), groups.end(), [&](const Json::Value &row) {
            const auto first = ownership::highestRanked(members, GroupId(row["key"].asString()));
            return first && first->value() == row["value"]["owner"].asString();
        });
    });
}

std::string Cell::ownerAddress(const std::string &group) const
{
    for (const Json::Value &row : rows("groups", group)) {
        for (const Json::Value &member : rows("members", "")) {
            if (row["key"] == group && member["key"] == row["value"]["owner"])
                return member["value"]["httpAddress"].asString();
        }
    }
    return {};
}

harness::Member &Cell::ownerOf(const std::string &group)
{
    // A hand-over leaves the group without an owner for about a second.
    std::string address;
    harness::waitUntil(harness::patience(), [&] {
        address = ownerAddress(group);
        return !address.empty();
    });
    for (std::vector<harness::Member> *members :
         {&m_deployment.entries(), &m_deployment.schedulers()}) {
        for (harness::Member &member : *members) {
            if (member.httpAddress() == address)
                return member;
        }
    }
    throw std::runtime_error(group + " has no owner");
}

bool Cell::waitUntilOwnsNothing(const harness::Member &member, const std::string &prefix)
{
    return harness::waitUntil(patience(), [&] {
        const auto groups = rows("groups", prefix);
        return !groups.empty()
                && std::none_of(groups.begin(), groups.end(), [&](const Json::Value &group) {
                       const std::string owner = ownerAddress(group["key"].asString());
                       return owner.empty() || owner == member.httpAddress();
                   });
    });
}

} // namespace cwl::integration
