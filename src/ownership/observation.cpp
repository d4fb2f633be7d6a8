#include "ownership/observation.h"

#include "ownership/constants.h"

#include <utility>

namespace cwl::ownership {

void Observation::update(const std::vector<MemberRow> &rows, TimePoint arrivedAt)
{
    std::map<MemberId, ObservedRow> next;
    for (const MemberRow &row : rows) {
        const auto known = m_observedRows.find(row.id);
        // Revisions only increase, so a lower one comes from an older read.
        if (known != m_observedRows.end() && row.revision <= known->second.row.revision)
            next.emplace(row.id, std::move(known->second));
        else
            next.emplace(row.id, ObservedRow{row, arrivedAt});
    }
    m_observedRows = std::move(next);
    m_lastRead = arrivedAt;
}

bool Observation::mayBeginTakeover(const MemberId &member) const
{
    const ObservedRow *seen = find(member);
    return seen != nullptr && m_lastRead - seen->firstSeen >= lengthenedByClockError(memberLease);
}

void Observation::voteGranted(const MemberId &witness, const MemberId &member, Revision revision)
{
    const auto seen = m_observedRows.find(member);
    if (seen == m_observedRows.end() || seen->second.row.revision != revision)
        return;
    if (seen->second.row.witnesses.contains(witness))
        seen->second.votes.insert(witness);
}

std::optional<Fence> Observation::fence(const MemberId &member, TimePoint now) const
{
    if (!mayBeginTakeover(member))
        return std::nullopt;
    const ObservedRow &seen = *find(member);
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
    const ObservedRow *seen = find(member);
    return seen != nullptr && m_lastRead - seen->firstSeen < memberLease;
}

Revision Observation::revision(const MemberId &member) const
{
    const ObservedRow *seen = find(member);
    return seen == nullptr ? Revision() : seen->row.revision;
}

MemberSet Observation::witnesses(const MemberId &member) const
{
    const ObservedRow *seen = find(member);
    return seen == nullptr ? MemberSet() : seen->row.witnesses;
}

std::map<MemberId, Revision> Observation::revisions() const
{
    std::map<MemberId, Revision> revisions;
    for (const auto &[id, seen] : m_observedRows)
        revisions.emplace(id, seen.row.revision);
    return revisions;
}

const Observation::ObservedRow *Observation::find(const MemberId &member) const
{
    const auto found = m_observedRows.find(member);
    return found == m_observedRows.end() ? nullptr : &found->second;
}

} // namespace cwl::ownership
