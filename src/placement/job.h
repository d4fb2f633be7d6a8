// What the planner keeps for a job and for a running task.

#pragma once

#include "placement/types.h"

#include <map>
#include <memory>
#include <vector>

namespace cwl::placement {

// Kept only for tasks that did not succeed at their first attempt.
struct TaskTrouble
{
    uint32_t attempts = 0; // starts so far
    uint32_t failures = 0;
    TimePoint notBefore = {};
    bool isDelayed = false; // in backoff: not in Job::retry
    bool isGivenUp = false; // used up its attempts
};

// Kept only for jobs with such tasks.
struct JobTrouble
{
    std::map<uint32_t, TaskTrouble> tasks = {};
    std::vector<WorkerNumber> failedOn = {}; // different workers since a success
    uint32_t failuresInRow = 0;
};

// Waiting tasks need no object each: those never started are the indexes from `nextFresh`.
struct Job
{
    JobId id = {};
    Resources each = {};
    TimePoint submitted = {};
    Duration run = {};
    TimePoint notBefore = {};         // end of the job's own backoff
    std::vector<uint32_t> retry = {}; // indexes below nextFresh that wait
    std::unique_ptr<JobTrouble> trouble = {};
    TeamNumber team = noNumber;
    uint32_t count = 0;
    uint32_t nextFresh = 0;
    uint32_t running = 0;
    uint32_t succeeded = 0;
    uint32_t failed = 0;           // tasks given up
    uint32_t firstSlot = noNumber; // running tasks, linked through Running
    uint32_t queue = noNumber;     // while queued
    uint32_t previous = noNumber;
    uint32_t next = noNumber;
    uint32_t generation = 0; // tells timers of an earlier job with this number
    uint16_t place = 0;
    JobKind kind = JobKind::Batch;
    UrgencyClass urgency = UrgencyClass::Normal;
    std::optional<PackingPolicy> policy = {};
    bool isKnown = false;
    bool isCancelled = false;
    bool isPaused = false;       // restored, must not start yet
    bool isHeldFor = false;      // a gang for which room is held
    bool isGangStopping = false; // a gang that waits for its other tasks to stop

    uint32_t waiting() const { return count - running - succeeded - failed; }
    bool hasReadyTask() const { return nextFresh < count || !retry.empty(); }
    bool isComplete() const { return kind != JobKind::Service && succeeded + failed == count; }
};

struct Running
{
    TimePoint started = {};
    JobNumber job = noNumber; // noNumber while the slot is free
    uint32_t index = 0;
    WorkerNumber worker = noNumber;
    uint32_t attempt = 0;
    uint32_t previousInJob = noNumber;
    uint32_t nextInJob = noNumber;
    uint32_t position = noNumber; // among the tasks of its class that may be preempted
    bool isStopping = false;
    std::optional<UrgencyClass> preemptedFor = {};
    Score score = {};
};

} // namespace cwl::placement
