// Which member a group belongs to, and when its owner hands it over; docs/design.md, section 5.3.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cwl::ownership {

// Weight of `member` for `group`: the highest one ranks first. The same in every process.
uint64_t rendezvousWeight(const MemberId &member, const GroupId &group);

// The member that ranks first, if there is any.
std::optional<MemberId> rankedFirst(const std::vector<MemberId> &members, const GroupId &group);

// Tracks, for the groups that this member owns, which other member ranks first.
class HandOverWatch
{
public:
    // Notes that `first` ranks first now. True if it is not `self` and the same member has ranked
    // first for handOverDelay at every call.
    bool isDue(const GroupId &group, const MemberId &self, const std::optional<MemberId> &first,
               TimePoint now);
    void forget(const GroupId &group);

private:
    struct Candidate
    {
        MemberId member;
        TimePoint since = {};
    };
    std::map<GroupId, Candidate> m_candidates;
};

} // namespace cwl::ownership
