// Retention of finished jobs by the owner of a group. Pure: the time is an argument.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <set>
#include <utility>
#include <vector>

namespace cwl::scheduler {

constexpr int64_t finishedJobMs = 3'600'000; // retention, for operators and repeated submissions
constexpr size_t maxFinishedJobs = 10'000;   // per group; above it the oldest are deleted first

class FinishedJobs
{
public:
    void add(const JobId &job, UnixMilliseconds finishedAt);

    // Removes and returns the jobs to delete, oldest first, at most `limit`.
    std::vector<JobId> takeDue(UnixMilliseconds now, size_t limit);

    size_t size() const { return m_jobs.size(); }

private:
    std::set<std::pair<int64_t, JobId>> m_jobs; // ordered by finish time
};

} // namespace cwl::scheduler
