#include "http/memorybudget.h"

namespace cwl::http {

namespace {

size_t inBlocks(size_t bytes)
{
    constexpr size_t block = MemoryCharge::blockBytes;
    return (bytes + block - 1) / block * block;
}

} // namespace

bool MemoryBudget::tryAdd(size_t bytes)
{
    const size_t before = m_used.fetch_add(bytes, std::memory_order_relaxed);
    if (before + bytes <= m_limit)
        return true;
    remove(bytes);
    return false;
}

void MemoryBudget::add(size_t bytes)
{
    m_used.fetch_add(bytes, std::memory_order_relaxed);
}

void MemoryBudget::remove(size_t bytes)
{
    m_used.fetch_sub(bytes, std::memory_order_relaxed);
}

bool MemoryCharge::tryHold(size_t bytes)
{
    const size_t wanted = inBlocks(bytes);
    if (wanted > m_held && !m_budget.tryAdd(wanted - m_held))
        return false;
    if (wanted < m_held)
        m_budget.remove(m_held - wanted);
    m_held = wanted;
    return true;
}

void MemoryCharge::hold(size_t bytes)
{
    const size_t wanted = inBlocks(bytes);
    if (wanted > m_held)
        m_budget.add(wanted - m_held);
    else if (wanted < m_held)
        m_budget.remove(m_held - wanted);
    m_held = wanted;
}

} // namespace cwl::http
