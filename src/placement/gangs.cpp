// Gangs: either all tasks are placed in one decision or none. Resources are held on workers for at
// most one gang of each class that does not fit. Other tasks start only in capacity that is not
// held.

#include "placement/planner.h"

#include <algorithm>
#include <limits>

namespace cwl::placement {

namespace {

// At most this many workers are examined in one search for a hold, to bound its cost.
constexpr size_t maxHoldWorkers = 2048;
constexpr Duration defaultRunTime = std::chrono::hours(1); // for tasks without a declared run time

} // namespace

bool Planner::startGang(JobNumber number, TimePoint now, Decision &decision)
{
    const Job &job = m_jobs[number];
    if (!m_accounts.team(job.team).hasQuotaFor(times(job.each, job.count))) {
        m_queue.parkForQuota(number);
        return false;
    }
    if (placeGang(number, now, decision))
        return true;
    m_queue.blockSize(number, false);
    addTimer(Timer::Kind::GangSize, now + gangRetryInterval, number);
    if (m_holds[static_cast<size_t>(job.urgency)].job == noNumber)
        planHold(number, now);
    return false;
}

bool Planner::placeGang(JobNumber number, TimePoint now, Decision &decision)
{
    Job &job = m_jobs[number];
    m_gangPlan.clear();
    for (uint32_t task = 0; task < job.count; ++task) {
        Score score;
        const std::optional<WorkerNumber> worker = findWorker(job, m_noAcceleratorLimits, score);
        if (!worker)
            break;
        m_fleet.hold(*worker, job.each);
        m_gangPlan.emplace_back(*worker, score);
    }
    for (const auto &[worker, score] : m_gangPlan)
        m_fleet.releaseHeld(worker, job.each);
    if (m_gangPlan.size() < job.count)
        return false;
    m_queue.remove(number);
    for (const auto &[worker, score] : m_gangPlan)
        decision.assignments.push_back(startTask(number, takeReadyIndex(job), worker, score, now));
    return true;
}

// Section: holds

TimePoint Planner::expectedEnd(const Running &running, TimePoint now) const
{
    const Job &job = m_jobs[running.job];
    if (job.kind == JobKind::Service)
        return TimePoint::max();
    const TimePoint declared = running.started + (job.run > Duration() ? job.run : defaultRunTime);
    // Declared run times can be far too short. An overdue task is expected to run as long again as
    // it has run so far.
    return declared > now ? declared : now + (now - running.started);
}

void Planner::addHoldOptions(const Job &job, WorkerNumber number, TimePoint now)
{
    const Worker &worker = m_fleet.worker(number);
    std::vector<std::pair<TimePoint, Resources>> ends;
    for (const uint32_t slot : worker.slots) {
        const TimePoint end = expectedEnd(m_slots[slot], now);
        if (end != TimePoint::max())
            ends.emplace_back(end, m_jobs[m_slots[slot].job].each);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto &one, const auto &other) { return one.first < other.first; });
    Resources free = worker.free();
    TimePoint at = now;
    uint32_t tasks = 0;
    for (size_t next = 0;; ++next) {
        uint32_t more = 0;
        while (tasks + more < job.count && times(job.each, tasks + more + 1).fitsIn(free))
            ++more;
        if (more > 0)
            m_holdOptions.push_back({at, number, more});
        tasks += more;
        if (next == ends.size() || tasks == job.count)
            return;
        at = ends[next].first;
        free = free + ends[next].second;
    }
}

void Planner::collectHoldOptions(const Job &job, TimePoint now)
{
    m_holdOptions.clear();
    const size_t examined = std::min(m_fleet.size(), maxHoldWorkers);
    for (size_t step = 0; step < examined; ++step) {
        const auto number = static_cast<WorkerNumber>((m_holdCursor + step) % m_fleet.size());
        const Worker &worker = m_fleet.worker(number);
        const bool isHere = job.dataCentreNumber == Fleet::anyDataCentre
                || job.dataCentreNumber == worker.dataCentreNumber;
        if (isHere && m_fleet.isUsable(number) && worker.health == Worker::Health::Good
            && job.each.fitsIn(worker.spec.capacity)) {
            addHoldOptions(job, number, now);
        }
    }
    if (m_fleet.size() > maxHoldWorkers)
        m_holdCursor = static_cast<WorkerNumber>((m_holdCursor + examined) % m_fleet.size());
    std::sort(m_holdOptions.begin(), m_holdOptions.end(),
              [](const HoldOption &one, const HoldOption &other) {
                  return std::tie(one.at, one.worker) < std::tie(other.at, other.worker);
              });
}

bool Planner::planHold(JobNumber number, TimePoint now)
{
    Job &job = m_jobs[number];
    collectHoldOptions(job, now);
    uint32_t found = 0;
    size_t used = 0;
    for (; used < m_holdOptions.size() && found < job.count; ++used)
        found += m_holdOptions[used].tasks;
    if (found < job.count)
        return false;
    m_holdOptions.resize(used);
    m_holdOptions.back().tasks -= found - job.count;
    Hold &hold = m_holds[static_cast<size_t>(job.urgency)];
    hold.job = number;
    hold.mayBeReady = true;
    for (const HoldOption &option : m_holdOptions) {
        hold.tasksPerWorker.emplace_back(option.worker, option.tasks);
        m_fleet.hold(option.worker, times(job.each, option.tasks));
    }
    m_accounts.charge(job.team, job.urgency, times(job.each, job.count));
    m_queue.remove(number);
    m_queue.teamChanged(job.team, m_fleet.total());
    job.hasHold = true;
    addTimer(Timer::Kind::Hold, now + holdReplanInterval, number);
    return true;
}

JobNumber Planner::releaseHold(Hold &hold)
{
    const JobNumber number = hold.job;
    if (number == noNumber)
        return number;
    Job &job = m_jobs[number];
    const std::vector<std::pair<WorkerNumber, uint32_t>> tasksPerWorker =
            std::move(hold.tasksPerWorker);
    hold = Hold();
    job.hasHold = false;
    m_accounts.refund(job.team, job.urgency, times(job.each, job.count));
    m_queue.teamChanged(job.team, m_fleet.total());
    for (const auto &[worker, tasks] : tasksPerWorker)
        m_fleet.releaseHeld(worker, times(job.each, tasks));
    for (const auto &[worker, tasks] : tasksPerWorker)
        onWorkerChanged(worker);
    return number;
}

void Planner::releaseHoldAndRequeue(Hold &hold)
{
    const JobNumber number = releaseHold(hold);
    if (number != noNumber)
        enqueue(number, true);
}

void Planner::replanHold(Hold &hold, TimePoint now)
{
    // No decision is made between the two steps, so no other task can take the resources.
    const JobNumber number = releaseHold(hold);
    if (!planHold(number, now))
        enqueue(number, true);
}

bool Planner::isHoldReady(const Hold &hold) const
{
    return std::all_of(hold.tasksPerWorker.begin(), hold.tasksPerWorker.end(),
                       [&](const auto &entry) {
                           const Resources free = m_fleet.worker(entry.first).free();
                           return m_fleet.isUsable(entry.first) && Resources().fitsIn(free);
                       });
}

bool Planner::startReadyHold(TimePoint now, Decision &decision)
{
    for (Hold &hold : m_holds) {
        if (hold.job == noNumber || !hold.mayBeReady)
            continue;
        hold.mayBeReady = false;
        if (!isHoldReady(hold))
            continue;
        startGangOnHold(hold, now, decision);
        return true;
    }
    return false;
}

void Planner::startGangOnHold(Hold &hold, TimePoint now, Decision &decision)
{
    const std::vector<std::pair<WorkerNumber, uint32_t>> tasksPerWorker = hold.tasksPerWorker;
    const JobNumber number = releaseHold(hold);
    Job &job = m_jobs[number];
    const Packing &packing = packingOf(policyOf(job));
    for (const auto &[worker, tasks] : tasksPerWorker) {
        for (uint32_t task = 0; task < tasks; ++task) {
            const Score score = scoreOf(job, packing, worker);
            const uint32_t index = takeReadyIndex(job);
            decision.assignments.push_back(startTask(number, index, worker, score, now));
        }
    }
}

bool Planner::isWithinGuarantee(const Hold &hold) const
{
    // Excludes the held resources. Otherwise two gangs could release each other's holds in an
    // endless loop.
    const Job &job = m_jobs[hold.job];
    const Resources used = m_accounts.usage(job.urgency).used - times(job.each, job.count);
    return m_accounts.isBelowGuarantee(job.urgency, used, m_fleet.total());
}

bool Planner::releaseBorrowedHolds(UrgencyClass urgency)
{
    bool isAnyReleased = false;
    for (size_t index = 0; index < urgencyClassCount; ++index) {
        const auto other = static_cast<UrgencyClass>(index);
        Hold &hold = m_holds[index];
        if (hold.job == noNumber || other == urgency || isWithinGuarantee(hold))
            continue;
        releaseHoldAndRequeue(hold);
        isAnyReleased = true;
    }
    return isAnyReleased;
}

} // namespace cwl::placement
