// Tracks the rows of other members and decides when one may be deleted; docs/design.md,
// section 5.2.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"
#include "ownership/lease.h"

#include <map>
#include <optional>
#include <vector>

namespace cwl::ownership {

struct MemberRow
{
    MemberId id;
    Revision revision;
    MemberSet witnesses;
};

// The reason why a takeover may delete a row.
enum class Fence {
    Votes,      // a majority of the row's witnesses voted for the deletion
    Time,       // the row has not been renewed for maxStoreAbsence
    NoWitnesses // the row names no witnesses
};

class Observation
{
public:
    // Stores the whole members table as read. `arrivedAt` is the arrival time of the response.
    void update(const std::vector<MemberRow> &rows, TimePoint arrivedAt);

    // True if a takeover may begin: as of the last read, the row has stayed at its revision for
    // memberLease, lengthened by the clock error. Time without reads does not count; otherwise an
    // outage of the store would make every member request votes against every other.
    bool mayBeginTakeover(const MemberId &member) const;

    // Records that `witness` granted its vote against `member` at `revision`.
    void voteGranted(const MemberId &witness, const MemberId &member, Revision revision);

    // Returns the reason why the row may be deleted now at its current revision, if any.
    std::optional<Fence> fence(const MemberId &member, TimePoint now) const;

    // True if the row was renewed within memberLease before the last read. An outage of the store
    // does not change the result.
    bool isLive(const MemberId &member) const;

    bool contains(const MemberId &member) const { return m_observedRows.contains(member); }
    Revision revision(const MemberId &member) const; // 0 if the row was not in the last read
    MemberSet witnesses(const MemberId &member) const;
    std::map<MemberId, Revision> revisions() const;
    TimePoint lastRead() const { return m_lastRead; }

private:
    struct ObservedRow
    {
        MemberRow row;
        TimePoint firstSeen = {}; // arrival of the first response with this revision
        MemberSet votes = {};     // granted at this revision, by witnesses named in the row
    };
    const ObservedRow *find(const MemberId &member) const;

    std::map<MemberId, ObservedRow> m_observedRows;
    TimePoint m_lastRead = {};
};

} // namespace cwl::ownership
