// How long the owner of a group keeps jobs that are over. Pure: the time is an argument.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <set>
#include <utility>
#include <vector>

namespace cwl::scheduler {

constexpr int64_t finishedJobMs = 3'600'000; // kept so long, for operators and repeated submissions
constexpr size_t maxFinishedJobs = 10'000;   // of one group; the oldest go first

class FinishedJobs
{
public:
    void add(const JobId &job, UnixMilliseconds finishedAt);

    // Takes out the oldest jobs that are to be deleted, `limit` at most.
    std::vector<JobId> takeDue(UnixMilliseconds now, size_t limit);

    size_t size() const { return m_jobs.size(); }

private:
    std::set<std::pair<int64_t, JobId>> m_jobs; // by the time of their end
};

} // namespace cwl::scheduler
