// Plain data that goes into and comes out of placement decisions.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"
#include "settings/cellsettings.h"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace cwl::placement {

using settings::PackingPolicy;
using settings::UrgencyClass;
using settings::urgencyClassCount;

// Numbers that the library gives to workers, jobs and teams while it knows them.
using WorkerNumber = uint32_t;
using JobNumber = uint32_t;
using TeamNumber = uint32_t;
constexpr uint32_t noNumber = std::numeric_limits<uint32_t>::max();

// The amount that `count` tasks of one size need together.
constexpr Resources times(const Resources &each, int64_t count)
{
    return {Millicores(each.cores.value() * count), Mebibytes(each.memory.value() * count),
            Accelerators(each.accelerators.value() * count)};
}

enum class JobKind { Service, Batch, Gang };

struct JobSpec
{
    JobId id;
    TeamId team;
    JobKind kind = JobKind::Batch;
    UrgencyClass urgency = UrgencyClass::Normal;
    uint32_t count = 1;                          // tasks of the job
    Resources each = {};                         // declared size of each task
    Duration run = {};                           // declared run time; 0 when unknown
    std::optional<DataCentreId> dataCentre = {}; // the only one allowed, if given
    std::optional<PackingPolicy> policy = {};    // overrides the team's policy
};

struct WorkerSpec
{
    WorkerId id;
    DataCentreId dataCentre;
    RackId rack;
    Resources capacity;
};

struct TeamSpec
{
    TeamId id;
    Resources quota = {}; // most that its tasks may use at once
    int64_t weight = 1;   // 1 to 1000
    PackingPolicy packing = PackingPolicy::BestFit;
};

// One task of a job that the planner knows.
struct TaskRef
{
    JobNumber job = noNumber;
    uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
};

// Why this worker was chosen. A higher total is better; the parts sum up to it.
struct Score
{
    double packing = 0;     // of the packing policy, 0 to 1
    double spread = 0;      // 0 or less: replicas of the job in the same place
    double accelerator = 0; // 0 or less: accelerators that the task leaves unusable

    double total() const { return packing + spread + accelerator; }
};

struct Assignment
{
    TaskRef task;
    WorkerNumber worker = noNumber;
    Attempt attempt; // 1 for the first start of the task
    Score score = {};
};

// What is to be done next. The planner's state already includes it.
struct Decision
{
    enum class Kind {
        Start,   // start all assignments: one task, or every task of a gang
        Preempt, // checkpoint and stop the tasks, then report them as Outcome::Stopped
    };
    Kind kind = Kind::Start;
    std::vector<Assignment> assignments = {};
};

enum class Outcome {
    Succeeded, // the task is complete; a service replica is started again
    Failed,    // counts against the job and the worker; retried after a backoff
    Stopped,   // preempted, lost or drained: nobody's fault; waits again at once
};

// Why a task does not run.
enum class WaitReason {
    NotWaiting,    // it runs, or it is complete
    Turn,          // its turn by class and team has not come
    NoRoom,        // no usable worker has room for its size
    Quota,         // its team is at its quota
    Backoff,       // it, or its job, failed lately
    GangRoom,      // a gang for which room is being held or looked for
    NoWorkerReady, // no worker that is large enough has reported, is undrained and not quarantined
};
const char *waitReasonName(WaitReason reason);
const char *jobKindName(JobKind kind);
std::optional<JobKind> jobKindFromName(const std::string &name);

enum class TaskState { Waiting, Running, Stopping, Complete, Failed };

struct Explanation
{
    TaskState state = TaskState::Waiting;
    WaitReason reason = WaitReason::NotWaiting;
    std::optional<TimePoint> notBefore = {};   // when a backoff ends
    std::optional<Assignment> assignment = {}; // of a running task
};

struct JobCounts
{
    uint32_t waiting = 0; // includes tasks in backoff
    uint32_t running = 0;
    uint32_t succeeded = 0;
    uint32_t failed = 0; // used up their attempts
};

struct Options
{
    std::array<int64_t, urgencyClassCount> classShares = {40, 30, 10}; // percent of capacity
    uint64_t maxWaitingTasks = 1000000;
};

} // namespace cwl::placement
