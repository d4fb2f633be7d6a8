// A small cell of real processes: stand-ins and entries, without schedulers.

#pragma once

#include "base/json.h"
#include "harness/deployment.h"
#include "harness/fleet.h"
#include "harness/harness.h"

#include <cstdint>
#include <stdexcept>
#include <string>

namespace cwl::tests {

struct EntryCellOptions
{
    size_t entries = 3;
    int64_t endpoints = 4;
    int64_t endpointGroups = 4;
    int64_t serviceMs = 5;
};

// One service "draw" with the idempotent method "motions" and the non-idempotent method "pair".
class EntryCell
{
public:
    // Starts everything and waits until each entry is ready. Throws std::runtime_error with the
    // logs if that does not happen.
    explicit EntryCell(const EntryCellOptions &options)
        : m_standins(harness::startStandins(m_harness, fleetOf(options)))
        , m_deployment(m_harness, {.instances = options.entries, .platform = m_standins.platform})
    {
        harness::addInstances(m_standins, m_deployment.instanceList());
        commitSettings(options);
        for (harness::Member &entry : m_deployment.entries())
            m_deployment.start(entry);
        if (!m_deployment.waitForAllReady(harness::patience()).empty())
            throw std::runtime_error("an entry did not become ready\n" + m_harness.logs());
        for (const harness::Member &entry : m_deployment.entries())
            waitUntilServing(entry.httpAddress(), options.endpointGroups);
    }

    harness::Harness &frame() { return m_harness; }
    harness::Deployment &deployment() { return m_deployment; }
    const harness::Standins &standins() const { return m_standins; }
    harness::Member &entry(size_t index) { return m_deployment.entry(index); }
    std::string logs() const { return m_harness.logs(); }

    // Address of an endpoint of the service.
    std::string endpointAddress(size_t index) const
    {
        size_t seen = 0;
        for (const Json::Value &instance : m_standins.instances) {
            if (instance["kind"] == "endpoint" && seen++ == index)
                return instance["address"].asString();
        }
        throw std::out_of_range("no such endpoint");
    }

    Json::Value executions() const
    {
        const auto answer = harness::getJson(m_standins.endpoints, "/control/executions");
        return answer.ok() ? answer->body : Json::Value();
    }

    void commandEndpoints(const Json::Value &command) const
    {
        Json::Value whole = command;
        if (!whole.isMember("endpoint"))
            whole["endpoint"] = "*";
        const auto answer = harness::postJson(m_standins.endpoints, "/control", whole);
        if (!answer.ok() || answer->status != 200)
            throw std::runtime_error("the endpoints refused a command");
    }

    // Waits until every endpoint group has an owner, as that entry sees it.
    void waitUntilServing(const std::string &httpAddress, int64_t groups) const
    {
        const bool serves = harness::waitUntil(harness::patience(), [&] {
            const auto state = harness::getJson(httpAddress, "/state");
            return state.ok() && int64_t(ownersIn(state->body).size()) == groups;
        });
        if (!serves)
            throw std::runtime_error("an endpoint group got no owner\n" + m_harness.logs());
    }

private:
    static Json::Value ownersIn(const Json::Value &state)
    {
        const Json::Value &sections = state.isMember("sections") ? state["sections"] : state;
        return sections["directory"]["owners"];
    }

    static harness::Fleet fleetOf(const EntryCellOptions &options)
    {
        harness::Fleet fleet;
        fleet.parts = {{.service = "draw",
                        .endpoints = options.endpoints,
                        .serviceMs = options.serviceMs,
                        .workers = 1}};
        return fleet;
    }

    // Writes the first version as an operator's change would leave it.
    void commitSettings(const EntryCellOptions &options) const
    {
        Json::Value cell;
        cell["tokenSha256"] = std::string(64, '0');
        Json::Value &service = cell["services"]["draw"];
        service["endpointGroups"] = Json::Int64(options.endpointGroups);
        service["methods"]["motions"]["idempotent"] = true;
        service["methods"]["pair"]["idempotent"] = false;
        Json::Value commit;
        commit["changeId"] = "first-settings";
        commit["conditions"] = Json::Value(Json::arrayValue);
        commit["writes"].append(write("head", "version", 1));
        commit["writes"].append(write("team/cell", "text", writeJson(cell)));
        const auto answer = harness::postJson(m_standins.platform, "/tables/commit", commit);
        if (!answer.ok() || !answer->body["committed"].asBool())
            throw std::runtime_error("the platform refused the settings");
    }

    static Json::Value write(const std::string &key, const char *member, const Json::Value &value)
    {
        Json::Value write;
        write["table"] = "settings";
        write["key"] = key;
        write["value"][member] = value;
        return write;
    }

    harness::Harness m_harness;
    harness::Standins m_standins;
    harness::Deployment m_deployment;
};

} // namespace cwl::tests
