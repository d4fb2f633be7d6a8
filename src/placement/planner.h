// Decides what runs where in one worker group.
//
// The planner is pure: it does no I/O, reads no clock and starts no thread, and the same calls give
// the same decisions. The caller tells it of workers, jobs and outcomes, then calls decide() until
// there is nothing to do. A decision is already part of the planner's state when it is returned:
// the caller carries it out, and reports with finish() when a task has ended for whatever reason.
// The capacity of a worker stays reserved until then.
//
// Order: classes below their guaranteed share first, the most urgent of them first. Others borrow
// idle capacity by urgency and age. Within a class, the team with the lowest weighted dominant
// share. Within a team, jobs that need the most accelerators; then, outside the most urgent class,
// jobs with long declared run times ahead of those submitted somewhat earlier.

#pragma once

#include "placement/accounts.h"
#include "placement/fleet.h"
#include "placement/job.h"
#include "placement/packing.h"
#include "placement/queue.h"
#include "placement/types.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <deque>
#include <optional>
#include <queue>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cwl::placement {

// A task that fails this often is given up; services and gangs are retried without end.
constexpr uint32_t maxFailures = 10;
constexpr Duration firstBackoff = seconds(1);
constexpr Duration longestBackoff = std::chrono::minutes(5);
// After this many failures in a row, the whole job backs off.
constexpr uint32_t jobBackoffFailures = 3;
// A waiting job overtakes one of the next more urgent class that is younger by more than this.
constexpr Duration agingPerClass = std::chrono::minutes(10);
constexpr Duration gangRetryInterval = milliseconds(250); // between searches for the same gang
constexpr Duration holdRevisionInterval = seconds(2); // after which held room is looked for anew
// Workers with accelerators stay closed to other tasks, while some wait for accelerators, until
// none of those has started for this long. Longer than most tasks run, so that room can become
// free.
constexpr Duration longestKeepOut = std::chrono::minutes(10);
constexpr int64_t maxGangTasks = 4096;
constexpr int64_t preemptionsPerSecond = 20;
constexpr int64_t maxPreemptionBurst = 20;

// What the caller has to do after finish().
struct Finished
{
    bool isKnown = false;              // false if no such task was running
    bool isJobOver = false;            // complete or cancelled, and forgotten from now on
    bool isGivenUp = false;            // the task used up its attempts
    bool isWorkerQuarantined = false;  // by this failure
    std::vector<Assignment> stop = {}; // other tasks of the gang: stop them, then report them
};

class Planner
{
public:
    explicit Planner(const Options &options);
    Planner(const Planner &) = delete;
    Planner &operator=(const Planner &) = delete;

    // Section: settings

    void setOptions(const Options &options);
    void putTeam(const TeamSpec &team);
    void removeTeam(const TeamId &team);

    // Section: workers

    WorkerNumber putWorker(const WorkerSpec &spec);
    void setReported(WorkerNumber worker, bool isReported);
    void setReachable(WorkerNumber worker, bool isReachable);
    void setDraining(WorkerNumber worker, bool isDraining);
    std::vector<Assignment> tasksOn(WorkerNumber worker) const;
    // Report the worker's tasks as stopped first; those left over count as stopped at `now`.
    void removeWorker(WorkerNumber worker, TimePoint now);
    const Fleet &fleet() const { return m_fleet; }

    // Section: jobs

    // Errors: UnknownTeam, JobConflict (a job of that id is known), InvalidValue, JobTooLarge and
    // QuotaImpossible (detail.limit is the nearest size that fits), QueueFull, NotReady (no worker
    // known).
    absl::Status submit(const JobSpec &spec, TimePoint now);

    // Takes over a job that an earlier owner accepted. It is not refused by limits and starts
    // nothing until resume(). Succeeded and given-up tasks are listed by index.
    struct Restored
    {
        JobSpec spec;
        std::vector<uint32_t> succeeded = {};
        std::vector<uint32_t> failed = {};
    };
    absl::Status restore(const Restored &job, TimePoint now);
    void resume(const JobId &job);

    // Records a task that a worker reported as running. Returns false if the job is unknown or the
    // task is complete or runs already.
    bool adopt(const JobId &job, uint32_t index, WorkerNumber worker, Attempt attempt,
               TimePoint now);

    // Forgets what waits and returns what runs: stop those tasks, then report them.
    absl::StatusOr<std::vector<Assignment>> cancel(const JobId &job);

    JobNumber find(const JobId &job) const; // noNumber if unknown
    const Job &job(JobNumber number) const { return m_jobs[number]; }
    std::optional<JobCounts> counts(const JobId &job) const;
    std::optional<Explanation> explain(const JobId &job, uint32_t index, TimePoint now) const;

    // Section: decisions

    // Makes the next decision. Returns false if there is nothing to do before the next call of
    // another function or nextWake().
    bool decide(TimePoint now, Decision &decision);
    std::optional<TimePoint> nextWake() const;

    Finished finish(TaskRef task, Outcome outcome, TimePoint now);
    std::optional<Assignment> running(TaskRef task) const;

    // Section: figures

    uint64_t waitingTasks() const { return m_waiting; }
    uint64_t runningTasks() const { return m_runningByKey.size(); }
    Resources usedBy(UrgencyClass urgency) const { return m_accounts.usage(urgency).used; }
    const Accounts &accounts() const { return m_accounts; }

private:
    struct Timer
    {
        enum class Kind { Task, Job, GangSize, Hold, Quarantine, Limits };
        TimePoint at;
        uint64_t sequence = 0;
        Kind kind = Kind::Task;
        uint32_t number = 0;     // job or worker
        uint32_t index = 0;      // task
        uint32_t generation = 0; // of the job

        bool operator>(const Timer &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };
    // Room kept free on workers for a gang that waits.
    struct Hold
    {
        JobNumber job = noNumber;
        std::vector<std::pair<WorkerNumber, uint32_t>> places = {}; // tasks for each worker
        bool mayBeReady = false; // capacity was released since it was last looked at
    };
    struct Preemption
    {
        std::vector<uint32_t> slots = {};
        double cost = 0; // core seconds run since the start, which a checkpoint may not cover
    };

    // Section: admission (admission.cpp)
    absl::Status check(const JobSpec &spec) const;
    absl::Status checkFits(const JobSpec &spec) const;
    absl::Status checkQuota(const JobSpec &spec) const;
    absl::Status addJob(const JobSpec &spec, TimePoint now, JobNumber &number);

    // Section: job and task life (tasks.cpp)
    void enqueue(JobNumber number, bool isFirst);
    uint32_t takeReadyIndex(Job &job);
    Assignment startTask(JobNumber number, uint32_t index, WorkerNumber worker, const Score &score,
                         TimePoint now);
    uint32_t addRunning(TaskRef task, WorkerNumber worker, uint32_t attempt, TimePoint now);
    void releaseSlot(uint32_t slot);
    void wakeWorker(WorkerNumber worker);
    void endTask(TaskRef task, Outcome outcome, WorkerNumber worker, TimePoint now,
                 Finished &result);
    void noteFailed(TaskRef task, WorkerNumber worker, TimePoint now, Finished &result);
    void endGangTask(TaskRef task, Outcome outcome, WorkerNumber worker, TimePoint now,
                     Finished &result);
    void waitAgain(TaskRef task);
    void startBackoff(JobNumber number, uint32_t failures, TimePoint now);
    TaskTrouble &troubleOf(TaskRef task);
    void forgetJob(JobNumber number);
    std::vector<Assignment> runningOf(const Job &job) const;
    Assignment assignmentOf(uint32_t slot) const;
    void addTimer(Timer::Kind kind, TimePoint at, uint32_t number, uint32_t index = 0);
    bool runTimers(TimePoint now); // false if more timers are due
    void runTimer(const Timer &timer, TimePoint now);

    // Section: choice (planner.cpp)
    JobNumber chooseJob(TimePoint now, bool &isBelowGuarantee) const;
    bool startNext(TimePoint now, Decision &decision);
    bool startOne(JobNumber number, const std::vector<int64_t> &limits, TimePoint now,
                  Decision &decision);
    bool startKeptOut(TimePoint now, Decision &decision);
    void updateLimits(TimePoint now);
    std::optional<WorkerNumber> findWorker(const Job &job, const std::vector<int64_t> &limits,
                                           Score &score);
    Score scoreOf(const Job &job, const Packing &packing, WorkerNumber worker) const;
    void countReplicas(const Job &job);
    PackingPolicy policyOf(const Job &job) const;
    WaitReason waitReason(JobNumber number) const;
    bool isAnyWorkerReady(const Job &job) const;

    // Section: gangs (gangs.cpp)
    bool startGang(JobNumber number, TimePoint now, Decision &decision);
    bool placeGang(JobNumber number, TimePoint now, Decision &decision);
    bool planHold(JobNumber number, TimePoint now);
    void reviseHold(Hold &hold, TimePoint now);
    JobNumber clearHold(Hold &hold); // frees the room; returns the gang
    void dropHold(Hold &hold);       // frees the room; the gang waits without it
    void startOnHold(Hold &hold, TimePoint now, Decision &decision);
    bool isHoldReady(const Hold &hold) const;
    bool startHeldGangs(TimePoint now, Decision &decision);
    bool isWithinGuarantee(const Hold &hold) const;
    bool breakBorrowedHolds(UrgencyClass urgency);
    void collectHoldPlaces(const Job &job, TimePoint now);
    void addHoldPlaces(const Job &job, WorkerNumber worker, TimePoint now);
    TimePoint expectedEnd(const Running &running, TimePoint now) const;

    // Section: preemption (preemption.cpp)
    bool preempt(TimePoint now, Decision &decision);
    bool preemptFor(JobNumber number, TimePoint now, Decision &decision);
    std::optional<Preemption> victimsOn(WorkerNumber worker, const Resources &demand,
                                        TimePoint now) const;
    // True if the class keeps its guaranteed share without another `amount`.
    bool mayLose(UrgencyClass urgency, const Resources &amount) const;
    void refillPreemptions(TimePoint now);
    void addPreemptible(uint32_t slot);
    void removePreemptible(uint32_t slot);

    Options m_options;
    Fleet m_fleet;
    Accounts m_accounts;
    std::deque<Job> m_jobs; // addresses stay: m_jobNumbers refers to the ids in it
    Queue m_queue;
    std::unordered_map<std::string_view, JobNumber> m_jobNumbers;
    std::vector<JobNumber> m_freeJobs;
    std::vector<Running> m_slots;
    std::vector<uint32_t> m_freeSlots;
    std::unordered_map<uint64_t, uint32_t> m_runningByKey; // job and index to slot
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::array<Hold, urgencyClassCount> m_holds = {};
    std::array<std::vector<uint32_t>, urgencyClassCount> m_preemptible; // slots of batch tasks
    std::array<size_t, urgencyClassCount> m_victimCursor = {};
    int64_t m_preemptions = maxPreemptionBurst; // left in the budget
    TimePoint m_preemptionsRefilled = {};
    std::vector<int64_t> m_limits; // see Queue::findAcceleratorLimits
    bool m_isLimitTimerSet = false;
    const std::vector<int64_t> m_noLimits; // empty
    uint64_t m_waiting = 0;
    uint64_t m_timerSequence = 0;

    // Reused between decisions to avoid allocations.
    std::vector<WorkerNumber> m_found;
    std::vector<int64_t> m_newLimits;
    std::vector<std::pair<uint64_t, uint32_t>> m_replicas; // place, rack or worker to replicas
    struct HoldPlace
    {
        TimePoint at;
        WorkerNumber worker;
        uint32_t tasks;
    };
    std::vector<HoldPlace> m_holdPlaces;
    std::vector<std::pair<WorkerNumber, Score>> m_gangPlan;
    WorkerNumber m_holdCursor = 0; // where the next search for room starts
};

} // namespace cwl::placement
