// Supervisor tree: restarts children that fail, with backoff, and fails itself when one of them
// keeps failing.
//
//     auto root = Supervisor::create("cwl-entry", createScheduler(controlContext));
//     root->add("platform", {.start = [&](Failed failed) { platform->start(failed); },
//                            .stop = [&](Done done) { platform->stop(done); }});
//     Supervisor &groups = root->addSupervisor("groups", {.maxRestarts = 3});
//     groups.add("draw", std::make_unique<GroupRunner>(...));
//     root->start([&](const absl::Status &status) { exitWith(SupervisorFailed); });
//
// All calls are made on the scheduler's thread. `Failed` and `Done` may be called on any thread.

#pragma once

#include "supervisor/restartpolicy.h"
#include "supervisor/scheduler.h"

#include <absl/status/status.h>
#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cwl::supervisor {

using Failed = std::function<void(absl::Status)>; // reports the failure of one run, once
using Done = std::function<void()>;               // reports that a stop is complete

// Section: children

class Child
{
public:
    virtual ~Child() = default;

    // Begins a run. `failed` may be called within start() or at any later time.
    virtual void start(Failed failed) = 0;

    // Ends the run, also one that has failed, and frees what it holds.
    virtual void stop(Done done) = 0;

    // Extra members for the state dump; null for none.
    virtual Json::Value state() const { return {}; }
};

// A child as a pair of functions.
struct ChildFunctions
{
    std::function<void(Failed)> start;
    std::function<void(Done)> stop = {}; // absent: nothing to clean up
};

// Section: the supervisor, which is itself a child

class Supervisor : public Child
{
public:
    static std::unique_ptr<Supervisor> create(std::string name,
                                              std::shared_ptr<Scheduler> scheduler,
                                              const RestartPolicy &policy = {},
                                              uint64_t seed = randomSeed());
    ~Supervisor() override;

    // Adds a child; children start in the order in which they were added. Call before start().
    void add(const std::string &name, std::unique_ptr<Child> child);
    void add(const std::string &name, ChildFunctions functions);

    // Adds a supervisor as a child, and returns it so that children can be added to it.
    Supervisor &addSupervisor(const std::string &name, const RestartPolicy &policy = {});

    // Starts all children. `failed` is called once a child has failed too often; the others are
    // then being stopped, and stop() reports when that is complete.
    void start(Failed failed) override;

    // Stops the children one after the other, in reverse order, without a time limit.
    void stop(Done done) override;

    // {"state", "children": [{"name", "state", "restarts", "lastFailure"?, "startsInMs"?, ...}]}
    Json::Value state() const override;

    bool isRunning() const { return m_phase == Phase::Running; }

private:
    enum class Phase { Stopped, Running, Stopping, Escalating };
    struct Entry;

    Supervisor(std::string name, std::shared_ptr<Scheduler> scheduler, const RestartPolicy &policy,
               uint64_t seed);

    void startChild(Entry &entry);
    void childFailed(Entry &entry, uint64_t run, const absl::Status &status);
    void stopChild(Entry &entry);
    void childStopped(Entry &entry, uint64_t run);
    void scheduleRestart(Entry &entry);
    void escalate(const Entry &entry, const std::string &why);
    void stopNext();
    void finishStop();
    void watchStop(Entry &entry);

    // Runs `step` on the scheduler's thread unless this object is gone by then.
    std::function<void()> guarded(std::function<void()> step) const;

    const std::string m_name;
    std::shared_ptr<Scheduler> m_scheduler;
    const RestartPolicy m_policy;
    Generator m_generator;
    std::vector<std::unique_ptr<Entry>> m_children; // in the order of start
    Phase m_phase = Phase::Stopped;
    Failed m_failed;
    std::vector<Done> m_waiting; // for the stop to complete
    uint64_t m_lastRun = 0;      // tells the current run of a child from earlier ones
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::supervisor
