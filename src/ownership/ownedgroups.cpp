#include "ownership/ownedgroups.h"

#include "node/log.h"

#include "base/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace cwl::ownership {

namespace {

constexpr Duration commitTimeout = seconds(1);
constexpr Duration retryInterval = seconds(1);
constexpr Duration maxReadAge = seconds(3);
constexpr Duration writeWindow = milliseconds(200);
constexpr int writesPerWindow = 4; // 20 writes/s of the process's 25; renewals use one

} // namespace

OwnedGroups::OwnedGroups(Io &io, Directory &directory, const MemberInfo &self,
                         const GroupListener &listener, OwnedChanged ownedChanged)
    : m_io(io)
    , m_directory(directory)
    , m_self(self)
    , m_listener(listener)
    , m_ownedChanged(std::move(ownedChanged))
    , m_lifetime(std::make_shared<const bool>(true))
{
}

void OwnedGroups::tick(const std::vector<GroupId> &groups, TimePoint now)
{
    dropExpiredClaims(now);
    std::vector<MemberId> ready;
    for (const MemberInfo &member : m_directory.live(m_self.role)) {
        if (member.ready && member.id != m_self.id)
            ready.push_back(member.id);
    }
    if (m_self.ready)
        ready.push_back(m_self.id);
    for (const GroupId &group : groups) {
        const std::optional<MemberId> first = highestRanked(ready, group);
        const auto held = m_held.find(group);
        if (held == m_held.end()) {
            if (first == m_self.id && isClaimable(group))
                claim(group, now);
        } else if (held->second.stage == Stage::Owned) {
            considerHandOver(group, first, now);
        }
    }
    for (const GroupId &group : heldGroups()) {
        if (std::find(groups.begin(), groups.end(), group) == groups.end())
            release(group);
        writeRelease(group, now);
    }
}

// Without a recent read no hand-over starts: while the store cannot be read no member could claim
// the group, and the list of live members is stale.
void OwnedGroups::considerHandOver(const GroupId &group, const std::optional<MemberId> &first,
                                   TimePoint now)
{
    const bool isFresh = now - m_directory.observation().lastRead() < maxReadAge;
    if (!isFresh)
        m_handOverTracker.forget(group);
    else if (m_handOverTracker.isDue(group, m_self.id, first, now))
        release(group);
}

bool OwnedGroups::isClaimable(const GroupId &group) const
{
    const auto row = m_directory.groups().find(group);
    if (row == m_directory.groups().end() || row->second.owner.isEmpty())
        return true;
    return !m_directory.members().contains(row->second.owner);
}

bool OwnedGroups::consumeWriteBudget(TimePoint now)
{
    if (now >= m_windowEnd) {
        m_windowEnd = now + writeWindow;
        m_remainingWrites = writesPerWindow;
    }
    if (m_remainingWrites == 0)
        return false;
    --m_remainingWrites;
    return true;
}

void OwnedGroups::claim(const GroupId &group, TimePoint now)
{
    if (m_pendingClaims.contains(group) || !consumeWriteBudget(now))
        return;
    m_pendingClaims[group] = now + commitTimeout + retryInterval;
    const auto row = m_directory.groups().find(group);
    const GroupEntry previous = row == m_directory.groups().end() ? GroupEntry{group} : row->second;
    GroupEntry claimed{group, m_self.id, previous.epoch + Epoch(1)};
    platform::Commit commit{ChangeId(m_io.randomId())};
    commit.conditions.push_back({groupsTable, group.value(), previous.revision});
    // The two tables may have been read at different times. The condition prevents a claim from an
    // owner that registered between the two reads.
    if (!previous.owner.isEmpty())
        commit.conditions.push_back({membersTable, previous.owner.value(), Revision(0)});
    commit.writes.push_back({groupsTable, group.value(), toJson(claimed)});
    m_io.commit(std::move(commit), commitTimeout,
                [this, claimed](const absl::StatusOr<Revision> &result) {
                    handleClaimResult(claimed, result);
                });
}

void OwnedGroups::handleClaimResult(const GroupEntry &claimed,
                                    const absl::StatusOr<Revision> &result)
{
    // After an unknown outcome the claim stays pending until it may be retried. The next read shows
    // whether it was committed.
    if (failureOf(result.status()) == Failure::StoreOutcomeUnknown)
        return;
    m_pendingClaims.erase(claimed.group);
    if (!result.ok())
        return;
    GroupEntry entry = claimed;
    entry.revision = *result;
    m_directory.setGroup(entry);
    acquire(entry, m_io.now());
}

void OwnedGroups::acquire(const GroupEntry &claimed, TimePoint now)
{
    const bool isNew =
            m_held.try_emplace(claimed.group, HeldGroup{claimed.epoch, claimed.revision}).second;
    if (!isNew)
        return;
    ++m_claimed;
    m_pendingClaims.erase(claimed.group);
    publish();
    log::info("group_claimed",
              {{"group", claimed.group.value()}, {"epoch", claimed.epoch.value()}});
    Acquisition acquisition;
    acquisition.group = claimed.group;
    acquisition.epoch = claimed.epoch;
    acquisition.isFirstOwner = claimed.epoch == Epoch(1);
    acquisition.acquiredAt = now;
    acquisition.acquiredAtUnix = UnixMilliseconds::now();
    m_listener.acquired(acquisition);
}

void OwnedGroups::afterRead(TimePoint now)
{
    for (const auto &[group, row] : std::map(m_directory.groups())) {
        const auto held = m_held.find(group);
        const bool isOwn = row.owner == m_self.id;
        if (held == m_held.end()) {
            if (isOwn)
                acquire(row, now);
        } else if (!isOwn && row.revision > held->second.revision) {
            // A release whose response was lost. Any other change of the row is a fault.
            lose(group);
        }
    }
}

void OwnedGroups::releaseAll(TimePoint now)
{
    for (const GroupId &group : heldGroups()) {
        release(group);
        writeRelease(group, now);
    }
    dropExpiredClaims(now);
}

// A read recovers a claim of unknown outcome. If no read shows it, it may be retried: of two claims
// of one row, one fails with a conflict.
void OwnedGroups::dropExpiredClaims(TimePoint now)
{
    std::erase_if(m_pendingClaims, [now](const auto &claim) { return now >= claim.second; });
}

void OwnedGroups::release(const GroupId &group)
{
    const auto held = m_held.find(group);
    if (held == m_held.end() || held->second.stage != Stage::Owned)
        return;
    held->second.stage = Stage::Releasing;
    m_handOverTracker.forget(group);
    log::info("group_hand_over", {{"group", group.value()}});
    const std::weak_ptr<const bool> alive = m_lifetime;
    m_listener.release(group, [this, alive, group, epoch = held->second.epoch] {
        if (!alive.expired())
            released(group, epoch);
    });
}

void OwnedGroups::released(const GroupId &group, Epoch epoch)
{
    const auto held = m_held.find(group);
    if (held == m_held.end() || held->second.epoch != epoch
        || held->second.stage != Stage::Releasing)
        return;
    held->second.stage = Stage::Writing;
    held->second.releaseId = ChangeId(m_io.randomId());
    publish();
    writeRelease(group, m_io.now());
}

void OwnedGroups::writeRelease(const GroupId &group, TimePoint now)
{
    const auto found = m_held.find(group);
    if (found == m_held.end() || found->second.stage != Stage::Writing)
        return;
    HeldGroup &held = found->second;
    if (held.isWriteInFlight || now < held.nextWrite || !consumeWriteBudget(now))
        return;
    held.isWriteInFlight = true;
    held.nextWrite = now + retryInterval;
    platform::Commit commit{held.releaseId};
    commit.conditions.push_back({groupsTable, group.value(), held.revision});
    commit.writes.push_back(
            {groupsTable, group.value(), toJson(GroupEntry{group, MemberId(), held.epoch})});
    m_io.commit(std::move(commit), commitTimeout,
                [this, group](const absl::StatusOr<Revision> &result) {
                    handleReleaseResult(group, result);
                });
}

void OwnedGroups::handleReleaseResult(const GroupId &group, const absl::StatusOr<Revision> &result)
{
    const auto held = m_held.find(group);
    if (held == m_held.end())
        return;
    held->second.isWriteInFlight = false;
    if (result.ok()) {
        m_directory.setGroup(GroupEntry{group, MemberId(), held->second.epoch, *result});
        ++m_handedOver;
    }
    // After a conflict the next read shows the row that replaced this member's.
    if (result.ok())
        m_held.erase(held);
}

void OwnedGroups::lose(const GroupId &group)
{
    const bool wasReleased = m_held[group].stage == Stage::Writing;
    m_held.erase(group);
    m_handOverTracker.forget(group);
    publish();
    if (!wasReleased)
        m_listener.lost(group);
}

std::vector<GroupId> OwnedGroups::heldGroups() const
{
    std::vector<GroupId> groups;
    for (const auto &[group, held] : m_held)
        groups.push_back(group);
    return groups;
}

void OwnedGroups::publish()
{
    std::map<GroupId, Epoch> owned;
    for (const auto &[group, held] : m_held) {
        if (held.stage != Stage::Writing)
            owned.emplace(group, held.epoch);
    }
    m_ownedChanged(owned);
}

Json::Value OwnedGroups::state() const
{
    Json::Value state;
    state["claimed"] = Json::Int64(m_claimed);
    state["handedOver"] = Json::Int64(m_handedOver);
    state["openClaims"] = Json::Int64(static_cast<int64_t>(m_pendingClaims.size()));
    state["held"] = Json::Value(Json::objectValue);
    for (const auto &[group, held] : m_held) {
        Json::Value &entry = state["held"][group.value()];
        entry["epoch"] = Json::Int64(held.epoch.value());
        entry["isReleasing"] = held.stage != Stage::Owned;
    }
    return state;
}

} // namespace cwl::ownership
