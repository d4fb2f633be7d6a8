// Drives the state machines of one process's member over I/O. Runs entirely on the control thread,
// except validUntil() and owns().

#pragma once

#include "ownership/directory.h"
#include "ownership/groupkeeper.h"
#include "ownership/io.h"
#include "ownership/member.h"
#include "ownership/renewer.h"
#include "ownership/takeover.h"
#include "ownership/witness.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace cwl::ownership {

constexpr Duration tickInterval = milliseconds(50);

class Runner
{
public:
    Runner(Transport transport, const MemberOptions &options, GroupListener listener);

    void start();
    void tick(); // each tickInterval; detects a pause before any other work
    void setReady(bool ready);
    void setGroups(std::vector<GroupId> groups) { m_groups = std::move(groups); }
    void shutDown(std::function<void()> done);

    TimePoint validUntil() const;
    std::optional<Epoch> owns(const GroupId &group) const;
    std::optional<MemberInfo> ownerOf(const GroupId &group) const;
    std::vector<MemberInfo> liveMembers(Role role) const;
    const MemberInfo &self() const { return m_self; }
    Json::Value state() const;

    // RPC methods of other members.
    absl::StatusOr<Json::Value> promise(const Json::Value &parameters);
    absl::StatusOr<Json::Value> vote(const Json::Value &parameters);
    absl::StatusOr<Json::Value> owners();
    void relayRenewal(const Json::Value &parameters, CallCallback reply);

private:
    // One registration of this process: everything that ends when its validity lapses.
    struct Incarnation
    {
        Incarnation(Runner &runner);
        Io io;
        Witness witness;
        Renewer renewer;
        Takeover takeover;
        GroupKeeper keeper;
    };

    void check();
    void lapse();
    void retireWitness();
    bool voteAs(const MemberId &asked, const MemberId &member, Revision revision, TimePoint now);
    void enter();
    void publishValidity();
    void publishOwned(const std::map<GroupId, Epoch> &owned);
    void readIfDue(TimePoint now);
    void readAnswer(const absl::StatusOr<std::vector<std::vector<platform::Row>>> &answer);
    void askPeerForOwners();
    void shutDownStep(TimePoint now);
    void finishShutDown();

    Transport m_transport;
    MemberInfo m_self;
    std::vector<GroupId> m_groups;
    std::vector<std::string> m_peers;
    GroupListener m_listener;
    StoreUse m_use;
    Directory m_directory;
    std::deque<MemberId> m_formerOrder; // oldest first, bounds m_former
    std::set<MemberId> m_former;        // ids of earlier incarnations
    std::deque<Witness> m_retired;      // of earlier incarnations, oldest first; they only vote
    std::unique_ptr<Incarnation> m_incarnation;
    std::atomic<int64_t> m_validUntil = 0; // nanoseconds of TimePoint
    std::atomic<std::shared_ptr<const std::map<GroupId, Epoch>>> m_owned;
    std::function<void()> m_shutDownDone; // set while shutting down
    TimePoint m_deleteDeadline = {};      // zero until the own row's deletion is tried
    TimePoint m_nextRead = {};
    TimePoint m_nextDecision = {};
    TimePoint m_nextOwners = {};
    size_t m_peerIndex = 0;
    int64_t m_lapses = 0;
    bool m_isReadOpen = false;
    bool m_isDeleteOpen = false;
    bool m_isStarted = false;
    bool m_isStopped = false;
};

} // namespace cwl::ownership
