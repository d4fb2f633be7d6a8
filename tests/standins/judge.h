// Judges what the workers of one process ran: overloads, tasks that ran twice at once, and gangs of
// which only a part ran. It sees every worker exactly, which the scheduler under test does not.

#pragma once

#include "base/clock.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace cwl::standins {

// A task as a worker runs it.
struct RunningTask
{
    std::string worker;
    int64_t run = 0; // number of this start, unique in the process
    std::string taskId;
    std::string jobId;
    bool isGang = false;
    int64_t gangSize = 0; // tasks of the gang, 0 when unknown
    int64_t epoch = 0;
    int64_t attempt = 0;
    int64_t throttlePercent = 100;
};

enum class EndKind { Succeeded, Other };

class Judge
{
public:
    explicit Judge(Duration gangTolerance)
        : m_gangTolerance(gangTolerance)
    {
    }

    void started(const RunningTask &task, TimePoint now);
    void throttled(const RunningTask &task, TimePoint now);
    void ended(const RunningTask &task, EndKind kind, TimePoint now);
    void overloaded(const std::string &worker, const Json::Value &used,
                    const Json::Value &capacity);
    void expectGang(const std::string &jobId, int64_t size);

    // The workers on which a task of this id runs.
    std::set<std::string> workersRunning(const std::string &taskId) const;

    // {"starts": N, "overloads", "doubleRuns", "staleStarts", "partialGangs": lists of bounded
    // length, "counts": the full count of each list}
    Json::Value judgements(TimePoint now);

private:
    struct Member
    {
        std::set<int64_t> runs = {}; // runs under way
        std::set<int64_t> unthrottled = {};
        bool hasSucceeded = false;
        TimePoint stoppedAt = {};
    };
    struct Gang
    {
        int64_t size = 0;
        std::map<std::string, Member> members = {}; // by task id; only those ever started
    };

    void judgeGang(const std::string &jobId, TimePoint now);
    bool isMissing(const Member &member) const;
    void record(const char *list, Json::Value entry);

    Duration m_gangTolerance;
    std::map<std::string, std::set<std::pair<std::string, int64_t>>> m_running; // by task id
    std::map<std::string, int64_t> m_newestEpoch;                               // by task id
    std::map<std::string, Gang> m_gangs;                                        // by job id
    int64_t m_starts = 0;
    std::map<std::string, Json::Value> m_lists;
    std::map<std::string, int64_t> m_counts;
    std::set<std::string> m_recordedGangs; // "<job> <reason> <task>", each recorded once
};

} // namespace cwl::standins
