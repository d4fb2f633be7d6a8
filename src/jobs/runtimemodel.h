// Learns how far the estimates of each queue can be trusted, and predicts run times from them.
//
// Clients' estimates range from good to useless. A job's time to finish, and with it its place in
// the queue, follows from them, so a queue whose estimates say little is better served by the mean
// of its run times.

#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace cwl::jobs {

class RuntimeModel
{
public:
    // A task of the queue with this estimate has run for `actual` without a break.
    void add(const std::string &queue, Duration estimate, Duration actual);

    // The estimate as it is until enough tasks of the queue have run.
    Duration predict(const std::string &queue, Duration estimate) const;

    void clear() { m_queues.clear(); }

private:
    // Mean and variance of a logarithm, older values counting less.
    struct LogStatistics
    {
        double mean = 0;
        double variance = 0;
    };
    struct QueueStatistics
    {
        size_t runs = 0;
        LogStatistics actual = {};
        LogStatistics ratio = {}; // of actual to estimated time
    };

    static void add(LogStatistics &statistics, size_t runs, double value);

    std::unordered_map<std::string, QueueStatistics> m_queues;
};

} // namespace cwl::jobs
