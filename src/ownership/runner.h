// Runs the state machines of one process's member and performs their I/O. All calls are on the
// control thread, except validUntil() and owns(), which any thread may call.

#pragma once

#include "ownership/directory.h"
#include "ownership/io.h"
#include "ownership/member.h"
#include "ownership/ownedgroups.h"
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
    void tick(); // call every tickInterval; detects an expired lease before any other work
    void setReady(bool ready);
    void setGroups(std::vector<GroupId> groups) { m_groups = std::move(groups); }
    void shutDown(std::function<void()> done);

    TimePoint validUntil() const;
    std::optional<Epoch> owns(const GroupId &group) const;
    std::optional<MemberInfo> ownerOf(const GroupId &group) const;
    std::vector<MemberInfo> liveMembers(Role role) const;
    const MemberInfo &self() const { return m_self; }
    Json::Value state() const;

    // Handlers of RPC methods called by other members.
    absl::StatusOr<Json::Value> promise(const Json::Value &parameters);
    absl::StatusOr<Json::Value> vote(const Json::Value &parameters);
    absl::StatusOr<Json::Value> owners();
    void relayRenewal(const Json::Value &parameters, CallCallback reply);

private:
    // One registration of this process: the state that is discarded when the lease expires.
    struct Incarnation
    {
        Incarnation(Runner &runner);
        Io io;
        Witness witness;
        Renewer renewer;
        Takeover takeover;
        OwnedGroups ownedGroups;
    };

    void checkLease();
    void handleLeaseExpiry();
    void retainWitness();
    bool voteAs(const MemberId &witnessId, const MemberId &member, Revision revision,
                TimePoint now);
    void startIncarnation();
    void publishValidity();
    void publishOwned(const std::map<GroupId, Epoch> &owned);
    void readIfDue(TimePoint now);
    void handleReadResult(const absl::StatusOr<std::vector<std::vector<platform::Row>>> &result);
    void requestOwnersFromPeer();
    void continueShutDown(TimePoint now);
    void finishShutDown();

    Transport m_transport;
    MemberInfo m_self;
    std::vector<GroupId> m_groups;
    std::vector<std::string> m_peers;
    GroupListener m_listener;
    StoreUsage m_storeUsage;
    Directory m_directory;
    std::deque<MemberId> m_formerIdOrder;  // oldest first; limits the size of m_formerIds
    std::set<MemberId> m_formerIds;        // ids of earlier incarnations
    std::deque<Witness> m_formerWitnesses; // of earlier incarnations, oldest first; only for votes
    std::unique_ptr<Incarnation> m_incarnation;
    std::atomic<int64_t> m_validUntil = 0; // nanoseconds of TimePoint
    std::atomic<std::shared_ptr<const std::map<GroupId, Epoch>>> m_owned;
    std::function<void()> m_shutDownDone; // set while shutting down
    TimePoint m_deleteDeadline = {};      // zero until deletion of the own row starts
    TimePoint m_nextRead = {};
    TimePoint m_nextDecision = {};
    TimePoint m_nextOwnersRequest = {};
    size_t m_peerIndex = 0;
    int64_t m_leaseExpiries = 0;
    bool m_isReadInFlight = false;
    bool m_isDeleteInFlight = false;
    bool m_isStarted = false;
    bool m_isStopped = false;
};

} // namespace cwl::ownership
