#include "standins/worker.h"

#include "base/error.h"

#include <algorithm>
#include <limits>

namespace cwl::standins {

namespace {

constexpr int64_t never = std::numeric_limits<int64_t>::max();

int64_t nextRun = 1; // the program has one thread

int64_t number(const Json::Value &object, const char *name, int64_t otherwise = 0)
{
    int64_t value = otherwise;
    readMember(object, name, value);
    return value;
}

bool contains(const Json::Value &ids, const std::string &id)
{
    return std::any_of(ids.begin(), ids.end(),
                       [&id](const Json::Value &value) { return value.asString() == id; });
}

} // namespace

Worker::Worker(Frame &frame, Judge &judge, WorkerSettings settings)
    : m_frame(frame)
    , m_judge(judge)
    , m_settings(std::move(settings))
    , m_timer(frame.context())
{
}

int64_t Worker::clockMs() const
{
    const int64_t passed =
            std::chrono::duration_cast<milliseconds>(BootClock::now() - m_startedAt).count();
    return m_settings.clockOffsetMs + passed * m_settings.clockRatePerMille / 1000;
}

void Worker::handle(const std::string &action, const Json::Value &body, const Reply &reply)
{
    using Method = void (Worker::*)(const Json::Value &, const Reply &);
    static const std::map<std::string, Method> methods{
            {"start", &Worker::start},
            {"renew", &Worker::renew},
            {"stop", &Worker::stop},
            {"throttle", &Worker::throttle},
            {"checkpoint", &Worker::checkpoint},
            {"acknowledge", &Worker::acknowledge},
            {"report", &Worker::report},
    };
    if (m_isDead)
        return; // the caller waits in vain
    const auto method = methods.find(action);
    if (method == methods.end()) {
        reply.sendError(404, makeError(Failure::UnknownMethod, "no action '" + action + "'"));
        return;
    }
    advance();
    (this->*method->second)(body, reply);
}

// Section: actions

void Worker::start(const Json::Value &body, const Reply &reply)
{
    Json::Value answer;
    answer["results"] = Json::Value(Json::arrayValue);
    bool hasStarted = false;
    for (const Json::Value &task : body["tasks"]) {
        Json::Value result;
        result["taskId"] = task["taskId"];
        result["attempt"] = task["attempt"];
        result["result"] = startOne(task);
        hasStarted = hasStarted || result["result"].asString() == "started";
        answer["results"].append(result);
    }
    if (hasStarted) {
        judgeLoad();
        changed();
    }
    reply.sendJson(200, answer);
}

std::string Worker::startOne(const Json::Value &task)
{
    const int64_t now = clockMs();
    if (number(task, "leaseDeadlineMs") <= now)
        return "lease_lapsed";
    if (m_failStarts)
        return "failed";
    Task added;
    added.asStarted = task;
    added.leaseMs = number(task, "leaseDeadlineMs");
    added.startedMs = now;
    added.countedMs = now;
    added.runMs = number(task, "runMs");
    if (task["kind"].asString() == "service")
        added.runMs = 0;
    added.workPercentMs = number(task["spec"], "resumeMs") * 100;
    added.judged.worker = m_settings.id;
    added.judged.run = nextRun++;
    added.judged.taskId = task["taskId"].asString();
    added.judged.jobId = task["jobId"].asString();
    added.judged.isGang = task["kind"].asString() == "gang";
    added.judged.gangSize = number(task["spec"], "gangSize");
    added.judged.epoch = number(task, "epoch");
    added.judged.attempt = number(task, "attempt");
    added.judged.throttlePercent = number(task, "throttlePercent", 100);
    m_judge.started(added.judged, BootClock::now());
    m_tasks.push_back(std::move(added));
    return "started";
}

void Worker::renew(const Json::Value &body, const Reply &reply)
{
    const int64_t lease = number(body, "leaseDeadlineMs");
    const Json::Value renewed =
            forNamed(body["tasks"], [lease](Task &task) { task.leaseMs = lease; });
    reply.sendJson(200, renewed);
    scheduleNext();
}

void Worker::stop(const Json::Value &body, const Reply &reply)
{
    Json::Value answer;
    answer["tasks"] = Json::Value(Json::arrayValue);
    for (auto task = m_tasks.begin(); task != m_tasks.end();) {
        if (!contains(body["tasks"], task->judged.taskId)) {
            ++task;
            continue;
        }
        answer["tasks"].append(task->judged.taskId);
        task = end(task, "stopped");
    }
    if (!answer["tasks"].empty())
        changed();
    reply.sendJson(200, answer);
}

void Worker::throttle(const Json::Value &body, const Reply &reply)
{
    const int64_t percent = std::clamp<int64_t>(number(body, "percent", 100), 0, 100);
    const int64_t now = clockMs();
    const Json::Value answer = forNamed(body["tasks"], [&](Task &task) {
        countWork(task, now);
        task.judged.throttlePercent = percent;
        m_judge.throttled(task.judged, BootClock::now());
    });
    changed();
    reply.sendJson(200, answer);
}

void Worker::checkpoint(const Json::Value &body, const Reply &reply)
{
    const int64_t now = clockMs();
    reply.sendJson(200, forNamed(body["tasks"], [&](Task &task) {
                       countWork(task, now);
                       task.checkpointMs = task.workPercentMs / 100;
                   }));
}

void Worker::acknowledge(const Json::Value &body, const Reply &reply)
{
    for (const Json::Value &acknowledged : body["finished"]) {
        std::erase_if(m_finished, [&](const Json::Value &finished) {
            return finished["taskId"] == acknowledged["taskId"]
                    && finished["attempt"].asInt64() == acknowledged["attempt"].asInt64();
        });
    }
    reply.sendJson(200, Json::Value(Json::objectValue));
}

void Worker::report(const Json::Value &body, const Reply &reply)
{
    const int64_t after = number(body, "afterSequence");
    const int64_t waitMs = std::clamp<int64_t>(number(body, "waitMs"), 0, 60000);
    if (m_sequence > after || waitMs == 0) {
        reply.sendJson(200, reportJson());
        return;
    }
    const auto waiter = m_waiters.insert(m_waiters.end(), Waiter{reply});
    const std::weak_ptr<int> alive = waiter->alive;
    m_frame.after(milliseconds(waitMs), [this, waiter, alive] {
        if (alive.expired())
            return; // it was answered
        const Reply late = waiter->reply;
        m_waiters.erase(waiter);
        if (!m_isDead)
            late.sendJson(200, reportJson());
    });
}

// Section: running

void Worker::judgeLoad()
{
    Json::Value used;
    Json::Value capacity;
    bool isOver = false;
    const std::pair<const char *, int64_t> limits[] = {
            {"cores", m_settings.cores},
            {"memoryMiB", m_settings.memoryMiB},
            {"accelerators", m_settings.accelerators},
    };
    for (const auto &[name, limit] : limits) {
        int64_t sum = 0;
        for (const Task &task : m_tasks)
            sum += number(task.asStarted, name);
        used[name] = Json::Int64(sum);
        capacity[name] = Json::Int64(limit);
        isOver = isOver || sum > limit;
    }
    if (isOver)
        m_judge.overloaded(m_settings.id, used, capacity);
}

void Worker::countWork(Task &task, int64_t now) const
{
    task.workPercentMs += (now - task.countedMs) * task.judged.throttlePercent;
    task.countedMs = now;
}

int64_t Worker::finishMs(const Task &task) const
{
    constexpr int64_t failAfterMs = 20;
    if (m_failRuns)
        return task.startedMs + failAfterMs;
    if (task.runMs <= 0 || task.judged.throttlePercent <= 0)
        return never;
    const int64_t left = std::max<int64_t>(0, task.runMs * 100 - task.workPercentMs);
    const int64_t percent = task.judged.throttlePercent;
    return task.countedMs + (left + percent - 1) / percent;
}

void Worker::advance()
{
    const int64_t now = clockMs();
    bool hasEnded = false;
    for (auto task = m_tasks.begin(); task != m_tasks.end();) {
        const int64_t finish = finishMs(*task);
        if (std::min(finish, task->leaseMs) > now) {
            ++task;
            continue;
        }
        hasEnded = true;
        const bool fails = m_failRuns || task->asStarted["spec"]["fail"] == Json::Value(true);
        // After a pause of this process both may be due; the earlier one is what happened.
        const bool hasLapsed = task->leaseMs < finish;
        task = end(task, hasLapsed ? "lease_lapsed" : fails ? "failed" : "succeeded");
    }
    if (hasEnded)
        changed();
}

Worker::Tasks::iterator Worker::end(Tasks::iterator task, const std::string &outcome)
{
    Json::Value finished;
    finished["taskId"] = task->judged.taskId;
    finished["attempt"] = task->asStarted["attempt"];
    finished["jobId"] = task->judged.jobId;
    finished["outcome"] = outcome;
    finished["epoch"] = task->asStarted["epoch"];
    m_finished.push_back(std::move(finished));
    const EndKind kind = outcome == "succeeded" ? EndKind::Succeeded : EndKind::Other;
    m_judge.ended(task->judged, kind, BootClock::now());
    return m_tasks.erase(task);
}

void Worker::changed()
{
    ++m_sequence;
    scheduleNext();
    const std::list<Waiter> waiters = std::exchange(m_waiters, {});
    for (const Waiter &waiter : waiters)
        waiter.reply.sendJson(200, reportJson());
}

void Worker::scheduleNext()
{
    int64_t next = never;
    for (const Task &task : m_tasks)
        next = std::min({next, finishMs(task), task.leaseMs});
    m_timer.cancel();
    if (next == never)
        return;
    const int64_t waitMs = std::max<int64_t>(1, next - clockMs());
    m_timer.expires_after(milliseconds(std::min<int64_t>(waitMs, 3'600'000)));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        advance();
        scheduleNext();
    });
}

void Worker::setDead(bool value)
{
    if (value && !m_isDead) {
        while (!m_tasks.empty())
            end(m_tasks.begin(), "worker_lost");
        m_finished.clear();
        m_waiters.clear();
    }
    m_isDead = value;
    ++m_sequence;
    scheduleNext();
}

// Section: reports

Json::Value Worker::reportJson() const
{
    Json::Value result;
    result["clockMs"] = Json::Int64(clockMs());
    result["sequence"] = Json::Int64(m_sequence);
    result["cores"] = Json::Int64(m_settings.cores);
    result["memoryMiB"] = Json::Int64(m_settings.memoryMiB);
    result["accelerators"] = Json::Int64(m_settings.accelerators);
    result["running"] = Json::Value(Json::arrayValue);
    for (const Task &task : m_tasks)
        result["running"].append(taskJson(task));
    result["finished"] = Json::Value(Json::arrayValue);
    for (const Json::Value &finished : m_finished)
        result["finished"].append(finished);
    return result;
}

Json::Value Worker::taskJson(const Task &task) const
{
    Json::Value result = task.asStarted;
    result["leaseDeadlineMs"] = Json::Int64(task.leaseMs);
    result["throttlePercent"] = Json::Int64(task.judged.throttlePercent);
    result["checkpointMs"] = Json::Int64(task.checkpointMs);
    const bool isKnown = clockMs() - task.startedMs >= m_settings.usageLagMs;
    const int64_t percent = isKnown ? number(task.asStarted["spec"], "usedPercent", 100) : 0;
    result["usedCores"] = Json::Int64(number(task.asStarted, "cores") * percent
                                      * task.judged.throttlePercent / 10000);
    result["usedMemoryMiB"] = Json::Int64(number(task.asStarted, "memoryMiB") * percent / 100);
    return result;
}

template <typename Action>
Json::Value Worker::forNamed(const Json::Value &ids, Action action)
{
    Json::Value answer;
    answer["tasks"] = Json::Value(Json::arrayValue);
    for (Task &task : m_tasks) {
        if (!contains(ids, task.judged.taskId))
            continue;
        action(task);
        answer["tasks"].append(task.judged.taskId);
    }
    return answer;
}

} // namespace cwl::standins
