// Assigns groups to members by rendezvous hashing and decides when an owner hands a group over;
// docs/design.md, section 5.3.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cwl::ownership {

// Returns the rendezvous weight of `member` for `group`. The member with the highest weight ranks
// first. Every process computes the same weight.
uint64_t rendezvousWeight(const MemberId &member, const GroupId &group);

// Returns the member that ranks first, or nothing if `members` is empty.
std::optional<MemberId> highestRanked(const std::vector<MemberId> &members, const GroupId &group);

// Tracks, for each group that this member owns, which other member ranks first and since when.
class HandOverTracker
{
public:
    // Records that `first` ranks first at `now`. Returns true if every call over the last
    // handOverDelay named this same member, and it is not `self`.
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
