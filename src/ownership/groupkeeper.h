// The groups of one member: claims, hand-over and release; docs/design.md, sections 5.2 (step 4)
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

class GroupKeeper
{
public:
    using OwnedChanged = std::function<void(const std::map<GroupId, Epoch> &)>;

    GroupKeeper(Io &io, Directory &directory, const MemberInfo &self, const GroupListener &listener,
                OwnedChanged ownedChanged);

    // Claims and hands over what the directory calls for. Call only while the member is valid.
    void tick(const std::vector<GroupId> &groups, TimePoint now);

    // Compares with the rows as just read: takes in claims whose answers were lost.
    void afterRead(TimePoint now);

    // Hands over every group; isIdle() becomes true when all rows are written.
    void releaseAll(TimePoint now);
    bool isIdle() const { return m_held.empty() && m_claims.empty(); }

    // The groups that the listener must be told of when the member lapses.
    std::vector<GroupId> heldGroups() const;
    Json::Value state() const;

private:
    enum class Stage {
        Owned,
        Releasing, // the listener was asked to release it
        Writing,   // released; the row is still to be written
    };
    struct Held
    {
        Epoch epoch;
        Revision revision; // of the row that names this member
        Stage stage = Stage::Owned;
        ChangeId releaseId = {}; // of the row's last write
        TimePoint nextWrite = {};
        bool isWriteOpen = false;
    };

    void considerHandOver(const GroupId &group, const std::optional<MemberId> &first,
                          TimePoint now);
    void forgetOldClaims(TimePoint now);
    bool takeWrite(TimePoint now); // false once the writes of this window are used up
    bool isFree(const GroupId &group) const;
    void claim(const GroupId &group, TimePoint now);
    void claimAnswer(const GroupEntry &claimed, const absl::StatusOr<Revision> &answer);
    void acquire(const GroupEntry &claimed, TimePoint now);
    void release(const GroupId &group);
    void released(const GroupId &group, Epoch epoch);
    void writeRelease(const GroupId &group, TimePoint now);
    void releaseAnswer(const GroupId &group, const absl::StatusOr<Revision> &answer);
    void lose(const GroupId &group);
    void publish();

    Io &m_io;
    Directory &m_directory;
    const MemberInfo &m_self;
    const GroupListener &m_listener;
    OwnedChanged m_ownedChanged;
    HandOverWatch m_watch;
    std::map<GroupId, Held> m_held;
    std::map<GroupId, TimePoint> m_claims; // under way; the time until which none is repeated
    std::shared_ptr<const bool> m_alive;   // tells a late `done` that the member has changed
    TimePoint m_windowEnd = {};
    int m_writesLeft = 0;
    int64_t m_claimed = 0;
    int64_t m_handedOver = 0;
};

} // namespace cwl::ownership
