#include "metrics/histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <optional>

namespace cwl::metrics {

namespace bh = boost::histogram;

namespace {

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Bins = bh::histogram<std::tuple<Axis>, bh::dense_storage<uint64_t>>;

Bins makeBins(const HistogramRange &range)
{
    return bh::make_histogram_with(bh::dense_storage<uint64_t>(),
                                   Axis(range.bins, range.lowest, range.highest));
}

} // namespace

size_t threadShard()
{
    static std::atomic<size_t> threads = 0;
    thread_local const size_t shard = threads.fetch_add(1) % shardCount;
    return shard;
}

// Aligned so that threads that fill neighbouring shards share no cache line.
struct alignas(64) Histogram::Shard
{
    std::mutex mutex;         // contended only while a reader merges
    std::optional<Bins> bins; // made at the first value, so that idle threads cost no memory
    double sum = 0;
    double max = 0;
};

Histogram::Histogram(const HistogramRange &range)
    : m_range(range)
    , m_shards(std::make_unique<Shard[]>(shardCount))
{
}

Histogram::~Histogram() = default;

void Histogram::observe(double value)
{
    if (std::isnan(value))
        return;
    Shard &shard = m_shards[threadShard()];
    const std::lock_guard lock(shard.mutex);
    if (!shard.bins)
        shard.bins = makeBins(m_range);
    // The logarithmic axis puts zero and negative values above its last bin.
    (*shard.bins)(std::max(value, m_range.lowest));
    shard.sum += value;
    shard.max = std::max(shard.max, value);
}

HistogramReading Histogram::read() const
{
    Bins merged = makeBins(m_range);
    HistogramReading reading;
    for (size_t index = 0; index < shardCount; ++index) {
        Shard &shard = m_shards[index];
        const std::lock_guard lock(shard.mutex);
        if (!shard.bins)
            continue;
        merged += *shard.bins;
        reading.sum += shard.sum;
        reading.max = std::max(reading.max, shard.max);
    }
    const int bins = merged.axis().size();
    for (int bin = 0; bin < bins; ++bin) {
        reading.upperEdges.push_back(merged.axis().value(bin + 1));
        reading.counts.push_back(merged.at(bin));
    }
    reading.counts.front() += merged.at(-1);
    reading.counts.push_back(merged.at(bins));
    for (const uint64_t count : reading.counts)
        reading.count += count;
    return reading;
}

double HistogramReading::quantile(double q) const
{
    if (count == 0)
        return 0;
    const double wanted = std::clamp(q, 0.0, 1.0) * static_cast<double>(count);
    double below = 0;
    for (size_t bin = 0; bin < upperEdges.size(); ++bin) {
        const double inside = static_cast<double>(counts[bin]);
        if (inside > 0 && below + inside >= wanted) {
            const double ratio = upperEdges[1] / upperEdges[0];
            const double fraction = (wanted - below) / inside;
            const double value = upperEdges[bin] / ratio * std::pow(ratio, fraction);
            return std::min(value, max);
        }
        below += inside;
    }
    return max;
}

} // namespace cwl::metrics
