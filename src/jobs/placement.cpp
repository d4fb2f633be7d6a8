// Decisions: which task starts where, and what is kept free for whom.

#include "jobs/dispatcher.h"
#include "jobs/fit.h"

#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::jobs {

namespace {

// Score of a worker for a task; the highest is chosen. The weights order the criteria: data in the
// right rack, a worker that has not failed this task, speed, then the tightest fit.
constexpr double rackWeight = 1.0;
constexpr double failedWeight = 3.0;
constexpr double slownessScore = 0.5;
constexpr double fitWeight = 0.4;
constexpr double disturbWeight = 1.5; // tasks that fill beside tasks that serve

// Share of the estimated work that a job surely needs: estimates are rough.
constexpr double surelyNeeded = 0.8;
constexpr double mostReserved = 0.4;                 // share of a service's workers
constexpr Duration stopEstimate = milliseconds(600); // of a run that is being stopped
constexpr Duration roomReportInterval = seconds(1);

} // namespace

// Section: the pass

void Dispatcher::countRooms(TimePoint now)
{
    m_rooms.clear();
    for (const auto &[id, worker] : m_workers) {
        if (!worker->isRead || !worker->isListed)
            continue;
        ServiceRoom &room = m_rooms[worker->entry.service];
        const Resources free = freeRoom(*worker);
        ++room.pool;
        room.capacity = room.capacity + worker->entry.capacity;
        room.free = room.free + free;
        room.topPriority = INT64_MAX;
        if (!mayStart(*worker, now))
            continue;
        room.workers.push_back(worker.get());
        room.largestFree = {std::max(room.largestFree.cores, free.cores),
                            std::max(room.largestFree.memory, free.memory),
                            std::max(room.largestFree.accelerators, free.accelerators)};
    }
    for (const auto &[name, queue] : m_queues) {
        const auto room = m_rooms.find(queue.service);
        if (room != m_rooms.end())
            room->second.topPriority = std::min(room->second.topPriority, queue.priority);
    }
}

bool Dispatcher::isReady(const Occurrence &occurrence, const Job &job, uint32_t step) const
{
    const std::vector<uint32_t> &after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](uint32_t before) {
        return before < occurrence.steps.size() && occurrence.steps[before].isDone();
    });
}

bool Dispatcher::isSettled(TimePoint now)
{
    if (m_isSettledForGood)
        return true;
    m_isSettledForGood = std::all_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return entry.second->isRead || now > entry.second->leaseEnds;
    });
    return m_isSettledForGood;
}

Dispatcher::Prospect Dispatcher::prospectOf(const Job &job, const Occurrence &occurrence,
                                            uint32_t step, TimePoint now) const
{
    if (now > occurrence.hopeless)
        return Prospect::Hopeless;
    const auto least = Duration(int64_t(double(job.chains[step].count()) * surelyNeeded));
    return now + least > occurrence.objective ? Prospect::Late : Prospect::InTime;
}

std::vector<Dispatcher::Candidate> Dispatcher::candidates(TimePoint now)
{
    std::vector<Candidate> found;
    const bool settled = isSettled(now);
    for (Job *job : m_open) {
        if (isFinal(job->state) || (job->isRestored && !settled))
            continue;
        // Jobs that can still be in time first, since a late one is worth little and one beyond
        // hope nothing; then urgent queues; then the nearest objective. Late jobs of the most
        // urgent queue are short, and stay before all others.
        constexpr int64_t prospectUnit = int64_t(1) << 52;
        constexpr int64_t priorityUnit = int64_t(1) << 44;
        constexpr int64_t lateUnit = int64_t(1) << 42;
        for (Occurrence &occurrence : job->occurrences) {
            if (occurrence.isDone)
                continue;
            const int64_t nearness = std::chrono::duration_cast<milliseconds>(
                                             occurrence.objective.time_since_epoch())
                                             .count();
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepState &state = occurrence.steps[step];
                // Tasks that last are few, and each moment without them is lost.
                const bool isFirst = job->spec.steps[step].lasting;
                if (state.waiting == 0 || now < state.retryAt || !isReady(occurrence, *job, step))
                    continue;
                const Prospect prospect = prospectOf(*job, occurrence, step, now);
                const bool isUrgent = job->spec.queue.priority == mostUrgentPriority;
                const int64_t group = isUrgent && prospect == Prospect::Late
                        ? 0
                        : int64_t(prospect) * prospectUnit;
                const int64_t lateness = prospect == Prospect::InTime ? 0 : lateUnit;
                const int64_t rank = isFirst
                        ? nearness - priorityUnit
                        : group + job->spec.queue.priority * priorityUnit + lateness + nearness;
                found.push_back({rank, prospect, job, &occurrence, step});
            }
        }
    }
    std::sort(found.begin(), found.end(),
              [](const Candidate &a, const Candidate &b) { return a.rank < b.rank; });
    return found;
}

Orders Dispatcher::decide(TimePoint now, UnixMilliseconds wallNow)
{
    Orders orders;
    for (auto &[id, worker] : m_workers) {
        if (!worker->runs.empty() && now > worker->leaseEnds)
            loseRuns(*worker, "lease ended", now);
        if (worker->entry.isDraining)
            evacuate(*worker, now);
        if (worker->fillUsed.value() > 0)
            controlPace(*worker, orders, now);
    }
    for (Job *job : m_open) {
        if (!isFinal(job->state))
            addDueOccurrences(*job, now, wallNow);
    }
    countRooms(now);
    for (const Candidate &candidate : candidates(now))
        place(candidate, orders, now);
    reportRooms(now);
    for (Job *job : m_open)
        askEarly(*job, orders, now);
    repeatStops(orders, now);
    for (Worker *worker : std::exchange(m_reserved, {}))
        worker->reservedFor = nullptr;
    return orders;
}

// One line a second for each service: what is free and what could not be placed.
void Dispatcher::reportRooms(TimePoint now)
{
    if (now - m_roomsReported < roomReportInterval)
        return;
    m_roomsReported = now;
    for (const auto &[service, room] : m_rooms)
        log::info("room",
                  {{"service", service},
                   {"free_cores", room.free.cores.value()},
                   {"cores", room.capacity.cores.value()},
                   {"free_accelerators", room.free.accelerators.value()},
                   {"accelerators", room.capacity.accelerators.value()},
                   {"unplaced_steps", room.unplaced},
                   {"unplaced_gangs", room.unplacedGangs},
                   {"reserved_workers", m_reserved.size()}});
}

void Dispatcher::place(const Candidate &candidate, Orders &orders, TimePoint now)
{
    const auto room = m_rooms.find(candidate.job->spec.queue.service);
    if (room == m_rooms.end() || room->second.unplaced > maxUnplacedSteps)
        return;
    if (!candidate.job->isRestored && candidate.job->knownAt > m_ownerAt) {
        if (candidate.job->spec.queue.advice)
            askAdvice(candidate, orders, now);
        return;
    }
    const Placed placed = candidate.job->spec.steps[candidate.step].gang
            ? placeGang(candidate, orders, now)
            : placeTasks(candidate, orders, now);
    if (placed == Placed::All)
        return;
    ++room->second.unplaced;
    room->second.unplacedGangs += candidate.job->spec.steps[candidate.step].gang ? 1 : 0;
    if (placed == Placed::Reserved)
        return;
    preempt(candidate, now);
    if (candidate.job->spec.queue.advice)
        askAdvice(candidate, orders, now);
}

// Section: workers for a task

bool Dispatcher::hasRoom(const Worker &worker, const Step &step) const
{
    if (step.fill
        && worker.used.cores + worker.fillUsed + step.each.cores > worker.entry.capacity.cores)
        return false;
    return neededRoom(step).fitsIn(freeRoom(worker));
}

// What holds for every task: the worker is known, sound and obeys this owner.
bool Dispatcher::mayStart(const Worker &worker, TimePoint now) const
{
    return worker.isRead && worker.isListed && !worker.entry.isDraining && worker.unknownRuns == 0
            && now >= worker.shunnedUntil && now - worker.lastReport <= reportFreshness
            && (worker.bornSeen == TimePoint() || m_ownerAt > worker.bornSeen);
}

// What holds for this task, on a worker that may get starts.
bool Dispatcher::isUsable(const Worker &worker, const Candidate &candidate) const
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    if (!hasLabel(worker, step.label))
        return false;
    if (worker.reservedFor
        && worker.reservedFor->spec.queue.priority < candidate.job->spec.queue.priority)
        return false;
    if (step.maxPerWorker == 0)
        return true;
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const auto count = state.perWorker.find(&worker);
    return count == state.perWorker.end() || count->second < step.maxPerWorker;
}

const Ticket *Dispatcher::findTicket(const StepState &step, const Worker &worker,
                                     TimePoint now) const
{
    const auto ticket = step.advice.allowed.find(worker.entry.id.value());
    if (ticket == step.advice.allowed.end() || now >= ticket->second.expires
        || ticket->second.born != worker.born)
        return nullptr;
    return &ticket->second;
}

double Dispatcher::score(const Worker &worker, const Candidate &candidate, const Task &task) const
{
    const Step &step = candidate.job->spec.steps[candidate.step];
    double score = 0;
    if (!step.rack.empty() && hasLabel(worker, step.rack))
        score += rackWeight;
    if (task.lastFailedOn == worker.entry.id)
        score -= failedWeight;
    score -= slownessScore * worker.slowness;
    const Resources free = freeRoom(worker);
    const auto capacity = double(std::max<int64_t>(1, worker.entry.capacity.cores.value()));
    const int64_t leftCores =
            free.cores.value() - worker.fillUsed.value() - step.each.cores.value();
    double left = double(leftCores) / capacity;
    if (worker.entry.capacity.accelerators.value() > 0) {
        const int64_t leftGpus = free.accelerators.value() - step.each.accelerators.value();
        left = 2.0 * double(leftGpus) / double(worker.entry.capacity.accelerators.value());
    }
    // What fills wants room to itself; the rest keeps large gaps open.
    score += step.fill ? fitWeight * left : -fitWeight * left;
    if ((step.fill && worker.servingTargets > 0)
        || (step.tailTargetMs > 0 && worker.fillUsed.value() > 0))
        score -= disturbWeight;
    return score;
}

Worker *Dispatcher::chooseWorker(const Candidate &candidate, const Task &task, TimePoint now)
{
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    const bool needsTicket = candidate.job->spec.queue.advice.has_value();
    Worker *best = nullptr;
    double bestScore = 0;
    const ServiceRoom &room = m_rooms.at(candidate.job->spec.queue.service);
    if (!neededRoom(step).fitsIn(room.largestFree))
        return nullptr;
    for (Worker *worker : room.workers) {
        if (!hasRoom(*worker, step) || !isUsable(*worker, candidate))
            continue;
        if (needsTicket && !findTicket(state, *worker, now))
            continue;
        const double value = score(*worker, candidate, task);
        if (!best || value > bestScore) {
            best = worker;
            bestScore = value;
        }
    }
    return best;
}

// Section: starts

int64_t Dispatcher::leaseDeadline(Worker &worker, TimePoint now)
{
    const Duration untilEnd = now - worker.clockAt + m_settings.lease;
    const int64_t deadline =
            worker.clockMs + std::chrono::duration_cast<milliseconds>(untilEnd).count();
    const auto slowest = Duration(int64_t(double(untilEnd.count()) / (1 - workerClockError)));
    worker.leaseEnds = std::max(worker.leaseEnds, worker.clockAt + slowest);
    return deadline;
}

void Dispatcher::start(const Candidate &candidate, uint32_t index, Worker &worker, int64_t attempt,
                       Orders &orders, TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    Run run;
    run.job = candidate.job;
    run.address = {candidate.job->spec.id, candidate.occurrence->number, candidate.step, index};
    run.attempt = attempt;
    run.orderedAt = now;
    const Ticket *const ticket =
            candidate.job->spec.queue.advice ? findTicket(state, worker, now) : nullptr;
    StartOrder order;
    order.worker = worker.entry.id;
    order.address = worker.entry.address;
    order.task = run.address.text();
    order.attempt = attempt;
    order.payload = candidate.job->spec.payload;
    order.checkpoint = state.tasks[index].progress.checkpoint;
    order.ticket = ticket ? ticket->text : std::string();
    order.leaseUntilMs = leaseDeadline(worker, now);
    log::info("run_ordered",
              {{"task", order.task},
               {"attempt", attempt},
               {"worker", order.worker.value()},
               {"checkpoint", !order.checkpoint.empty()},
               {"report_age", now - worker.lastReport},
               {"epoch", m_epoch.value()}});
    ++m_figures.started;
    m_rooms[worker.entry.service].free =
            m_rooms[worker.entry.service].free - candidate.job->spec.steps[candidate.step].each;
    addRun(worker, std::move(run));
    orders.starts.push_back(std::move(order));
}

namespace {

// Attempts of one owner lie above those of all earlier owners.
constexpr int64_t attemptsPerEpoch = 1000;

int64_t nextAttempt(int64_t last, Epoch epoch)
{
    return std::max(last, (epoch.value() - 1) * attemptsPerEpoch) + 1;
}

} // namespace

Dispatcher::Placed Dispatcher::placeTasks(const Candidate &candidate, Orders &orders, TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    const ServiceRoom &room = m_rooms[candidate.job->spec.queue.service];
    for (uint32_t index = 0; index < state.tasks.size(); ++index) {
        Task &task = state.tasks[index];
        if (task.phase != Task::Phase::Waiting)
            continue;
        if (!step.fill && !step.lasting && candidate.job->spec.queue.priority > room.topPriority
            && double(room.free.cores.value() - step.each.cores.value())
                    < m_settings.reserveForUrgent * double(room.capacity.cores.value()))
            return Placed::Reserved;
        Worker *const worker = chooseWorker(candidate, task, now);
        if (!worker) {
            reserve(candidate, now);
            return Placed::NoWorker;
        }
        start(candidate, index, *worker, nextAttempt(task.attempt, m_epoch), orders, now);
    }
    return Placed::All;
}

Dispatcher::Placed Dispatcher::placeGang(const Candidate &candidate, Orders &orders, TimePoint now)
{
    StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    if (state.waiting < state.tasks.size())
        return Placed::All; // members of the last run have not ended
    const bool needsTicket = candidate.job->spec.queue.advice.has_value();
    struct Place
    {
        Worker *worker;
        int64_t fits;
        double score;
    };
    std::vector<Place> places;
    for (Worker *worker : m_rooms.at(candidate.job->spec.queue.service).workers) {
        if (!hasRoom(*worker, step) || !isUsable(*worker, candidate))
            continue;
        if (needsTicket && !findTicket(state, *worker, now))
            continue;
        places.push_back({worker, tasksThatFit(freeRoom(*worker), step),
                          score(*worker, candidate, state.tasks[0])});
    }
    std::sort(places.begin(), places.end(),
              [](const Place &a, const Place &b) { return a.score > b.score; });
    int64_t room = 0;
    for (const Place &place : places)
        room += std::min<int64_t>(place.fits, step.count);
    if (room < step.count) {
        reserve(candidate, now);
        return Placed::NoWorker;
    }
    int64_t last = 0;
    std::string checkpoint;
    for (const Task &task : state.tasks) {
        last = std::max(last, task.attempt);
        if (checkpoint.empty())
            checkpoint = task.progress.checkpoint;
    }
    for (Task &task : state.tasks)
        task.progress.checkpoint = checkpoint; // valid for all, and all carry the same one
    const int64_t attempt = nextAttempt(last, m_epoch);
    uint32_t index = 0;
    for (const Place &place : places) {
        for (int64_t n = 0; n < place.fits && index < step.count; ++n)
            start(candidate, index++, *place.worker, attempt, orders, now);
    }
    return Placed::All;
}

// When the runs on the worker are expected to have left room for one task of the step.
TimePoint Dispatcher::whenRoom(const Worker &worker, const Step &step, TimePoint now) const
{
    std::vector<std::pair<TimePoint, Resources>> ends;
    for (const auto &[task, run] : worker.runs) {
        if (!run.job)
            continue;
        const Step &spec = stepSpec(*run.job, run.address);
        const bool isStopping = run.phase == RunPhase::Stopping;
        if (spec.lasting && !isStopping)
            continue;
        ends.emplace_back(now + (isStopping ? stopEstimate : remainingOf(run, spec, now)),
                          run.room);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    Resources room = freeRoom(worker);
    TimePoint when = now;
    for (const auto &[end, freed] : ends) {
        if (tasksThatFit(room, step) > 0)
            return when;
        room = room + freed;
        when = end;
    }
    return tasksThatFit(room, step) > 0 ? when : TimePoint::max();
}

// Keeps the workers that will have room first free of less urgent work, for this pass: a task that
// needs most of a worker would find its room taken by small ones again and again.
void Dispatcher::reserve(const Candidate &candidate, TimePoint now)
{
    const StepState &state = candidate.occurrence->steps[candidate.step];
    const Step &step = candidate.job->spec.steps[candidate.step];
    if (step.fill || candidate.prospect == Prospect::Hopeless
        || (step.gang && allowedPlaces(candidate) < step.count))
        return;
    const bool needsAdvice = candidate.job->spec.queue.advice.has_value();
    const ServiceRoom &room = m_rooms.at(candidate.job->spec.queue.service);
    const size_t most = std::max<size_t>(1, size_t(double(room.pool) * mostReserved));
    if (m_reserved.size() >= most)
        return;
    std::vector<std::pair<TimePoint, Worker *>> places;
    for (Worker *worker : room.workers) {
        if (!isLarge(step, *worker) || !isUsable(*worker, candidate)
            || (needsAdvice && !state.advice.allowed.contains(worker->entry.id.value())))
            continue;
        const TimePoint when = whenRoom(*worker, step, now);
        if (when != TimePoint::max())
            places.emplace_back(when, worker);
    }
    std::sort(places.begin(), places.end());
    uint32_t found = 0;
    for (const auto &[when, worker] : places) {
        if (found >= state.waiting || m_reserved.size() >= most)
            return;
        if (!worker->reservedFor) { // the most urgent one stands
            worker->reservedFor = candidate.job;
            m_reserved.push_back(worker);
        }
        found += uint32_t(
                std::clamp<int64_t>(tasksThatFit(worker->entry.capacity, step), 1, step.count));
    }
}

} // namespace cwl::jobs
