// The jobs, workers and running tasks of one worker group, while this process owns the group.
//
// placement::Planner decides the placement, and this class executes its decisions. It sends starts
// with leases that end within this member's validity, renews the leases of tasks that workers have
// acknowledged, and relies on worker reports for what runs. It writes task outcomes to the store
// before it acknowledges them to a worker.

#pragma once

#include "metrics/metrics.h"
#include "ownership/member.h"
#include "placement/planner.h"
#include "platform/platform.h"
#include "scheduler/drainstore.h"
#include "scheduler/finishedjobs.h"
#include "scheduler/jobrecord.h"
#include "scheduler/jobstore.h"
#include "scheduler/reconciliation.h"
#include "scheduler/tasklife.h"
#include "scheduler/workerclock.h"
#include "scheduler/workerlink.h"
#include "settings/cellsettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::scheduler {

struct OwnerPorts
{
    boost::asio::io_context &control;
    boost::asio::io_context &traffic;
    platform::Client &platform;
    metrics::Registry &metrics;
    std::function<TimePoint()> validUntil; // no command is sent at or after this time
};

// All calls and callbacks are on the control thread.
class GroupOwner : public std::enable_shared_from_this<GroupOwner>
{
public:
    using SharedSettings = std::shared_ptr<const settings::CellSettings>;
    using JsonCallback = std::function<void(absl::StatusOr<Json::Value>)>;

    static std::shared_ptr<GroupOwner> create(OwnerPorts ports,
                                              const ownership::Acquisition &acquisition,
                                              const SharedSettings &settings);

    void start();
    void setSettings(const SharedSettings &settings);
    void setWorkers(const std::vector<platform::Instance> &workers); // all workers of this group
    // Stops placing tasks. Calls `done` once no start is unanswered and all changes are stored.
    void release(std::function<void()> done);
    void close(); // stops all activity; ignores later events

    // Section: jobs. The responses are described in docs/design.md, section 9.4.

    void submit(const Json::Value &body, JsonCallback callback);
    // Submits a job that an earlier owner accepted but did not store, as a row of the table `jobs`.
    // Its tasks may already run. The response is that of submit().
    void submitRetained(const Json::Value &row, JsonCallback callback);
    // Rows of the jobs whose last change is not stored.
    std::vector<Json::Value> unstoredJobs() const;
    void cancel(const JobId &job, JsonCallback callback);
    absl::StatusOr<Json::Value> show(const JobId &job) const;
    absl::StatusOr<Json::Value> explain(const JobId &job) const;
    absl::StatusOr<Json::Value> list() const;

    // Section: workers

    Json::Value workers() const;
    // Takes effect at once; the store keeps it for later owners. Errors: NotReady, UnknownWorker.
    absl::Status setDraining(const WorkerId &worker, bool isDraining);

    Json::Value state() const;

private:
    using TimerClock = std::chrono::steady_clock;

    struct JobEntry
    {
        JobRecord record;
        bool isDurable = false;  // the job has been stored
        bool isRestored = false; // accepted in an earlier epoch; resumed after reconciliation
    };
    struct Task
    {
        placement::TaskRef ref;
        JobId job;
        uint32_t index = 0;
        Attempt attempt;
        Epoch epoch; // of the owner that started it
        WorkerId worker;
        TaskLifecycle lifecycle;
        TimePoint renewedUntil = {}; // end of the last renewal that the worker acknowledged
        bool isStopWanted = false;
        bool isStopInFlight = false;
        bool isThrottled = false; // at 0% until its gang is released
    };
    struct WorkerEntry
    {
        platform::Instance instance;
        placement::WorkerNumber number = placement::noNumber;
        std::shared_ptr<WorkerLink> link;
        WorkerClock clock;
        std::set<TaskId> tasks = {};
        std::set<std::pair<TaskId, int64_t>> unstoredOutcomes =
                {}; // finished attempts whose outcome is being stored
        TimePoint reportedAt = {};
        bool isReachable = false;
        bool isRenewing = false;
    };
    // A gang whose starts were sent and that has not been released yet.
    struct GangStart
    {
        TimePoint deadline;
        std::vector<TaskId> tasks;
    };

    GroupOwner(OwnerPorts ports, const ownership::Acquisition &acquisition);

    // groupowner.cpp
    void load();
    void loadDrains(const std::vector<JobRecord> &records);
    void retryLoad(const absl::Status &failure);
    void loaded(std::vector<JobRecord> records);
    void tick();
    void schedulePlacement();
    void pump();
    void finishReconciliation();
    void resumeLateJobs(TimePoint now);
    void resumeJob(const JobId &job);
    void restore(JobRecord record, bool isDurable);
    void resumeGang(const JobId &job);
    void respondToSubmit(JobEntry &job, bool isNew, JsonCallback callback);
    void undoSubmit(const JobId &job);
    void finishJob(JobEntry &job, JobState state);
    void deleteFinished();
    void handleDeleteResult(const std::vector<JobId> &jobs, const absl::Status &status);
    bool isValid() const;
    absl::Status checkLoaded() const; // NotReady until jobs, workers and settings are known
    absl::Status checkJobsLoaded() const;
    absl::Status loadingError() const;

    // groupworkers.cpp
    void addWorker(const platform::Instance &instance);
    void updateDraining(const WorkerEntry &worker);
    void removeWorker(const WorkerId &worker);
    void reported(const WorkerId &worker, const WorkerReport &report, TimePoint requestedAt,
                  TimePoint receivedAt);
    void lost(const WorkerId &worker, const absl::Status &status);
    void processFinished(WorkerEntry &worker, const WorkerReport &report);
    // Returns the ids of tasks that run on the worker but should not.
    std::vector<TaskId> processRunning(WorkerEntry &worker, const WorkerReport &report,
                                       TimePoint requestedAt);
    bool adopt(WorkerEntry &worker, const ReportedTask &reported);
    void applyOutcome(WorkerEntry &worker, const FinishedTask &finished);
    bool recordSuccess(WorkerEntry &worker, const FinishedTask &finished);
    void acknowledgeStored(const WorkerId &worker, const std::pair<TaskId, int64_t> &attempt);
    void acknowledge(WorkerEntry &worker, const std::vector<std::pair<TaskId, int64_t>> &attempts);

    // grouptasks.cpp
    void executeDecision(const placement::Decision &decision);
    void startTasks(const placement::Decision &decision);
    Json::Value startMessage(const Task &task, const JobRecord &record, int64_t leaseMs) const;
    void handleStartResponse(const WorkerId &worker, const std::vector<TaskId> &tasks,
                             const absl::StatusOr<Json::Value> &response);
    void applyStartResult(const TaskId &id, const std::string &result);
    void endTask(const TaskId &id, placement::Outcome outcome);
    void jobChanged(JobEntry &job, JobStore::SaveCallback saved = {});
    void requestStop(const TaskId &id);
    void sendStops(WorkerEntry &worker, const std::vector<TaskId> &ids);
    void stopPreempted(const std::vector<placement::Assignment> &victims);
    void renewLeases();
    void renew(WorkerEntry &worker);
    void checkGangs();
    void releaseGang(const std::vector<TaskId> &tasks);
    void expireLeases();
    Task *find(const TaskId &id);

    OwnerPorts m_ports;
    GroupId m_group;
    Epoch m_epoch;
    Reconciliation m_reconciliation;
    placement::Planner m_planner;
    placement::Decision m_decision;
    std::shared_ptr<JobStore> m_store;
    std::shared_ptr<DrainStore> m_drainStore;
    std::set<WorkerId> m_draining; // workers drained by operators
    FinishedJobs m_finished;
    TimePoint m_nextDeleteAt = {};
    bool m_isDeleting = false;
    SharedSettings m_settings;
    std::map<JobId, JobEntry> m_jobs;
    std::unordered_map<TaskId, Task> m_tasks;
    std::map<WorkerId, WorkerEntry> m_workers;
    std::map<JobId, GangStart> m_gangs;
    // Jobs of an earlier owner that became known after the takeover. Each has its own wait for
    // worker reports.
    std::map<JobId, Reconciliation> m_lateJobs;
    std::vector<platform::Instance> m_pendingInstances; // applied once the jobs are loaded
    std::function<void()> m_releaseCallback;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_loadTimer;
    metrics::Counter &m_started;
    metrics::Counter &m_placed;
    bool m_isLoaded = false;
    bool m_hasWorkers = false;
    bool m_isReconciled = false;
    bool m_isPlacementQueued = false;
    bool m_isReleasing = false;
    bool m_isClosed = false;
};

} // namespace cwl::scheduler
