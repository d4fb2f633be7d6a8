// The state of jobs and workers inside the dispatcher. Internal to this library.

#pragma once

#include "jobs/progress.h"
#include "jobs/types.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::jobs {

struct Job;
struct Worker;

// Section: runs

enum class RunPhase {
    Ordered,  // the start was sent, nothing is known yet
    Running,  // the worker has confirmed it
    Stopping, // it is to end: stops are sent until its end is certain
};

// One run of a task on one worker, from the order to its certain end. Holds its resources
// throughout.
struct Run
{
    Job *job = nullptr; // none: a run of a task that this owner knows nothing of
    TaskAddress address;
    int64_t attempt = 0;
    Resources resources = {};
    Millicores backfillCores = {}; // used but not reserved
    RunPhase phase = RunPhase::Ordered;
    TimePoint orderedAt = {};
    TimePoint confirmedAt = {};
    TimePoint stopSentAt = {};  // the last one
    TimePoint stopAckedAt = {}; // zero: no stop was answered yet
    int64_t percent = 0;
    TimePoint percentChangedAt = {}; // when it last changed
    int64_t metric = 0;
    int64_t pace = 100;           // percent of full speed
    TimePoint paceChangedAt = {}; // when its pace was last changed
};

// Section: jobs

struct Task
{
    enum class Phase { Waiting, Active, Done };
    Phase phase = Phase::Waiting;
    Worker *worker = nullptr;   // of an active task
    int64_t attempt = 0;        // the last one used
    WorkerId lastFailedOn = {}; // not chosen again while others have capacity
    TaskProgress progress = {};
};

struct Ticket
{
    std::string text;
    TimePoint expires;
    int64_t born = 0; // life of the worker that it is for
};

// What the advice service has said about one step.
struct Advice
{
    std::unordered_map<std::string, Ticket> allowed = {}; // by worker id
    std::unordered_map<std::string, bool> responses = {}; // worker id to its answer
    bool isPending = false;
    TimePoint retryAt = {};
};

struct StepState
{
    std::vector<Task> tasks = {};
    uint32_t done = 0;
    uint32_t waiting = 0;
    std::unordered_map<const Worker *, uint32_t> perWorker = {}; // active tasks
    Advice advice = {};
    TimePoint retryAt = {}; // not placed before

    bool isDone() const { return done == tasks.size(); }
};

struct Occurrence
{
    uint32_t number = 0;
    std::vector<StepState> steps = {};
    bool isDone = false;
    TimePoint targetTime = {};
    TimePoint noValueAfter = {}; // completing it after this earns nothing
};

struct Job
{
    JobSpec spec;
    std::vector<Occurrence> occurrences = {}; // those that have come due
    JobState state = JobState::Queued;
    JobState reportedState = JobState::Queued; // to callers: final states only once stored
    bool isCancelled = false;
    bool isDirty = false;
    uint64_t changes = 0;    // rises whenever something is to be stored
    bool isRestored = false; // its tasks may run where an earlier owner started them
    uint32_t occurrencesDone = 0;
    uint32_t activeRuns = 0;
    TimePoint arrivedAt = {};
    TimePoint knownAt = {};       // to this owner
    Duration targetDuration = {}; // of each occurrence, from when it is due
    std::vector<Duration> criticalPaths =
            {}; // of each step: the longest chain of work from its start
    TimePoint finishedAt = {};
};

// Section: workers

struct Worker
{
    WorkerEntry entry;
    bool isListed = true;
    bool isRead = false; // it has reported to this owner
    Resources used = {};
    Millicores backfillUsed = {};
    bool lastPollFailed = false;  // the last poll of it failed
    int64_t born = 0;             // of the life that reported last
    TimePoint restartSeenAt = {}; // a restart that this owner has seen; zero: none
    int64_t clockMs = 0;          // its clock ...
    TimePoint clockReadAt = {};   // ... no later than at this instant
    TimePoint lastReport = {};
    TimePoint leaseExpiresAt = {}; // everything there has ended by then unless it is renewed
    int64_t endsProcessed = 0;
    int64_t endsAcknowledged = 0;                   // what they mean is stored
    std::unordered_map<std::string, Run> runs = {}; // by task
    uint32_t unknownRuns = 0;                       // whose resources are not known
    uint32_t servingRuns = 0;                       // runs with a target for their response times
    uint32_t consecutiveFailures = 0;
    TimePoint excludedUntil = {};     // starts nothing before
    TimePoint drainDeadline = {};     // zero: not known
    double slowness = 1;              // run times against estimates, smoothed
    const Job *reservedFor = nullptr; // a large task, during one pass
};

inline Resources freeCapacity(const Worker &worker)
{
    return worker.entry.capacity - worker.used;
}

} // namespace cwl::jobs
