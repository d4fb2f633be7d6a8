// Admission of jobs. Jobs that can never run are rejected with the nearest size that fits.

#include "placement/planner.h"

#include "base/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace cwl::placement {

namespace {

std::string describe(const Resources &size)
{
    return absl::StrCat(size.cores.value(), " millicores, ", size.memory.value(), " MiB, ",
                        size.accelerators.value(), " accelerators");
}

Resources elementwiseMin(const Resources &one, const Resources &other)
{
    return {std::min(one.cores, other.cores), std::min(one.memory, other.memory),
            std::min(one.accelerators, other.accelerators)};
}

// Number of tasks of this size that fit into the capacity.
int64_t tasksThatFit(const Resources &each, const Resources &capacity)
{
    int64_t tasks = std::numeric_limits<int64_t>::max();
    const auto limit = [&](int64_t demand, int64_t available) {
        if (demand > 0)
            tasks = std::min(tasks, available / demand);
    };
    limit(each.cores.value(), capacity.cores.value());
    limit(each.memory.value(), capacity.memory.value());
    limit(each.accelerators.value(), capacity.accelerators.value());
    return tasks;
}

const char *firstExceededField(const Resources &demand, const Resources &limit)
{
    if (demand.cores > limit.cores)
        return "cores";
    if (demand.memory > limit.memory)
        return "memoryMiB";
    return "accelerators";
}

} // namespace

absl::Status Planner::submit(const JobSpec &spec, TimePoint now)
{
    if (const absl::Status status = check(spec); !status.ok())
        return status;
    JobNumber number = noNumber;
    if (const absl::Status status = addJob(spec, now, number); !status.ok())
        return status;
    enqueue(number, false);
    return absl::OkStatus();
}

absl::Status Planner::check(const JobSpec &spec) const
{
    const TeamNumber team = m_accounts.findTeam(spec.team);
    if (team == noNumber || !m_accounts.team(team).isKnown)
        return makeError(Failure::UnknownTeam,
                         absl::StrCat("team \"", spec.team.value(), "\" has no settings"),
                         {.field = "team"});
    const bool isSized = spec.each.cores.value() > 0 && spec.each.memory.value() > 0
            && spec.each.accelerators.value() >= 0 && spec.count > 0;
    if (!isSized)
        return makeError(
                Failure::InvalidValue,
                "a job needs at least 1 task, and each task at least 1 millicore and 1 MiB",
                {.field = "count, cores or memoryMiB", .limit = "at least 1"});
    if (m_fleet.known() == 0)
        return makeError(Failure::NotReady, "no worker of this group is known yet",
                         {.retryAfterMs = 1000});
    if (const absl::Status status = checkFits(spec); !status.ok())
        return status;
    if (const absl::Status status = checkQuota(spec); !status.ok())
        return status;
    if (m_waiting + spec.count > m_options.maxWaitingTasks)
        return makeError(Failure::QueueFull,
                         absl::StrCat(m_waiting, " tasks are waiting; ", spec.count,
                                      " more exceed the limit"),
                         {.limit = absl::StrCat(m_options.maxWaitingTasks, " waiting tasks"),
                          .retryAfterMs = 5000});
    const Size size{spec.each, Fleet::anyDataCentre, spec.kind == JobKind::Gang ? spec.count : 0};
    if (m_queue.isFullOfSizes(size))
        return makeError(
                Failure::QueueFull, "tasks of too many different sizes are waiting",
                {.limit = absl::StrCat(Queue::maxSizes, " different sizes"), .retryAfterMs = 5000});
    return absl::OkStatus();
}

absl::Status Planner::checkFits(const JobSpec &spec) const
{
    const bool isGang = spec.kind == JobKind::Gang;
    int64_t maxTasks = 0; // that fit into the empty fleet
    double nearestExcess = std::numeric_limits<double>::max();
    Resources nearest;
    for (const WorkerShape &shape : m_fleet.shapes()) {
        if (spec.dataCentre && m_fleet.findDataCentre(*spec.dataCentre) != shape.dataCentreNumber)
            continue;
        maxTasks += std::min<int64_t>(tasksThatFit(spec.each, shape.capacity), maxGangTasks)
                * shape.workers;
        const double excess = dominantShare(spec.each, shape.capacity);
        if (excess < nearestExcess) {
            nearestExcess = excess;
            nearest = elementwiseMin(spec.each, shape.capacity);
        }
    }
    if (maxTasks == 0) {
        return makeError(
                Failure::JobTooLarge,
                absl::StrCat("no worker is large enough for a task of ", describe(spec.each)),
                {.field = firstExceededField(spec.each, nearest), .limit = describe(nearest)});
    }
    const int64_t limit = std::min(maxTasks, maxGangTasks);
    if (isGang && spec.count > limit) {
        return makeError(Failure::JobTooLarge,
                         absl::StrCat("a gang of ", spec.count, " tasks can never start together"),
                         {.field = "count", .limit = absl::StrCat(limit, " tasks of this size")});
    }
    return absl::OkStatus();
}

absl::Status Planner::checkQuota(const JobSpec &spec) const
{
    const Resources &quota = m_accounts.team(m_accounts.findTeam(spec.team)).spec.quota;
    if (!spec.each.fitsIn(quota)) {
        return makeError(Failure::QuotaImpossible,
                         absl::StrCat("one task needs more than the quota of team \"",
                                      spec.team.value(), "\""),
                         {.field = firstExceededField(spec.each, quota),
                          .limit = describe(elementwiseMin(spec.each, quota))});
    }
    const int64_t tasks = tasksThatFit(spec.each, quota);
    if (spec.kind == JobKind::Gang && spec.count > tasks) {
        return makeError(Failure::QuotaImpossible,
                         absl::StrCat("the gang needs more than the quota of team \"",
                                      spec.team.value(), "\""),
                         {.field = "count", .limit = absl::StrCat(tasks, " tasks of this size")});
    }
    return absl::OkStatus();
}

absl::Status Planner::addJob(const JobSpec &spec, TimePoint now, JobNumber &number)
{
    if (find(spec.id) != noNumber)
        return makeError(Failure::JobConflict,
                         absl::StrCat("job \"", spec.id.value(), "\" is already known"),
                         {.field = "jobId"});
    TeamNumber team = m_accounts.findTeam(spec.team);
    if (team == noNumber) {
        // The team of a restored job has no settings any more: the job waits with a quota of zero.
        team = m_accounts.putTeam({.id = spec.team});
        m_accounts.removeTeam(spec.team);
    }
    number = static_cast<JobNumber>(m_jobs.size());
    if (m_freeJobs.empty()) {
        m_jobs.emplace_back();
    } else {
        number = m_freeJobs.back();
        m_freeJobs.pop_back();
    }
    Job &job = m_jobs[number];
    const uint32_t generation = job.generation + 1;
    job = Job();
    job.generation = generation;
    job.id = spec.id;
    job.each = spec.each;
    job.submitted = now;
    job.run = spec.run;
    job.team = team;
    job.count = spec.count;
    job.dataCentreNumber =
            spec.dataCentre ? m_fleet.findOrAddDataCentre(*spec.dataCentre) : Fleet::anyDataCentre;
    job.kind = spec.kind;
    job.urgency = spec.urgency;
    job.policy = spec.policy;
    job.isKnown = true;
    m_jobNumbers.emplace(job.id.value(), number);
    m_waiting += job.count;
    return absl::OkStatus();
}

absl::Status Planner::restore(const Restored &restored, TimePoint now)
{
    JobNumber number = noNumber;
    if (const absl::Status status = addJob(restored.spec, now, number); !status.ok())
        return status;
    Job &job = m_jobs[number];
    job.isPaused = true;
    std::vector<bool> isDone(job.count, false);
    const auto markDone = [&](uint32_t index, uint32_t &counter) {
        if (index >= job.count || isDone[index])
            return;
        isDone[index] = true;
        ++counter;
        --m_waiting;
        job.nextUnstarted = std::max(job.nextUnstarted, index + 1);
    };
    for (const uint32_t index : restored.succeeded)
        markDone(index, job.succeeded);
    for (const uint32_t index : restored.failed) {
        markDone(index, job.failed);
        if (index < job.count)
            retryStateOf({number, index}).isGivenUp = true;
    }
    for (uint32_t index = 0; index < job.nextUnstarted; ++index) {
        if (!isDone[index])
            job.readyIndexes.push_back(index);
    }
    return absl::OkStatus();
}

void Planner::resume(const JobId &id)
{
    const JobNumber number = find(id);
    if (number == noNumber || !m_jobs[number].isPaused)
        return;
    m_jobs[number].isPaused = false;
    enqueue(number, false);
}

} // namespace cwl::placement
