// Preemption by checkpoint: a class below its guaranteed share gets resources from batch tasks of
// classes above their own share. The cheapest tasks are preempted first, within a rate limit.

#include "placement/planner.h"

#include <algorithm>

namespace cwl::placement {

namespace {

constexpr size_t maxVictimsExamined = 64; // per class and preemption

} // namespace

void Planner::addPreemptible(uint32_t slot)
{
    auto &slots = m_preemptible[static_cast<size_t>(m_jobs[m_slots[slot].job].urgency)];
    m_slots[slot].position = static_cast<uint32_t>(slots.size());
    slots.push_back(slot);
}

void Planner::removePreemptible(uint32_t slot)
{
    Running &running = m_slots[slot];
    if (running.position == noNumber)
        return;
    auto &slots = m_preemptible[static_cast<size_t>(m_jobs[running.job].urgency)];
    slots[running.position] = slots.back();
    m_slots[slots.back()].position = running.position;
    slots.pop_back();
    running.position = noNumber;
}

void Planner::refillPreemptionBudget(TimePoint now)
{
    constexpr Duration interval = Duration(seconds(1)) / preemptionsPerSecond;
    const int64_t earned = (now - m_preemptionsRefilled) / interval;
    if (earned <= 0)
        return;
    m_preemptionBudget = std::min(m_preemptionBudget + earned, maxPreemptionBurst);
    m_preemptionsRefilled = m_preemptionBudget == maxPreemptionBurst
            ? now
            : m_preemptionsRefilled + interval * earned;
}

bool Planner::keepsGuaranteeWithout(UrgencyClass urgency, const Resources &amount) const
{
    const ClassUsage &usage = m_accounts.usage(urgency);
    return !m_accounts.isBelowGuarantee(urgency, usage.used - usage.pendingPreemption - amount,
                                        m_fleet.total());
}

bool Planner::preempt(TimePoint now, Decision &decision)
{
    refillPreemptionBudget(now);
    if (m_preemptionBudget <= 0)
        return false;
    for (size_t index = 0; index < urgencyClassCount; ++index) {
        const auto urgency = static_cast<UrgencyClass>(index);
        const JobNumber job = m_queue.nextBlocked(urgency);
        if (job == noNumber)
            continue;
        const ClassUsage &usage = m_accounts.usage(urgency);
        const double share = dominantShare(usage.used + usage.pendingReclaim, m_fleet.total());
        const double guarantee = static_cast<double>(m_options.classShares[index]) / 100.0;
        if (share < guarantee && preemptFor(job, now, decision))
            return true;
    }
    return false;
}

bool Planner::preemptFor(JobNumber number, TimePoint now, Decision &decision)
{
    const Job &job = m_jobs[number];
    if (!m_accounts.team(job.team).hasQuotaFor(job.each))
        return false;
    std::optional<Preemption> best;
    for (size_t index = 0; index < urgencyClassCount; ++index) {
        const std::vector<uint32_t> &slots = m_preemptible[index];
        if (!keepsGuaranteeWithout(static_cast<UrgencyClass>(index), Resources()))
            continue;
        const size_t examined = std::min(slots.size(), maxVictimsExamined);
        for (size_t step = 0; step < examined; ++step) {
            const size_t position = (m_victimCursor[index] + step) % slots.size();
            const WorkerNumber worker = m_slots[slots[position]].worker;
            const bool isHere = job.dataCentreNumber == Fleet::anyDataCentre
                    || job.dataCentreNumber == m_fleet.worker(worker).dataCentreNumber;
            if (!isHere || !m_fleet.isUsable(worker))
                continue;
            std::optional<Preemption> candidate = victimsOn(worker, job.each, now);
            if (candidate && (!best || candidate->cost < best->cost))
                best = std::move(candidate);
        }
        if (examined > 0)
            m_victimCursor[index] = (m_victimCursor[index] + examined) % slots.size();
    }
    if (!best)
        return false;
    decision.kind = Decision::Kind::Preempt;
    ClassUsage &usage = m_accounts.usage(job.urgency);
    for (const uint32_t slot : best->slots) {
        Running &victim = m_slots[slot];
        victim.isStopping = true;
        victim.preemptedFor = job.urgency;
        const Job &victimJob = m_jobs[victim.job];
        usage.pendingReclaim = usage.pendingReclaim + victimJob.each;
        ClassUsage &preemptedUsage = m_accounts.usage(victimJob.urgency);
        preemptedUsage.pendingPreemption = preemptedUsage.pendingPreemption + victimJob.each;
        removePreemptible(slot);
        decision.assignments.push_back(assignmentOf(slot));
    }
    m_preemptionBudget -= static_cast<int64_t>(best->slots.size());
    return true;
}

std::optional<Planner::Preemption> Planner::victimsOn(WorkerNumber number, const Resources &demand,
                                                      TimePoint now) const
{
    const Worker &worker = m_fleet.worker(number);
    const auto costOf = [&](uint32_t slot) {
        const std::chrono::duration<double> elapsed = now - m_slots[slot].started;
        return elapsed.count() * static_cast<double>(m_jobs[m_slots[slot].job].each.cores.value())
                / 1000.0;
    };
    std::vector<std::pair<double, uint32_t>> order;
    for (const uint32_t slot : worker.slots) {
        const Running &running = m_slots[slot];
        if (running.position != noNumber)
            order.emplace_back(costOf(slot), slot);
    }
    std::sort(order.begin(), order.end());
    Preemption preemption;
    Resources free = worker.free();
    std::array<Resources, urgencyClassCount> losses = {};
    for (const auto &[cost, slot] : order) {
        if (demand.fitsIn(free))
            break;
        const Job &victim = m_jobs[m_slots[slot].job];
        Resources &loss = losses[static_cast<size_t>(victim.urgency)];
        if (!keepsGuaranteeWithout(victim.urgency, loss + victim.each))
            continue;
        loss = loss + victim.each;
        free = free + victim.each;
        preemption.slots.push_back(slot);
        preemption.cost += cost;
    }
    const bool isEnough = demand.fitsIn(free) && !preemption.slots.empty()
            && static_cast<int64_t>(preemption.slots.size()) <= m_preemptionBudget;
    if (!isEnough)
        return std::nullopt;
    return preemption;
}

} // namespace cwl::placement
