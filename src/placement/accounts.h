// Resource usage of urgency classes and teams, and their dominant shares of the group's capacity.

#pragma once

#include "placement/types.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace cwl::placement {

// Returns the largest fraction used of any resource: 0 to 1, or more when `used` exceeds `total`.
double dominantShare(const Resources &used, const Resources &total);

struct Team
{
    TeamSpec spec = {};
    Resources used = {};               // by running tasks and by holds for its gangs
    std::vector<uint32_t> queues = {}; // numbers of its queues of waiting jobs, see Queue
    bool isKnown = false;              // false once its settings are removed: new jobs are rejected

    // Dominant share divided by weight. The team with the lowest value starts tasks first.
    double weightedShare(const Resources &total) const
    {
        return dominantShare(used, total) / static_cast<double>(spec.weight);
    }
    bool hasQuotaFor(const Resources &amount) const { return (used + amount).fitsIn(spec.quota); }
};

struct ClassUsage
{
    Resources used = {};              // by running tasks and by holds for gangs
    Resources pendingReclaim = {};    // of other classes' tasks being preempted for this class
    Resources pendingPreemption = {}; // of its own tasks being preempted for other classes
};

class Accounts
{
public:
    TeamNumber putTeam(const TeamSpec &spec);
    void removeTeam(const TeamId &id);           // its jobs continue; new ones are rejected
    TeamNumber findTeam(const TeamId &id) const; // noNumber if unknown
    Team &team(TeamNumber number) { return m_teams[number]; }
    const Team &team(TeamNumber number) const { return m_teams[number]; }
    size_t teams() const { return m_teams.size(); }

    ClassUsage &usage(UrgencyClass urgency) { return m_classes[static_cast<size_t>(urgency)]; }
    const ClassUsage &usage(UrgencyClass urgency) const
    {
        return m_classes[static_cast<size_t>(urgency)];
    }

    void charge(TeamNumber team, UrgencyClass urgency, const Resources &amount);
    void refund(TeamNumber team, UrgencyClass urgency, const Resources &amount);

    // Returns true if the class uses less than its guaranteed share of `total`. The second form
    // checks a hypothetical usage instead of the current one.
    bool isBelowGuarantee(UrgencyClass urgency, const Resources &total) const
    {
        return isBelowGuarantee(urgency, usage(urgency).used, total);
    }
    bool isBelowGuarantee(UrgencyClass urgency, const Resources &used,
                          const Resources &total) const;
    void setShares(const std::array<int64_t, urgencyClassCount> &percents) { m_shares = percents; }

private:
    std::vector<Team> m_teams;
    std::unordered_map<TeamId, TeamNumber> m_numbers;
    std::array<ClassUsage, urgencyClassCount> m_classes;
    std::array<int64_t, urgencyClassCount> m_shares = {};
};

} // namespace cwl::placement
