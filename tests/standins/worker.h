// One worker: runs tasks under leases on its own clock, without any guard.

#pragma once

#include "base/clock.h"
#include "standins/frame.h"
#include "standins/judge.h"

#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cwl::standins {

struct WorkerSettings
{
    std::string id;
    int64_t cores = 16000; // millicores
    int64_t memoryMiB = 65536;
    int64_t accelerators = 0;
    int64_t clockOffsetMs = 0;        // the worker's clock at the start of the process
    int64_t clockRatePerMille = 1000; // 1002 runs 0.2% fast
    int64_t usageLagMs = 0;           // a task's usage is reported this long after its start
};

class Worker
{
public:
    Worker(Frame &frame, Judge &judge, WorkerSettings settings);

    // Answers POST /workers/{id}/{action}.
    void handle(const std::string &action, const Json::Value &body, const Reply &reply);

    // Ends what has finished or lost its lease by now.
    void advance();

    void setFailStarts(bool value) { m_failStarts = value; }
    void setFailRuns(bool value) { m_failRuns = value; }
    void setDead(bool value); // a dead worker runs nothing and answers nothing
    bool isDead() const { return m_isDead; }

private:
    struct Task
    {
        RunningTask judged;
        Json::Value asStarted;
        int64_t leaseMs = 0;       // end of the lease on the worker's clock
        int64_t startedMs = 0;     // on the worker's clock
        int64_t runMs = 0;         // unthrottled time that the task needs; 0 runs until stopped
        int64_t workPercentMs = 0; // percent times milliseconds done up to `countedMs`
        int64_t countedMs = 0;     // on the worker's clock
        int64_t checkpointMs = 0;  // unthrottled time at the last checkpoint
    };
    struct Waiter
    {
        Reply reply;
        std::shared_ptr<int> alive = std::make_shared<int>(0); // expires with the waiter
    };
    using Tasks = std::list<Task>;

    int64_t clockMs() const;
    void start(const Json::Value &body, const Reply &reply);
    std::string startOne(const Json::Value &task);
    void renew(const Json::Value &body, const Reply &reply);
    void stop(const Json::Value &body, const Reply &reply);
    void throttle(const Json::Value &body, const Reply &reply);
    void checkpoint(const Json::Value &body, const Reply &reply);
    void acknowledge(const Json::Value &body, const Reply &reply);
    void report(const Json::Value &body, const Reply &reply);

    void judgeLoad();
    void countWork(Task &task, int64_t now) const;
    int64_t finishMs(const Task &task) const; // when it finishes unless something changes
    Tasks::iterator end(Tasks::iterator task, const std::string &outcome);
    void changed();
    void scheduleNext();
    Json::Value reportJson() const;
    Json::Value taskJson(const Task &task) const;
    template <typename Action>
    Json::Value forNamed(const Json::Value &ids, Action action);

    Frame &m_frame;
    Judge &m_judge;
    const WorkerSettings m_settings;
    const TimePoint m_startedAt = BootClock::now();
    Tasks m_tasks;
    std::vector<Json::Value> m_finished; // until acknowledged
    std::list<Waiter> m_waiters;
    boost::asio::steady_timer m_timer;
    int64_t m_sequence = 1;
    bool m_failStarts = false;
    bool m_failRuns = false;
    bool m_isDead = false;
};

} // namespace cwl::standins
