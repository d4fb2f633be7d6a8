// Waiting requests of one endpoint group by urgency class, and the choice of the class that gets
// the next free slot.

#pragma once

#include "requests/idmemory.h"
#include "settings/cellsettings.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cwl::requests {

using settings::UrgencyClass;
using settings::urgencyClassCount;
template <typename T>
using PerClass = std::array<T, urgencyClassCount>;

class ClassQueues
{
public:
    ClassQueues(int64_t maxQueued, const PerClass<int64_t> &shares)
        : m_maxQueued(maxQueued)
        , m_shares(shares)
    {
    }

    // The limits from now on; what waits already stays.
    void setLimits(int64_t maxQueued, const PerClass<int64_t> &shares);

    bool isFull(UrgencyClass urgency) const;
    int64_t maxQueued() const { return m_maxQueued; }
    int64_t queued(UrgencyClass urgency) const;
    int64_t queued() const; // all classes

    void push(UrgencyClass urgency, Ticket ticket);
    void pushFront(UrgencyClass urgency, Ticket ticket); // a retry keeps its place
    void remove(UrgencyClass urgency, Ticket ticket);

    // Takes the next request for one of `slots` slots, of which `inUse` are in use by class. A
    // class below its share goes first, the one furthest below before others. Slots that no class
    // below its share asks for are lent in order of urgency.
    std::optional<Ticket> pop(int64_t slots, const PerClass<int64_t> &inUse);

    // Slots that a class can count on while every class that waits or runs asks for its share.
    double slotsFor(UrgencyClass urgency, int64_t slots, const PerClass<int64_t> &inUse) const;

private:
    std::optional<size_t> nextClass(int64_t slots, const PerClass<int64_t> &inUse) const;
    bool goesBefore(size_t first, size_t second, const PerClass<int64_t> &inUse) const;

    int64_t m_maxQueued;
    PerClass<int64_t> m_shares; // percent of slots
    PerClass<std::deque<Ticket>> m_queues;
    PerClass<int64_t> m_taken = {}; // requests taken per class since all queues were last empty
};

} // namespace cwl::requests
