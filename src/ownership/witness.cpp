#include "ownership/witness.h"

#include "ownership/constants.h"

#include <algorithm>

namespace cwl::ownership {

bool Witness::promise(const MemberId &witnessId, const MemberId &member, Revision revision,
                      TimePoint now)
{
    if (witnessId != m_self)
        return false;
    const auto vote = m_votes.find(member);
    if (vote != m_votes.end() && revision <= vote->second)
        return false;
    const auto [entry, isNew] = m_promises.try_emplace(member, Promise{revision, now});
    const bool isUnexpired = !isNew && now < entry->second.expiresAt;
    entry->second.lowestRevision =
            isUnexpired ? std::min(entry->second.lowestRevision, revision) : revision;
    entry->second.expiresAt = now + promiseLease;
    return true;
}

bool Witness::vote(const MemberId &witnessId, const MemberId &member, Revision revision,
                   TimePoint now)
{
    if (witnessId != m_self)
        return false;
    const auto promise = m_promises.find(member);
    if (promise != m_promises.end() && now < promise->second.expiresAt
        && promise->second.lowestRevision <= revision)
        return false;
    Revision &highest = m_votes[member];
    highest = std::max(highest, revision);
    return true;
}

void Witness::prune(const std::map<MemberId, Revision> &rows, TimePoint now)
{
    std::erase_if(m_promises, [now](const auto &entry) { return now >= entry.second.expiresAt; });
    std::erase_if(m_votes, [&rows](const auto &entry) {
        const auto row = rows.find(entry.first);
        return row == rows.end() || row->second > entry.second;
    });
}

} // namespace cwl::ownership
