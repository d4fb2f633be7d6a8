// Index of the workers of one data centre, with or without accelerators, in buckets of free
// capacity. Updates are in place. A search examines a bounded number of workers, whatever the size
// of the fleet.

#pragma once

#include "placement/types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cwl::placement {

class CandidateIndex
{
public:
    CandidateIndex();

    // Inserts the worker or moves it to the bucket of its new free capacity.
    void put(WorkerNumber worker, const Resources &free);
    void remove(WorkerNumber worker);

    struct Search
    {
        Resources demand;
        bool mostFreeFirst = false; // buckets with the most free capacity first
        size_t perBucket = 2;       // most candidates taken from one bucket
        size_t limit = 24;          // most candidates taken in total
        int64_t maxFreeAccelerators = std::numeric_limits<int64_t>::max(); // free on a candidate
    };
    // Appends workers whose free capacity fits the demand to `found`, up to the limits.
    void collect(const Search &search, std::vector<WorkerNumber> &found) const;

private:
    static constexpr size_t coreLevels = 64;       // quarter octaves from 128 millicores
    static constexpr size_t memoryLevels = 32;     // half octaves from 256 MiB
    static constexpr size_t acceleratorLevels = 9; // 0 to 7, 8 and more
    // At most this many workers are examined in one bucket: if the lower bound of the bucket is
    // below the demand, many of them may not fit.
    static constexpr size_t maxExaminedPerBucket = 32;

    struct Entry
    {
        Resources free = {};
        uint32_t bucket = noNumber;
        uint32_t previous = noNumber;
        uint32_t next = noNumber;
    };

    static size_t coreLevel(int64_t millicores);
    static size_t memoryLevel(int64_t mebibytes);
    static size_t acceleratorLevel(int64_t accelerators);
    static uint32_t bucketOf(const Resources &free);

    void link(WorkerNumber worker, uint32_t bucket);
    void unlink(WorkerNumber worker);
    bool collectRow(size_t row, const Search &search, uint64_t mask,
                    std::vector<WorkerNumber> &found, size_t wanted) const;
    bool collectBucket(uint32_t bucket, const Search &search, std::vector<WorkerNumber> &found,
                       size_t wanted) const;

    std::vector<uint32_t> m_heads; // first worker of each bucket
    // Bit set of the non-empty core levels, by accelerator and memory level.
    std::vector<uint64_t> m_filled;
    std::vector<Entry> m_entries; // by worker number
};

} // namespace cwl::placement
