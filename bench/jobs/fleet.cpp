#include "fleet.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cwl::bench {

namespace {

using namespace cwl::jobs;

constexpr Duration tick = milliseconds(4);          // between decisions
constexpr Duration pollInterval = milliseconds(60); // between reports of a busy worker
constexpr double estimateError = 0.2;

struct Kind
{
    const char *queue;
    const char *service;
    int64_t priority;
    double share; // of all jobs
    uint32_t tasks;
    Resources each;
    Duration work;
    double maxSlowdown;
};

// Job mix of a grown deployment.
const Kind kinds[] = {
        {"short",
         "plain",
         0,
         0.78,
         10,
         {Millicores(2700), Mebibytes(9800), {}},
         milliseconds(700),
         1.5},
        {"long",
         "plain",
         2,
         0.05,
         22,
         {Millicores(4500), Mebibytes(16000), {}},
         milliseconds(4500),
         4},
        {"large",
         "accelerators",
         1,
         0.08,
         1,
         {Millicores(31000), Mebibytes(130000), Accelerators(4)},
         milliseconds(4500),
         2.2},
        {"batch",
         "accelerators",
         2,
         0.09,
         20,
         {Millicores(5600), Mebibytes(23000), Accelerators(1)},
         milliseconds(2400),
         4},
};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return double(time.tv_sec) + double(time.tv_nsec) * 1e-9;
}

class Fleet
{
public:
    explicit Fleet(const FleetOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_dispatcher(DispatcherSettings{})
    {
    }

    FleetResult simulate();

private:
    struct Running
    {
        int64_t attempt = 0;
        TimePoint began;
        TimePoint ends;
    };
    struct Machine
    {
        WorkerId id;
        std::map<std::string, Running> running = {};
        std::vector<EndedTask> ended = {};
        int64_t lastEnd = 0;
        TimePoint nextReport = {};
    };

    void addWorkers();
    void addJobs(TimePoint now);
    void report(Machine &machine, TimePoint now);
    void executeOrders(const Orders &orders, TimePoint now);
    void store();
    template <typename Action>
    void measure(double &seconds, Action action);

    const FleetOptions m_options;
    std::mt19937_64 m_random;
    Dispatcher m_dispatcher;
    std::map<std::string, Machine> m_machines;
    std::map<std::string, Duration> m_work; // duration of a task, by job
    double m_dueJobs = 0;
    int64_t m_lastJob = 0;
    FleetResult m_result;
};

template <typename Action>
void Fleet::measure(double &seconds, Action action)
{
    const double began = processorSeconds();
    action();
    seconds += processorSeconds() - began;
}

void Fleet::addWorkers()
{
    const TimePoint now{seconds(1000)};
    m_dispatcher.begin(Epoch(1), now);
    for (int number = 0; number < m_options.plainWorkers + m_options.acceleratorWorkers; ++number) {
        const bool isPlain = number < m_options.plainWorkers;
        WorkerEntry entry;
        entry.id = WorkerId(absl::StrFormat("i-%010x", number));
        entry.address = entry.id.value();
        entry.service = isPlain ? "plain" : "accelerators";
        entry.capacity = isPlain ? Resources{Millicores(16000), Mebibytes(65536), {}}
                                 : Resources{Millicores(64000), Mebibytes(262144), Accelerators(8)};
        entry.labels = {"a", absl::StrFormat("r%d", number / 12)};
        entry.born = 1;
        m_dispatcher.putWorker(entry, now);
        m_dispatcher.noteRecorded(entry.id);
        m_machines[entry.id.value()].id = entry.id;
    }
}

void Fleet::addJobs(TimePoint now)
{
    m_dueJobs += m_options.jobsPerSecond * double(tick.count()) / 1e9;
    while (m_dueJobs >= 1) {
        m_dueJobs -= 1;
        std::discrete_distribution<size_t> choose(
                {kinds[0].share, kinds[1].share, kinds[2].share, kinds[3].share});
        const Kind &kind = kinds[choose(m_random)];
        JobSpec spec;
        spec.id = JobId(absl::StrFormat("%016x", ++m_lastJob));
        spec.queue.name = kind.queue;
        spec.queue.service = kind.service;
        spec.queue.priority = kind.priority;
        spec.queue.maxAttempts = 3;
        spec.queue.maxSlowdown = kind.maxSlowdown;
        spec.queue.latencyAllowance = milliseconds(250);
        std::exponential_distribution<double> width(1.0 / kind.tasks);
        std::uniform_real_distribution<double> error(1 - estimateError, 1 + estimateError);
        Step step;
        step.count = std::clamp<uint32_t>(uint32_t(width(m_random)) + 1, 1, 6 * kind.tasks);
        step.each = kind.each;
        step.estimate = Duration(int64_t(double(kind.work.count()) * error(m_random)));
        step.checkpoints = kind.priority == 2;
        m_work[spec.id.value()] = kind.work;
        spec.steps = {step};
        m_dispatcher.addJob(std::move(spec), now);
    }
}

void Fleet::report(Machine &machine, TimePoint now)
{
    WorkerReport workerReport;
    workerReport.clockMs = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    workerReport.born = 1;
    for (auto run = machine.running.begin(); run != machine.running.end();) {
        if (run->second.ends > now) {
            RunningTask running;
            running.task = run->first;
            running.attempt = run->second.attempt;
            running.percent = 100 * (now - run->second.began).count()
                    / std::max<int64_t>(1, (run->second.ends - run->second.began).count());
            workerReport.running.push_back(std::move(running));
            ++run;
            continue;
        }
        EndedTask end;
        end.number = ++machine.lastEnd;
        end.task = run->first;
        end.attempt = run->second.attempt;
        end.kind = EndKind::Done;
        workerReport.ended.push_back(std::move(end));
        run = machine.running.erase(run);
    }
    measure(m_result.reportSeconds, [&] {
        m_dispatcher.watchOrder(machine.id);
        m_dispatcher.onReport(machine.id, workerReport, now - milliseconds(2), now);
    });
    machine.nextReport = now + (machine.running.empty() ? seconds(1) : pollInterval);
}

void Fleet::executeOrders(const Orders &orders, TimePoint now)
{
    m_result.starts += orders.starts.size();
    for (const StartOrder &order : orders.starts) {
        Machine &machine = m_machines.at(order.worker.value());
        const std::string job = order.task.substr(0, order.task.find('.'));
        machine.running[order.task] = {order.attempt, now, now + m_work.at(job)};
        machine.nextReport = std::min<TimePoint>(machine.nextReport, now + pollInterval);
        m_dispatcher.onStartAnswered(order, OrderAnswer::Accepted, now);
    }
    for (const StopOrder &order : orders.stops) {
        m_machines.at(order.worker.value()).running.erase(order.task);
        m_dispatcher.onStopAnswered(order, OrderAnswer::Accepted, now);
    }
}

void Fleet::store()
{
    measure(m_result.decideSeconds, [&] {
        if (m_dispatcher.hasUnstored())
            m_dispatcher.committed(m_dispatcher.collect());
    });
}

FleetResult Fleet::simulate()
{
    addWorkers();
    TimePoint now{seconds(1000)};
    const TimePoint end = now + m_options.time;
    for (; now < end; now += tick) {
        addJobs(now);
        for (auto &[id, machine] : m_machines) {
            if (machine.nextReport <= now)
                report(machine, now);
        }
        Orders orders;
        double time = 0;
        m_dispatcher.confirmOwnership(now);
        measure(time, [&] { orders = m_dispatcher.decide(now, UnixMilliseconds(0)); });
        ++m_result.decisions;
        m_result.decideSeconds += time;
        m_result.longestDecision = std::max(m_result.longestDecision, time);
        executeOrders(orders, now);
        store();
    }
    return m_result;
}

} // namespace

FleetResult simulateFleet(const FleetOptions &options)
{
    return Fleet(options).simulate();
}

} // namespace cwl::bench
