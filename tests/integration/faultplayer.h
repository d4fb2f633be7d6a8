// Plays a schedule of failures on a cell: begins each at its time and ends it when it is over.

#pragma once

#include "integration/cell.h"
#include "integration/schedule.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cwl::integration {

class FaultPlayer
{
public:
    struct Hooks
    {
        std::function<void()> changeSettings;
        std::function<void()> cancelJob;
        std::function<void(const std::string &)> failed; // a promise was broken meanwhile
    };
    FaultPlayer(Cell &cell, Hooks hooks);

    void play(const std::vector<ScheduledFault> &schedule); // returns when all failures have ended

private:
    using End = std::function<void()>;
    using Begin = End (FaultPlayer::*)(const std::string &target);

    static const std::map<std::string, Begin> &beginners();
    void waitUntilMayFail(const ScheduledFault &fault);
    void endDue(TimePoint now);

    End kill(const std::string &target);
    End pause(const std::string &target);
    End terminate(const std::string &target);
    End cutFromStore(const std::string &target);
    End silenceRpc(const std::string &target);
    End cutRpc(const std::string &target);
    End outage(const std::string &target);
    End loseAnswers(const std::string &target);
    End slowStore(const std::string &target);
    End silenceEndpoint(const std::string &target);
    End truncateEndpoint(const std::string &target);
    End leaveEndpoint(const std::string &target);
    End cutWorker(const std::string &target);
    End loseWorkerAnswers(const std::string &target);
    End failWorker(const std::string &target);
    End changeSettings(const std::string &target);
    End cancelJob(const std::string &target);

    End linkFault(const std::string &link, const std::string &value);
    harness::Member &member(const std::string &name);

    Cell &m_cell;
    Hooks m_hooks;
    std::multimap<TimePoint, End> m_ends;
    std::map<std::string, TimePoint> m_downUntil; // by role: one member at a time is down
};

} // namespace cwl::integration
