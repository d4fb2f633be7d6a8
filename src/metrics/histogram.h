// A histogram with logarithmic bins, on Boost.Histogram, filled per thread and merged on read.

#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace cwl::metrics {

constexpr size_t shardCount = 16; // threads beyond it share shards

// Index of the calling thread's shard.
size_t threadShard();

struct HistogramRange
{
    double lowest = 1e-5; // lower edge of the first bin; smaller values count in it
    double highest = 100; // upper edge of the last bin; larger values count above it
    unsigned bins = 42;   // of equal ratio: 1.47 by default, 6 for each power of ten
};

// Merged contents at one moment.
struct HistogramReading
{
    std::vector<double> upperEdges = {}; // of the bins, rising
    std::vector<uint64_t> counts = {};   // one for each bin, then those above the last
    uint64_t count = 0;                  // of all values
    double sum = 0;                      // of all values
    double max = 0;                      // 0 without values

    // Returns the value below which the fraction `q` (0 to 1) of the values lie, to within one bin;
    // 0 without values.
    double quantile(double q) const;
};

class Histogram
{
public:
    explicit Histogram(const HistogramRange &range);
    ~Histogram();

    // Adds a value in the metric's unit; values that are not numbers are dropped.
    void observe(double value);
    void observe(Duration duration) // as seconds
    {
        observe(std::chrono::duration<double>(duration).count());
    }

    HistogramReading read() const;

private:
    struct Shard;
    HistogramRange m_range;
    std::unique_ptr<Shard[]> m_shards;
};

} // namespace cwl::metrics
