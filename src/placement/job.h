// State of jobs and running tasks in the planner.

#pragma once

#include "placement/types.h"

#include <map>
#include <memory>
#include <vector>

namespace cwl::placement {

// Retry state of a task. Exists only for tasks whose first attempt did not succeed.
struct TaskRetryState
{
    uint32_t attempts = 0; // starts so far
    uint32_t failures = 0;
    TimePoint notBefore = {};
    bool isDelayed = false; // in backoff: not in Job::readyIndexes
    bool isGivenUp = false; // reached the failure limit
};

// Retry state of a job. Created with the first retry state of one of its tasks.
struct JobRetryState
{
    std::map<uint32_t, TaskRetryState> tasks = {};
    std::vector<WorkerNumber> failedOn = {}; // distinct workers since the last success
    uint32_t failuresInRow = 0;
};

// Waiting tasks have no object of their own: tasks that never started are the indexes from
// `nextUnstarted` to `count`.
struct Job
{
    JobId id = {};
    Resources each = {};
    TimePoint submitted = {};
    Duration run = {};
    TimePoint notBefore = {};                // end of the backoff of the whole job
    std::vector<uint32_t> readyIndexes = {}; // indexes below nextUnstarted that are ready to start
    std::unique_ptr<JobRetryState> retryState = {};
    TeamNumber team = noNumber;
    uint32_t count = 0;
    uint32_t nextUnstarted = 0;
    uint32_t running = 0;
    uint32_t succeeded = 0;
    uint32_t failed = 0;           // tasks given up after maxFailures
    uint32_t firstSlot = noNumber; // head of the list of running tasks, linked through Running
    uint32_t queue = noNumber;     // noNumber while not queued
    uint32_t previous = noNumber;
    uint32_t next = noNumber;
    uint32_t generation = 0; // detects timers of an earlier job with this number
    uint16_t dataCentreNumber = 0;
    JobKind kind = JobKind::Batch;
    UrgencyClass urgency = UrgencyClass::Normal;
    std::optional<PackingPolicy> policy = {};
    bool isKnown = false;
    bool isCancelled = false;
    bool isPaused = false;       // restored; starts nothing until resume()
    bool hasHold = false;        // a gang for which resources are held
    bool isGangStopping = false; // a gang whose other tasks are being stopped

    uint32_t waiting() const { return count - running - succeeded - failed; }
    bool hasReadyTask() const { return nextUnstarted < count || !readyIndexes.empty(); }
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
    uint32_t position = noNumber; // in the list of preemptible tasks of its class
    bool isStopping = false;
    std::optional<UrgencyClass> preemptedFor = {};
    Score score = {};
};

} // namespace cwl::placement
