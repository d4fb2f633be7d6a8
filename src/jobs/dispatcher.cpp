#include "jobs/dispatcher.h"

#include "jobs/limits.h"
#include "node/log.h"

#include <algorithm>
#include <functional>

namespace cwl::jobs {

namespace {

// For each step, the longest chain of predicted work from its start to the end of the job. A step
// depends only on steps with lower numbers.
std::vector<Duration> criticalPathsOf(const std::vector<Step> &steps,
                                      const std::vector<Duration> &predictedTimes)
{
    std::vector<Duration> criticalPaths(steps.size());
    for (size_t number = steps.size(); number-- > 0;) {
        criticalPaths[number] += predictedTimes[number];
        for (const uint32_t before : steps[number].after) {
            if (before < number)
                criticalPaths[before] = std::max(criticalPaths[before], criticalPaths[number]);
        }
    }
    return criticalPaths;
}

Duration targetDurationOf(const JobSpec &spec, const std::vector<Duration> &criticalPaths)
{
    const Duration longest = criticalPaths.empty()
            ? Duration::zero()
            : *std::max_element(criticalPaths.begin(), criticalPaths.end());
    const double chain = std::min(double(longest.count()) * spec.queue.maxSlowdown,
                                  double(maxJobDuration.count()));
    return Duration(int64_t(chain)) + spec.queue.latencyAllowance;
}

// A late job earns part of its value until this many times its target duration.
constexpr int noValueFactor = 3;

constexpr Duration predictionInterval = seconds(1); // between updates of the predicted times

Json::Value describe(const Resources &resources)
{
    Json::Value value;
    value["cores"] = Json::Int64(resources.cores.value());
    value["memory"] = Json::Int64(resources.memory.value());
    value["accelerators"] = Json::Int64(resources.accelerators.value());
    return value;
}

Json::Value describe(const CustomerAccount &account)
{
    Json::Value value;
    value["runs"] = Json::UInt64(account.runs);
    value["used"] = describe(account.used);
    value["mayBeUsed"] = describe(account.mayBeUsed);
    value["cap"] = describe(account.customer.cap);
    value["weight"] = Json::Int64(account.customer.weight);
    return value;
}

} // namespace

Dispatcher::Dispatcher(const DispatcherSettings &settings)
    : m_settings(settings)
{
}

Dispatcher::~Dispatcher() = default;

// Section: ownership

void Dispatcher::begin(Epoch epoch, TimePoint predecessorLeaseEnd)
{
    m_epoch = epoch;
    m_predecessorLeaseEnd = predecessorLeaseEnd;
    m_isRecoveryComplete = false;
    m_fencedWorkers = 0;
    m_ownershipConfirmedAt = {};
    m_provenAt = {};
    m_awaitsWriteAfter = {};
    m_servicePools.clear();
    m_workers.clear();
    m_jobs.clear();
    m_customers.clear();
    m_open.clear();
    m_dirty.clear();
    m_hasUnacknowledgedCompletions = false;
}

void Dispatcher::setPredecessorEnds(TimePoint latest)
{
    m_predecessorLeaseEnd = std::min(m_predecessorLeaseEnd, latest);
    for (auto &[id, worker] : m_workers) {
        if (!worker->hasReported)
            worker->leaseExpiresAt = std::min(worker->leaseExpiresAt, m_predecessorLeaseEnd);
    }
}

std::optional<TimePoint> Dispatcher::respondedSince(size_t count) const
{
    std::vector<TimePoint> times;
    for (const auto &[id, worker] : m_workers) {
        if (worker->isRecorded && worker->hasReported
            && isConfirmedAfter(worker->incarnationSeenAt))
            times.push_back(worker->incarnation.confirmedAt);
    }
    if (count == 0 || times.size() < count)
        return std::nullopt;
    const auto last = times.begin() + ptrdiff_t(count - 1);
    std::nth_element(times.begin(), last, times.end(), std::greater<>());
    return *last;
}

// Section: configuration and workers

void Dispatcher::setConfig(const CellConfig &config)
{
    m_queues.clear();
    for (const Queue &queue : config.queues)
        m_queues.emplace(queue.name, queue);
    // Jobs of a removed queue keep the settings with which they were accepted.
    for (Job *job : m_open) {
        const auto queue = m_queues.find(job->spec.queue.name);
        if (queue != m_queues.end())
            job->spec.queue = queue->second;
    }
    m_totalWeight = 0;
    for (const CustomerEntry &entry : config.customers.value_or(std::vector<CustomerEntry>())) {
        m_customers.update(entry.customer);
        m_totalWeight += entry.customer.weight;
    }
}

void Dispatcher::putWorker(const WorkerEntry &entry, TimePoint now)
{
    std::unique_ptr<Worker> &worker = m_workers[entry.id.value()];
    if (!worker) {
        worker = std::make_unique<Worker>();
        worker->lastReport = now;
    }
    const bool beganDraining = entry.isDraining && !worker->entry.isDraining;
    worker->entry = entry;
    worker->isListed = true;
    if (entry.isDraining && entry.remaining)
        worker->drainDeadline = now + *entry.remaining;
    if (beganDraining)
        log::info("worker_draining",
                  {{"worker", entry.id.value()},
                   {"remaining", entry.remaining.value_or(Duration::zero())},
                   {"runs", worker->runs.size()}});
}

void Dispatcher::restoreWorker(const WorkerId &id, const std::string &address, TimePoint now)
{
    WorkerEntry entry;
    entry.id = id;
    entry.address = address;
    putWorker(entry, now);
    unlistWorker(id, now);
    Worker &worker = *m_workers.at(id.value());
    worker.isRecorded = true;
    worker.leaseExpiresAt = m_predecessorLeaseEnd;
}

void Dispatcher::noteRecorded(const WorkerId &id)
{
    const auto worker = m_workers.find(id.value());
    if (worker != m_workers.end())
        worker->second->isRecorded = true;
}

void Dispatcher::unlistWorker(const WorkerId &id, TimePoint now)
{
    const auto worker = m_workers.find(id.value());
    if (worker == m_workers.end() || !worker->second->isListed)
        return;
    worker->second->isListed = false;
    log::info("worker_unlisted",
              {{"worker", id.value()},
               {"runs", worker->second->runs.size()},
               {"lease_left", worker->second->leaseExpiresAt - now}});
}

std::vector<WorkerId> Dispatcher::knownWorkers() const
{
    std::vector<WorkerId> ids;
    ids.reserve(m_workers.size());
    for (const auto &[id, worker] : m_workers)
        ids.emplace_back(id);
    return ids;
}

const Worker *Dispatcher::findWorker(const WorkerId &id) const
{
    const auto worker = m_workers.find(id.value());
    return worker == m_workers.end() ? nullptr : worker->second.get();
}

WatchOrder Dispatcher::watchOrder(const WorkerId &id)
{
    Worker &worker = *m_workers.at(id.value());
    WatchOrder order;
    order.acknowledged = worker.completionsAcknowledged;
    order.incarnation = worker.incarnation;
    // A renewal may take effect even if its response is lost, so it would postpone the expiry of
    // the lease.
    if (worker.hasReported && !worker.lastPollFailed)
        order.leaseUntilMs = leaseDeadline(worker);
    return order;
}

// A worker that drains gets no more starts. Once it has reported that nothing runs there and that
// all its ends are acknowledged, a later owner need not look for runs.
std::vector<WorkerId> Dispatcher::takeEmptiedWorkers()
{
    std::vector<WorkerId> emptied;
    for (auto &[id, worker] : m_workers) {
        const bool isEmptied = worker->entry.isDraining && worker->isRecovered
                && !worker->hasMoreEnds && worker->runs.empty()
                && worker->completionsProcessed == worker->completionsAcknowledged;
        if (worker->isRecorded && isEmptied) {
            worker->isRecorded = false;
            emptied.emplace_back(id);
        }
    }
    return emptied;
}

std::vector<WorkerId> Dispatcher::removableWorkers() const
{
    std::vector<WorkerId> removable;
    for (const auto &[id, worker] : m_workers) {
        if (!worker->isListed && worker->runs.empty()
            && (!worker->isRecorded || hasLapsed(*worker)))
            removable.emplace_back(id);
    }
    return removable;
}

void Dispatcher::forgetWorker(const WorkerId &id)
{
    m_workers.erase(id.value());
}

// Section: jobs

Job *Dispatcher::findJob(const JobId &id)
{
    const auto job = m_jobs.find(id.value());
    return job == m_jobs.end() ? nullptr : job->second.get();
}

void Dispatcher::setTargetTimes(const Job &job, Occurrence &occurrence)
{
    occurrence.targetTime = occurrence.dueAt + job.targetDuration;
    occurrence.noValueAfter = occurrence.dueAt + noValueFactor * job.targetDuration;
}

void Dispatcher::predictTimes(Job &job)
{
    job.predictedTimes.clear();
    for (const Step &step : job.spec.steps)
        job.predictedTimes.push_back(m_runtimes.predict(job.spec.queue.name, step.estimate));
    job.criticalPaths = criticalPathsOf(job.spec.steps, job.predictedTimes);
    job.targetDuration = targetDurationOf(job.spec, job.criticalPaths);
    for (Occurrence &occurrence : job.occurrences)
        setTargetTimes(job, occurrence);
}

// Predictions of open jobs follow what the model has learned meanwhile.
void Dispatcher::updatePredictions(TimePoint now)
{
    if (now < m_nextPrediction)
        return;
    m_nextPrediction = now + predictionInterval;
    for (Job *job : m_open) {
        if (!isFinal(job->state))
            predictTimes(*job);
    }
}

void Dispatcher::addOccurrence(Job &job, uint32_t number, TimePoint due)
{
    Occurrence occurrence;
    occurrence.number = number;
    occurrence.dueAt = due;
    setTargetTimes(job, occurrence);
    occurrence.steps.resize(job.spec.steps.size());
    for (size_t step = 0; step < occurrence.steps.size(); ++step) {
        occurrence.steps[step].tasks.resize(job.spec.steps[step].count);
        occurrence.steps[step].waiting = job.spec.steps[step].count;
    }
    job.occurrences.push_back(std::move(occurrence));
}

void Dispatcher::addDueOccurrences(Job &job, TimePoint now, UnixMilliseconds wallNow)
{
    if (job.spec.times == 0) {
        if (job.occurrences.empty())
            addOccurrence(job, 0, job.arrivedAt);
        return;
    }
    const int64_t interval = std::max<int64_t>(
            1, std::chrono::duration_cast<milliseconds>(job.spec.interval).count());
    while (job.occurrences.size() < job.spec.times) {
        const auto number = uint32_t(job.occurrences.size());
        if (wallNow.value() < job.spec.firstAt.value() + int64_t(number) * interval)
            return;
        addOccurrence(job, number, now);
    }
}

void Dispatcher::addJob(JobSpec spec, TimePoint now)
{
    if (m_jobs.contains(spec.id.value()))
        return;
    auto job = std::make_unique<Job>();
    const auto queue = m_queues.find(spec.queue.name);
    if (queue != m_queues.end())
        spec.queue = queue->second;
    job->spec = std::move(spec);
    job->arrivedAt = now;
    job->knownAt = now;
    m_awaitsWriteAfter = std::max(m_awaitsWriteAfter, now);
    openAccount(*job);
    predictTimes(*job);
    log::info("job_known",
              {{"job", job->spec.id.value()},
               {"queue", job->spec.queue.name},
               {"customer", job->account ? job->account->customer.id.value() : std::string()},
               {"within_rate", job->isWithinRate},
               {"steps", job->spec.steps.size()},
               {"tasks", job->spec.steps.empty() ? 0 : job->spec.steps[0].count},
               {"gang", !job->spec.steps.empty() && job->spec.steps[0].gang},
               {"accelerators",
                job->spec.steps.empty() ? 0 : job->spec.steps[0].each.accelerators.value()},
               {"objective", job->targetDuration}});
    m_open.push_back(job.get());
    m_jobs.emplace(job->spec.id.value(), std::move(job));
}

void Dispatcher::restoreJob(JobSpec spec, const std::optional<Progress> &progress, bool isCancelled,
                            TimePoint now, UnixMilliseconds wallNow)
{
    const JobId id = spec.id;
    // Limited, because clocks can jump.
    const int64_t age = std::clamp<int64_t>(wallNow.value() - spec.acceptedAt.value(), 0, 60000);
    addJob(std::move(spec), now - milliseconds(age));
    Job &job = *findJob(id);
    job.isRestored = true;
    if (progress && isFinal(progress->state)) {
        job.state = progress->state;
        job.reportedState = progress->state;
        job.finishedAt = now;
        std::erase(m_open, &job);
        return;
    }
    addDueOccurrences(job, now, wallNow);
    if (progress) {
        for (const auto &[key, tasks] : progress->steps) {
            while (job.occurrences.size() <= key.first && key.first < std::max(1U, job.spec.times))
                addOccurrence(job, uint32_t(job.occurrences.size()), now);
            if (key.first >= job.occurrences.size()
                || key.second >= job.occurrences[key.first].steps.size())
                continue;
            StepState &step = job.occurrences[key.first].steps[key.second];
            for (size_t index = 0; index < step.tasks.size() && index < tasks.size(); ++index) {
                Task &task = step.tasks[index];
                task.progress = tasks[index];
                for (const int64_t attempt : task.progress.failedAttempts)
                    task.attempt = std::max(task.attempt, attempt);
                if (!task.progress.isDone)
                    continue;
                task.phase = Task::Phase::Done;
                --step.waiting;
                ++step.done;
            }
            job.state = JobState::Running;
            job.reportedState = JobState::Running;
        }
    }
    if (isCancelled)
        cancelJob(id, now);
    else
        for (Occurrence &occurrence : job.occurrences)
            checkCompletion(job, occurrence, now);
}

void Dispatcher::cancelJob(const JobId &id, TimePoint now)
{
    Job *const job = findJob(id);
    if (!job || job->isCancelled || isFinal(job->state))
        return;
    job->isCancelled = true;
    log::info("job_cancelled", {{"job", id.value()}, {"runs", job->activeRuns}});
    finishJob(*job, JobState::Cancelled, now);
}

std::optional<JobState> Dispatcher::jobState(const JobId &id) const
{
    const auto job = m_jobs.find(id.value());
    if (job == m_jobs.end())
        return std::nullopt;
    if (isFinal(job->second->reportedState))
        return job->second->reportedState;
    return isFinal(job->second->state) ? JobState::Running : job->second->state;
}

CustomerId Dispatcher::customerOf(const JobId &id) const
{
    const auto job = m_jobs.find(id.value());
    return job == m_jobs.end() || !job->second->spec.customer ? CustomerId()
                                                              : job->second->spec.customer->id;
}

std::unordered_map<std::string, int64_t> Dispatcher::waitingByQueue() const
{
    std::unordered_map<std::string, int64_t> waiting;
    for (const Job *job : m_open) {
        if (job->state == JobState::Queued)
            ++waiting[job->spec.queue.name];
    }
    return waiting;
}

std::vector<JobId> Dispatcher::takeExpired(TimePoint now)
{
    std::vector<JobId> expired;
    for (auto job = m_jobs.begin(); job != m_jobs.end();) {
        const Job &candidate = *job->second;
        const bool isExpired = isFinal(candidate.reportedState) && candidate.activeRuns == 0
                && !candidate.isDirty
                && now - candidate.finishedAt > m_settings.finishedJobRetention;
        if (!isExpired) {
            ++job;
            continue;
        }
        expired.push_back(candidate.spec.id);
        std::erase(m_open, job->second.get());
        job = m_jobs.erase(job);
    }
    return expired;
}

Progress Dispatcher::progressOf(const Job &job) const
{
    Progress progress;
    progress.state = job.state;
    if (isFinal(job.state))
        return progress;
    for (const Occurrence &occurrence : job.occurrences) {
        for (size_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task> &tasks = occurrence.steps[step].tasks;
            const bool hasProgress = std::any_of(tasks.begin(), tasks.end(), [](const Task &task) {
                return !task.progress.isEmpty();
            });
            if (!hasProgress)
                continue;
            std::vector<TaskProgress> &rows = progress.steps[{occurrence.number, uint32_t(step)}];
            rows.reserve(tasks.size());
            for (const Task &task : tasks)
                rows.push_back(task.progress);
        }
    }
    return progress;
}

void Dispatcher::markDirty(Job &job)
{
    job.isDirty = true;
    ++job.changes;
    m_dirty[job.spec.id.value()] = &job;
}

void Dispatcher::finishJob(Job &job, JobState state, TimePoint now)
{
    if (isFinal(job.state))
        return;
    job.state = state;
    job.finishedAt = now;
    log::info("job_finished",
              {{"job", job.spec.id.value()},
               {"state", jobStateName(state)},
               {"queue", job.spec.queue.name},
               {"age", now - job.arrivedAt},
               {"objective", job.targetDuration}});
    markDirty(job);
    stopRuns(job);
    if (job.activeRuns == 0)
        std::erase(m_open, &job);
}

void Dispatcher::checkCompletion(Job &job, Occurrence &occurrence, TimePoint now)
{
    if (occurrence.isDone
        || !std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                        [](const StepState &step) { return step.isDone(); }))
        return;
    occurrence.isDone = true;
    if (++job.occurrencesDone == std::max(1U, job.spec.times))
        finishJob(job, JobState::Completed, now);
}

void Dispatcher::stopRuns(Job &job)
{
    if (job.activeRuns == 0)
        return;
    for (Occurrence &occurrence : job.occurrences) {
        for (size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (size_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                Task &task = occurrence.steps[step].tasks[index];
                if (task.phase != Task::Phase::Active)
                    continue;
                const TaskAddress address = {job.spec.id, occurrence.number, uint32_t(step),
                                             uint32_t(index)};
                const auto run = task.worker->runs.find(address.text());
                if (run != task.worker->runs.end())
                    run->second.phase = RunPhase::Stopping;
            }
        }
    }
}

// Section: storage of progress

Batch Dispatcher::collect()
{
    Batch batch;
    size_t bytes = 0;
    for (const auto &[id, job] : m_dirty) {
        if (batch.rows.size() == maxRowsPerCommit || bytes > maxBytesPerCommit)
            return batch; // completions are acknowledged once all that they changed is stored
        Batch::JobRow row = {job->spec.id, job->state, job->changes, {}};
        row.progress = encodeProgress(progressOf(*job), &row.isShortened);
        if (row.isShortened && !job->isProgressShortened)
            log::warn("progress_shortened", {{"job", id}, {"limit", maxProgressBytes}});
        job->isProgressShortened = row.isShortened;
        bytes += row.progress.size();
        batch.rows.push_back(std::move(row));
    }
    for (const auto &[id, worker] : m_workers) {
        if (worker->completionsProcessed > worker->completionsAcknowledged)
            batch.completions.push_back(
                    {worker->entry.id, worker->incarnation.born, worker->completionsProcessed});
    }
    return batch;
}

bool Dispatcher::hasUnstored() const
{
    return !m_dirty.empty() || m_hasUnacknowledgedCompletions;
}

bool Dispatcher::hasUnstoredFinal() const
{
    return std::any_of(m_dirty.begin(), m_dirty.end(),
                       [](const auto &entry) { return isFinal(entry.second->state); });
}

void Dispatcher::committed(const Batch &batch)
{
    for (const Batch::JobRow &row : batch.rows) {
        Job *const job = findJob(row.id);
        if (!job)
            continue;
        job->reportedState = row.state;
        // A job that changed while the batch was in flight has to be stored again.
        if (job->changes != row.changes)
            continue;
        job->isDirty = false;
        m_dirty.erase(row.id.value());
    }
    for (const Batch::WorkerCompletions &entry : batch.completions) {
        const auto worker = m_workers.find(entry.worker.value());
        if (worker != m_workers.end() && worker->second->incarnation.born == entry.born)
            worker->second->completionsAcknowledged =
                    std::max(worker->second->completionsAcknowledged, entry.processed);
    }
    m_hasUnacknowledgedCompletions =
            std::any_of(m_workers.begin(), m_workers.end(), [](const auto &entry) {
                return entry.second->completionsProcessed > entry.second->completionsAcknowledged;
            });
}

// Section: statistics

Json::Value Dispatcher::state(TimePoint now) const
{
    Json::Value value;
    value["epoch"] = Json::Int64(m_epoch.value());
    value["jobs"] = Json::UInt64(m_jobs.size());
    value["openJobs"] = Json::UInt64(m_open.size());
    value["unstoredJobs"] = Json::UInt64(m_dirty.size());
    for (const auto &[id, worker] : m_workers) {
        Json::Value &entry = value["workers"][id];
        entry["service"] = worker->entry.service;
        entry["read"] = worker->hasReported;
        entry["listed"] = worker->isListed;
        entry["draining"] = worker->entry.isDraining;
        entry["runs"] = Json::UInt64(worker->runs.size());
        entry["freeCores"] = Json::Int64(freeCapacity(*worker).cores.value());
        entry["reportAgeMs"] = Json::Int64(
                std::chrono::duration_cast<milliseconds>(now - worker->lastReport).count());
        entry["slowness"] = worker->slowness;
        entry["shunned"] = now < worker->excludedUntil;
    }
    for (const auto &[id, account] : m_customers.all())
        value["customers"][id.value()] = describe(*account);
    return value;
}

Json::Value Dispatcher::explain(const JobId &id, TimePoint now) const
{
    Json::Value value;
    const auto found = m_jobs.find(id.value());
    if (found == m_jobs.end())
        return value;
    const Job &job = *found->second;
    value["job"] = id.value();
    value["queue"] = job.spec.queue.name;
    if (job.account) {
        value["customer"] = job.account->customer.id.value();
        value["withinRate"] = job.isWithinRate;
        value["account"] = describe(*job.account);
    }
    value["state"] = jobStateName(job.reportedState);
    value["ageMs"] =
            Json::Int64(std::chrono::duration_cast<milliseconds>(now - job.arrivedAt).count());
    for (const Occurrence &occurrence : job.occurrences) {
        for (size_t number = 0; number < occurrence.steps.size(); ++number) {
            const StepState &step = occurrence.steps[number];
            Json::Value entry;
            entry["occurrence"] = occurrence.number;
            entry["step"] = Json::UInt64(number);
            entry["tasks"] = Json::UInt64(step.tasks.size());
            entry["done"] = step.done;
            entry["waiting"] = step.waiting;
            entry["ready"] = isReady(occurrence, job, uint32_t(number));
            entry["allowedWorkers"] = Json::UInt64(step.advice.allowed.size());
            entry["askedWorkers"] = Json::UInt64(step.advice.responses.size());
            for (const auto &[worker, count] : step.perWorker)
                entry["on"][worker->entry.id.value()] = count;
            value["steps"].append(std::move(entry));
        }
    }
    return value;
}

} // namespace cwl::jobs
