// Baselines: arrival order and strict priority, both with first-fit placement.

#include "drive.h"

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <tuple>

namespace cwl::bench {

namespace {

struct WaitingJob
{
    size_t arrival = 0;
    JobSpec spec;
    uint32_t next = 0;
};

class FirstFit : public Scheduler
{
public:
    FirstFit(const std::vector<WorkerSpec> &fleet, bool isStrictPriority)
        : m_isStrictPriority(isStrictPriority)
    {
        for (const WorkerSpec &worker : fleet)
            m_free.push_back(worker.capacity);
    }

    void submit(size_t arrival, const JobSpec &spec, TimePoint) override
    {
        const size_t queue = m_isStrictPriority ? static_cast<size_t>(spec.urgency) : 0;
        m_queues[queue].push_back({arrival, spec, 0});
        ++waitingJobs(spec.each);
        m_hasChanges = true;
    }

    void decide(TimePoint, const std::function<void(size_t, TaskRef)> &start,
                const std::function<void(size_t, TaskRef)> &) override
    {
        if (!m_hasChanges)
            return;
        m_hasChanges = false;
        std::vector<Resources> unplaceable;
        for (std::list<WaitingJob> &queue : m_queues) {
            for (auto job = queue.begin(); job != queue.end();) {
                while (job->next < job->spec.count && startOne(*job, unplaceable, start)) {
                }
                if (job->next == job->spec.count) {
                    --waitingJobs(job->spec.each);
                    job = queue.erase(job);
                } else {
                    ++job;
                }
                if (unplaceable.size() >= std::min(maxSizes, waitingSizes()))
                    return;
            }
        }
    }

    void finish(size_t arrival, TaskRef task, TimePoint) override
    {
        const auto entry = m_running.find({arrival, task.index});
        m_free[entry->second.first] = m_free[entry->second.first] + entry->second.second;
        m_running.erase(entry);
        m_hasChanges = true;
    }

private:
    static constexpr size_t maxSizes = 64; // sizes that fit no worker after which a pass ends

    size_t &waitingJobs(const Resources &size)
    {
        for (auto &[each, jobs] : m_waiting) {
            if (each == size)
                return jobs;
        }
        return m_waiting.emplace_back(size, 0).second;
    }

    size_t waitingSizes() const
    {
        return static_cast<size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
                                                 [](const auto &each) { return each.second > 0; }));
    }

    bool startOne(WaitingJob &job, std::vector<Resources> &unplaceable,
                  const std::function<void(size_t, TaskRef)> &start)
    {
        for (const Resources &size : unplaceable) {
            if (size == job.spec.each)
                return false;
        }
        for (size_t worker = 0; worker < m_free.size(); ++worker) {
            if (!job.spec.each.fitsIn(m_free[worker]))
                continue;
            m_free[worker] = m_free[worker] - job.spec.each;
            m_running[{job.arrival, job.next}] = {worker, job.spec.each};
            start(job.arrival, {0, job.next++});
            return true;
        }
        unplaceable.push_back(job.spec.each);
        return false;
    }

    bool m_isStrictPriority = false;
    bool m_hasChanges = false;
    std::vector<Resources> m_free; // by worker
    std::array<std::list<WaitingJob>, 3> m_queues;
    std::vector<std::pair<Resources, size_t>> m_waiting; // jobs of each size
    std::map<std::pair<size_t, uint32_t>, std::pair<size_t, Resources>> m_running;
};

} // namespace

std::unique_ptr<Scheduler> firstFitScheduler(const std::vector<WorkerSpec> &fleet,
                                             bool isStrictPriority)
{
    return std::make_unique<FirstFit>(fleet, isStrictPriority);
}

} // namespace cwl::bench
