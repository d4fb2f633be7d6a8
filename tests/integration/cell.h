// One cell of real processes for the integration tests: stand-ins, the fault proxy, entries and
// schedulers. Each member reaches the platform, each endpoint and each worker is reached, through
// a link of the fault proxy of its own.

#pragma once

#include "harness/deployment.h"
#include "harness/fleet.h"
#include "harness/harness.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cwl::integration {

struct CellOptions
{
    // Wait too until each group is owned by the member that ranks first, which takes a hand-over
    // of 10 s: for tests in which no group may change its owner.
    bool settleAssignment = false;
    size_t instances = 3;
    bool entries = true;
    bool schedulers = false;
    bool proxyRpc = false; // calls between members pass the links "rpc/<member>"
    int64_t endpoints = 4;
    int64_t endpointGroups = 4;
    int64_t serviceMs = 20;
    int64_t workers = 1;
    int64_t cores = 4000; // millicores of each worker
    bool start = true;    // start all members, and wait until they own all groups and are witnessed
};

constexpr const char *operatorsToken = "integration-operators"; // may change every subtree

// One service "draw" with the idempotent method "motions" and the non-idempotent method "pair",
// the team "draws" and one worker group "cell".
class Cell
{
public:
    explicit Cell(const CellOptions &options); // throws std::runtime_error with the logs

    harness::Harness &frame() { return m_harness; }
    const CellOptions &options() const { return m_options; }
    const harness::Standins &standins() const { return m_standins; }
    harness::Member &entry(size_t index) { return m_deployment.entry(index); }
    harness::Member &scheduler(size_t index) { return m_deployment.scheduler(index); }
    std::vector<std::string> entryAddresses();
    std::vector<std::string> schedulerAddresses();

    void start(harness::Member &member) { m_deployment.start(member); }
    void kill(harness::Member &member) { m_deployment.kill(member); }

    // Section: faults

    // Links: "platform/<member>", "endpoint/<id>", "worker/<id>", "rpc/<member>", or "*".
    void link(const std::string &name, const std::string &fault, const Json::Value &value) const;
    void platform(const std::string &fault, const Json::Value &value) const;
    void endpoint(const std::string &id, const std::string &fault, const Json::Value &value) const;
    void worker(const std::string &id, const std::string &fault, const Json::Value &value) const;
    void expectGang(const std::string &jobId, int64_t size) const; // for the workers' judge
    void listEndpoint(const std::string &id, const std::string &state) const;

    // Section: what the stand-ins saw

    Json::Value executions() const; // GET /control/executions
    Json::Value judgements() const; // GET /control/judgements
    Json::Value counters() const;   // GET /control/counters of the platform
    std::vector<Json::Value> rows(const std::string &table, const std::string &prefix) const;

    // Every group with this prefix has an owner that is a member now.
    bool isOwned(const std::string &prefix, size_t groups) const;

    // Section: waiting; each returns false if it does not happen

    bool waitUntilOwned(const std::string &prefix, size_t groups);
    // The rows of this many members of the role name all others as witnesses. Before that, a
    // member goes on neither without the store nor with part of the others.
    bool waitUntilWitnessed(const std::string &role, size_t members);
    // The member owns nothing: others have claimed all groups of the role.
    bool waitUntilOwnsNothing(const harness::Member &member, const std::string &prefix);
    bool waitUntilAssigned(const std::string &prefix, const std::string &role);
    std::string ownerAddress(const std::string &group) const; // RPC address, or empty
    harness::Member &ownerOf(const std::string &group);       // throws if there is none

    std::string logs() const { return m_harness.logs(3000); }

private:
    harness::Fleet fleet() const;
    std::string openLink(const std::string &name, const std::string &target);
    void openLinks();
    void rewriteSettings(harness::Member &member);
    void commitSettings() const;
    void startMembers();

    CellOptions m_options;
    harness::Harness m_harness;
    harness::Standins m_standins;
    harness::Deployment m_deployment;
    std::string m_proxy; // control address
};

} // namespace cwl::integration
