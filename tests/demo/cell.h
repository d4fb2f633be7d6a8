// One cell for the demo: stand-ins, six instances of the system and the calls that operators and
// callers make.

#pragma once

#include "harness/deployment.h"
#include "harness/fleet.h"
#include "harness/harness.h"

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace cwl::demo {

// What one deployment of the demo consists of.
struct CellPlan
{
    std::string name;                     // folder under settings/
    harness::Fleet fleet;                 // stand-ins
    std::vector<std::string> dataCentres; // of the six instances
    std::string operatorsToken;           // of the subtree "cell"
    std::vector<std::string> teams;       // each team's token is its name
    std::string service;                  // that the demo sends requests to
    std::string readMethod;               // idempotent
    std::string publishMethod;            // not idempotent
    std::string urgentTeam;               // submits the urgent service and batch jobs
    std::string gangTeam;                 // submits the gang job
};

// What a caller was told about one request.
struct Told
{
    std::string outcome; // answered, not-run or unknown; "no answer" if the entry died first
    std::string detail;  // body or error type
    int status = 0;
};

class Cell
{
public:
    Cell(const CellPlan &plan, const std::string &settingsFolder);

    // Starts everything and applies the settings; false with a message on standard error if it
    // cannot.
    bool start();

    // Section: callers
    Told send(size_t entry, const std::string &method, const std::string &requestId);

    // Section: operators
    harness::JsonAnswer submit(size_t scheduler, const Json::Value &job);
    Json::Value job(size_t scheduler, const std::string &jobId);
    bool waitForTasks(size_t scheduler, const std::string &jobId, const std::string &state,
                      int64_t count);
    harness::JsonAnswer changeSettings(size_t scheduler, const std::string &subtree,
                                       const std::string &text, const std::string &token,
                                       int64_t basedOn);
    int64_t settingsVersion(const harness::Member &member) const;
    bool waitForVersionEverywhere(int64_t version);
    std::string
    fileText(const std::string &subtree) const; // settings as they stand in the repository

    // Section: failures
    void killInstance(size_t instance);
    void restartInstance(size_t instance);
    // The number of an instance whose process owns the group, or of none: -1.
    int ownerOf(const std::string &group, harness::Program program);
    // Stops every process gracefully; returns the names of those that did not exit with 0.
    std::vector<std::string> stopAll();

    // Section: judgement by the stand-ins
    int64_t executions(const std::string &requestId) const;
    Json::Value endpointJudgement() const;
    Json::Value workerJudgement() const;

    const harness::Standins &standins() const { return m_standins; }
    harness::Deployment &deployment() { return m_deployment; }
    std::string logs() const { return m_harness.logs(); }

private:
    bool applySettings();
    std::vector<const harness::Member *> running();

    CellPlan m_plan;
    std::string m_settingsFolder;
    harness::Harness m_harness;
    harness::Standins m_standins;
    harness::Deployment m_deployment;
};

CellPlan mocionesPlan();
CellPlan yarmoukPlan();

} // namespace cwl::demo
