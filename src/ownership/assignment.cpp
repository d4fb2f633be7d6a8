#include "ownership/assignment.h"

#include "ownership/constants.h"

#include <xxhash.h>

#include <string>

namespace cwl::ownership {

uint64_t rendezvousWeight(const MemberId &member, const GroupId &group)
{
    // The separator gives ("a", "bc") and ("ab", "c") different hashes.
    const std::string text = member.value() + '\n' + group.value();
    return XXH3_64bits(text.data(), text.size());
}

std::optional<MemberId> highestRanked(const std::vector<MemberId> &members, const GroupId &group)
{
    std::optional<MemberId> first;
    uint64_t best = 0;
    for (const MemberId &member : members) {
        const uint64_t weight = rendezvousWeight(member, group);
        // Ties are broken by id, so that every process agrees.
        if (!first || weight > best || (weight == best && member < *first)) {
            first = member;
            best = weight;
        }
    }
    return first;
}

bool HandOverTracker::isDue(const GroupId &group, const MemberId &self,
                            const std::optional<MemberId> &first, TimePoint now)
{
    if (!first || *first == self) {
        m_candidates.erase(group);
        return false;
    }
    const auto [entry, isNew] = m_candidates.try_emplace(group, Candidate{*first, now});
    if (!isNew && entry->second.member != *first)
        entry->second = Candidate{*first, now};
    return now - entry->second.since >= handOverDelay;
}

void HandOverTracker::forget(const GroupId &group)
{
    m_candidates.erase(group);
}

} // namespace cwl::ownership
