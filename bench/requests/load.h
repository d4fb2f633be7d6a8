// Callers of a benchmark: they send requests to given addresses and measure what comes back.

#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cwl::bench {

struct Target
{
    std::string address; // "ip:port"
    std::string path;    // of the request
};

struct LoadResult
{
    std::vector<double> answeredMs = {}; // time of each answered request, ascending
    int64_t sent = 0;
    int64_t refused = 0; // not run
    int64_t failed = 0;  // neither answered nor refused
    double seconds = 0;  // from the first send to the last answer

    double percentile(double fraction) const; // ms; 0 without answers
};

// Each target in turn gets one request at a time, until `count` requests are answered.
std::vector<LoadResult> alternate(const std::vector<Target> &targets, int64_t count);

// Keeps `concurrency` requests under way, spread over the targets, for `duration`.
LoadResult closedLoop(const std::vector<Target> &targets, int64_t concurrency, Duration duration);

// Sends `perSecond` requests with a deadline, spread over the targets, whatever comes back.
LoadResult openLoop(const std::vector<Target> &targets, double perSecond, Duration duration,
                    milliseconds deadline);

} // namespace cwl::bench
