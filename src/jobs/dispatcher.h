// Decides which task runs on which worker, and tracks the progress of each job.
//
// Only the owner of the cell runs a dispatcher. It does no I/O and reads no clock; the time is an
// argument. The owner passes in jobs, workers, responses and reports, calls decide() and executes
// the orders. collect() returns the progress of jobs that is to be stored; once it is stored,
// committed() acknowledges the completions to the workers and makes final states visible to
// callers.
//
// Invariants:
//  - what a customer has running never exceeds its cap, also counting what may run on workers that
//    have not reported since a takeover;
//  - a task has one run at a time: a new run starts only once the previous one is known to have
//    ended;
//  - a run holds resources from its order until its completion is reported, the order is rejected
//    or the lease expires;
//  - an order without a response is stopped, because the worker may still execute it later;
//  - a job is queued until one of its tasks has started or may have: a worker has confirmed a
//    start, reported a run or its end, or not responded to a start;
//  - a run that a worker no longer lists has ended; while the worker has more ends than its report
//    lists, nothing follows from what is not listed;
//  - a run whose lease has expired has ended only once a write to the store, sent later, has taken
//    effect: before, a newer owner may have read the run and renewed its lease;
//  - no lease is granted beyond one lease after the last proof of ownership;
//  - a worker gets starts only once the store lists it as used: a later owner looks for runs there;
//  - a job taken over from an earlier owner starts nothing until every worker that was used has
//    listed all its ends or its lease has expired;
//  - a job learned of after the takeover starts only once a write sent later has taken effect: a
//    newer owner reads the jobs after its takeover, so it knows that this owner may have started
//    the job;
//  - a restarted worker has lost its fencing token: it gets starts, and runs that it does not list
//    count as ended, only once a write to the store has shown that this owner had not been
//    superseded when it first saw the process;
//  - cursors and times on a worker's clock go only to the process of the worker that reported them.

#pragma once

#include "jobs/callercost.h"
#include "jobs/customeraccounts.h"
#include "jobs/progress.h"
#include "jobs/runtimemodel.h"
#include "jobs/state.h"
#include "jobs/types.h"

#include <json/value.h>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::jobs {

// Section: limits

constexpr Duration orderTimeout = milliseconds(700);      // a response normally takes a few ms
constexpr Duration stopRetryInterval = milliseconds(500); // until a stop is acknowledged
constexpr double maxWorkerClockDrift = 0.02;              // fraction by which a clock may run slow
// A run whose progress stays the same for longer is stopped. Progress is reported in whole percent,
// so a long run gets a share of its predicted time, which also allows for a slow worker.
constexpr Duration minStallTimeout = milliseconds(1600);
constexpr double stallShare = 0.1;
constexpr Duration exclusionDuration = seconds(4); // after consecutive failures
constexpr uint32_t failuresBeforeExclusion = 2;
constexpr Duration ticketMargin = milliseconds(150);  // network delay of a start, and clock error
constexpr Duration maxReportAge = milliseconds(2600); // older: the worker may be unreachable
constexpr size_t maxRowsPerCommit = 80;               // the store accepts 100 entries a call
constexpr size_t maxBytesPerCommit = 600000;          // and 1 MB, encoded
constexpr size_t maxAdviceWorkers = 100;              // in one call
constexpr size_t maxUnplacedSteps = 60;               // per service and pass

struct DispatcherSettings
{
    Duration lease = milliseconds(4500);          // of all runs on a worker, renewed by each poll
    Duration finishedJobRetention = seconds(150); // callers can query final states
    double urgentReserveShare = 0.08;             // share of cores for urgent queues only
};

// Section: orders

struct StartOrder
{
    WorkerId worker;
    std::string address;
    std::string task;
    int64_t attempt = 0;
    std::string payload = {};
    std::string checkpoint = {};
    std::string ticket = {};
    int64_t leaseUntilMs = 0;     // on the worker's clock
    Incarnation incarnation = {}; // the only process that may get it: the clock is that one's
};

struct StopOrder
{
    WorkerId worker;
    std::string address;
    std::string task;
    int64_t attempt = 0;
};

struct PaceOrder
{
    WorkerId worker;
    std::string address;
    std::string task;
    int64_t attempt = 0;
    int64_t percent = 100;
};

struct AdviceQuery
{
    TaskAddress step; // its index is unused
    std::vector<WorkerId> workers;
    int64_t priority = 0;       // of the queue
    Duration expected = {};     // duration of the call
    TimePoint wantedSince = {}; // the first query for the step that is not answered yet
};

struct Orders
{
    std::vector<StartOrder> starts = {};
    std::vector<StopOrder> stops = {};
    std::vector<PaceOrder> paces = {};
    std::vector<AdviceQuery> queries = {};
};

// A poll of a worker that renews its lease. Numbers of completions and the clock start anew with
// each process of the worker, so another process than `incarnation` must get neither of them.
struct WatchOrder
{
    int64_t acknowledged = 0;                 // completions up to it are stored
    std::optional<int64_t> leaseUntilMs = {}; // on the worker's clock; none before its first report
    Incarnation incarnation = {};
};

struct AllowedWorker
{
    WorkerId worker;
    std::string ticket;
};

// Rows to store, and the completions to acknowledge once they are stored.
struct Batch
{
    struct JobRow
    {
        JobId id;
        JobState state;
        uint64_t changes = 0;     // Job::changes when collected
        std::string progress;     // JSON
        bool isShortened = false; // see encodeProgress()
    };
    struct WorkerCompletions
    {
        WorkerId worker;
        int64_t born = 0;
        int64_t processed = 0;
    };
    std::vector<JobRow> rows = {};
    std::vector<WorkerCompletions> completions = {};
};

class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherSettings &settings);
    ~Dispatcher();

    // Section: ownership

    // Discards all state and starts as the owner with this epoch. Until `predecessorLeaseEnd`,
    // used workers that have not reported may run tasks that earlier owners started.
    void begin(Epoch epoch, TimePoint predecessorLeaseEnd);
    void setPredecessorEnds(TimePoint latest);
    // Used workers that have reported, and so have been fenced.
    size_t fencedWorkers() const { return m_fencedWorkers; }
    // The latest time such that `count` used workers have responded to polls of this owner that
    // were sent then or later; none if fewer have. Processes that a newer owner may have fenced
    // before they restarted do not count.
    std::optional<TimePoint> respondedSince(size_t count) const;

    // Section: configuration and workers

    void setConfig(const CellConfig &config);
    void putWorker(const WorkerEntry &entry, TimePoint now);
    // A worker that earlier owners may have used; not listed until putWorker() says so.
    void restoreWorker(const WorkerId &id, const std::string &address, TimePoint now);
    void noteRecorded(const WorkerId &id); // the store lists it among the used workers
    void unlistWorker(const WorkerId &id, TimePoint now);
    std::vector<WorkerId> knownWorkers() const;
    const Worker *findWorker(const WorkerId &id) const;
    WatchOrder watchOrder(const WorkerId &id);
    // Draining workers on which nothing runs any more; they count as not recorded from then on.
    std::vector<WorkerId> takeEmptiedWorkers();
    std::vector<WorkerId> removableWorkers() const; // unlisted, nothing can run there
    void forgetWorker(const WorkerId &id);

    // Section: jobs

    void addJob(JobSpec spec, TimePoint now);
    void restoreJob(JobSpec spec, const std::optional<Progress> &progress, bool isCancelled,
                    TimePoint now, UnixMilliseconds wallNow);
    void cancelJob(const JobId &id, TimePoint now);
    std::optional<JobState> jobState(const JobId &id) const; // as reported to callers
    CustomerId customerOf(const JobId &id) const; // empty: the job is unknown or has none
    std::unordered_map<std::string, int64_t> waitingByQueue() const; // jobs not started yet
    std::vector<JobId> takeExpired(TimePoint now); // removes and returns jobs past their retention

    // Section: events. Reports of one worker come in the order of their polls.

    // `sentAt`: when the poll was written to its connection.
    void onReport(const WorkerId &id, const WorkerReport &report, TimePoint sentAt, TimePoint now);
    void onPollFailed(const WorkerId &id); // later polls renew no lease until one succeeds
    // Another worker responds at its address, which is given away only after a worker has ended.
    void onWorkerReplaced(const WorkerId &id, TimePoint now);
    void onStartAnswered(const StartOrder &order, OrderAnswer answer, TimePoint now);
    void onStopAnswered(const StopOrder &order, OrderAnswer answer, TimePoint now);
    void onAdvice(const AdviceQuery &query, const std::vector<AllowedWorker> &allowed,
                  TimePoint now);
    void onAdviceFailed(const AdviceQuery &query, TimePoint now);

    // Section: decisions

    Orders decide(TimePoint now, UnixMilliseconds wallNow);
    Batch collect();
    bool hasUnstored() const;
    bool hasUnstoredFinal() const; // callers wait for final states to be stored
    void committed(const Batch &batch);
    // Records that a write sent at `sentAt` took effect, so this process was still the owner then.
    void confirmOwnership(TimePoint sentAt)
    {
        m_ownershipConfirmedAt = std::max(m_ownershipConfirmedAt, sentAt);
        proveOwnership(sentAt);
    }
    // The last proof of ownership was sent at `sentAt`; leases are granted from then on.
    void proveOwnership(TimePoint sentAt) { m_provenAt = std::max(m_provenAt, sentAt); }
    // True while jobs or processes of workers wait for a write.
    bool awaitsConfirmation() const { return m_awaitsWriteAfter > m_ownershipConfirmedAt; }

    // Section: statistics

    Json::Value state(TimePoint now) const;
    Json::Value explain(const JobId &id, TimePoint now) const;
    struct Statistics
    {
        uint64_t started = 0;
        uint64_t ended = 0;
        uint64_t lost = 0; // runs whose worker became unresponsive
        uint64_t stalled = 0;
        uint64_t preempted = 0;
        uint64_t refused = 0; // rejected starts
        uint64_t unanswered = 0;
    };
    const Statistics &statistics() const { return m_statistics; }

private:
    struct Candidate
    {
        OrderKey key = {};
        DeadlineOutlook outlook = DeadlineOutlook::InTime;
        Job *job = nullptr;
        Occurrence *occurrence = nullptr;
        uint32_t step = 0;
    };
    enum class PlacementResult {
        All,
        NoWorker,   // none has free capacity and, if needed, a ticket
        Reserved,   // the remaining capacity is reserved for urgent queues
        CapReached, // the customer may not have more running
    };
    // A worker that can take a task of the step that is being placed.
    struct Place
    {
        Worker *worker = nullptr;
        double score = 0; // the highest is chosen
    };
    // The workers of one service during one placement pass.
    struct ServicePool
    {
        std::vector<Worker *> workers = {}; // that may get starts now
        size_t reportedWorkers = 0;
        Resources capacity = {};
        Resources free = {};
        // Maximum over `workers` at the start of the pass, for each resource separately.
        Resources largestFree = {};
        int64_t topPriority = 0; // of the queues that use it
        size_t unplaced = 0;
        size_t unplacedGangs = 0;
    };

    // Section: jobs (dispatcher.cpp)
    Job *findJob(const JobId &id);
    static void setTargetTimes(const Job &job, Occurrence &occurrence);
    void predictTimes(Job &job);
    void updatePredictions(TimePoint now);
    void addOccurrence(Job &job, uint32_t number, TimePoint due);
    void addDueOccurrences(Job &job, TimePoint now, UnixMilliseconds wallNow);
    Progress progressOf(const Job &job) const;
    void markDirty(Job &job);
    void finishJob(Job &job, JobState state, TimePoint now);
    void checkCompletion(Job &job, Occurrence &occurrence, TimePoint now);
    void stopRuns(Job &job);

    // Section: runs (runs.cpp)
    Run &addRun(Worker &worker, Run run);
    void removeRun(Worker &worker, const std::string &task);
    void wait(Job &job, const TaskAddress &address);
    void onRunEnded(Worker &worker, const EndedTask &completion, TimePoint now);
    void markRunsLost(Worker &worker, TimePoint now);
    void onRestart(Worker &worker, int64_t born);
    bool isConfirmedAfter(TimePoint time) const { return m_ownershipConfirmedAt > time; }
    // All runs on the worker have ended with its lease, and no newer owner has renewed it.
    bool hasLapsed(const Worker &worker) const { return isConfirmedAfter(worker.leaseExpiresAt); }
    static void markStarted(Job &job);
    void markTaskDone(Job &job, const TaskAddress &address, TimePoint now);
    void recordFailure(Job &job, const TaskAddress &address, int64_t attempt, Worker &worker,
                       TimePoint now);
    void updateRun(Worker &worker, const RunningTask &running, TimePoint now);
    void removeUnlistedRuns(Worker &worker, const UnprovenReport &report);
    void stopGang(Job &job, const TaskAddress &member);
    void stopIfStalled(Worker &worker, Run &run, TimePoint now);
    StepState *findStep(Job &job, const TaskAddress &address);
    Task *findTask(Job &job, const TaskAddress &address);
    const Step &stepSpec(const Job &job, const TaskAddress &address) const;

    // Section: customers (customers.cpp)
    void openAccount(Job &job);
    void updateUnreadUse();

    // Section: placement (placement.cpp)
    void updateServicePools(TimePoint now);
    bool isRecoveryComplete();
    void applyUnprovenReport(Worker &worker);
    bool isReady(const Occurrence &occurrence, const Job &job, uint32_t step) const;
    static DeadlineOutlook outlookOf(const Job &job, const Occurrence &occurrence, uint32_t step,
                                     TimePoint now);
    double weightedShare(const CustomerAccount *account) const;
    std::vector<Candidate> candidates(TimePoint now);
    void logServicePools(TimePoint now);
    void logCustomers(TimePoint now);
    void placeStep(const Candidate &candidate, Orders &orders, TimePoint now);
    PlacementResult placeTasks(const Candidate &candidate, Orders &orders, TimePoint now);
    PlacementResult placeGang(const Candidate &candidate, Orders &orders, TimePoint now);
    std::vector<Worker *> allowedWorkers(const Candidate &candidate) const;
    std::vector<Worker *> startableWorkers(const Candidate &candidate, TimePoint now) const;
    bool mayStart(const Worker &worker, TimePoint now) const;
    bool isUsable(const Worker &worker, const Candidate &candidate) const;
    bool hasFreeCapacity(const Worker &worker, const Step &step) const;
    double score(const Worker &worker, const Candidate &candidate) const;
    static Place *choosePlace(std::vector<Place> &places, const Task &task);
    const Ticket *findTicket(const StepState &step, const Worker &worker, TimePoint now) const;
    void start(const Candidate &candidate, uint32_t index, Worker &worker, int64_t attempt,
               Orders &orders, TimePoint now);
    int64_t leaseDeadline(Worker &worker);
    TimePoint expectedFreeAt(const Worker &worker, const Step &step, TimePoint now) const;
    void reserveWorkers(const Candidate &candidate, TimePoint now);

    // Section: preemption (preemption.cpp)
    bool mayPreempt(const Candidate &candidate) const;
    bool needsLargeShare(const Candidate &candidate) const;
    bool isPreemptible(const Run &run, int64_t priority, TimePoint now) const;
    std::vector<Run *> preemptibleRuns(Worker &worker, int64_t priority, TimePoint now) const;
    Resources reclaimableCapacity(const Worker &worker, int64_t priority, TimePoint now) const;
    int64_t preemptOnWorker(Worker &worker, const Candidate &candidate, int64_t wanted,
                            size_t &allowedStops, TimePoint now);
    void preempt(const Candidate &candidate, TimePoint now);
    void preemptForGang(const Candidate &candidate, TimePoint now);
    void sendDueStops(Orders &orders, TimePoint now);
    void evacuate(Worker &worker, TimePoint now);
    void adjustPace(Worker &worker, Orders &orders, TimePoint now);

    // Section: advice (advice.cpp)
    int64_t capacityOfAllowedWorkers(const Candidate &candidate) const;
    std::vector<WorkerId> chooseWorkersToQuery(const Candidate &candidate, TimePoint now);
    void queryAdvice(const Candidate &candidate, Orders &orders, TimePoint now);
    void queryAdviceEarly(Job &job, Orders &orders, TimePoint now);

    const DispatcherSettings m_settings;
    Epoch m_epoch;
    TimePoint m_predecessorLeaseEnd = {};
    size_t m_fencedWorkers = 0;
    bool m_isRecoveryComplete = false;
    std::unordered_map<std::string, Queue> m_queues;
    CustomerAccounts m_customers;
    int64_t m_totalWeight = 0; // of the customers in the configuration
    std::unordered_map<std::string, std::unique_ptr<Worker>> m_workers;
    std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
    std::vector<Job *> m_open; // not final, or with runs that have not ended
    std::unordered_map<std::string, Job *> m_dirty;
    bool m_hasUnacknowledgedCompletions = false;
    std::unordered_map<std::string, ServicePool> m_servicePools;
    Resources m_capacity = {};                              // of all services together
    std::vector<Worker *> m_reserved;                       // for large tasks, during one pass
    std::unordered_map<std::string, double> m_allowedShare; // by queue, smoothed
    // When this owner learned of its newest job or process of a worker.
    TimePoint m_awaitsWriteAfter = {};
    TimePoint m_ownershipConfirmedAt = {}; // send time of the last write that took effect
    TimePoint m_provenAt = {};             // send time of the last proof of ownership
    RuntimeModel m_runtimes; // outlives a change of the owner: it describes the queues
    TimePoint m_nextPrediction = {};
    TimePoint m_poolsLoggedAt = {};
    TimePoint m_customersLoggedAt = {};
    Statistics m_statistics;
};

} // namespace cwl::jobs
