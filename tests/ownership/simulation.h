// Simulates processes, the store and the network around Runner in simulated time. All randomness
// comes from one seed.

#pragma once

#include "ownership/runner.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cwl::ownership {

struct SimulatedProcess
{
    std::string address;
    std::unique_ptr<Runner> runner;  // null while the process is down
    std::set<GroupId> held;          // reported to the listener as acquired
    std::vector<std::string> events; // of the listener, oldest first
    double clockRate = 1;
    int run = 0; // incremented with each start
    bool isPaused = false;
    bool isStoreUnreachable = false;
    bool neverFinishesRelease = false;
    std::set<size_t> unreachable; // processes that this one cannot call
};

class Simulation
{
public:
    Simulation(uint64_t seed, size_t processes, size_t groups);

    void start(size_t process);
    void stop(size_t process);
    void runFor(Duration duration, const std::function<void()> &eachStep = {});

    SimulatedProcess &process(size_t i) { return m_processes[i]; }
    size_t processCount() const { return m_processes.size(); }
    const std::vector<GroupId> &groups() const { return m_groups; }
    Duration time() const { return m_time; }
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    uint64_t random() { return m_random(); }

    std::vector<size_t> validOwners(const GroupId &group) const;
    bool isOwnedByOne(const GroupId &group) const { return validOwners(group).size() == 1; }
    bool hasSettled() const; // every group has one owner
    bool hasTwoOwners() const;
    size_t memberRows() const { return m_tables.at(membersTable).size(); }
    bool hasMember(const MemberId &id) const;

    Duration step = milliseconds(50); // between two ticks
    bool isOutage = false;
    int lostResponses = 0;                  // percent of commits whose response is lost
    int lostCalls = 0;                      // percent of calls between processes that are lost
    bool isRelayUnavailable = false;        // relayed renewals fail
    bool hasSlowMessages = false;           // some messages take up to 5 s
    std::function<void()> beforeGroupsRead; // runs between the reads of the two tables

private:
    using Table = std::map<std::string, platform::Row>;

    TimePoint clock(size_t i) const;
    Duration realTime(size_t i, TimePoint local) const;
    Duration delay();
    void at(Duration time, std::function<void()> action);
    void atProcess(size_t i, Duration time, std::function<void()> action);
    Transport transport(size_t i);
    void commit(size_t i, platform::Commit commit, TimePoint deadline,
                platform::CommitCallback callback);
    absl::StatusOr<Revision> apply(const platform::Commit &commit);
    void read(size_t i, const std::vector<platform::Read> &reads, platform::ReadCallback callback);
    void call(size_t from, const std::string &address, const std::string &method,
              const Json::Value &parameters, TimePoint deadline, const CallCallback &callback);
    void serve(size_t to, const std::string &method, const Json::Value &parameters,
               CallCallback reply);

    std::mt19937_64 m_random;
    std::vector<SimulatedProcess> m_processes;
    std::vector<GroupId> m_groups;
    std::multimap<Duration, std::function<void()>> m_events;
    std::map<std::string, Table> m_tables;
    std::map<ChangeId, absl::StatusOr<Revision>> m_changes;
    Duration m_time = {};
    int64_t m_revision = 0;
    int64_t m_ids = 0;
};

} // namespace cwl::ownership
