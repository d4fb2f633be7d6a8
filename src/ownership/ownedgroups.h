// Claims, hands over and releases the groups of one member; docs/design.md, sections 5.2 (step 4)
// and 5.3.

#pragma once

#include "ownership/assignment.h"
#include "ownership/directory.h"
#include "ownership/io.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cwl::ownership {

class OwnedGroups
{
public:
    using OwnedChanged = std::function<void(const std::map<GroupId, Epoch> &)>;

    OwnedGroups(Io &io, Directory &directory, const MemberInfo &self, const GroupListener &listener,
                OwnedChanged ownedChanged);

    // Claims and hands over groups according to the directory. Call only while the member is valid.
    void tick(const std::vector<GroupId> &groups, TimePoint now);

    // Reconciles with the rows just read: recovers claims and releases whose responses were lost.
    void afterRead(TimePoint now);

    // Hands over every group. Call until isIdle() returns true: then all rows are written.
    void releaseAll(TimePoint now);
    bool isIdle() const { return m_held.empty() && m_pendingClaims.empty(); }

    // The groups to report as lost to the listener when the member's lease expires.
    std::vector<GroupId> heldGroups() const;
    Json::Value state() const;

private:
    enum class Stage {
        Owned,
        Releasing, // the listener has been asked to release it
        Writing,   // released by the listener; the row is not yet written
    };
    struct HeldGroup
    {
        Epoch epoch;
        Revision revision; // of the row that names this member as owner
        Stage stage = Stage::Owned;
        ChangeId releaseId = {}; // of the write that clears the owner
        TimePoint nextWrite = {};
        bool isWriteInFlight = false;
    };

    void considerHandOver(const GroupId &group, const std::optional<MemberId> &first,
                          TimePoint now);
    void dropExpiredClaims(TimePoint now);
    bool consumeWriteBudget(TimePoint now); // false if this window's budget is spent
    bool isClaimable(const GroupId &group) const;
    void claim(const GroupId &group, TimePoint now);
    void handleClaimResult(const GroupEntry &claimed, const absl::StatusOr<Revision> &result);
    void acquire(const GroupEntry &claimed, TimePoint now);
    void release(const GroupId &group);
    void released(const GroupId &group, Epoch epoch);
    void writeRelease(const GroupId &group, TimePoint now);
    void handleReleaseResult(const GroupId &group, const absl::StatusOr<Revision> &result);
    void lose(const GroupId &group);
    void publish();

    Io &m_io;
    Directory &m_directory;
    const MemberInfo &m_self;
    const GroupListener &m_listener;
    OwnedChanged m_ownedChanged;
    HandOverTracker m_handOverTracker;
    std::map<GroupId, HeldGroup> m_held;
    std::map<GroupId, TimePoint> m_pendingClaims; // in flight; value: earliest retry
    std::shared_ptr<const bool> m_lifetime; // expires with this object; a late `done` checks it
    TimePoint m_windowEnd = {};
    int m_remainingWrites = 0;
    int64_t m_claimed = 0;
    int64_t m_handedOver = 0;
};

} // namespace cwl::ownership
