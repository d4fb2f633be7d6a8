// Input and output types of placement decisions.

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

// Numbers that the planner assigns to workers, jobs and teams. The number of a removed job is
// reused.
using WorkerNumber = uint32_t;
using JobNumber = uint32_t;
using TeamNumber = uint32_t;
constexpr uint32_t noNumber = std::numeric_limits<uint32_t>::max();

// Returns the total resources of `count` tasks of one size.
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
    std::optional<DataCentreId> dataCentre = {}; // required data centre, if set
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
    Resources quota = {}; // limit on the total of its running tasks and held resources
    int64_t weight = 1;   // 1 to 1000
    PackingPolicy packing = PackingPolicy::BestFit;
};

// Identifies a task of a job.
struct TaskRef
{
    JobNumber job = noNumber;
    uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
};

// Score of a worker for a task, in parts that explain the choice. A higher total is better.
struct Score
{
    double packing = 0; // of the packing policy, 0 to 1
    double spread = 0;  // 0 or less: penalty for replicas in the same data centre, rack or worker
    double accelerator = 0; // 0 or less: penalty if the task may leave accelerators unusable

    double total() const { return packing + spread + accelerator; }
};

struct Assignment
{
    TaskRef task;
    WorkerNumber worker = noNumber;
    Attempt attempt; // 1 for the first start of the task
    Score score = {};
};

// Next action for the caller. The planner's state already includes it.
struct Decision
{
    enum class Kind {
        Start,   // start all assignments: one task, or all tasks of a gang
        Preempt, // checkpoint and stop the tasks, then report them as Outcome::Stopped
    };
    Kind kind = Kind::Start;
    std::vector<Assignment> assignments = {};
};

enum class Outcome {
    Succeeded, // the task is complete; a service replica is restarted
    Failed,    // counted as a failure of the job and the worker; retried after a backoff
    Stopped,   // preempted, lost or drained: not a failure; queued again without backoff
};

// Why a task does not run.
enum class WaitReason {
    NotWaiting,    // running, complete or failed permanently
    Turn,          // jobs of other classes or teams come first
    NoCapacity,    // no usable worker has enough free capacity
    Quota,         // it would exceed the quota of its team
    Backoff,       // the task or its job is in backoff after a failure
    GangCapacity,  // a gang that waits until all its tasks fit at once
    NoWorkerReady, // no large enough worker is reachable, reported, undrained and not quarantined
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
    uint32_t failed = 0; // given up after maxFailures
};

struct Options
{
    std::array<int64_t, urgencyClassCount> classShares = {40, 30, 10}; // percent of capacity
    uint64_t maxWaitingTasks = 1000000;
};

} // namespace cwl::placement
