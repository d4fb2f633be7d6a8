// The system's own processes in a test: instances, each with one cwl-entry and one cwl-scheduler.

#pragma once

#include "harness/harness.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cwl::harness {

struct DeploymentOptions
{
    size_t instances = 6;
    std::vector<std::string> dataCentres = {"dc1", "dc2", "dc3"}; // instances take turns
    std::string region = "r1";
    std::string platform; // "ip:port"
    int64_t trafficThreads = 2;
    std::string logLevel = "info";
};

enum class Program { Entry, Scheduler };

// One process: its settings file and, once started, the running program.
struct Member
{
    std::string name; // "entry-2"
    Program program = Program::Entry;
    std::string instance;
    std::string dataCentre;
    uint16_t httpPort = 0;
    uint16_t rpcPort = 0;
    std::string settingsFile;
    Process *process = nullptr; // owned by the harness; null until started and after kill()

    std::string httpAddress() const { return loopback(httpPort); }
    std::string rpcAddress() const { return loopback(rpcPort); }
};

class Deployment
{
public:
    // Chooses ports and writes the settings files into the harness's folder; starts nothing.
    Deployment(Harness &harness, const DeploymentOptions &options);

    Member &entry(size_t instance) { return m_entries.at(instance); }
    Member &scheduler(size_t instance) { return m_schedulers.at(instance); }
    std::vector<Member> &entries() { return m_entries; }
    std::vector<Member> &schedulers() { return m_schedulers; }

    void start(Member &member); // again after kill(): a new process on the same ports
    void startAll();
    void kill(Member &member); // SIGKILL, and waits for its end

    // Waits until every started member answers /readyz; returns the names of those that do not.
    std::vector<std::string> waitForAllReady(TimePoint deadline);

    // Entries of the platform's instance list for the system's own instances.
    std::vector<Json::Value> instanceList() const;

private:
    Member makeMember(Program program, size_t index, const DeploymentOptions &options);
    void writeSettings(Member &member, const std::vector<Member> &peers,
                       const DeploymentOptions &options);

    Harness &m_harness;
    std::string m_region;
    std::vector<Member> m_entries;
    std::vector<Member> m_schedulers;
};

} // namespace cwl::harness
