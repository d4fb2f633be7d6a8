#include "requests/classqueues.h"

#include <algorithm>

namespace cwl::requests {

namespace {

size_t indexOf(UrgencyClass urgency)
{
    return static_cast<size_t>(urgency);
}

} // namespace

void ClassQueues::setLimits(int64_t maxQueued, const PerClass<int64_t> &shares)
{
    m_maxQueued = maxQueued;
    m_shares = shares;
}

bool ClassQueues::isFull(UrgencyClass urgency) const
{
    return queued(urgency) >= m_maxQueued;
}

int64_t ClassQueues::queued(UrgencyClass urgency) const
{
    return static_cast<int64_t>(m_queues[indexOf(urgency)].size());
}

int64_t ClassQueues::queued() const
{
    int64_t total = 0;
    for (const std::deque<Ticket> &queue : m_queues)
        total += static_cast<int64_t>(queue.size());
    return total;
}

void ClassQueues::push(UrgencyClass urgency, Ticket ticket)
{
    if (queued() == 0)
        m_taken = {};
    m_queues[indexOf(urgency)].push_back(ticket);
}

void ClassQueues::pushFront(UrgencyClass urgency, Ticket ticket)
{
    m_queues[indexOf(urgency)].push_front(ticket);
}

void ClassQueues::remove(UrgencyClass urgency, Ticket ticket)
{
    std::erase(m_queues[indexOf(urgency)], ticket);
}

std::optional<Ticket> ClassQueues::pop(int64_t slots, const PerClass<int64_t> &inUse)
{
    const std::optional<size_t> chosen = nextClass(slots, inUse);
    if (!chosen)
        return std::nullopt;
    const Ticket ticket = m_queues[*chosen].front();
    m_queues[*chosen].pop_front();
    ++m_taken[*chosen];
    return ticket;
}

std::optional<size_t> ClassQueues::nextClass(int64_t slots, const PerClass<int64_t> &inUse) const
{
    std::optional<size_t> below;
    std::optional<size_t> mostUrgent;
    for (size_t i = 0; i < urgencyClassCount; ++i) {
        if (m_queues[i].empty())
            continue;
        if (!mostUrgent)
            mostUrgent = i;
        const bool isBelowShare = inUse[i] * 100 < slots * m_shares[i];
        if (isBelowShare && (!below || goesBefore(i, *below, inUse)))
            below = i;
    }
    return below ? below : mostUrgent;
}

// Compares two classes below their shares. With few slots both often have none in use; what they
// took so far then decides, so that no class is passed over for ever.
bool ClassQueues::goesBefore(size_t first, size_t second, const PerClass<int64_t> &inUse) const
{
    const int64_t firstUse = inUse[first] * m_shares[second];
    const int64_t secondUse = inUse[second] * m_shares[first];
    if (firstUse != secondUse)
        return firstUse < secondUse;
    return m_taken[first] * m_shares[second] < m_taken[second] * m_shares[first];
}

double ClassQueues::slotsFor(UrgencyClass urgency, int64_t slots,
                             const PerClass<int64_t> &inUse) const
{
    const size_t own = indexOf(urgency);
    int64_t active = 0;
    for (size_t i = 0; i < urgencyClassCount; ++i) {
        if (i == own || inUse[i] > 0 || !m_queues[i].empty())
            active += std::max<int64_t>(m_shares[i], 1);
    }
    const auto share = static_cast<double>(std::max<int64_t>(m_shares[own], 1));
    return static_cast<double>(slots) * share / static_cast<double>(active);
}

} // namespace cwl::requests
