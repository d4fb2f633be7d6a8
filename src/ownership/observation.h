// What a member sees of the others' rows, and when it may delete one; docs/design.md, section 5.2.

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

// Why a takeover may delete a row.
enum class Fence { Votes, Time, NoWitnesses };

class Observation
{
public:
    // Takes the whole members table as read; `arrivedAt` is the arrival of the answer.
    void update(const std::vector<MemberRow> &rows, TimePoint arrivedAt);

    // True if the last read showed that the row has stayed at its revision for the lengthened
    // lease: a takeover may begin. Time without reads does not count, or an outage of the store
    // would make every member ask for votes against every other.
    bool mayBegin(const MemberId &member) const;

    // Records that `witness` granted its vote against `member` at `revision`.
    void voted(const MemberId &witness, const MemberId &member, Revision revision);

    // The reason for which the row may be deleted at its present revision now, if any.
    std::optional<Fence> fence(const MemberId &member, TimePoint now) const;

    // True if the row was renewed lately, judged at the last read: an outage changes nothing.
    bool isLive(const MemberId &member) const;

    bool contains(const MemberId &member) const { return m_seen.contains(member); }
    Revision revision(const MemberId &member) const; // 0 if the row was not seen
    MemberSet witnesses(const MemberId &member) const;
    std::map<MemberId, Revision> revisions() const;
    TimePoint lastRead() const { return m_lastRead; }

private:
    struct Seen
    {
        MemberRow row;
        TimePoint firstSeen = {}; // arrival of the first answer with this revision
        MemberSet votes = {};     // granted at this revision, by witnesses named in the row
    };
    const Seen *find(const MemberId &member) const;

    std::map<MemberId, Seen> m_seen;
    TimePoint m_lastRead = {};
};

} // namespace cwl::ownership
