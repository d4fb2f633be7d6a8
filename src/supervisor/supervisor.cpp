#include "supervisor/supervisor.h"

#include "base/error.h"
#include "node/log.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace cwl::supervisor {

namespace {

enum class ChildPhase { Stopped, Running, CleaningUp, Waiting, Stopping };

const char *phaseName(ChildPhase phase)
{
    switch (phase) {
    case ChildPhase::Stopped:
        return "stopped";
    case ChildPhase::Running:
        return "running";
    case ChildPhase::CleaningUp:
        return "cleaning up";
    case ChildPhase::Waiting:
        return "waiting to restart";
    case ChildPhase::Stopping:
        return "stopping";
    }
    return "unknown";
}

class FunctionChild : public Child
{
public:
    explicit FunctionChild(ChildFunctions functions)
        : m_functions(std::move(functions))
    {
    }
    void start(Failed failed) override { m_functions.start(std::move(failed)); }
    void stop(Done done) override
    {
        if (m_functions.stop)
            m_functions.stop(std::move(done));
        else
            done();
    }

private:
    ChildFunctions m_functions;
};

} // namespace

struct Supervisor::Entry
{
    std::string name;
    std::unique_ptr<Child> child;
    RestartHistory history;
    ChildPhase phase = ChildPhase::Stopped;
    uint64_t run = 0;        // of the current run
    TimePoint started = {};  // of the current run
    TimePoint failedAt = {}; // of the last failed run
    TimePoint due = {};      // of the next start, while waiting
    uint64_t restarts = 0;   // since the process began
    std::string lastFailure = {};
};

// Section: construction

std::unique_ptr<Supervisor> Supervisor::create(std::string name,
                                               std::shared_ptr<Scheduler> scheduler,
                                               const RestartPolicy &policy, uint64_t seed)
{
    return std::unique_ptr<Supervisor>(
            new Supervisor(std::move(name), std::move(scheduler), policy, seed));
}

Supervisor::Supervisor(std::string name, std::shared_ptr<Scheduler> scheduler,
                       const RestartPolicy &policy, uint64_t seed)
    : m_name(std::move(name))
    , m_scheduler(std::move(scheduler))
    , m_policy(policy)
    , m_generator(seed)
{
}

Supervisor::~Supervisor() = default;

void Supervisor::add(const std::string &name, std::unique_ptr<Child> child)
{
    m_children.push_back(std::make_unique<Entry>(
            Entry{.name = name, .child = std::move(child), .history = RestartHistory(m_policy)}));
}

void Supervisor::add(const std::string &name, ChildFunctions functions)
{
    add(name, std::make_unique<FunctionChild>(std::move(functions)));
}

Supervisor &Supervisor::addSupervisor(const std::string &name, const RestartPolicy &policy)
{
    std::unique_ptr<Supervisor> child = create(name, m_scheduler, policy, m_generator());
    Supervisor &added = *child;
    add(name, std::move(child));
    return added;
}

std::function<void()> Supervisor::guarded(std::function<void()> step) const
{
    return [alive = std::weak_ptr<bool>(m_alive), step = std::move(step)] {
        if (alive.lock())
            step();
    };
}

// Section: starting and failing

void Supervisor::start(Failed failed)
{
    m_failed = std::move(failed);
    m_phase = Phase::Running;
    for (const std::unique_ptr<Entry> &entry : m_children) {
        entry->history = RestartHistory(m_policy);
        startChild(*entry);
    }
}

void Supervisor::startChild(Entry &entry)
{
    entry.phase = ChildPhase::Running;
    entry.run = ++m_lastRun;
    entry.started = m_scheduler->now();
    // Holds the scheduler, since a child may report after this supervisor is gone.
    entry.child->start([this, alive = std::weak_ptr<bool>(m_alive), scheduler = m_scheduler, &entry,
                        run = entry.run](const absl::Status &status) {
        scheduler->post([this, alive, &entry, run, status] {
            if (alive.lock())
                childFailed(entry, run, status);
        });
    });
}

void Supervisor::childFailed(Entry &entry, uint64_t run, const absl::Status &status)
{
    if (entry.run != run || entry.phase != ChildPhase::Running)
        return;
    entry.failedAt = m_scheduler->now();
    entry.lastFailure = std::string(status.message());
    entry.phase = ChildPhase::CleaningUp;
    log::warn("child_failed", {{"child", entry.name}, {"supervisor", m_name}, {"error", status}});
    stopChild(entry);
    if (m_phase == Phase::Running)
        watchStop(entry);
}

// A failed child that does not stop cannot be restarted: two runs of it would overlap.
void Supervisor::watchStop(Entry &entry)
{
    m_scheduler->postAt(m_scheduler->now() + m_policy.stopLimit,
                        guarded([this, &entry, run = entry.run] {
                            if (entry.run != run || m_phase != Phase::Running)
                                return;
                            if (entry.phase == ChildPhase::CleaningUp)
                                escalate(entry, "did not stop within its limit");
                        }));
}

void Supervisor::stopChild(Entry &entry)
{
    entry.child->stop([this, alive = std::weak_ptr<bool>(m_alive), scheduler = m_scheduler, &entry,
                       run = entry.run] {
        scheduler->post([this, alive, &entry, run] {
            if (alive.lock())
                childStopped(entry, run);
        });
    });
}

void Supervisor::childStopped(Entry &entry, uint64_t run)
{
    if (entry.run != run)
        return;
    if (entry.phase == ChildPhase::CleaningUp && m_phase == Phase::Running)
        return scheduleRestart(entry);
    if (entry.phase != ChildPhase::CleaningUp && entry.phase != ChildPhase::Stopping)
        return;
    entry.phase = ChildPhase::Stopped;
    stopNext();
}

void Supervisor::scheduleRestart(Entry &entry)
{
    const std::optional<TimePoint> due =
            entry.history.recordFailure(entry.started, entry.failedAt, m_generator);
    if (!due) {
        entry.phase = ChildPhase::Stopped;
        return escalate(entry,
                        absl::StrCat("failed more than ", m_policy.maxRestarts,
                                     " times within the window"));
    }
    entry.phase = ChildPhase::Waiting;
    entry.due = *due;
    m_scheduler->postAt(*due, guarded([this, &entry, run = entry.run] {
        if (entry.run != run || entry.phase != ChildPhase::Waiting || m_phase != Phase::Running)
            return;
        ++entry.restarts;
        log::info("child_restarted",
                  {{"child", entry.name}, {"supervisor", m_name}, {"restarts", entry.restarts}});
        startChild(entry);
    }));
}

// Section: stopping

// Reports at once, since a child that does not stop may hold up the rest. The parent's stop() of
// this supervisor completes only when all children are stopped, so no two runs overlap.
void Supervisor::escalate(const Entry &entry, const std::string &why)
{
    m_phase = Phase::Escalating;
    stopNext();
    const Failed failed = m_failed;
    failed(makeError(
            Failure::Internal,
            absl::StrCat("child ", entry.name, " of ", m_name, " ", why, ": ", entry.lastFailure)));
}

void Supervisor::stop(Done done)
{
    m_waiting.push_back(std::move(done));
    if (m_phase == Phase::Running)
        m_phase = Phase::Stopping;
    stopNext();
}

void Supervisor::stopNext()
{
    if (m_phase == Phase::Running)
        return;
    for (auto entry = m_children.rbegin(); entry != m_children.rend(); ++entry) {
        Entry &child = **entry;
        switch (child.phase) {
        case ChildPhase::Stopped:
            continue;
        case ChildPhase::Waiting:
            child.phase = ChildPhase::Stopped;
            continue;
        case ChildPhase::Running:
            child.phase = ChildPhase::Stopping;
            stopChild(child);
            return;
        case ChildPhase::CleaningUp:
        case ChildPhase::Stopping:
            return; // childStopped() goes on
        }
    }
    finishStop();
}

void Supervisor::finishStop()
{
    m_phase = Phase::Stopped;
    for (const Done &done : std::exchange(m_waiting, {}))
        done();
}

// Section: state

Json::Value Supervisor::state() const
{
    static const char *const names[] = {"stopped", "running", "stopping", "escalating"};
    Json::Value state;
    state["state"] = names[static_cast<size_t>(m_phase)];
    state["children"] = Json::Value(Json::arrayValue);
    for (const std::unique_ptr<Entry> &entry : m_children) {
        Json::Value child = entry->child->state();
        child["name"] = entry->name;
        child["state"] = phaseName(entry->phase);
        child["restarts"] = Json::UInt64(entry->restarts);
        if (!entry->lastFailure.empty())
            child["lastFailure"] = entry->lastFailure;
        if (entry->phase == ChildPhase::Waiting) {
            const Duration wait = entry->due - m_scheduler->now();
            child["startsInMs"] =
                    Json::Int64(std::chrono::duration_cast<milliseconds>(wait).count());
        }
        state["children"].append(child);
    }
    return state;
}

} // namespace cwl::supervisor
