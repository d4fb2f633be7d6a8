#include "placement/candidateindex.h"

#include <algorithm>
#include <bit>

namespace cwl::placement {

CandidateIndex::CandidateIndex()
    : m_heads(acceleratorLevels * memoryLevels * coreLevels, noNumber)
    , m_filled(acceleratorLevels * memoryLevels, 0)
{
}

size_t CandidateIndex::coreLevel(int64_t millicores)
{
    constexpr int firstOctave = 7; // 128 millicores
    if (millicores < (1 << firstOctave))
        return 0;
    const auto value = static_cast<uint64_t>(millicores);
    const int octave = std::bit_width(value) - 1;
    const size_t quarter = (value >> (octave - 2)) & 3;
    return std::min<size_t>(1 + 4 * static_cast<size_t>(octave - firstOctave) + quarter,
                            coreLevels - 1);
}

size_t CandidateIndex::memoryLevel(int64_t mebibytes)
{
    constexpr int firstOctave = 8; // 256 MiB
    if (mebibytes < (1 << firstOctave))
        return 0;
    const auto value = static_cast<uint64_t>(mebibytes);
    const int octave = std::bit_width(value) - 1;
    const size_t half = (value >> (octave - 1)) & 1;
    return std::min<size_t>(1 + 2 * static_cast<size_t>(octave - firstOctave) + half,
                            memoryLevels - 1);
}

size_t CandidateIndex::acceleratorLevel(int64_t accelerators)
{
    return static_cast<size_t>(std::clamp<int64_t>(accelerators, 0, acceleratorLevels - 1));
}

uint32_t CandidateIndex::bucketOf(const Resources &free)
{
    const size_t row = acceleratorLevel(free.accelerators.value()) * memoryLevels
            + memoryLevel(free.memory.value());
    return static_cast<uint32_t>(row * coreLevels + coreLevel(free.cores.value()));
}

void CandidateIndex::put(WorkerNumber worker, const Resources &free)
{
    if (m_entries.size() <= worker)
        m_entries.resize(worker + 1);
    const uint32_t bucket = bucketOf(free);
    m_entries[worker].free = free;
    if (m_entries[worker].bucket == bucket)
        return;
    unlink(worker);
    link(worker, bucket);
}

void CandidateIndex::remove(WorkerNumber worker)
{
    if (worker < m_entries.size())
        unlink(worker);
}

void CandidateIndex::link(WorkerNumber worker, uint32_t bucket)
{
    Entry &entry = m_entries[worker];
    entry.bucket = bucket;
    entry.previous = noNumber;
    entry.next = m_heads[bucket];
    if (entry.next != noNumber)
        m_entries[entry.next].previous = worker;
    m_heads[bucket] = worker;
    m_filled[bucket / coreLevels] |= uint64_t(1) << (bucket % coreLevels);
}

void CandidateIndex::unlink(WorkerNumber worker)
{
    Entry &entry = m_entries[worker];
    if (entry.bucket == noNumber)
        return;
    if (entry.next != noNumber)
        m_entries[entry.next].previous = entry.previous;
    if (entry.previous != noNumber)
        m_entries[entry.previous].next = entry.next;
    else
        m_heads[entry.bucket] = entry.next;
    if (m_heads[entry.bucket] == noNumber)
        m_filled[entry.bucket / coreLevels] &= ~(uint64_t(1) << (entry.bucket % coreLevels));
    entry.bucket = noNumber;
}

bool CandidateIndex::collectBucket(uint32_t bucket, const Search &search,
                                   std::vector<WorkerNumber> &found, size_t wanted) const
{
    size_t taken = 0;
    size_t examined = 0;
    for (uint32_t worker = m_heads[bucket]; worker != noNumber; worker = m_entries[worker].next) {
        if (taken == search.perBucket || examined == maxExaminedPerBucket)
            break;
        ++examined;
        if (!search.demand.fitsIn(m_entries[worker].free))
            continue;
        found.push_back(worker);
        ++taken;
        if (found.size() == wanted)
            return true;
    }
    return false;
}

bool CandidateIndex::collectRow(size_t row, const Search &search, uint64_t mask,
                                std::vector<WorkerNumber> &found, size_t wanted) const
{
    uint64_t filled = m_filled[row] & mask;
    while (filled != 0) {
        const int level =
                search.mostFreeFirst ? 63 - std::countl_zero(filled) : std::countr_zero(filled);
        filled &= ~(uint64_t(1) << level);
        const auto bucket = static_cast<uint32_t>(row * coreLevels + static_cast<size_t>(level));
        if (collectBucket(bucket, search, found, wanted))
            return true;
    }
    return false;
}

void CandidateIndex::collect(const Search &search, std::vector<WorkerNumber> &found) const
{
    const size_t wanted = found.size() + search.limit;
    const size_t lowestMemory = memoryLevel(search.demand.memory.value());
    const uint64_t mask = ~uint64_t(0) << coreLevel(search.demand.cores.value());
    const size_t lowest = acceleratorLevel(search.demand.accelerators.value());
    const size_t highest = acceleratorLevel(search.maxFreeAccelerators);
    for (size_t accelerators = lowest; accelerators <= highest; ++accelerators) {
        for (size_t step = lowestMemory; step < memoryLevels; ++step) {
            const size_t memory =
                    search.mostFreeFirst ? memoryLevels - 1 - (step - lowestMemory) : step;
            if (collectRow(accelerators * memoryLevels + memory, search, mask, found, wanted))
                return;
        }
    }
}

} // namespace cwl::placement
