#include "jobs/simulation.h"

#include "jobs/limits.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>

namespace cwl::jobs::simulation {

namespace {

constexpr Duration step = milliseconds(5);
constexpr Duration stopTime = milliseconds(300);
constexpr Duration pollInterval = milliseconds(60);
constexpr Resources customerCap = {Millicores(9000), Mebibytes(9000), Accelerators(0)};

TimePoint at(Duration time)
{
    return TimePoint(seconds(1000) + time);
}

// One run of a task on a simulated worker.
struct WorkerRun
{
    int64_t attempt = 0;
    Resources resources;
    TimePoint begins;
    TimePoint ends;
    bool fails = false;
    bool isStopping = false;
};

struct SimulatedWorker
{
    WorkerId id;
    Resources capacity;
    int64_t born = 1;
    Epoch token;
    TimePoint leaseExpiresAt;
    std::map<std::string, WorkerRun> running;
    std::deque<EndedTask> ended;
    std::map<std::string, int64_t> endedAttempts; // highest stopped or ended attempt by task
    int64_t lastEnd = 0;
    int64_t acknowledged = 0;
    TimePoint unreachableUntil;

    int64_t clock(TimePoint now) const
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() - born * 17;
    }
};

class Simulation
{
public:
    explicit Simulation(const Options &options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    Result run();

private:
    using Action = std::function<void()>;

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }
    int64_t randomNumber(int64_t least, int64_t most)
    {
        return std::uniform_int_distribution<int64_t>(least, most)(m_random);
    }
    void schedule(Duration delay, Action action)
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    void addWorkers();
    void addJobs();
    JobSpec makeJob(int number);
    void changeOwner();
    void injectFaults();
    void advanceWorkers();
    void end(SimulatedWorker &worker, const std::string &task, EndKind kind);
    void poll(const std::shared_ptr<Dispatcher> &owner, Epoch epoch, const WorkerId &id);
    void sendOrders(const std::shared_ptr<Dispatcher> &owner, Epoch epoch, const Orders &orders);
    void sendStart(const std::shared_ptr<Dispatcher> &owner, Epoch epoch, const StartOrder &order);
    void sendStop(const std::shared_ptr<Dispatcher> &owner, Epoch epoch, const StopOrder &order);
    OrderAnswer start(SimulatedWorker &worker, Epoch epoch, const StartOrder &order);
    OrderAnswer stop(SimulatedWorker &worker, Epoch epoch, const StopOrder &order);
    void store();
    void checkStart(const SimulatedWorker &worker, const StartOrder &order);
    void checkCap(const StartOrder &order);
    void addViolation(const std::string &text) { m_result.violations.push_back(text); }
    bool isUnreachable(const SimulatedWorker &worker) const
    {
        return m_now < worker.unreachableUntil;
    }

    const Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_now = at({});
    std::multimap<TimePoint, Action> m_actions;
    std::map<std::string, SimulatedWorker> m_workers;
    std::map<std::string, JobSpec> m_jobs;    // accepted jobs in the store
    std::map<std::string, Progress> m_stored; // progress in the store
    std::set<std::string> m_acknowledgedDone; // tasks whose completion as done was acknowledged
    // By task, the attempts whose failure was acknowledged.
    std::map<std::string, std::set<int64_t>> m_acknowledgedFailures;
    std::shared_ptr<Dispatcher> m_owner;
    Epoch m_epoch;
    Result m_result;
};

void Simulation::addWorkers()
{
    for (int index = 0; index < m_options.workers; ++index) {
        SimulatedWorker worker;
        worker.id = WorkerId(absl::StrCat("w", index));
        worker.capacity = {Millicores(8000), Mebibytes(16000), Accelerators(0)};
        m_workers.emplace(worker.id.value(), std::move(worker));
    }
}

JobSpec Simulation::makeJob(int index)
{
    JobSpec spec;
    spec.id = JobId(absl::StrCat("job", index));
    spec.queue.name = index % 3 == 0 ? "urgent" : "bulk";
    spec.queue.service = "service";
    spec.queue.priority = index % 3 == 0 ? 0 : 2;
    spec.queue.maxAttempts = 4;
    spec.queue.maxSlowdown = 2;
    const auto steps = int(randomNumber(1, 3));
    for (int stepNumber = 0; stepNumber < steps; ++stepNumber) {
        Step stepSpec;
        stepSpec.count = uint32_t(randomNumber(1, 5));
        stepSpec.each = {
                Millicores(randomNumber(500, 3000)), Mebibytes(randomNumber(100, 3000)), {}};
        stepSpec.estimate = milliseconds(randomNumber(100, 900));
        stepSpec.gang = index % 5 == 0 && stepNumber == 0;
        stepSpec.checkpoints = index % 2 == 0;
        if (stepNumber > 0)
            stepSpec.after = {uint32_t(stepNumber - 1)};
        spec.steps.push_back(stepSpec);
    }
    if (m_options.customers == 0)
        return spec;
    spec.customer = Customer{CustomerId(absl::StrCat("customer", index % m_options.customers)), 1,
                             customerCap};
    // A gang that its cap never allows is rejected before it gets here.
    if (!jobs::checkCap(spec).ok())
        spec.steps[0].gang = false;
    return spec;
}

void Simulation::addJobs()
{
    for (int index = 0; index < m_options.jobs; ++index) {
        const JobSpec spec = makeJob(index);
        schedule(milliseconds(randomNumber(0, 15000)), [this, spec] {
            m_jobs.emplace(spec.id.value(), spec);
            m_owner->addJob(spec, m_now);
        });
    }
}

void Simulation::changeOwner()
{
    m_epoch += Epoch(1);
    m_owner = std::make_shared<Dispatcher>(DispatcherSettings{.lease = milliseconds(3000)});
    m_owner->begin(m_epoch, m_now + seconds(4));
    for (const auto &[id, spec] : m_jobs) {
        const auto progress = m_stored.find(id);
        m_owner->restoreJob(
                spec, progress == m_stored.end() ? std::optional<Progress>() : progress->second,
                false, m_now, UnixMilliseconds(0));
    }
    for (const auto &[id, worker] : m_workers) {
        WorkerEntry entry;
        entry.id = worker.id;
        entry.address = id;
        entry.service = "service";
        entry.capacity = worker.capacity;
        m_owner->restoreWorker(entry.id, entry.address, m_now);
        m_owner->putWorker(entry, m_now);
        poll(m_owner, m_epoch, worker.id);
    }
}

// Section: workers

void Simulation::end(SimulatedWorker &worker, const std::string &task, EndKind kind)
{
    const WorkerRun run = worker.running.at(task);
    worker.running.erase(task);
    worker.endedAttempts[task] = std::max(worker.endedAttempts[task], run.attempt);
    worker.ended.push_back({++worker.lastEnd, task, run.attempt, kind, ""});
}

void Simulation::advanceWorkers()
{
    for (auto &[id, worker] : m_workers) {
        std::vector<std::pair<std::string, EndKind>> ends;
        for (auto &[task, run] : worker.running) {
            if (m_now >= worker.leaseExpiresAt)
                ends.emplace_back(task, EndKind::Lapsed);
            else if (m_now >= run.ends)
                ends.emplace_back(task,
                                  run.isStopping      ? EndKind::Stopped
                                          : run.fails ? EndKind::Failed
                                                      : EndKind::Done);
        }
        for (const auto &[task, kind] : ends)
            end(worker, task, kind);
    }
}

void Simulation::checkStart(const SimulatedWorker &worker, const StartOrder &order)
{
    const TaskAddress address = *TaskAddress::parse(order.task);
    Resources used = m_jobs.at(address.job.value()).steps[address.step].each;
    for (const auto &[task, run] : worker.running)
        used = used + run.resources;
    if (!used.fitsIn(worker.capacity))
        addViolation(absl::StrCat("over capacity: ", order.task, " on ", worker.id.value()));
    for (const auto &[id, other] : m_workers) {
        if (other.running.contains(order.task))
            addViolation(absl::StrCat("two runs at once: ", order.task));
    }
    if (m_acknowledgedDone.contains(order.task))
        addViolation(absl::StrCat("started after it was done: ", order.task));
    if (m_acknowledgedFailures[order.task].size()
        >= size_t(m_jobs.at(address.job.value()).queue.maxAttempts))
        addViolation(absl::StrCat("started after its last attempt: ", order.task));
}

// What the customer has running on all workers, with the start, is within its cap.
void Simulation::checkCap(const StartOrder &order)
{
    const auto jobOf = [this](const std::string &task) -> const JobSpec & {
        return m_jobs.at(TaskAddress::parse(task)->job.value());
    };
    const JobSpec &started = jobOf(order.task);
    if (!started.customer)
        return;
    Resources used = started.steps[TaskAddress::parse(order.task)->step].each;
    std::string others;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[task, run] : worker.running) {
            if (jobOf(task).customer->id != started.customer->id)
                continue;
            used = used + run.resources;
            absl::StrAppend(&others, " ", task, "#", run.attempt, "@", id);
        }
    }
    if (used.cores > customerCap.cores || used.memory > customerCap.memory)
        addViolation(absl::StrCat("over the cap of ", started.customer->id.value(), ": ",
                                  order.task, "#", order.attempt, "@", order.worker.value(),
                                  " beside", others));
}

OrderAnswer Simulation::start(SimulatedWorker &worker, Epoch epoch, const StartOrder &order)
{
    if (epoch < worker.token)
        return OrderAnswer::Fenced;
    worker.token = epoch;
    const TimePoint lease = m_now + milliseconds(order.leaseUntilMs - worker.clock(m_now));
    if (lease <= m_now)
        return OrderAnswer::Late;
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, lease);
    const auto running = worker.running.find(order.task);
    if (running != worker.running.end() && running->second.attempt == order.attempt)
        return OrderAnswer::Accepted;
    if (worker.endedAttempts[order.task] >= order.attempt)
        return OrderAnswer::Superseded;
    checkStart(worker, order);
    checkCap(order);
    const TaskAddress address = *TaskAddress::parse(order.task);
    const Step &spec = m_jobs.at(address.job.value()).steps[address.step];
    WorkerRun run;
    run.attempt = order.attempt;
    run.resources = spec.each;
    run.begins = m_now;
    run.ends = m_now + spec.estimate * randomNumber(60, 160) / 100;
    run.fails = !spec.gang && chance(m_options.failures);
    worker.running[order.task] = run;
    return OrderAnswer::Accepted;
}

OrderAnswer Simulation::stop(SimulatedWorker &worker, Epoch epoch, const StopOrder &order)
{
    if (epoch < worker.token)
        return OrderAnswer::Fenced;
    worker.token = epoch;
    worker.endedAttempts[order.task] = std::max(worker.endedAttempts[order.task], order.attempt);
    const auto run = worker.running.find(order.task);
    if (run != worker.running.end() && run->second.attempt <= order.attempt) {
        run->second.isStopping = true;
        run->second.ends = std::min(run->second.ends, m_now + stopTime);
    }
    return OrderAnswer::Accepted;
}

// Section: polls and orders of the owner

void Simulation::poll(const std::shared_ptr<Dispatcher> &owner, Epoch epoch, const WorkerId &id)
{
    if (owner != m_owner)
        return;
    const TimePoint sentAt = m_now;
    const WatchOrder order = owner->watchOrder(id);
    schedule(milliseconds(randomNumber(1, 4)), [this, owner, epoch, id, order, sentAt] {
        SimulatedWorker &worker = m_workers.at(id.value());
        const auto again = [this, owner, epoch, id] { poll(owner, epoch, id); };
        if (isUnreachable(worker) || owner != m_owner) {
            if (owner == m_owner)
                owner->onPollFailed(id);
            schedule(milliseconds(400), again);
            return;
        }
        if (epoch < worker.token)
            return;
        worker.token = epoch;
        while (!worker.ended.empty() && worker.ended.front().number <= order.acknowledged)
            worker.ended.pop_front();
        if (order.leaseUntilMs)
            worker.leaseExpiresAt =
                    std::max(worker.leaseExpiresAt,
                             m_now + milliseconds(*order.leaseUntilMs - worker.clock(m_now)));
        WorkerReport report;
        report.clockMs = worker.clock(m_now);
        report.born = worker.born;
        for (const auto &[task, run] : worker.running) {
            const Duration length = std::max<Duration>(milliseconds(1), run.ends - run.begins);
            report.running.push_back({task, run.attempt, "", (m_now - run.begins) * 100 / length});
        }
        report.ended.assign(worker.ended.begin(), worker.ended.end());
        schedule(milliseconds(randomNumber(1, 4)), [this, owner, id, report, sentAt, again] {
            if (owner == m_owner)
                owner->onReport(id, report, sentAt, m_now);
            schedule(pollInterval, again);
        });
    });
}

void Simulation::sendStart(const std::shared_ptr<Dispatcher> &owner, Epoch epoch,
                           const StartOrder &order)
{
    const bool isLate = m_now < at(m_options.faultsEnd) && chance(m_options.delayedOrders);
    const bool isLost = m_now < at(m_options.faultsEnd) && chance(m_options.lostResponses);
    const Duration delay =
            isLate ? milliseconds(randomNumber(2000, 12000)) : milliseconds(randomNumber(1, 4));
    const int64_t incarnationAtSend = m_workers.at(order.worker.value()).born;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, owner, order, answered](OrderAnswer result) {
        if (!std::exchange(*answered, true) && owner == m_owner)
            owner->onStartAnswered(order, result, m_now);
    };
    schedule(delay, [this, epoch, order, incarnationAtSend, isLate, isLost, answer] {
        SimulatedWorker &worker = m_workers.at(order.worker.value());
        if (isUnreachable(worker) || worker.born != incarnationAtSend)
            return;
        const OrderAnswer result = start(worker, epoch, order);
        if (!isLate && !isLost)
            schedule(milliseconds(randomNumber(1, 4)), [answer, result] { answer(result); });
    });
    schedule(orderTimeout, [answer] { answer(OrderAnswer::Unknown); });
}

void Simulation::sendStop(const std::shared_ptr<Dispatcher> &owner, Epoch epoch,
                          const StopOrder &order)
{
    const bool isLost = m_now < at(m_options.faultsEnd) && chance(m_options.lostResponses);
    const auto answered = std::make_shared<bool>(false);
    schedule(milliseconds(randomNumber(1, 4)), [this, owner, epoch, order, isLost, answered] {
        SimulatedWorker &worker = m_workers.at(order.worker.value());
        if (isUnreachable(worker))
            return;
        const OrderAnswer result = stop(worker, epoch, order);
        if (isLost)
            return;
        schedule(milliseconds(randomNumber(1, 4)), [this, owner, order, answered, result] {
            if (!std::exchange(*answered, true) && owner == m_owner)
                owner->onStopAnswered(order, result, m_now);
        });
    });
}

void Simulation::sendOrders(const std::shared_ptr<Dispatcher> &owner, Epoch epoch,
                            const Orders &orders)
{
    for (const StartOrder &order : orders.starts)
        sendStart(owner, epoch, order);
    for (const StopOrder &order : orders.stops)
        sendStop(owner, epoch, order);
}

void Simulation::store()
{
    m_owner->confirmOwnership(m_now);
    if (!m_owner->hasUnstored())
        return;
    const Batch batch = m_owner->collect();
    for (const Batch::JobRow &row : batch.rows)
        m_stored[row.id.value()] = *decodeProgress(row.progress);
    for (const Batch::WorkerCompletions &entry : batch.completions) {
        const SimulatedWorker &worker = m_workers.at(entry.worker.value());
        if (worker.born != entry.born)
            continue;
        for (const EndedTask &ended : worker.ended) {
            if (ended.number > entry.processed)
                break;
            if (ended.kind == EndKind::Done)
                m_acknowledgedDone.insert(ended.task);
            if (ended.kind == EndKind::Failed)
                m_acknowledgedFailures[ended.task].insert(ended.attempt);
        }
    }
    m_owner->committed(batch);
}

// Section: faults and main loop

void Simulation::injectFaults()
{
    const double share = std::chrono::duration<double>(step).count();
    for (auto &[id, worker] : m_workers) {
        if (chance(m_options.restarts * share)) {
            worker.running.clear();
            worker.ended.clear();
            worker.endedAttempts.clear();
            worker.lastEnd = 0;
            worker.token = Epoch();
            ++worker.born;
        }
        if (chance(m_options.cuts * share))
            worker.unreachableUntil = m_now + milliseconds(randomNumber(500, 8000));
    }
    if (chance(m_options.ownerChanges * share))
        changeOwner();
}

Result Simulation::run()
{
    addWorkers();
    changeOwner();
    addJobs();
    while (m_now < at(m_options.end)) {
        m_now += step;
        if (m_now < at(m_options.faultsEnd))
            injectFaults();
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const Action action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        advanceWorkers();
        sendOrders(m_owner, m_epoch, m_owner->decide(m_now, UnixMilliseconds(0)));
        store();
    }
    for (const auto &[id, spec] : m_jobs) {
        const std::optional<JobState> state = m_owner->jobState(JobId(id));
        m_result.completed += state == JobState::Completed;
        m_result.failed += state == JobState::Failed;
        m_result.open += !state || !isFinal(*state);
    }
    return m_result;
}

} // namespace

Result simulate(const Options &options)
{
    return Simulation(options).run();
}

} // namespace cwl::jobs::simulation
