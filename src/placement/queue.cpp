#include "placement/queue.h"

#include "placement/fleet.h"

#include <algorithm>
#include <bit>

namespace cwl::placement {

namespace {

// Declared run times below this are treated as equal. With eight levels, a job can start before
// others of its team and class that were submitted up to 17 minutes earlier.
constexpr Duration shortestRun = seconds(16);

} // namespace

size_t SizeHash::operator()(const Size &size) const noexcept
{
    uint64_t hash = 1469598103934665603ull;
    for (const int64_t value :
         {size.each.cores.value(), size.each.memory.value(), size.each.accelerators.value(),
          int64_t(size.dataCentreNumber), int64_t(size.gang)}) {
        hash = (hash ^ static_cast<uint64_t>(value)) * 0x9E3779B97F4A7C15ull;
        hash ^= hash >> 29;
    }
    return hash;
}

bool Queue::isFullOfSizes(const Size &size) const
{
    return m_numbers.size() >= maxSizes && m_numbers.count(size) == 0;
}

// Section: jobs

void Queue::add(JobNumber number, const Resources &total, bool isFirst)
{
    Job &job = m_jobs[number];
    if (job.queue != noNumber)
        return;
    const uint32_t queueNumber = findOrAddQueue(job, total);
    RunList &run = m_queues[queueNumber].runs[runLevel(job)];
    job.queue = queueNumber;
    job.previous = isFirst ? noNumber : run.tail;
    job.next = isFirst ? run.head : noNumber;
    if (job.previous != noNumber)
        m_jobs[job.previous].next = number;
    else
        run.head = number;
    if (job.next != noNumber)
        m_jobs[job.next].previous = number;
    else
        run.tail = number;
    updateRank(queueNumber);
}

void Queue::remove(JobNumber number)
{
    Job &job = m_jobs[number];
    if (job.queue == noNumber)
        return;
    RunList &run = m_queues[job.queue].runs[runLevel(job)];
    if (job.previous != noNumber)
        m_jobs[job.previous].next = job.next;
    else
        run.head = job.next;
    if (job.next != noNumber)
        m_jobs[job.next].previous = job.previous;
    else
        run.tail = job.previous;
    const uint32_t queueNumber = job.queue;
    job.queue = job.previous = job.next = noNumber;
    TimePoint at;
    if (firstOf(m_queues[queueNumber], at) == noNumber)
        removeQueue(queueNumber);
    else
        updateRank(queueNumber);
}

size_t Queue::runLevel(const Job &job)
{
    // Urgent jobs start in order of arrival: starting the longest first did not improve packing
    // for them (10 seeds).
    if (job.urgency == UrgencyClass::Urgent || job.kind != JobKind::Batch)
        return 0;
    const auto units = static_cast<uint64_t>(job.run / shortestRun);
    return std::min<size_t>(static_cast<size_t>(std::bit_width(units)), runLevels - 1);
}

JobNumber Queue::firstOf(const Rank &rank) const
{
    TimePoint at;
    return firstOf(m_queues[rank.queue], at);
}

void Queue::updateRank(uint32_t number)
{
    TeamQueue &queue = m_queues[number];
    TimePoint at;
    firstOf(queue, at);
    if (at == queue.rank.at)
        return;
    if (!queue.isParked)
        removeFromOrder(number);
    queue.rank.at = at;
    if (!queue.isParked)
        addToOrder(number);
}

JobNumber Queue::firstOf(const TeamQueue &queue, TimePoint &bestAt) const
{
    JobNumber best = noNumber;
    for (size_t level = 0; level < runLevels; ++level) {
        const JobNumber head = queue.runs[level].head;
        if (head == noNumber)
            continue;
        const Duration advance = level == 0 ? Duration() : shortestRun * (1 << (level - 1));
        const TimePoint at = m_jobs[head].submitted - advance;
        if (best == noNumber || at < bestAt) {
            best = head;
            bestAt = at;
        }
    }
    return best;
}

uint32_t Queue::findOrAddQueue(const Job &job, const Resources &total)
{
    const uint32_t size = findOrAddSize(sizeOf(job));
    Team &team = m_accounts.team(job.team);
    for (const uint32_t number : team.queues) {
        if (m_queues[number].size == size && m_queues[number].urgency == job.urgency)
            return number;
    }
    uint32_t number = static_cast<uint32_t>(m_queues.size());
    if (m_freeQueues.empty()) {
        m_queues.emplace_back();
    } else {
        number = m_freeQueues.back();
        m_freeQueues.pop_back();
    }
    TeamQueue &queue = m_queues[number];
    queue = TeamQueue();
    queue.size = size;
    queue.team = job.team;
    queue.urgency = job.urgency;
    queue.rank = {.share = team.weightedShare(total),
                  .accelerators = -job.each.accelerators.value(),
                  .queue = number};
    team.queues.push_back(number);
    if (m_sizes[size].queues == 0)
        recordStart(m_sizes[size].size, job.submitted);
    ++m_sizes[size].queues;
    addToOrder(number);
    return number;
}

void Queue::removeQueue(uint32_t number)
{
    TeamQueue &queue = m_queues[number];
    removeFromOrder(number);
    std::erase(m_accounts.team(queue.team).queues, number);
    SizeState &size = m_sizes[queue.size];
    if (--size.queues == 0) {
        unblock(queue.size);
        m_numbers.erase(size.size);
        m_freeSizes.push_back(queue.size);
    }
    queue.size = noNumber;
    m_freeQueues.push_back(number);
}

uint32_t Queue::findOrAddSize(const Size &size)
{
    const auto entry = m_numbers.find(size);
    if (entry != m_numbers.end())
        return entry->second;
    uint32_t number = static_cast<uint32_t>(m_sizes.size());
    if (m_freeSizes.empty()) {
        m_sizes.emplace_back();
    } else {
        number = m_freeSizes.back();
        m_freeSizes.pop_back();
    }
    m_sizes[number] = SizeState();
    m_sizes[number].size = size;
    m_numbers.emplace(size, number);
    return number;
}

// Section: order

void Queue::addToOrder(uint32_t number)
{
    const TeamQueue &queue = m_queues[number];
    const auto urgency = static_cast<size_t>(queue.urgency);
    SizeState &size = m_sizes[queue.size];
    size.ready[urgency].insert(queue.rank);
    countAccelerators(size.size, 1);
    if (size.blockedPosition == noNumber)
        activate(queue.size, urgency);
}

void Queue::removeFromOrder(uint32_t number)
{
    const TeamQueue &queue = m_queues[number];
    const auto urgency = static_cast<size_t>(queue.urgency);
    SizeState &size = m_sizes[queue.size];
    if (size.ready[urgency].erase(queue.rank) > 0)
        countAccelerators(size.size, -1);
    if (size.ready[urgency].empty())
        deactivate(queue.size, urgency);
}

void Queue::activate(uint32_t number, size_t urgency)
{
    SizeState &size = m_sizes[number];
    if (size.activePosition[urgency] != noNumber || size.ready[urgency].empty())
        return;
    size.activePosition[urgency] = static_cast<uint32_t>(m_active[urgency].size());
    m_active[urgency].push_back(number);
}

void Queue::deactivate(uint32_t number, size_t urgency)
{
    SizeState &size = m_sizes[number];
    const uint32_t position = size.activePosition[urgency];
    if (position == noNumber)
        return;
    const uint32_t last = m_active[urgency].back();
    m_active[urgency][position] = last;
    m_sizes[last].activePosition[urgency] = position;
    m_active[urgency].pop_back();
    size.activePosition[urgency] = noNumber;
}

JobNumber Queue::next(UrgencyClass urgency) const
{
    const auto index = static_cast<size_t>(urgency);
    const Rank *best = nullptr;
    for (const uint32_t size : m_active[index]) {
        const auto &first = *m_sizes[size].ready[index].begin();
        if (!best || first < *best)
            best = &first;
    }
    return best ? firstOf(*best) : noNumber;
}

JobNumber Queue::nextAcceleratorLimited(UrgencyClass urgency) const
{
    const auto index = static_cast<size_t>(urgency);
    const Rank *best = nullptr;
    for (const uint32_t size : m_blocked) {
        const SizeState &state = m_sizes[size];
        if (!state.isAcceleratorLimited || state.ready[index].empty())
            continue;
        const auto &first = *state.ready[index].begin();
        if (!best || first < *best)
            best = &first;
    }
    return best ? firstOf(*best) : noNumber;
}

JobNumber Queue::nextBlocked(UrgencyClass urgency) const
{
    const auto index = static_cast<size_t>(urgency);
    for (const uint32_t size : m_blocked) {
        const SizeState &state = m_sizes[size];
        if (!state.ready[index].empty() && state.size.gang == 0)
            return firstOf(*state.ready[index].begin());
    }
    return noNumber;
}

// Section: capacity for tasks with accelerators

Queue::AcceleratorDemand &Queue::acceleratorDemand(const Size &size)
{
    const size_t row =
            size.dataCentreNumber == Fleet::anyDataCentre ? 0 : size_t(size.dataCentreNumber) + 1;
    if (m_accelerators.size() <= row)
        m_accelerators.resize(row + 1);
    const auto count = std::min<int64_t>(size.each.accelerators.value(), acceleratorCounts - 1);
    return m_accelerators[row][static_cast<size_t>(count)];
}

void Queue::countAccelerators(const Size &size, int change)
{
    // Gangs get their capacity through holds.
    if (size.each.accelerators.value() > 0 && size.gang == 0)
        acceleratorDemand(size).queues += static_cast<uint32_t>(change);
}

void Queue::recordStart(const Size &size, TimePoint now)
{
    if (size.each.accelerators.value() > 0 && size.gang == 0)
        acceleratorDemand(size).progress = std::max(acceleratorDemand(size).progress, now);
}

void Queue::findAcceleratorLimits(size_t dataCentres, TimePoint since,
                                  std::vector<int64_t> &limits) const
{
    const auto counts = [&](const AcceleratorDemand &demand) {
        return demand.queues > 0 && demand.progress >= since;
    };
    const auto fewest = [&](size_t row) {
        if (row >= m_accelerators.size())
            return noAcceleratorLimit;
        const auto &demands = m_accelerators[row];
        const auto first = std::find_if(demands.begin(), demands.end(), counts);
        return first == demands.end() ? noAcceleratorLimit : first - demands.begin() - 1;
    };
    limits.assign(dataCentres, fewest(0));
    for (size_t dataCentreNumber = 0; dataCentreNumber < dataCentres; ++dataCentreNumber)
        limits[dataCentreNumber] = std::min(limits[dataCentreNumber], fewest(dataCentreNumber + 1));
}

// Section: blocked sizes and parked teams

void Queue::blockSize(JobNumber job, bool isAcceleratorLimited)
{
    const uint32_t number = m_queues[m_jobs[job].queue].size;
    SizeState &size = m_sizes[number];
    size.isAcceleratorLimited = isAcceleratorLimited;
    if (size.blockedPosition != noNumber)
        return;
    size.blockedPosition = static_cast<uint32_t>(m_blocked.size());
    m_blocked.push_back(number);
    for (size_t urgency = 0; urgency < urgencyClassCount; ++urgency)
        deactivate(number, urgency);
}

void Queue::unblock(uint32_t number)
{
    SizeState &size = m_sizes[number];
    if (size.blockedPosition == noNumber)
        return;
    const uint32_t last = m_blocked.back();
    m_blocked[size.blockedPosition] = last;
    m_sizes[last].blockedPosition = size.blockedPosition;
    m_blocked.pop_back();
    size.blockedPosition = noNumber;
    for (size_t urgency = 0; urgency < urgencyClassCount; ++urgency)
        activate(number, urgency);
}

void Queue::unblockSize(const Size &size)
{
    const auto entry = m_numbers.find(size);
    if (entry != m_numbers.end())
        unblock(entry->second);
}

void Queue::unblockAcceleratorLimited()
{
    for (size_t i = 0; i < m_blocked.size();) {
        if (m_sizes[m_blocked[i]].isAcceleratorLimited)
            unblock(m_blocked[i]);
        else
            ++i;
    }
}

void Queue::unblockGangs()
{
    for (size_t i = 0; i < m_blocked.size();) {
        if (m_sizes[m_blocked[i]].size.gang > 0)
            unblock(m_blocked[i]);
        else
            ++i;
    }
}

void Queue::unblockFitting(const Resources &free, uint16_t dataCentreNumber)
{
    for (size_t i = 0; i < m_blocked.size();) {
        const uint32_t number = m_blocked[i];
        const Size &size = m_sizes[number].size;
        const bool isHere = size.dataCentreNumber == Fleet::anyDataCentre
                || size.dataCentreNumber == dataCentreNumber;
        if (size.gang == 0 && isHere && size.each.fitsIn(free))
            unblock(number); // moves another size to position i
        else
            ++i;
    }
}

void Queue::parkForQuota(JobNumber job)
{
    const uint32_t number = m_jobs[job].queue;
    removeFromOrder(number);
    m_queues[number].isParked = true;
}

void Queue::teamChanged(TeamNumber number, const Resources &total)
{
    Team &team = m_accounts.team(number);
    const double share = team.weightedShare(total);
    for (const uint32_t queueNumber : team.queues) {
        TeamQueue &queue = m_queues[queueNumber];
        if (!queue.isParked && queue.rank.share == share)
            continue;
        // A queue stays parked while one more task, or the gang, would exceed the quota.
        const Size &size = m_sizes[queue.size].size;
        if (queue.isParked) {
            const int64_t tasks = size.gang == 0 ? 1 : size.gang;
            if (!team.hasQuotaFor(times(size.each, tasks)))
                continue;
        } else {
            removeFromOrder(queueNumber);
        }
        queue.isParked = false;
        queue.rank.share = share;
        addToOrder(queueNumber);
    }
}

bool Queue::isBlocked(JobNumber job) const
{
    const uint32_t queue = m_jobs[job].queue;
    return queue != noNumber && m_sizes[m_queues[queue].size].blockedPosition != noNumber;
}

bool Queue::isParked(JobNumber job) const
{
    const uint32_t queue = m_jobs[job].queue;
    return queue != noNumber && m_queues[queue].isParked;
}

} // namespace cwl::placement
