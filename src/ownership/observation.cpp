#include "ownership/observation.h"

#include "ownership/constants.h"

#include <utility>

namespace cwl::ownership {

void Observation::update(const std::vector<MemberRow> &rows, TimePoint arrivedAt)
{
    std::map<MemberId, Seen> next;
    for (const MemberRow &row : rows) {
        const auto known = m_seen.find(row.id);
        // Revisions only rise, so a lower one comes from an older answer.
        if (known != m_seen.end() && row.revision <= known->second.row.revision)
            next.emplace(row.id, std::move(known->second));
        else
            next.emplace(row.id, Seen{row, arrivedAt});
    }
    m_seen = std::move(next);
    m_lastRead = arrivedAt;
}

bool Observation::mayBegin(const MemberId &member) const
{
    const Seen *seen = find(member);
    return seen != nullptr && m_lastRead - seen->firstSeen >= lengthenedByClockError(memberLease);
}

void Observation::voted(const MemberId &witness, const MemberId &member, Revision revision)
{
    const auto seen = m_seen.find(member);
    if (seen == m_seen.end() || seen->second.row.revision != revision)
        return;
    if (seen->second.row.witnesses.contains(witness))
        seen->second.votes.insert(witness);
}

std::optional<Fence> Observation::fence(const MemberId &member, TimePoint now) const
{
    if (!mayBegin(member))
        return std::nullopt;
    const Seen &seen = *find(member);
    if (seen.row.witnesses.empty())
        return Fence::NoWitnesses;
    if (seen.votes.size() > seen.row.witnesses.size() / 2)
        return Fence::Votes;
    if (now - seen.firstSeen >= lengthenedByClockError(maxStoreAbsence))
        return Fence::Time;
    return std::nullopt;
}

bool Observation::isLive(const MemberId &member) const
{
    const Seen *seen = find(member);
    return seen != nullptr && m_lastRead - seen->firstSeen < memberLease;
}

Revision Observation::revision(const MemberId &member) const
{
    const Seen *seen = find(member);
    return seen == nullptr ? Revision() : seen->row.revision;
}

MemberSet Observation::witnesses(const MemberId &member) const
{
    const Seen *seen = find(member);
    return seen == nullptr ? MemberSet() : seen->row.witnesses;
}

std::map<MemberId, Revision> Observation::revisions() const
{
    std::map<MemberId, Revision> revisions;
    for (const auto &[id, seen] : m_seen)
        revisions.emplace(id, seen.row.revision);
    return revisions;
}

const Observation::Seen *Observation::find(const MemberId &member) const
{
    const auto found = m_seen.find(member);
    return found == m_seen.end() ? nullptr : &found->second;
}

} // namespace cwl::ownership
