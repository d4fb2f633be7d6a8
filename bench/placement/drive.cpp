#include "drive.h"

#include <algorithm>
#include <map>
#include <queue>

namespace cwl::bench {

namespace {

constexpr int64_t unlimited = 1'000'000'000;

TimePoint timeOf(double atSeconds)
{
    return TimePoint(std::chrono::hours(1))
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(atSeconds));
}

std::vector<WorkerSpec> fleetOf(size_t workers, size_t dataCentres, const Resources &plain,
                                size_t plainPerRack, const Resources &accelerated)
{
    std::vector<WorkerSpec> fleet;
    for (size_t number = 0; number < workers; ++number) {
        // 35 of 48 workers are plain, the others have accelerators.
        const bool isPlain = number % 48 < 35;
        const size_t dataCentre = number % dataCentres;
        const size_t rack = number / dataCentres / (isPlain ? plainPerRack : 3);
        fleet.push_back({WorkerId("w" + std::to_string(number)),
                         DataCentreId("dc" + std::to_string(dataCentre)),
                         RackId("r" + std::to_string(rack)), isPlain ? plain : accelerated});
    }
    return fleet;
}

class PlannerScheduler : public Scheduler
{
public:
    PlannerScheduler(const std::vector<WorkerSpec> &fleet, size_t teams)
        : m_planner({.maxWaitingTasks = 10'000'000})
    {
        for (size_t team = 0; team < teams; ++team)
            m_planner.putTeam({.id = TeamId("team" + std::to_string(team)),
                               .quota = sized(unlimited, unlimited, unlimited)});
        for (const WorkerSpec &worker : fleet)
            m_planner.setReported(m_planner.putWorker(worker), true);
    }

    void submit(size_t arrival, const JobSpec &spec, TimePoint now) override
    {
        if (!m_planner.submit(spec, now).ok())
            std::fprintf(stderr, "job %s was rejected\n", spec.id.value().c_str());
        const placement::JobNumber number = m_planner.find(spec.id);
        m_arrivals.resize(std::max<size_t>(m_arrivals.size(), number + 1));
        m_arrivals[number] = arrival;
    }

    void decide(TimePoint now, const std::function<void(size_t, TaskRef)> &start,
                const std::function<void(size_t, TaskRef)> &stop) override
    {
        while (m_planner.decide(now, m_decision)) {
            for (const placement::Assignment &task : m_decision.assignments) {
                const size_t arrival = m_arrivals[task.task.job];
                if (m_decision.kind == placement::Decision::Kind::Start) {
                    start(arrival, task.task);
                } else {
                    stop(arrival, task.task);
                    m_planner.finish(task.task, placement::Outcome::Stopped, now);
                }
            }
        }
    }

    void finish(size_t, TaskRef task, TimePoint now) override
    {
        m_planner.finish(task, placement::Outcome::Succeeded, now);
    }

private:
    placement::Planner m_planner;
    placement::Decision m_decision;
    std::vector<size_t> m_arrivals; // by job number
};

} // namespace

double percentile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0;
    const size_t rank = std::min(values.size() - 1,
                                 static_cast<size_t>(part * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(rank), values.end());
    return values[rank];
}

std::vector<WorkerSpec> mocionesFleet(size_t workers)
{
    return fleetOf(workers, 3, sized(16000, 65536, 0), 5, sized(64000, 262144, 8));
}

std::vector<WorkerSpec> yarmoukFleet(size_t workers)
{
    return fleetOf(workers, 4, sized(64000, 131072, 0), 4, sized(128000, 262144, 8));
}

std::unique_ptr<Scheduler> plannerScheduler(const std::vector<WorkerSpec> &fleet, size_t teams)
{
    return std::make_unique<PlannerScheduler>(fleet, teams);
}

namespace {

class DriveRun
{
public:
    DriveRun(Scheduler &scheduler, const std::vector<Arrival> &arrivals, Window window)
        : m_scheduler(scheduler)
        , m_arrivals(arrivals)
        , m_window(window)
    {
    }

    DriveResult execute(double until)
    {
        size_t next = 0;
        while (next < m_arrivals.size() || !m_completions.empty()) {
            const double arrivalAt = next < m_arrivals.size() ? m_arrivals[next].at : 1e18;
            const double completionAt = m_completions.empty() ? 1e18 : m_completions.top().at;
            // The preemption budget refills over time, so decide at least once a second.
            m_now = std::min({arrivalAt, completionAt, m_now + 1});
            if (m_now > until)
                break;
            while (next < m_arrivals.size() && m_arrivals[next].at <= m_now) {
                m_scheduler.submit(next, m_arrivals[next].spec, timeOf(m_now));
                ++next;
            }
            while (!m_completions.empty() && m_completions.top().at <= m_now)
                finishFirst();
            m_scheduler.decide(
                    timeOf(m_now), [&](size_t arrival, TaskRef task) { start(arrival, task); },
                    [&](size_t arrival, TaskRef task) { stop(arrival, task); });
        }
        m_now = std::min(m_now, until);
        for (const auto &[key, running] : m_running)
            addCoreSeconds(running.arrival, running.since, m_now);
        countUnstarted(next);
        return std::move(m_result);
    }

private:
    using Key = std::pair<size_t, uint32_t>; // arrival, task index
    struct Running
    {
        size_t arrival = 0;
        TaskRef task = {};
        double since = 0;
        uint64_t start = 0;
    };
    struct Completion
    {
        double at = 0;
        uint64_t start = 0;
        Key key = {};
        bool operator>(const Completion &other) const
        {
            return std::tie(at, start) > std::tie(other.at, other.start);
        }
    };

    void start(size_t arrival, TaskRef task)
    {
        const Key key(arrival, task.index);
        const auto [remaining, isFirst] = m_remaining.try_emplace(key, m_arrivals[arrival].run);
        if (isFirst)
            recordWait(arrival, m_now - m_arrivals[arrival].at);
        m_running[key] = {arrival, task, m_now, ++m_starts};
        m_completions.push({m_now + remaining->second, m_starts, key});
    }

    void stop(size_t arrival, TaskRef task)
    {
        const Key key(arrival, task.index);
        const Running running = m_running.at(key);
        // The checkpoint preserves the progress of the task.
        m_remaining[key] -= m_now - running.since;
        addCoreSeconds(arrival, running.since, m_now);
        m_running.erase(key);
        ++m_result.preemptions;
    }

    void finishFirst()
    {
        const Completion completion = m_completions.top();
        m_completions.pop();
        const auto entry = m_running.find(completion.key);
        if (entry == m_running.end() || entry->second.start != completion.start)
            return; // preempted since this start
        const Running running = entry->second;
        addCoreSeconds(running.arrival, running.since, m_now);
        m_running.erase(entry);
        m_result.makespan = m_now;
        m_scheduler.finish(running.arrival, running.task, timeOf(m_now));
    }

    void recordWait(size_t arrival, double wait)
    {
        const Arrival &job = m_arrivals[arrival];
        const bool isCounted = !job.isFlood && job.at >= m_window.from && job.at < m_window.to;
        if (isCounted)
            m_result.waits[static_cast<size_t>(job.spec.urgency)].push_back(wait);
    }

    void countUnstarted(size_t submitted)
    {
        for (size_t arrival = 0; arrival < submitted; ++arrival) {
            for (uint32_t index = 0; index < m_arrivals[arrival].spec.count; ++index) {
                if (m_remaining.count({arrival, index}) == 0)
                    recordWait(arrival, m_now - m_arrivals[arrival].at);
            }
        }
    }

    void addCoreSeconds(size_t arrival, double from, double to)
    {
        const Arrival &job = m_arrivals[arrival];
        const double inWindow = std::min(to, m_window.to) - std::max(from, m_window.from);
        if (inWindow <= 0)
            return;
        const double amount = inWindow * static_cast<double>(job.spec.each.cores.value()) / 1000;
        if (job.isFlood)
            m_result.floodCoreSeconds += amount;
        else
            m_result.coreSeconds[static_cast<size_t>(job.spec.urgency)] += amount;
    }

    Scheduler &m_scheduler;
    const std::vector<Arrival> &m_arrivals;
    Window m_window;
    DriveResult m_result;
    std::map<Key, double> m_remaining; // seconds, of tasks started at least once
    std::map<Key, Running> m_running;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> m_completions;
    uint64_t m_starts = 0;
    double m_now = 0;
};

} // namespace

DriveResult drive(Scheduler &scheduler, const std::vector<Arrival> &arrivals,
                  const std::vector<WorkerSpec> &fleet, Window window, double until)
{
    DriveResult result = DriveRun(scheduler, arrivals, window).execute(until);
    double cores = 0;
    for (const WorkerSpec &worker : fleet)
        cores += static_cast<double>(worker.capacity.cores.value()) / 1000;
    result.capacityCoreSeconds = cores * (std::min(window.to, until) - window.from);
    return result;
}

} // namespace cwl::bench
