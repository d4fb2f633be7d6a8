// Jobs as graphs of steps, the queues that they come through and the workers that run their tasks.
// Plain data: no I/O, no clock.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cwl::jobs {

// Section: queues

// The policy service that decides where the steps of a queue may run.
struct AdvicePolicy
{
    Duration decision = {};  // duration of one call
    Duration perWorker = {}; // added for each worker that the call names
    Duration validity = {};  // of a ticket
};

// A queue as the configuration in force describes it.
struct Queue
{
    std::string name = {};          // key of the queue
    std::string host = {};          // in the callers' requests
    std::string prefix = {};        // of the callers' request paths
    std::string service = {};       // its workers run the tasks
    int64_t priority = 0;           // 0 is the most urgent
    int64_t maxAttempts = 1;        // failed runs of one task after which the job fails
    double maxSlowdown = 1;         // target duration: this many times the critical path ...
    Duration latencyAllowance = {}; // ... plus this
    bool isAnonymous = false;       // its callers need no key; its jobs belong to no customer
    std::optional<AdvicePolicy> advice = {};
};

// Section: customers

struct Customer
{
    CustomerId id;
    int64_t weight = 1; // jobs a second that are owed to it when capacity is short
    Resources cap = {}; // of its runs on all workers together; 0: no limit
};

struct CustomerEntry
{
    Customer customer;
    std::vector<KeyDigest> keys = {}; // any of them identifies its callers
};

// The configuration in force.
struct CellConfig
{
    int64_t version = 0;
    std::vector<Queue> queues = {};
    std::vector<std::string> services = {};
    std::optional<std::vector<CustomerEntry>> customers = {}; // none: callers need no key
    size_t maxBodyBytes = 262144;
};

// Section: jobs

struct Step
{
    uint32_t count = 1;               // number of tasks
    Resources each = {};              // resources of one task
    Duration estimate = {};           // rough run time of one task
    std::vector<uint32_t> after = {}; // numbers of the steps that must be done first
    std::string label = {};           // the worker must have it; empty: no restriction
    std::string rack = {};            // holds the data; may be empty
    std::string image = {};           // tasks of one image behave alike; may be empty
    uint32_t maxPerWorker = 0;        // tasks of the step on one worker; 0: no limit
    uint32_t maxUnavailable = 0;      // tasks that the system may stop at once; 0: no limit
    int64_t tailTargetMs = 0;         // limit of a serving task's tail latency; 0: none
    bool checkpoints = false;         // tasks save their progress while they run
    bool gang = false;                // all tasks must run at the same time
    bool rackLocal = false;           // a gang that is slower across racks
    bool speculative = false;         // duplicate runs are allowed
    bool longRunning = false;         // runs until the job is cancelled
    bool backfill = false;            // uses cores left idle by other tasks; reserves none
};

struct JobSpec
{
    JobId id;
    Queue queue;                           // settings at acceptance
    std::optional<Customer> customer = {}; // settings at acceptance; none: of no customer
    std::string payload = {};              // handed to each task
    std::vector<Step> steps = {};
    uint32_t times = 0; // number of occurrences; 0: one, due immediately
    UnixMilliseconds firstAt = {};
    Duration interval = {}; // between occurrences
    UnixMilliseconds acceptedAt = {};
};

// One task. Its text form is "job.occurrence.step.index".
struct TaskAddress
{
    JobId job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    bool operator==(const TaskAddress &) const = default;
    std::string text() const;
    std::string stepText() const; // "job.occurrence.step"
    static std::optional<TaskAddress> parse(const std::string &text);
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };
const char *jobStateName(JobState state);
std::optional<JobState> jobStateFromName(const std::string &name);
inline bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

// Section: workers

// A worker as the platform lists it.
struct WorkerEntry
{
    WorkerId id;
    std::string address; // "ip:port"
    std::string service;
    DataCentreId dataCentre;
    Resources capacity;
    std::vector<std::string> labels = {}; // its kind and its rack
    bool isDraining = false;
    std::optional<Duration> remaining = {}; // draining worker: minimum time left
    int64_t born = 0;                       // start time in Unix milliseconds; identifies a restart
};

struct RunningTask
{
    std::string task;
    int64_t attempt = 0;
    std::string checkpoint = {}; // empty: none
    int64_t percent = 0;
    int64_t metric = 0; // serving task: tail latency in ms; others: cores in use
};

enum class EndKind { Done, Failed, Stopped, Lapsed, Broken, Alone, Unknown };
const char *endKindName(EndKind kind);

struct EndedTask
{
    int64_t number = 0; // increases until the worker restarts
    std::string task;
    int64_t attempt = 0;
    EndKind kind = EndKind::Unknown;
    std::string checkpoint = {};
};

// The process of a worker that sent its last report. It is another one after a restart, under the
// same id and at the same address. A connection ends with its process, so one that was opened by
// `confirmedAt` leads to this process or nowhere.
struct Incarnation
{
    int64_t born = 0;           // as reported
    TimePoint confirmedAt = {}; // when the poll of the last report was sent; zero: no report yet
};

// A worker's response to a poll.
struct WorkerReport
{
    int64_t clockMs = 0;                   // the worker's clock
    int64_t born = 0;                      // 0: not reported
    std::vector<RunningTask> running = {}; // all of them
    std::vector<EndedTask> ended = {};     // that are not acknowledged, the first ones
    bool hasMoreEnds = false;              // than `ended` lists: the list has reached its limit
};

// A worker's response to an order.
enum class OrderAnswer {
    Accepted,
    Fenced,     // a newer owner has contacted the worker
    Superseded, // the same or a newer attempt has ended there
    Late,       // the lease in the order has expired already
    NoRoom,
    BadTicket,
    Invalid,     // the worker cannot decode the order
    Unhealthy,   // nothing was done
    WrongWorker, // another worker responds at the address
    NotSent,     // no connection: nothing was done
    Unknown,     // no response: it may be executed, even later
};
const char *orderAnswerName(OrderAnswer answer);

} // namespace cwl::jobs
