#include "integration/faultplayer.h"

#include <algorithm>
#include <iostream>
#include <thread>
#include <utility>

namespace cwl::integration {

namespace {

constexpr Duration stopLimit = seconds(40); // of a planned stop, docs/design.md, section 9.5

bool takesMemberDown(const ScheduledFault &fault)
{
    return fault.fault == "kill" || fault.fault == "pause" || fault.fault == "terminate";
}

std::string roleOf(const std::string &member)
{
    return member.substr(0, member.find('-'));
}

} // namespace

FaultPlayer::FaultPlayer(Cell &cell, Hooks hooks)
    : m_cell(cell)
    , m_hooks(std::move(hooks))
{
}

const std::map<std::string, FaultPlayer::Begin> &FaultPlayer::beginners()
{
    static const std::map<std::string, Begin> table = {
            {"kill", &FaultPlayer::kill},
            {"pause", &FaultPlayer::pause},
            {"terminate", &FaultPlayer::terminate},
            {"store-cut", &FaultPlayer::cutFromStore},
            {"rpc-silence", &FaultPlayer::silenceRpc},
            {"rpc-cut", &FaultPlayer::cutRpc},
            {"outage", &FaultPlayer::outage},
            {"lose-answers", &FaultPlayer::loseAnswers},
            {"slow-store", &FaultPlayer::slowStore},
            {"endpoint-silence", &FaultPlayer::silenceEndpoint},
            {"endpoint-truncate", &FaultPlayer::truncateEndpoint},
            {"endpoint-leave", &FaultPlayer::leaveEndpoint},
            {"worker-cut", &FaultPlayer::cutWorker},
            {"worker-lose-answers", &FaultPlayer::loseWorkerAnswers},
            {"worker-fail", &FaultPlayer::failWorker},
            {"change-settings", &FaultPlayer::changeSettings},
            {"cancel-job", &FaultPlayer::cancelJob},
    };
    return table;
}

void FaultPlayer::play(const std::vector<ScheduledFault> &schedule)
{
    const TimePoint start = BootClock::now();
    for (const ScheduledFault &fault : schedule) {
        harness::waitUntil(start + milliseconds(fault.atMs), [this] {
            endDue(BootClock::now());
            return false;
        });
        if (takesMemberDown(fault))
            waitUntilMayFail(fault);
        std::cerr << "fault " << fault.fault << " " << fault.target << " for " << fault.forMs
                  << " ms" << std::endl;
        const End end = (this->*beginners().at(fault.fault))(fault.target);
        if (end)
            m_ends.emplace(BootClock::now() + milliseconds(fault.forMs), end);
    }
    harness::waitUntil(BootClock::now() + seconds(60), [this] {
        endDue(BootClock::now());
        return m_ends.empty();
    });
}

// With three members, a majority of a member's witnesses needs both others. A second member that
// goes down before the takeover of the first is complete would block takeovers for
// maxStoreAbsence, as the design says.
void FaultPlayer::waitUntilMayFail(const ScheduledFault &fault)
{
    const std::string role = roleOf(fault.target);
    const std::string prefix = role == "entry" ? "endpoint/" : "worker/";
    const size_t groups = role == "entry" ? size_t(m_cell.options().endpointGroups) : 1;
    const bool isUp = harness::waitUntil(BootClock::now() + seconds(60), [&] {
        endDue(BootClock::now());
        if (m_downUntil[role] > BootClock::now())
            return false;
        for (size_t i = 0; i < m_cell.options().instances; ++i) {
            harness::Member &other = member(role + "-" + std::to_string(i));
            if (!harness::waitForReady(other.httpAddress(), BootClock::now() + milliseconds(50)))
                return false;
        }
        return m_cell.isOwned(prefix, groups);
    });
    if (!isUp)
        m_hooks.failed("the members with role " + role + " did not recover\n" + m_cell.logs());
    m_downUntil[role] = BootClock::now() + milliseconds(fault.forMs);
}

void FaultPlayer::endDue(TimePoint now)
{
    while (!m_ends.empty() && m_ends.begin()->first <= now) {
        const End end = m_ends.begin()->second;
        m_ends.erase(m_ends.begin());
        end();
    }
}

harness::Member &FaultPlayer::member(const std::string &name)
{
    const size_t index = std::stoul(name.substr(name.find('-') + 1));
    return roleOf(name) == "entry" ? m_cell.entry(index) : m_cell.scheduler(index);
}

// Section: members

FaultPlayer::End FaultPlayer::kill(const std::string &target)
{
    m_cell.kill(member(target));
    return [this, target] { m_cell.start(member(target)); };
}

FaultPlayer::End FaultPlayer::pause(const std::string &target)
{
    member(target).process->pause();
    return [this, target] { member(target).process->resume(); };
}

FaultPlayer::End FaultPlayer::terminate(const std::string &target)
{
    member(target).process->terminate();
    const TimePoint asked = BootClock::now();
    return [this, target, asked] {
        const auto code = member(target).process->waitForExit(asked + stopLimit + seconds(20));
        if (!code.ok() || *code != 0)
            m_hooks.failed(target + " did not end with exit code 0 (P7)\n" + m_cell.logs());
        m_cell.kill(member(target));
        m_cell.start(member(target));
    };
}

FaultPlayer::End FaultPlayer::linkFault(const std::string &link, const std::string &value)
{
    m_cell.link(link, "cut", value);
    return [this, link] { m_cell.link(link, "cut", "none"); };
}

FaultPlayer::End FaultPlayer::cutFromStore(const std::string &target)
{
    return linkFault("platform/" + target, "both");
}

FaultPlayer::End FaultPlayer::silenceRpc(const std::string &target)
{
    m_cell.link("rpc/" + target, "silenceOpen", true);
    return {};
}

FaultPlayer::End FaultPlayer::cutRpc(const std::string &target)
{
    return linkFault("rpc/" + target, "both");
}

// Section: platform

FaultPlayer::End FaultPlayer::outage(const std::string &)
{
    m_cell.platform("outage", true);
    return [this] { m_cell.platform("outage", false); };
}

FaultPlayer::End FaultPlayer::loseAnswers(const std::string &)
{
    m_cell.platform("loseAnswers", true);
    return [this] { m_cell.platform("loseAnswers", false); };
}

FaultPlayer::End FaultPlayer::slowStore(const std::string &)
{
    m_cell.platform("delayMs", 400);
    return [this] { m_cell.platform("delayMs", 0); };
}

// Section: endpoints and workers

FaultPlayer::End FaultPlayer::silenceEndpoint(const std::string &target)
{
    m_cell.link("endpoint/" + target, "silenceOpen", true);
    return {};
}

FaultPlayer::End FaultPlayer::truncateEndpoint(const std::string &target)
{
    m_cell.endpoint(target, "truncate", true);
    return [this, target] { m_cell.endpoint(target, "truncate", false); };
}

FaultPlayer::End FaultPlayer::leaveEndpoint(const std::string &target)
{
    m_cell.listEndpoint(target, "leaving");
    return [this, target] { m_cell.listEndpoint(target, "live"); };
}

FaultPlayer::End FaultPlayer::cutWorker(const std::string &target)
{
    return linkFault("worker/" + target, "both");
}

FaultPlayer::End FaultPlayer::loseWorkerAnswers(const std::string &target)
{
    return linkFault("worker/" + target, "toClient");
}

FaultPlayer::End FaultPlayer::failWorker(const std::string &target)
{
    m_cell.worker(target, "failStarts", true);
    return [this, target] { m_cell.worker(target, "failStarts", false); };
}

// Section: operators

FaultPlayer::End FaultPlayer::changeSettings(const std::string &)
{
    m_hooks.changeSettings();
    return {};
}

FaultPlayer::End FaultPlayer::cancelJob(const std::string &)
{
    m_hooks.cancelJob();
    return {};
}

} // namespace cwl::integration
