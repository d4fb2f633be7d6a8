#include "placement/planner.h"

#include <xxhash.h>

#include <algorithm>

namespace cwl::placement {

namespace {

// Penalties for each replica of the same service that already runs in the data centre, rack or
// worker. A packing score is at most 1, so spreading over data centres takes precedence over
// packing.
constexpr double sameDataCentrePenalty = 1.0;
constexpr double sameRackPenalty = 0.5;
constexpr double sameWorkerPenalty = 2.0;
// Penalty for a task without accelerators on a worker that has some, which it may leave unusable.
constexpr double acceleratorPenalty = 0.5;
// At most this many replicas of one service are counted for spreading.
constexpr size_t maxReplicasCounted = 512;

enum class ReplicaKey : uint64_t { DataCentre, Rack, Worker };

uint64_t replicaKey(ReplicaKey kind, uint64_t value)
{
    return (static_cast<uint64_t>(kind) << 62) | (value & ((uint64_t(1) << 62) - 1));
}

uint64_t rackKey(const Worker &worker)
{
    const std::string &rack = worker.spec.rack.value();
    return replicaKey(ReplicaKey::Rack,
                      XXH3_64bits_withSeed(rack.data(), rack.size(), worker.dataCentreNumber));
}

bool isAnyLimited(const std::vector<int64_t> &limits)
{
    return std::any_of(limits.begin(), limits.end(),
                       [](int64_t limit) { return limit != Queue::noAcceleratorLimit; });
}

} // namespace

Planner::Planner(const Options &options)
    : m_options(options)
    , m_queue(m_jobs, m_accounts)
{
    m_accounts.setShares(options.classShares);
}

// Section: settings

void Planner::setOptions(const Options &options)
{
    m_options = options;
    m_accounts.setShares(options.classShares);
}

void Planner::putTeam(const TeamSpec &team)
{
    const TeamNumber number = m_accounts.putTeam(team);
    m_queue.teamChanged(number, m_fleet.total());
}

void Planner::removeTeam(const TeamId &team)
{
    m_accounts.removeTeam(team);
}

// Section: workers

WorkerNumber Planner::putWorker(const WorkerSpec &spec)
{
    const WorkerNumber number = m_fleet.put(spec);
    onWorkerChanged(number);
    return number;
}

void Planner::setReported(WorkerNumber worker, bool isReported)
{
    m_fleet.setReported(worker, isReported);
    onWorkerChanged(worker);
}

void Planner::setReachable(WorkerNumber worker, bool isReachable)
{
    m_fleet.setReachable(worker, isReachable);
    onWorkerChanged(worker);
}

void Planner::setDraining(WorkerNumber worker, bool isDraining)
{
    m_fleet.setDraining(worker, isDraining);
    onWorkerChanged(worker);
}

std::vector<Assignment> Planner::tasksOn(WorkerNumber worker) const
{
    std::vector<Assignment> tasks;
    for (const uint32_t slot : m_fleet.worker(worker).slots)
        tasks.push_back(assignmentOf(slot));
    return tasks;
}

void Planner::removeWorker(WorkerNumber worker, TimePoint now)
{
    m_fleet.setReachable(worker, false);
    for (const Assignment &left : tasksOn(worker))
        finish(left.task, Outcome::Stopped, now);
    for (Hold &hold : m_holds) {
        const auto isHere = [&](const auto &reservation) { return reservation.first == worker; };
        if (std::any_of(hold.tasksPerWorker.begin(), hold.tasksPerWorker.end(), isHere))
            releaseHoldAndRequeue(hold);
    }
    m_fleet.remove(worker);
}

// Section: selection

JobNumber Planner::chooseJob(TimePoint now, bool &isBelowGuarantee) const
{
    JobNumber best = noNumber;
    Duration bestAge = {};
    isBelowGuarantee = false;
    for (size_t index = 0; index < urgencyClassCount; ++index) {
        const auto urgency = static_cast<UrgencyClass>(index);
        const JobNumber job = m_queue.next(urgency);
        if (job == noNumber)
            continue;
        if (m_accounts.isBelowGuarantee(urgency, m_fleet.total())) {
            isBelowGuarantee = true;
            return job;
        }
        const Duration age = now - m_jobs[job].submitted - agingPerClass * static_cast<int>(index);
        if (best == noNumber || age > bestAge) {
            best = job;
            bestAge = age;
        }
    }
    return best;
}

bool Planner::decide(TimePoint now, Decision &decision)
{
    decision.assignments.clear();
    decision.kind = Decision::Kind::Start;
    bool isUpToDate = false;
    while (!isUpToDate) {
        isUpToDate = runTimers(now);
        if (startReadyHold(now, decision) || startNextJob(now, decision))
            return true;
    }
    return preempt(now, decision);
}

bool Planner::startNextJob(TimePoint now, Decision &decision)
{
    // Terminates: each pass without a start blocks a size, parks a queue or holds resources for a
    // gang.
    bool isBelowGuarantee = false;
    updateAcceleratorLimits(now);
    for (JobNumber job = chooseJob(now, isBelowGuarantee); job != noNumber;
         job = chooseJob(now, isBelowGuarantee)) {
        const UrgencyClass urgency = m_jobs[job].urgency;
        const bool isGang = m_jobs[job].kind == JobKind::Gang;
        if (isGang ? startGang(job, now, decision)
                   : startNextTask(job, m_acceleratorLimits, now, decision))
            return true;
        if (isBelowGuarantee && m_queue.isBlocked(job) && releaseBorrowedHolds(urgency))
            m_queue.unblockSize(Queue::sizeOf(m_jobs[job]));
        updateAcceleratorLimits(now);
    }
    return startAcceleratorLimited(now, decision);
}

bool Planner::startAcceleratorLimited(TimePoint now, Decision &decision)
{
    // A class below its guaranteed share may also use capacity that is free but reserved for tasks
    // with accelerators.
    for (size_t index = 0; index < urgencyClassCount; ++index) {
        const auto urgency = static_cast<UrgencyClass>(index);
        if (!m_accounts.isBelowGuarantee(urgency, m_fleet.total()))
            continue;
        for (JobNumber job = m_queue.nextAcceleratorLimited(urgency); job != noNumber;
             job = m_queue.nextAcceleratorLimited(urgency)) {
            if (startNextTask(job, m_noAcceleratorLimits, now, decision))
                return true;
        }
    }
    return false;
}

void Planner::updateAcceleratorLimits(TimePoint now)
{
    m_queue.findAcceleratorLimits(m_fleet.dataCentres(), now - maxAcceleratorReservation,
                                  m_newAcceleratorLimits);
    bool isRaised = m_newAcceleratorLimits.size() != m_acceleratorLimits.size();
    for (size_t dataCentreNumber = 0; dataCentreNumber < m_newAcceleratorLimits.size() && !isRaised;
         ++dataCentreNumber)
        isRaised = m_newAcceleratorLimits[dataCentreNumber] > m_acceleratorLimits[dataCentreNumber];
    std::swap(m_acceleratorLimits, m_newAcceleratorLimits);
    if (isRaised)
        m_queue.unblockAcceleratorLimited();
    if (!m_isAcceleratorLimitTimerSet && isAnyLimited(m_acceleratorLimits)) {
        m_isAcceleratorLimitTimerSet = true;
        addTimer(Timer::Kind::Limits, now + maxAcceleratorReservation, 0);
    }
}

std::optional<TimePoint> Planner::nextTimer() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.top().at;
}

bool Planner::startNextTask(JobNumber number, const std::vector<int64_t> &limits, TimePoint now,
                            Decision &decision)
{
    Job &job = m_jobs[number];
    if (!m_accounts.team(job.team).hasQuotaFor(job.each)) {
        m_queue.parkForQuota(number);
        return false;
    }
    Score score;
    const std::optional<WorkerNumber> worker = findWorker(job, limits, score);
    if (!worker) {
        m_queue.blockSize(number, job.each.accelerators.value() == 0 && isAnyLimited(limits));
        return false;
    }
    m_queue.recordStart(Queue::sizeOf(job), now);
    const uint32_t index = takeReadyIndex(job);
    if (!job.hasReadyTask())
        m_queue.remove(number);
    decision.assignments.push_back(startTask(number, index, *worker, score, now));
    return true;
}

PackingPolicy Planner::policyOf(const Job &job) const
{
    return job.policy.value_or(m_accounts.team(job.team).spec.packing);
}

std::optional<WorkerNumber> Planner::findWorker(const Job &job, const std::vector<int64_t> &limits,
                                                Score &score)
{
    const Packing &packing = packingOf(policyOf(job));
    CandidateIndex::Search search{.demand = job.each, .mostFreeFirst = packing.prefersMostFree()};
    if (job.kind == JobKind::Service) {
        // More candidates, so that several racks are among them.
        search.perBucket = 16;
        search.limit = 64;
        countReplicas(job);
    }
    m_candidates.clear();
    m_fleet.collect(search, job.dataCentreNumber,
                    job.each.accelerators.value() > 0 ? m_noAcceleratorLimits : limits,
                    m_candidates);
    std::optional<WorkerNumber> best;
    for (const WorkerNumber worker : m_candidates) {
        // A worker on trial gets one task at a time, so a gang cannot use it.
        const bool isOnTrial = m_fleet.worker(worker).health != Worker::Health::Good;
        if (isOnTrial && job.kind == JobKind::Gang)
            continue;
        const Score candidate = scoreOf(job, packing, worker);
        const bool isBetter = !best || candidate.total() > score.total()
                || (candidate.total() == score.total() && worker < *best);
        if (isBetter) {
            best = worker;
            score = candidate;
        }
    }
    return best;
}

Score Planner::scoreOf(const Job &job, const Packing &packing, WorkerNumber number) const
{
    const Worker &worker = m_fleet.worker(number);
    Score score;
    score.packing = packing.score({worker.spec.capacity, worker.free(), job.each});
    if (job.each.accelerators.value() == 0 && worker.spec.capacity.accelerators.value() > 0)
        score.accelerator = -acceleratorPenalty;
    if (job.kind != JobKind::Service)
        return score;
    const auto replicas = [&](uint64_t key) {
        for (const auto &[other, count] : m_replicas) {
            if (other == key)
                return static_cast<double>(count);
        }
        return 0.0;
    };
    score.spread = -sameDataCentrePenalty
                    * replicas(replicaKey(ReplicaKey::DataCentre, worker.dataCentreNumber))
            - sameRackPenalty * replicas(rackKey(worker))
            - sameWorkerPenalty * replicas(replicaKey(ReplicaKey::Worker, number));
    return score;
}

void Planner::countReplicas(const Job &job)
{
    m_replicas.clear();
    const auto count = [&](uint64_t key) {
        for (auto &[other, replicas] : m_replicas) {
            if (other == key) {
                ++replicas;
                return;
            }
        }
        m_replicas.emplace_back(key, 1);
    };
    size_t counted = 0;
    for (uint32_t slot = job.firstSlot; slot != noNumber && counted < maxReplicasCounted;
         slot = m_slots[slot].nextInJob, ++counted) {
        const Worker &worker = m_fleet.worker(m_slots[slot].worker);
        count(replicaKey(ReplicaKey::DataCentre, worker.dataCentreNumber));
        count(rackKey(worker));
        count(replicaKey(ReplicaKey::Worker, m_slots[slot].worker));
    }
}

// Section: explanation

std::optional<Explanation> Planner::explain(const JobId &id, uint32_t index, TimePoint now) const
{
    const JobNumber number = find(id);
    if (number == noNumber || index >= m_jobs[number].count)
        return std::nullopt;
    const Job &job = m_jobs[number];
    Explanation explanation;
    const TaskRef task{number, index};
    if (const std::optional<Assignment> assignment = running(task)) {
        const auto slot = m_runningByKey.find((uint64_t(number) << 32) | index);
        explanation.state =
                m_slots[slot->second].isStopping ? TaskState::Stopping : TaskState::Running;
        explanation.assignment = assignment;
        return explanation;
    }
    const TaskRetryState *retryState = nullptr;
    if (job.retryState) {
        const auto entry = job.retryState->tasks.find(index);
        retryState = entry == job.retryState->tasks.end() ? nullptr : &entry->second;
    }
    const bool isDelayed = retryState && retryState->isDelayed;
    const bool isUnstarted = index >= job.nextUnstarted;
    const bool isRetry = std::find(job.readyIndexes.begin(), job.readyIndexes.end(), index)
            != job.readyIndexes.end();
    if (!isDelayed && !isUnstarted && !isRetry) {
        explanation.state =
                retryState && retryState->isGivenUp ? TaskState::Failed : TaskState::Complete;
        return explanation;
    }
    if (isDelayed || job.notBefore > now) {
        explanation.reason = WaitReason::Backoff;
        explanation.notBefore =
                isDelayed ? std::max(retryState->notBefore, job.notBefore) : job.notBefore;
        return explanation;
    }
    explanation.reason = waitReason(number);
    return explanation;
}

WaitReason Planner::waitReason(JobNumber number) const
{
    const Job &job = m_jobs[number];
    if (!isAnyWorkerReady(job))
        return WaitReason::NoWorkerReady;
    if (job.hasHold)
        return WaitReason::GangCapacity;
    if (m_queue.isParked(number))
        return WaitReason::Quota;
    if (m_queue.isBlocked(number))
        return job.kind == JobKind::Gang ? WaitReason::GangCapacity : WaitReason::NoCapacity;
    return WaitReason::Turn;
}

bool Planner::isAnyWorkerReady(const Job &job) const
{
    for (WorkerNumber worker = 0; worker < m_fleet.size(); ++worker) {
        const Worker &candidate = m_fleet.worker(worker);
        const bool isHere = job.dataCentreNumber == Fleet::anyDataCentre
                || job.dataCentreNumber == candidate.dataCentreNumber;
        const bool isReady = candidate.isKnown && candidate.isReported && candidate.isReachable
                && !candidate.isDraining && candidate.health != Worker::Health::Quarantined;
        if (isHere && isReady && job.each.fitsIn(candidate.spec.capacity))
            return true;
    }
    return false;
}

} // namespace cwl::placement
