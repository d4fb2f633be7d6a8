// Scheduling of one worker group: decides which task starts on which worker, and which tasks are
// preempted.
//
// The planner is deterministic: it does no I/O, reads no clock and starts no thread, and the same
// calls give the same decisions. The caller passes in workers, jobs and outcomes, then calls
// decide() until it returns false. The planner's state already includes a decision when decide()
// returns it. The caller executes the decision and calls finish() when a task has ended for any
// reason. The resources of the task stay reserved on the worker until then.
//
// Order of starts:
// 1. Classes below their guaranteed share, the most urgent first. Other classes borrow idle
//    capacity in order of urgency and age.
// 2. Within a class, the team with the lowest weighted dominant share.
// 3. Within a team, jobs that need the most accelerators. Then the order of submission, except that
//    batch jobs outside the most urgent class move ahead by about their declared run time, at most
//    17 minutes.

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

// A batch task is given up after this many failures. Services and gangs are retried indefinitely.
constexpr uint32_t maxFailures = 10;
constexpr Duration firstBackoff = seconds(1);
constexpr Duration maxBackoff = std::chrono::minutes(5);
// After this many consecutive failures the whole job backs off.
constexpr uint32_t jobBackoffFailures = 3;
// A job starts before one of the next more urgent class that was submitted later by more than this.
constexpr Duration agingPerClass = std::chrono::minutes(10);
constexpr Duration gangRetryInterval = milliseconds(250); // between attempts for a blocked gang
constexpr Duration holdReplanInterval = seconds(2);       // between searches for a better hold
// While tasks wait for accelerators, workers with enough free accelerators are reserved for them.
// The reservation ends when no such task has started for this long. The time is longer than most
// tasks run, so that capacity can become free.
constexpr Duration maxAcceleratorReservation = std::chrono::minutes(10);
constexpr int64_t maxGangTasks = 4096;
constexpr int64_t preemptionsPerSecond = 20;
constexpr int64_t maxPreemptionBurst = 20;

// Result of finish().
struct Finished
{
    bool isKnown = false;              // false if no such task was running
    bool isJobOver = false;            // complete or cancelled; the planner has removed the job
    bool isGivenUp = false;            // the task reached maxFailures
    bool isWorkerQuarantined = false;  // because of this failure
    std::vector<Assignment> stop = {}; // other tasks of the gang: stop, then finish() each
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
    // Removes a worker. Call finish() with Outcome::Stopped for its tasks first; remaining tasks
    // are treated as stopped at `now`.
    void removeWorker(WorkerNumber worker, TimePoint now);
    const Fleet &fleet() const { return m_fleet; }

    // Section: jobs

    // Adds a job. Errors: UnknownTeam, JobConflict (the job id is already known), InvalidValue,
    // JobTooLarge and QuotaImpossible (detail.limit is the nearest size that fits), QueueFull,
    // NotReady (no worker is known).
    absl::Status submit(const JobSpec &spec, TimePoint now);

    // Adds a job that an earlier owner accepted. Limits do not apply to it, and it starts nothing
    // until resume(). Error: JobConflict.
    struct Restored
    {
        JobSpec spec;
        std::vector<uint32_t> succeeded = {}; // task indexes
        std::vector<uint32_t> failed = {};    // indexes of tasks that were given up
    };
    absl::Status restore(const Restored &job, TimePoint now);
    void resume(const JobId &job);

    // Records a task that a worker reported as running. Returns false if the job is unknown or
    // cancelled, or if the task is complete or already running.
    bool adopt(const JobId &job, uint32_t index, WorkerNumber worker, Attempt attempt,
               TimePoint now);

    // Drops the waiting tasks and returns the running ones: stop those, then call finish() for
    // each. Error: UnknownJob.
    absl::StatusOr<std::vector<Assignment>> cancel(const JobId &job);

    JobNumber find(const JobId &job) const; // noNumber if unknown
    const Job &job(JobNumber number) const { return m_jobs[number]; }
    std::optional<JobCounts> counts(const JobId &job) const;
    std::optional<Explanation> explain(const JobId &job, uint32_t index, TimePoint now) const;

    // Section: decisions

    // Makes the next decision. Returns false if there is nothing to do until nextTimer() or until
    // another call changes the state.
    bool decide(TimePoint now, Decision &decision);
    std::optional<TimePoint> nextTimer() const;

    Finished finish(TaskRef task, Outcome outcome, TimePoint now);
    std::optional<Assignment> running(TaskRef task) const;

    // Section: statistics

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
    // Resources reserved on workers for a waiting gang.
    struct Hold
    {
        JobNumber job = noNumber;
        std::vector<std::pair<WorkerNumber, uint32_t>> tasksPerWorker = {};
        bool mayBeReady = false; // capacity was released since the last check
    };
    struct Preemption
    {
        std::vector<uint32_t> slots = {};
        double cost = 0; // core seconds since the tasks started; a checkpoint may not cover them
    };

    // Section: admission (admission.cpp)
    absl::Status check(const JobSpec &spec) const;
    absl::Status checkFits(const JobSpec &spec) const;
    absl::Status checkQuota(const JobSpec &spec) const;
    absl::Status addJob(const JobSpec &spec, TimePoint now, JobNumber &number);

    // Section: job and task lifecycle (tasks.cpp)
    void enqueue(JobNumber number, bool isFirst);
    uint32_t takeReadyIndex(Job &job);
    Assignment startTask(JobNumber number, uint32_t index, WorkerNumber worker, const Score &score,
                         TimePoint now);
    uint32_t addRunning(TaskRef task, WorkerNumber worker, uint32_t attempt, TimePoint now);
    void releaseSlot(uint32_t slot);
    void onWorkerChanged(WorkerNumber worker);
    void endTask(TaskRef task, Outcome outcome, WorkerNumber worker, TimePoint now,
                 Finished &result);
    void handleFailure(TaskRef task, WorkerNumber worker, TimePoint now, Finished &result);
    void endGangTask(TaskRef task, Outcome outcome, WorkerNumber worker, TimePoint now,
                     Finished &result);
    void requeue(TaskRef task);
    void startBackoff(JobNumber number, uint32_t failures, TimePoint now);
    TaskRetryState &retryStateOf(TaskRef task);
    void removeJob(JobNumber number);
    std::vector<Assignment> runningOf(const Job &job) const;
    Assignment assignmentOf(uint32_t slot) const;
    void addTimer(Timer::Kind kind, TimePoint at, uint32_t number, uint32_t index = 0);
    bool runTimers(TimePoint now); // false if more timers are due, see maxTimersPerDecision
    void runTimer(const Timer &timer, TimePoint now);

    // Section: selection (planner.cpp)
    JobNumber chooseJob(TimePoint now, bool &isBelowGuarantee) const;
    bool startNextJob(TimePoint now, Decision &decision);
    bool startNextTask(JobNumber number, const std::vector<int64_t> &limits, TimePoint now,
                       Decision &decision);
    bool startAcceleratorLimited(TimePoint now, Decision &decision);
    void updateAcceleratorLimits(TimePoint now);
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
    void replanHold(Hold &hold, TimePoint now);
    JobNumber releaseHold(Hold &hold);      // returns the gang, which is not queued
    void releaseHoldAndRequeue(Hold &hold); // the gang waits without a hold
    void startGangOnHold(Hold &hold, TimePoint now, Decision &decision);
    bool isHoldReady(const Hold &hold) const;
    bool startReadyHold(TimePoint now, Decision &decision);
    bool isWithinGuarantee(const Hold &hold) const;
    bool releaseBorrowedHolds(UrgencyClass urgency);
    void collectHoldOptions(const Job &job, TimePoint now);
    void addHoldOptions(const Job &job, WorkerNumber worker, TimePoint now);
    TimePoint expectedEnd(const Running &running, TimePoint now) const;

    // Section: preemption (preemption.cpp)
    bool preempt(TimePoint now, Decision &decision);
    bool preemptFor(JobNumber number, TimePoint now, Decision &decision);
    std::optional<Preemption> victimsOn(WorkerNumber worker, const Resources &demand,
                                        TimePoint now) const;
    // Returns true if the class still has its guaranteed share after losing `amount`.
    bool keepsGuaranteeWithout(UrgencyClass urgency, const Resources &amount) const;
    void refillPreemptionBudget(TimePoint now);
    void addPreemptible(uint32_t slot);
    void removePreemptible(uint32_t slot);

    Options m_options;
    Fleet m_fleet;
    Accounts m_accounts;
    std::deque<Job> m_jobs; // deque, since m_jobNumbers refers to the ids in it
    Queue m_queue;
    std::unordered_map<std::string_view, JobNumber> m_jobNumbers;
    std::vector<JobNumber> m_freeJobs;
    std::vector<Running> m_slots;
    std::vector<uint32_t> m_freeSlots;
    std::unordered_map<uint64_t, uint32_t> m_runningByKey; // slots by job number and task index
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::array<Hold, urgencyClassCount> m_holds = {};                   // one gang of each class
    std::array<std::vector<uint32_t>, urgencyClassCount> m_preemptible; // slots of batch tasks
    std::array<size_t, urgencyClassCount> m_victimCursor = {};
    int64_t m_preemptionBudget = maxPreemptionBurst; // preemptions allowed now
    TimePoint m_preemptionsRefilled = {};
    std::vector<int64_t> m_acceleratorLimits; // see Queue::findAcceleratorLimits
    bool m_isAcceleratorLimitTimerSet = false;
    const std::vector<int64_t> m_noAcceleratorLimits; // empty
    uint64_t m_waiting = 0;
    uint64_t m_timerSequence = 0;

    // Reused between decisions to avoid allocations.
    std::vector<WorkerNumber> m_candidates;
    std::vector<int64_t> m_newAcceleratorLimits;
    std::vector<std::pair<uint64_t, uint32_t>> m_replicas; // data centre, rack or worker; count
    struct HoldOption
    {
        TimePoint at;
        WorkerNumber worker;
        uint32_t tasks;
    };
    std::vector<HoldOption> m_holdOptions;
    std::vector<std::pair<WorkerNumber, Score>> m_gangPlan;
    WorkerNumber m_holdCursor = 0; // worker at which the next search for a hold starts
};

} // namespace cwl::placement
