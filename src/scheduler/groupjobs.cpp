// GroupOwner: submission, cancellation and display of jobs.

#include "scheduler/groupowner.h"

#include "base/error.h"
#include "node/log.h"
#include "scheduler/describe.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace cwl::scheduler {

namespace {

namespace asio = boost::asio;

constexpr auto maxDurableWait =
        std::chrono::seconds(2); // for a submission to be stored before it is answered
constexpr size_t maxListedJobs = 1000;
constexpr Duration deleteInterval = seconds(1); // between two batches of finished jobs
constexpr size_t deleteBatch = 10;              // of this process's budget of 25 writes a second

} // namespace

// Section: jobs

absl::Status GroupOwner::checkLoaded() const
{
    if (m_isLoaded && m_hasWorkers && m_settings)
        return absl::OkStatus();
    return loadingError();
}

// Until the earlier owner's jobs are read, a missing job may exist: NotReady, not UnknownJob.
absl::Status GroupOwner::checkJobsLoaded() const
{
    return m_isLoaded ? absl::OkStatus() : loadingError();
}

absl::Status GroupOwner::loadingError() const
{
    return makeError(Failure::NotReady,
                     absl::StrCat("the owner of ", m_group.value(),
                                  " is still loading jobs, workers or settings"),
                     {.retryAfterMs = 500});
}

void GroupOwner::submit(const Json::Value &body, JsonCallback callback)
{
    if (const absl::Status status = checkLoaded(); !status.ok()) {
        callback(status);
        return;
    }
    const auto spec = jobFromJson(body);
    if (!spec.ok()) {
        callback(spec.status());
        return;
    }
    const auto known = m_jobs.find(spec->id);
    if (known != m_jobs.end()) {
        if (known->second.record.submitted == body)
            respondToSubmit(known->second, false, std::move(callback));
        else
            callback(makeError(Failure::JobConflict,
                               absl::StrCat("job \"", spec->id.value(),
                                            "\" was accepted with another specification"),
                               {.field = "jobId"}));
        return;
    }
    if (m_isReleasing) {
        callback(makeError(Failure::NotOwner, "the group is being handed over",
                           {.retryAfterMs = 500}));
        return;
    }
    const absl::Status status = m_planner.submit(*spec, BootClock::now());
    if (!status.ok()) {
        callback(status);
        return;
    }
    JobEntry &job = m_jobs[spec->id];
    job.record.spec = *spec;
    job.record.submitted = body;
    respondToSubmit(job, true, std::move(callback));
    schedulePlacement();
}

void GroupOwner::submitRetained(const Json::Value &row, JsonCallback callback)
{
    if (const absl::Status status = checkLoaded(); !status.ok()) {
        callback(status);
        return;
    }
    auto record = fromRow(row);
    if (!record.ok()) {
        callback(record.status());
        return;
    }
    const JobId id = record->spec.id;
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        const bool isCancelled = record->state == JobState::Cancelled;
        if (isCancelled && known->second.record.submitted == record->submitted)
            cancel(id, [](const absl::StatusOr<Json::Value> &) {});
        submit(record->submitted, std::move(callback));
        return;
    }
    if (m_isReleasing) {
        callback(makeError(Failure::NotOwner, "the group is being handed over",
                           {.retryAfterMs = 500}));
        return;
    }
    log::info("job_restored_late", {{"group", m_group.value()}, {"job", id.value()}});
    restore(*std::move(record), false);
    // Its tasks may run on any worker. Earlier reports don't count: the job was not known then, so
    // its tasks were not adopted.
    Reconciliation &wait = m_lateJobs.try_emplace(id, false, BootClock::now()).first->second;
    std::set<WorkerId> workers;
    for (const auto &[worker, entry] : m_workers)
        workers.insert(worker);
    wait.setWorkers(workers);
    respondToSubmit(m_jobs[id], true, std::move(callback));
    schedulePlacement();
}

std::vector<Json::Value> GroupOwner::unstoredJobs() const
{
    std::vector<Json::Value> rows;
    for (const auto &[id, job] : m_jobs) {
        if (!m_store->isStored(id))
            rows.push_back(toRow(job.record));
    }
    return rows;
}

void GroupOwner::respondToSubmit(JobEntry &job, bool isNew, JsonCallback callback)
{
    const JobId id = job.record.spec.id;
    const auto response = [id](bool isDurable) {
        Json::Value value;
        value["jobId"] = id.value();
        value["accepted"] = true;
        value["durable"] = isDurable;
        return value;
    };
    const bool isStoreDown = !m_store->isHealthy();
    if (job.isDurable || isStoreDown) {
        if (isNew)
            jobChanged(job);
        callback(response(job.isDurable));
        return;
    }
    // Responds when the job is stored, or after maxDurableWait with durable = false.
    const auto once = std::make_shared<JsonCallback>(std::move(callback));
    const auto reply = [once](const absl::StatusOr<Json::Value> &value) {
        if (const JsonCallback respond = std::exchange(*once, {}))
            respond(value);
    };
    const auto timer = std::make_shared<asio::steady_timer>(m_ports.control, maxDurableWait);
    jobChanged(job, [reply, response, timer](const absl::Status &status) {
        timer->cancel();
        if (status.ok())
            reply(response(true));
        else
            reply(status);
    });
    timer->async_wait([reply, response, timer](const boost::system::error_code &) {
        reply(response(false));
    });
}

void GroupOwner::jobChanged(JobEntry &job, JobStore::SaveCallback saved)
{
    const JobId id = job.record.spec.id;
    m_store->save(
            job.record,
            [self = weak_from_this(), id, saved = std::move(saved)](const absl::Status &status) {
                const std::shared_ptr<GroupOwner> owner = self.lock();
                if (!owner)
                    return;
                if (status.ok()) {
                    owner->m_jobs[id].isDurable = true;
                } else {
                    log::error("job_not_stored", {{"job", id.value()}, {"error", status}});
                    owner->undoSubmit(id);
                }
                if (saved)
                    saved(status);
            });
}

void GroupOwner::finishJob(JobEntry &job, JobState state)
{
    job.record.state = state;
    job.record.finishedAt = UnixMilliseconds::now();
    m_finished.add(job.record.spec.id, job.record.finishedAt);
}

// Deletes finished jobs only while no other write is pending, so that deletions use just the rest
// of the store's write budget.
void GroupOwner::deleteFinished()
{
    const TimePoint now = BootClock::now();
    if (now < m_nextDeleteAt || m_isDeleting || m_store->pending() > 0 || !m_store->isHealthy())
        return;
    m_nextDeleteAt = now + deleteInterval;
    const UnixMilliseconds wallClockNow = UnixMilliseconds::now();
    std::vector<JobId> due;
    for (const JobId &id : m_finished.takeDue(wallClockNow, deleteBatch)) {
        // Postponed: some of its tasks still run, or its row is being written.
        if (m_planner.find(id) != placement::noNumber || !m_store->isStored(id))
            m_finished.add(id, wallClockNow);
        else
            due.push_back(id);
    }
    if (due.empty())
        return;
    m_isDeleting = true;
    m_store->remove(due, [self = weak_from_this(), due](const absl::Status &status) {
        if (const std::shared_ptr<GroupOwner> owner = self.lock())
            owner->handleDeleteResult(due, status);
    });
}

void GroupOwner::handleDeleteResult(const std::vector<JobId> &jobs, const absl::Status &status)
{
    m_isDeleting = false;
    for (const JobId &id : jobs) {
        if (status.ok())
            m_jobs.erase(id);
        else
            m_finished.add(id, m_jobs[id].record.finishedAt);
    }
}

// Cancels a submitted job because an earlier owner stored another job with its id after this owner
// had read the table.
void GroupOwner::undoSubmit(const JobId &id)
{
    if (const auto running = m_planner.cancel(id); running.ok()) {
        for (const placement::Assignment &task : *running)
            requestStop(taskId(id, task.task.index));
    }
    // Not finishJob(), which deletes the row later: the stored row belongs to the other job.
    m_jobs[id].record.state = JobState::Cancelled;
}

void GroupOwner::cancel(const JobId &id, JsonCallback callback)
{
    if (const absl::Status status = checkLoaded(); !status.ok()) {
        callback(status);
        return;
    }
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        callback(makeError(Failure::UnknownJob, absl::StrCat("job \"", id.value(), "\" is unknown"),
                           {.field = "jobId"}));
        return;
    }
    JobEntry &job = found->second;
    if (job.record.state == JobState::Accepted) {
        finishJob(job, JobState::Cancelled);
        if (const auto running = m_planner.cancel(id); running.ok()) {
            for (const placement::Assignment &task : *running)
                requestStop(taskId(id, task.task.index));
        }
        m_gangs.erase(id);
        jobChanged(job);
        schedulePlacement();
    }
    Json::Value response;
    response["jobId"] = id.value();
    response["state"] = jobStateName(job.record.state);
    callback(response);
}

absl::StatusOr<Json::Value> GroupOwner::show(const JobId &id) const
{
    if (const absl::Status status = checkJobsLoaded(); !status.ok())
        return status;
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return makeError(Failure::UnknownJob, absl::StrCat("job \"", id.value(), "\" is unknown"),
                         {.field = "jobId"});
    return describeJob(found->second.record, m_planner.counts(id), found->second.isDurable);
}

absl::StatusOr<Json::Value> GroupOwner::explain(const JobId &id) const
{
    if (const absl::Status status = checkJobsLoaded(); !status.ok())
        return status;
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return makeError(Failure::UnknownJob, absl::StrCat("job \"", id.value(), "\" is unknown"),
                         {.field = "jobId"});
    return explainJob(found->second.record, m_planner, BootClock::now());
}

absl::StatusOr<Json::Value> GroupOwner::list() const
{
    if (const absl::Status status = checkJobsLoaded(); !status.ok())
        return status;
    Json::Value jobs(Json::arrayValue);
    for (const auto &[id, job] : m_jobs) {
        if (jobs.size() == maxListedJobs)
            break;
        jobs.append(describeJob(job.record, m_planner.counts(id), job.isDurable));
    }
    return jobs;
}

} // namespace cwl::scheduler
