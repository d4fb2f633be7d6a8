// Test harness: a planner, and a separate record of running tasks to compare with its state.

#pragma once

#include "placement/planner.h"

#include <map>
#include <string>
#include <vector>

namespace cwl::placement::test {

inline Resources sized(int64_t cores, int64_t memory, int64_t accelerators = 0)
{
    return {Millicores(cores), Mebibytes(memory), Accelerators(accelerators)};
}

struct Harness
{
    explicit Harness(const Options &options = {})
        : planner(options)
    {
    }

    void addTeam(const std::string &name, const Resources &quota, int64_t weight = 1)
    {
        planner.putTeam({.id = TeamId(name), .quota = quota, .weight = weight});
        quotas[name] = quota;
    }

    WorkerNumber addWorker(const std::string &name, const Resources &capacity,
                           const std::string &dataCentre = "dc1", const std::string &rack = "r1")
    {
        const WorkerNumber number = planner.putWorker(
                {WorkerId(name), DataCentreId(dataCentre), RackId(rack), capacity});
        planner.setReported(number, true);
        return number;
    }

    JobSpec job(const std::string &id, const std::string &team, uint32_t count,
                const Resources &each) const
    {
        return {.id = JobId(id),
                .team = TeamId(team),
                .count = count,
                .each = each,
                .run = seconds(60)};
    }

    // Executes decisions until there are none. Returns the started tasks.
    std::vector<Assignment> decideAll()
    {
        std::vector<Assignment> started;
        Decision decision;
        while (planner.decide(now, decision)) {
            if (decision.kind == Decision::Kind::Preempt) {
                ++preemptions;
                for (const Assignment &victim : decision.assignments)
                    end(victim.task, Outcome::Stopped);
                continue;
            }
            for (const Assignment &task : decision.assignments) {
                started.push_back(task);
                running.push_back(task);
            }
        }
        return started;
    }

    // Ends a task, and the other tasks of its gang that the planner wants stopped.
    Finished end(TaskRef task, Outcome outcome)
    {
        std::erase_if(running, [&](const Assignment &other) { return other.task == task; });
        Finished finished = planner.finish(task, outcome, now);
        for (const Assignment &other : finished.stop)
            end(other.task, Outcome::Stopped);
        return finished;
    }

    // Resources used on a worker according to the harness's own record.
    Resources usedOn(WorkerNumber worker) const
    {
        Resources used;
        for (const Assignment &task : running) {
            if (task.worker == worker)
                used = used + planner.job(task.task.job).each;
        }
        return used;
    }

    // Number of running tasks of a job.
    size_t runningOf(const std::string &id) const
    {
        const JobNumber number = planner.find(JobId(id));
        size_t count = 0;
        for (const Assignment &task : running)
            count += task.task.job == number ? 1 : 0;
        return count;
    }

    Planner planner;
    std::vector<Assignment> running = {};
    std::map<std::string, Resources> quotas = {};
    TimePoint now = TimePoint(std::chrono::hours(1));
    size_t preemptions = 0;
};

} // namespace cwl::placement::test
