// Gangs: all tasks are placed in one decision or none. A gang without room gets room held for it,
// and other work goes on behind it only in capacity that the gang does not wait for.

#include "placement/planner.h"

#include <algorithm>
#include <limits>

namespace cwl::placement {

namespace {

// Workers looked at when room for one gang is sought, so that the cost has a bound.
constexpr size_t maxHoldWorkers = 2048;
constexpr Duration unknownRun = std::chrono::hours(1); // assumed for tasks of undeclared run time

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
        const std::optional<WorkerNumber> worker = findWorker(job, m_noLimits, score);
        if (!worker)
            break;
        m_fleet.hold(*worker, job.each);
        m_gangPlan.emplace_back(*worker, score);
    }
    for (const auto &[worker, score] : m_gangPlan)
        m_fleet.unhold(worker, job.each);
    if (m_gangPlan.size() < job.count)
        return false;
    m_queue.remove(number);
    for (const auto &[worker, score] : m_gangPlan)
        decision.assignments.push_back(startTask(number, takeReadyIndex(job), worker, score, now));
    return true;
}

// Section: held room

TimePoint Planner::expectedEnd(const Running &running, TimePoint now) const
{
    const Job &job = m_jobs[running.job];
    if (job.kind == JobKind::Service)
        return TimePoint::max();
    const TimePoint declared = running.started + (job.run > Duration() ? job.run : unknownRun);
    // Declared run times are far off at times: an overdue task is expected to take as long again.
    return declared > now ? declared : now + (now - running.started);
}

void Planner::addHoldPlaces(const Job &job, WorkerNumber number, TimePoint now)
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
            m_holdPlaces.push_back({at, number, more});
        tasks += more;
        if (next == ends.size() || tasks == job.count)
            return;
        at = ends[next].first;
        free = free + ends[next].second;
    }
}

void Planner::collectHoldPlaces(const Job &job, TimePoint now)
{
    m_holdPlaces.clear();
    const size_t looked = std::min(m_fleet.size(), maxHoldWorkers);
    for (size_t step = 0; step < looked; ++step) {
        const auto number = static_cast<WorkerNumber>((m_holdCursor + step) % m_fleet.size());
        const Worker &worker = m_fleet.worker(number);
        const bool isHere = job.place == Fleet::anyPlace || job.place == worker.place;
        if (isHere && m_fleet.isUsable(number) && worker.health == Worker::Health::Good
            && job.each.fitsIn(worker.spec.capacity)) {
            addHoldPlaces(job, number, now);
        }
    }
    if (m_fleet.size() > maxHoldWorkers)
        m_holdCursor = static_cast<WorkerNumber>((m_holdCursor + looked) % m_fleet.size());
    std::sort(m_holdPlaces.begin(), m_holdPlaces.end(),
              [](const HoldPlace &one, const HoldPlace &other) {
                  return std::tie(one.at, one.worker) < std::tie(other.at, other.worker);
              });
}

bool Planner::planHold(JobNumber number, TimePoint now)
{
    Job &job = m_jobs[number];
    collectHoldPlaces(job, now);
    uint32_t found = 0;
    size_t used = 0;
    for (; used < m_holdPlaces.size() && found < job.count; ++used)
        found += m_holdPlaces[used].tasks;
    if (found < job.count)
        return false;
    m_holdPlaces.resize(used);
    m_holdPlaces.back().tasks -= found - job.count;
    Hold &hold = m_holds[static_cast<size_t>(job.urgency)];
    hold.job = number;
    hold.mayBeReady = true;
    for (const HoldPlace &place : m_holdPlaces) {
        hold.places.emplace_back(place.worker, place.tasks);
        m_fleet.hold(place.worker, times(job.each, place.tasks));
    }
    m_accounts.charge(job.team, job.urgency, times(job.each, job.count));
    m_queue.remove(number);
    m_queue.teamChanged(job.team, m_fleet.total());
    job.isHeldFor = true;
    addTimer(Timer::Kind::Hold, now + holdRevisionInterval, number);
    return true;
}

JobNumber Planner::clearHold(Hold &hold)
{
    const JobNumber number = hold.job;
    if (number == noNumber)
        return number;
    Job &job = m_jobs[number];
    const std::vector<std::pair<WorkerNumber, uint32_t>> places = std::move(hold.places);
    hold = Hold();
    job.isHeldFor = false;
    m_accounts.refund(job.team, job.urgency, times(job.each, job.count));
    m_queue.teamChanged(job.team, m_fleet.total());
    for (const auto &[worker, tasks] : places)
        m_fleet.unhold(worker, times(job.each, tasks));
    for (const auto &[worker, tasks] : places)
        wakeWorker(worker);
    return number;
}

void Planner::dropHold(Hold &hold)
{
    const JobNumber number = clearHold(hold);
    if (number != noNumber)
        enqueue(number, true);
}

void Planner::reviseHold(Hold &hold, TimePoint now)
{
    // No decision is made between the two steps, so nothing takes the room meanwhile.
    const JobNumber number = clearHold(hold);
    if (!planHold(number, now))
        enqueue(number, true);
}

bool Planner::isHoldReady(const Hold &hold) const
{
    return std::all_of(hold.places.begin(), hold.places.end(), [&](const auto &place) {
        const Resources free = m_fleet.worker(place.first).free();
        return m_fleet.isUsable(place.first) && Resources().fitsIn(free);
    });
}

bool Planner::startHeldGangs(TimePoint now, Decision &decision)
{
    for (Hold &hold : m_holds) {
        if (hold.job == noNumber || !hold.mayBeReady)
            continue;
        hold.mayBeReady = false;
        if (!isHoldReady(hold))
            continue;
        startOnHold(hold, now, decision);
        return true;
    }
    return false;
}

void Planner::startOnHold(Hold &hold, TimePoint now, Decision &decision)
{
    const std::vector<std::pair<WorkerNumber, uint32_t>> places = hold.places;
    const JobNumber number = clearHold(hold);
    Job &job = m_jobs[number];
    const Packing &packing = packingOf(policyOf(job));
    for (const auto &[worker, tasks] : places) {
        for (uint32_t task = 0; task < tasks; ++task) {
            const Score score = scoreOf(job, packing, worker);
            const uint32_t index = takeReadyIndex(job);
            decision.assignments.push_back(startTask(number, index, worker, score, now));
        }
    }
}

bool Planner::isWithinGuarantee(const Hold &hold) const
{
    // Without the held room: otherwise two gangs could break each other's holds without end.
    const Job &job = m_jobs[hold.job];
    const Resources used = m_accounts.usage(job.urgency).used - times(job.each, job.count);
    return m_accounts.isBelowGuarantee(job.urgency, used, m_fleet.total());
}

bool Planner::breakBorrowedHolds(UrgencyClass urgency)
{
    bool isAnyBroken = false;
    for (size_t index = 0; index < urgencyClassCount; ++index) {
        const auto other = static_cast<UrgencyClass>(index);
        Hold &hold = m_holds[index];
        if (hold.job == noNumber || other == urgency || isWithinGuarantee(hold))
            continue;
        dropHold(hold);
        isAnyBroken = true;
    }
    return isAnyBroken;
}

} // namespace cwl::placement
