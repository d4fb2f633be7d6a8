// The state of jobs and workers inside the dispatcher. Internal to this library.

#pragma once

#include "jobs/callercost.h"
#include "jobs/customeraccounts.h"
#include "jobs/progress.h"
#include "jobs/types.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::jobs {

struct Job;
struct Worker;

// Section: runs

enum class RunPhase {
    Ordered,  // the start was sent, not confirmed yet
    Running,  // the worker has confirmed it
    Stopping, // stops are sent until it is known to have ended
};

// One run of a task on one worker, from the order until it is known to have ended. Holds its
// resources throughout.
struct Run
{
    Job *job = nullptr; // null: the task is unknown to this owner
    TaskAddress address;
    int64_t attempt = 0;
    Resources resources = {};
    Millicores backfillCores = {};      // used but not reserved
    CustomerAccount *account = nullptr; // that the run counts in; null: of no customer
    Resources counted = {};             // in the account
    RunPhase phase = RunPhase::Ordered;
    TimePoint orderedAt = {};
    TimePoint confirmedAt = {};
    TimePoint stopSentAt = {};  // last stop
    TimePoint stopAckedAt = {}; // zero: no stop acknowledged yet
    bool isFromStart = false;   // without a checkpoint
    int64_t percent = 0;
    TimePoint percentChangedAt = {};
    int64_t metric = 0;
    int64_t pace = 100; // percent of full speed
    TimePoint paceChangedAt = {};
};

// Section: jobs

struct Task
{
    enum class Phase { Waiting, Active, Done };
    Phase phase = Phase::Waiting;
    Worker *worker = nullptr;   // of an active task
    int64_t attempt = 0;        // last one used
    WorkerId lastFailedOn = {}; // not chosen again while others have capacity
    TaskProgress progress = {};
};

struct Ticket
{
    std::string text;
    TimePoint expires;
    int64_t born = 0; // `born` of the worker that it is for
};

// Responses of the advice service for one step.
struct Advice
{
    std::unordered_map<std::string, Ticket> allowed = {}; // by worker id
    std::unordered_map<std::string, bool> responses = {}; // by worker id; true: allowed
    bool isPending = false;
    TimePoint retryAt = {};
    std::optional<TimePoint> wantedSince = {}; // the first query that is not answered yet
};

struct StepState
{
    std::vector<Task> tasks = {};
    uint32_t done = 0;
    uint32_t waiting = 0;
    std::unordered_map<const Worker *, uint32_t> perWorker = {}; // active tasks
    Advice advice = {};
    TimePoint retryAt = {}; // no placement before

    bool isDone() const { return done == tasks.size(); }
};

struct Occurrence
{
    uint32_t number = 0;
    std::vector<StepState> steps = {};
    bool isDone = false;
    TimePoint dueAt = {};
    TimePoint targetTime = {};
    TimePoint noValueAfter = {}; // completing it after this earns nothing
};

struct Job
{
    JobSpec spec;
    CustomerAccount *account = nullptr;       // null: of no customer
    bool isWithinRate = true;                 // of its customer
    std::vector<Occurrence> occurrences = {}; // those that have come due
    JobState state = JobState::Queued;
    JobState reportedState = JobState::Queued; // to callers: final states only once stored
    bool isCancelled = false;
    bool isDirty = false;
    bool isProgressShortened = false; // as last stored
    uint64_t changes = 0;             // incremented whenever there is something to store
    bool isRestored = false;          // runs started by an earlier owner may exist
    uint32_t occurrencesDone = 0;
    uint32_t activeRuns = 0;
    TimePoint arrivedAt = {};
    TimePoint knownAt = {};                    // when this owner learned of it
    Duration targetDuration = {};              // of each occurrence, from when it is due
    std::vector<Duration> predictedTimes = {}; // of one task of each step
    // Of each step: the longest chain of predicted work from its start to the end of the job.
    std::vector<Duration> criticalPaths = {};
    TimePoint finishedAt = {};
};

// Section: workers

// The runs that a report lists. A report of a process that may have restarted since a newer owner
// fenced it is kept until a write shows that there was no newer owner.
struct UnprovenReport
{
    std::unordered_map<std::string, int64_t> running = {}; // attempts by task
    TimePoint sentAt = {};
    TimePoint receivedAt = {};
};

struct Worker
{
    WorkerEntry entry;
    bool isListed = true;
    // The store lists it among the used workers: a later owner will look for runs there.
    bool isRecorded = false;
    bool hasReported = false; // it has reported to this owner
    bool isRecovered = false; // and listed all that an earlier owner may have started there
    bool hasMoreEnds = false; // than the last report lists
    Resources used = {};
    Millicores backfillUsed = {};
    bool lastPollFailed = false;
    Incarnation incarnation = {};     // that sent the last report
    TimePoint incarnationSeenAt = {}; // its first report to this owner
    int64_t clockMs = 0;              // the worker's clock, read ...
    TimePoint clockReadAt = {};       // ... at this instant or earlier
    TimePoint lastReport = {};
    TimePoint leaseExpiresAt = {}; // all its runs have ended by then unless it is renewed
    int64_t completionsProcessed = 0;
    int64_t completionsAcknowledged = 0;            // their effects are stored
    std::unordered_map<std::string, Run> runs = {}; // by task
    std::optional<UnprovenReport> unproven = {};
    uint32_t unknownRuns = 0; // runs with unknown resources
    uint32_t servingRuns = 0; // runs with a latency target
    uint32_t consecutiveFailures = 0;
    TimePoint excludedUntil = {};     // gets no starts before
    bool isInPool = false;            // may get starts during this pass
    TimePoint drainDeadline = {};     // zero: not known
    double slowness = 1;              // run times relative to estimates, smoothed
    const Job *reservedFor = nullptr; // for a large task, during one pass
};

inline Resources freeCapacity(const Worker &worker)
{
    return worker.entry.capacity - worker.used;
}

inline int64_t priorityOf(const Job &job)
{
    return effectivePriority(job.spec.queue.priority, job.isWithinRate);
}

} // namespace cwl::jobs
