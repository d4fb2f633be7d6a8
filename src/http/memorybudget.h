// Bounds the memory that the connections of one listener hold together.
//
//     MemoryBudget budget(64 * 1024 * 1024);
//     MemoryCharge charge(budget);          // of one connection
//     if (!charge.tryHold(12000))           // in all, not in addition
//         ... free something and try again ...
//     charge.hold(300);                     // always succeeds, even above the limit
//
// Charges are counted in whole blocks, so that most requests change the shared counter once or not
// at all.

#pragma once

#include <atomic>
#include <cstddef>

namespace cwl::http {

// Any thread.
class MemoryBudget
{
public:
    explicit MemoryBudget(size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    size_t limit() const { return m_limit; }
    size_t used() const { return m_used.load(std::memory_order_relaxed); }
    bool isExceeded() const { return used() > m_limit; }

    bool tryAdd(size_t bytes); // adds nothing and returns false if the limit would be exceeded
    void add(size_t bytes);
    void remove(size_t bytes);

private:
    const size_t m_limit;
    std::atomic<size_t> m_used = 0;
};

// What one holder has taken of a budget; given back when it is destroyed. One thread at a time.
class MemoryCharge
{
public:
    static constexpr size_t blockBytes = 4096;

    explicit MemoryCharge(MemoryBudget &budget)
        : m_budget(budget)
    {
    }
    ~MemoryCharge() { m_budget.remove(m_held); }
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;

    size_t held() const { return m_held; }

    // Changes what is held to `bytes`, rounded up to blocks. tryHold() changes nothing and returns
    // false if more is needed than the budget has left; holding less always succeeds.
    bool tryHold(size_t bytes);
    void hold(size_t bytes);

private:
    MemoryBudget &m_budget;
    size_t m_held = 0;
};

} // namespace cwl::http
