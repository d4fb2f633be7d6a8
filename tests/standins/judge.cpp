#include "standins/judge.h"

#include <algorithm>
#include <iostream>

namespace cwl::standins {

namespace {

constexpr Json::ArrayIndex maxEntries = 100; // of each list in the answer

} // namespace

void Judge::record(const char *list, Json::Value entry)
{
    ++m_counts[list];
    std::cerr << list << ": " << entry.toStyledString() << std::flush;
    Json::Value &entries = m_lists[list];
    if (entries.size() < maxEntries)
        entries.append(std::move(entry));
}

void Judge::overloaded(const std::string &worker, const Json::Value &used,
                       const Json::Value &capacity)
{
    Json::Value entry;
    entry["worker"] = worker;
    entry["used"] = used;
    entry["capacity"] = capacity;
    record("overloads", std::move(entry));
}

std::set<std::string> Judge::workersRunning(const std::string &taskId) const
{
    std::set<std::string> result;
    const auto running = m_running.find(taskId);
    if (running == m_running.end())
        return result;
    for (const auto &[worker, run] : running->second)
        result.insert(worker);
    return result;
}

void Judge::started(const RunningTask &task, TimePoint now)
{
    ++m_starts;
    auto &running = m_running[task.taskId];
    if (!running.empty()) {
        Json::Value entry;
        entry["taskId"] = task.taskId;
        entry["worker"] = task.worker;
        entry["otherWorker"] = running.begin()->first;
        entry["epoch"] = Json::Int64(task.epoch);
        entry["attempt"] = Json::Int64(task.attempt);
        record("doubleRuns", std::move(entry));
    }
    running.insert({task.worker, task.run});
    int64_t &newest = m_newestEpoch[task.taskId];
    if (task.epoch < newest) {
        Json::Value entry;
        entry["taskId"] = task.taskId;
        entry["worker"] = task.worker;
        entry["epoch"] = Json::Int64(task.epoch);
        entry["newestEpoch"] = Json::Int64(newest);
        record("staleStarts", std::move(entry));
    }
    newest = std::max(newest, task.epoch);
    if (!task.isGang)
        return;
    Gang &gang = m_gangs[task.jobId];
    gang.size = std::max(gang.size, task.gangSize);
    const bool isFirst = !gang.members.contains(task.taskId);
    Member &member = gang.members[task.taskId];
    member.runs.insert(task.run);
    member.hasSucceeded = false;
    if (task.throttlePercent > 0)
        member.unthrottled.insert(task.run);
    // Where the size of the gang is unknown, a late first start shows that the others ran alone.
    for (const auto &[otherId, other] : gang.members) {
        if (!isFirst || otherId == task.taskId || other.unthrottled.empty())
            continue;
        Json::Value entry;
        entry["jobId"] = task.jobId;
        entry["reason"] = "ran_before_all_were_started";
        entry["running"] = otherId;
        entry["missing"] = task.taskId;
        record("partialGangs", std::move(entry));
        break;
    }
    judgeGang(task.jobId, now);
}

void Judge::throttled(const RunningTask &task, TimePoint now)
{
    if (!task.isGang)
        return;
    Member &member = m_gangs[task.jobId].members[task.taskId];
    if (task.throttlePercent > 0)
        member.unthrottled.insert(task.run);
    else
        member.unthrottled.erase(task.run);
    judgeGang(task.jobId, now);
}

void Judge::ended(const RunningTask &task, EndKind kind, TimePoint now)
{
    const auto running = m_running.find(task.taskId);
    if (running != m_running.end()) {
        running->second.erase({task.worker, task.run});
        if (running->second.empty())
            m_running.erase(running);
    }
    if (!task.isGang)
        return;
    Member &member = m_gangs[task.jobId].members[task.taskId];
    member.runs.erase(task.run);
    member.unthrottled.erase(task.run);
    member.hasSucceeded = member.hasSucceeded || kind == EndKind::Succeeded;
    member.stoppedAt = now;
    judgeGang(task.jobId, now);
}

void Judge::expectGang(const std::string &jobId, int64_t size)
{
    m_gangs[jobId].size = size;
}

// Section: gangs

bool Judge::isMissing(const Member &member) const
{
    return member.runs.empty() && !member.hasSucceeded;
}

// A gang runs in part when a task runs unthrottled while another of the gang was never started, or
// has been gone for longer than the tolerance, which covers the time that a scheduler needs to hear
// of a failure and to stop the rest.
void Judge::judgeGang(const std::string &jobId, TimePoint now)
{
    Gang &gang = m_gangs[jobId];
    const auto alone = std::find_if(gang.members.begin(), gang.members.end(), [](const auto &item) {
        return !item.second.unthrottled.empty();
    });
    const auto note = [&](const char *reason, const std::string &missing) {
        if (!m_recordedGangs.insert(jobId + " " + reason + " " + missing).second)
            return;
        Json::Value entry;
        entry["jobId"] = jobId;
        entry["reason"] = reason;
        entry["running"] = alone->first;
        entry["missing"] = missing;
        record("partialGangs", std::move(entry));
    };
    if (alone == gang.members.end())
        return;
    if (int64_t(gang.members.size()) < gang.size)
        note("ran_before_all_were_started", "");
    for (const auto &[taskId, member] : gang.members) {
        if (isMissing(member) && now - member.stoppedAt > m_gangTolerance)
            note("ran_on", taskId);
    }
}

Json::Value Judge::judgements(TimePoint now)
{
    for (auto &[jobId, gang] : m_gangs)
        judgeGang(jobId, now);
    Json::Value result;
    result["starts"] = Json::Int64(m_starts);
    for (const char *list : {"overloads", "doubleRuns", "staleStarts", "partialGangs"}) {
        const auto found = m_lists.find(list);
        result[list] = found == m_lists.end() ? Json::Value(Json::arrayValue) : found->second;
        result["counts"][list] = Json::Int64(m_counts[list]);
    }
    return result;
}

} // namespace cwl::standins
