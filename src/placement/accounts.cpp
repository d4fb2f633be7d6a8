#include "placement/accounts.h"

#include <algorithm>

namespace cwl::placement {

namespace {

double fraction(int64_t used, int64_t total)
{
    if (total > 0)
        return static_cast<double>(used) / static_cast<double>(total);
    return used > 0 ? 1.0 : 0.0;
}

} // namespace

double dominantShare(const Resources &used, const Resources &total)
{
    return std::max({fraction(used.cores.value(), total.cores.value()),
                     fraction(used.memory.value(), total.memory.value()),
                     fraction(used.accelerators.value(), total.accelerators.value())});
}

TeamNumber Accounts::putTeam(const TeamSpec &spec)
{
    const auto [entry, isNew] =
            m_numbers.try_emplace(spec.id, static_cast<TeamNumber>(m_teams.size()));
    if (isNew)
        m_teams.emplace_back();
    Team &team = m_teams[entry->second];
    team.spec = spec;
    team.spec.weight = std::max<int64_t>(1, spec.weight);
    team.isKnown = true;
    return entry->second;
}

void Accounts::removeTeam(const TeamId &id)
{
    const auto entry = m_numbers.find(id);
    if (entry != m_numbers.end())
        m_teams[entry->second].isKnown = false;
}

TeamNumber Accounts::findTeam(const TeamId &id) const
{
    const auto entry = m_numbers.find(id);
    if (entry == m_numbers.end())
        return noNumber;
    return entry->second;
}

void Accounts::charge(TeamNumber team, UrgencyClass urgency, const Resources &amount)
{
    m_teams[team].used = m_teams[team].used + amount;
    usage(urgency).used = usage(urgency).used + amount;
}

void Accounts::refund(TeamNumber team, UrgencyClass urgency, const Resources &amount)
{
    m_teams[team].used = m_teams[team].used - amount;
    usage(urgency).used = usage(urgency).used - amount;
}

bool Accounts::isBelowGuarantee(UrgencyClass urgency, const Resources &used,
                                const Resources &total) const
{
    const double guarantee = static_cast<double>(m_shares[static_cast<size_t>(urgency)]) / 100.0;
    return dominantShare(used, total) < guarantee;
}

} // namespace cwl::placement
