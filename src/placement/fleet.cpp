#include "placement/fleet.h"

#include <algorithm>

namespace cwl::placement {

// Section: workers

WorkerNumber Fleet::put(const WorkerSpec &spec)
{
    const auto [entry, isNew] =
            m_numbers.try_emplace(spec.id, static_cast<WorkerNumber>(m_workers.size()));
    if (isNew)
        m_workers.emplace_back();
    const WorkerNumber number = entry->second;
    const uint16_t dataCentreNumber = findOrAddDataCentre(spec.dataCentre);
    Worker &worker = m_workers[number];
    if (worker.isKnown) {
        indexOf(worker).remove(number);
        countShape(worker, -1);
    } else {
        worker = Worker();
        worker.isKnown = true;
        ++m_known;
    }
    worker.spec = spec;
    worker.dataCentreNumber = dataCentreNumber;
    countShape(worker, 1);
    reindex(number);
    return number;
}

void Fleet::remove(WorkerNumber number)
{
    Worker &worker = m_workers[number];
    if (!worker.isKnown)
        return;
    indexOf(worker).remove(number);
    countShape(worker, -1);
    worker.isKnown = false;
    worker.isReported = false;
    --m_known;
}

WorkerNumber Fleet::find(const WorkerId &id) const
{
    const auto entry = m_numbers.find(id);
    if (entry == m_numbers.end() || !m_workers[entry->second].isKnown)
        return noNumber;
    return entry->second;
}

void Fleet::setReported(WorkerNumber worker, bool isReported)
{
    m_workers[worker].isReported = isReported;
    reindex(worker);
}

void Fleet::setReachable(WorkerNumber worker, bool isReachable)
{
    m_workers[worker].isReachable = isReachable;
    reindex(worker);
}

void Fleet::setDraining(WorkerNumber worker, bool isDraining)
{
    m_workers[worker].isDraining = isDraining;
    reindex(worker);
}

void Fleet::countShape(const Worker &worker, int change)
{
    const Resources &capacity = worker.spec.capacity;
    m_total = change > 0 ? m_total + capacity : m_total - capacity;
    const auto shape = std::find_if(m_shapes.begin(), m_shapes.end(), [&](const WorkerShape &s) {
        return s.capacity == capacity && s.dataCentreNumber == worker.dataCentreNumber;
    });
    if (shape == m_shapes.end()) {
        m_shapes.push_back({capacity, worker.dataCentreNumber, 1});
        return;
    }
    shape->workers += static_cast<uint32_t>(change);
    if (shape->workers == 0)
        m_shapes.erase(shape);
}

// Section: capacity

void Fleet::reserve(WorkerNumber number, const Resources &amount, uint32_t slot)
{
    Worker &worker = m_workers[number];
    worker.used = worker.used + amount;
    worker.slots.push_back(slot);
    reindex(number);
}

void Fleet::release(WorkerNumber number, const Resources &amount, uint32_t slot)
{
    Worker &worker = m_workers[number];
    worker.used = worker.used - amount;
    const auto found = std::find(worker.slots.begin(), worker.slots.end(), slot);
    if (found != worker.slots.end()) {
        *found = worker.slots.back();
        worker.slots.pop_back();
    }
    reindex(number);
}

void Fleet::hold(WorkerNumber worker, const Resources &amount)
{
    m_workers[worker].held = m_workers[worker].held + amount;
    reindex(worker);
}

void Fleet::releaseHeld(WorkerNumber worker, const Resources &amount)
{
    m_workers[worker].held = m_workers[worker].held - amount;
    reindex(worker);
}

bool Fleet::isUsable(WorkerNumber number) const
{
    const Worker &worker = m_workers[number];
    if (!worker.isKnown || !worker.isReported || !worker.isReachable || worker.isDraining)
        return false;
    return worker.health == Worker::Health::Good
            || (worker.health == Worker::Health::Trial && worker.slots.empty());
}

// Section: health

bool Fleet::recordFailure(WorkerNumber number, JobNumber job, TimePoint now)
{
    Worker &worker = m_workers[number];
    if (worker.health == Worker::Health::Quarantined)
        return false;
    if (std::find(worker.failed.begin(), worker.failed.end(), job) == worker.failed.end())
        worker.failed.push_back(job);
    if (worker.health == Worker::Health::Good && worker.failed.size() < quarantineJobThreshold)
        return false;
    const uint32_t doublings = std::min<uint32_t>(worker.quarantines, 10);
    worker.quarantinedUntil =
            now + std::min<Duration>(firstQuarantine * (1 << doublings), maxQuarantine);
    ++worker.quarantines;
    worker.health = Worker::Health::Quarantined;
    worker.failed.clear();
    reindex(number);
    return true;
}

void Fleet::recordSuccess(WorkerNumber number)
{
    Worker &worker = m_workers[number];
    worker.failed.clear();
    if (worker.health != Worker::Health::Trial)
        return;
    worker.health = Worker::Health::Good;
    worker.quarantines = 0;
    reindex(number);
}

void Fleet::clearFailures(WorkerNumber worker, JobNumber job)
{
    std::erase(m_workers[worker].failed, job);
}

void Fleet::endQuarantine(WorkerNumber number, TimePoint now)
{
    Worker &worker = m_workers[number];
    if (worker.health != Worker::Health::Quarantined || now < worker.quarantinedUntil)
        return;
    worker.health = Worker::Health::Trial;
    reindex(number);
}

// Section: search

uint16_t Fleet::findOrAddDataCentre(const DataCentreId &dataCentre)
{
    const auto [entry, isNew] = m_dataCentreNumbers.try_emplace(
            dataCentre, static_cast<uint16_t>(m_dataCentres.size()));
    if (isNew)
        m_dataCentres.emplace_back();
    return entry->second;
}

uint16_t Fleet::findDataCentre(const DataCentreId &dataCentre) const
{
    const auto entry = m_dataCentreNumbers.find(dataCentre);
    return entry == m_dataCentreNumbers.end() ? unknownDataCentre : entry->second;
}

CandidateIndex &Fleet::indexOf(const Worker &worker)
{
    const size_t hasAccelerators = worker.spec.capacity.accelerators.value() > 0 ? 1 : 0;
    return m_dataCentres[worker.dataCentreNumber].indexes[hasAccelerators];
}

void Fleet::reindex(WorkerNumber number)
{
    Worker &worker = m_workers[number];
    if (isUsable(number))
        indexOf(worker).put(number, worker.free());
    else
        indexOf(worker).remove(number);
}

void Fleet::collect(const CandidateIndex::Search &search, uint16_t dataCentreNumber,
                    const std::vector<int64_t> &limits, std::vector<WorkerNumber> &found) const
{
    const auto collectFrom = [&](size_t from, size_t kind) {
        CandidateIndex::Search limited = search;
        if (kind == 1 && from < limits.size())
            limited.maxFreeAccelerators = limits[from];
        m_dataCentres[from].indexes[kind].collect(limited, found);
    };
    const bool needsAccelerators = search.demand.accelerators.value() > 0;
    const size_t before = found.size();
    for (size_t kind = needsAccelerators ? 1 : 0; kind < 2; ++kind) {
        if (dataCentreNumber != anyDataCentre) {
            collectFrom(dataCentreNumber, kind);
        } else {
            for (size_t each = 0; each < m_dataCentres.size(); ++each)
                collectFrom(each, kind);
        }
        if (found.size() > before)
            return;
    }
}

} // namespace cwl::placement
