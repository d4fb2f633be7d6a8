#include "scheduler/finishedjobs.h"

namespace cwl::scheduler {

void FinishedJobs::add(const JobId &job, UnixMilliseconds finishedAt)
{
    m_jobs.emplace(finishedAt.value(), job);
}

std::vector<JobId> FinishedJobs::takeDue(UnixMilliseconds now, size_t limit)
{
    std::vector<JobId> due;
    while (!m_jobs.empty() && due.size() < limit) {
        const auto oldest = m_jobs.begin();
        const bool isOld = oldest->first + finishedJobMs <= now.value();
        if (!isOld && m_jobs.size() <= maxFinishedJobs)
            break;
        due.push_back(oldest->second);
        m_jobs.erase(oldest);
    }
    return due;
}

} // namespace cwl::scheduler
