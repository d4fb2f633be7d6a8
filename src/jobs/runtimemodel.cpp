#include "jobs/runtimemodel.h"

#include <algorithm>
#include <cmath>

namespace cwl::jobs {

namespace {

constexpr size_t minRuns = 12;        // of a queue before its predictions differ from the estimates
constexpr size_t maxWeightRuns = 200; // newer runs weigh at least as much as one of so many
constexpr double minVariance = 0.005; // of a logarithm, so that neither source is trusted blindly
constexpr Duration minTime = milliseconds(1);

} // namespace

void RuntimeModel::add(LogStatistics &statistics, size_t runs, double value)
{
    const double weight = 1.0 / double(std::min(runs, maxWeightRuns));
    const double difference = value - statistics.mean;
    statistics.mean += weight * difference;
    statistics.variance = (1 - weight) * (statistics.variance + weight * difference * difference);
}

void RuntimeModel::add(const std::string &queue, Duration estimate, Duration actual)
{
    if (estimate < minTime || actual < minTime)
        return;
    QueueStatistics &statistics = m_queues[queue];
    ++statistics.runs;
    const double logActual = std::log(double(actual.count()));
    add(statistics.actual, statistics.runs, logActual);
    add(statistics.ratio, statistics.runs, logActual - std::log(double(estimate.count())));
}

// Weighs the estimate, corrected by its usual error, and the mean run time by their precision.
Duration RuntimeModel::predict(const std::string &queue, Duration estimate) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.runs < minRuns || estimate < minTime)
        return estimate;
    const QueueStatistics &statistics = found->second;
    const double estimateWeight = 1 / (statistics.ratio.variance + minVariance);
    const double meanWeight = 1 / (statistics.actual.variance + minVariance);
    const double corrected = std::log(double(estimate.count())) + statistics.ratio.mean;
    const double combined = (estimateWeight * corrected + meanWeight * statistics.actual.mean)
            / (estimateWeight + meanWeight);
    return Duration(int64_t(std::exp(combined)));
}

} // namespace cwl::jobs
