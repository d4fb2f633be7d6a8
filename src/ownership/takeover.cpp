#include "ownership/takeover.h"

#include "node/log.h"

#include "base/error.h"
#include "base/json.h"
#include "ownership/assignment.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cwl::ownership {

namespace {

constexpr Duration turnInterval = milliseconds(500); // between two members that could take over
constexpr Duration voteRequestInterval = seconds(1);
constexpr Duration voteTimeout = seconds(1);
constexpr Duration deleteInterval = seconds(1);
constexpr Duration deleteTimeout = seconds(1);

const char *fenceName(Fence fence)
{
    switch (fence) {
    case Fence::Votes:
        return "votes";
    case Fence::Time:
        return "time";
    case Fence::NoWitnesses:
        return "no witnesses";
    }
    return "unknown";
}

} // namespace

Takeover::Takeover(Io &io, Directory &directory, LocalVote vote, const MemberInfo &self,
                   const std::set<MemberId> &formerIds)
    : m_io(io)
    , m_directory(directory)
    , m_localVote(std::move(vote))
    , m_self(self)
    , m_formerIds(formerIds)
{
}

void Takeover::tick(TimePoint now)
{
    std::vector<MemberId> candidates;
    for (const auto &[id, entry] : m_directory.members()) {
        if (entry.info.role == m_self.role && id != m_self.id)
            candidates.push_back(id);
    }
    std::erase_if(m_attempts, [this](const auto &attempt) {
        return !m_directory.members().contains(attempt.first);
    });
    for (const MemberId &member : candidates)
        evaluate(member, now);
}

// Members wait for their turn in rank order, so that usually only one of them takes over.
Duration Takeover::turnDelay(const MemberId &member) const
{
    const GroupId subject(member.value());
    const uint64_t own = rendezvousWeight(m_self.id, subject);
    int64_t before = 0;
    for (const MemberInfo &other : m_directory.live(m_self.role)) {
        if (other.id != m_self.id && rendezvousWeight(other.id, subject) > own)
            ++before;
    }
    return before * turnInterval;
}

void Takeover::evaluate(const MemberId &member, TimePoint now)
{
    if (m_formerIds.contains(member)) {
        deleteRow(member, "earlier incarnation", now);
        return;
    }
    const Observation &observation = m_directory.observation();
    if (!observation.mayBeginTakeover(member)) {
        m_attempts.erase(member);
        return;
    }
    const Attempt &attempt = m_attempts.try_emplace(member, Attempt{now}).first->second;
    if (now - attempt.since < turnDelay(member))
        return;
    if (!observation.fence(member, now))
        requestVotes(member, now);
    if (const std::optional<Fence> fence = observation.fence(member, now))
        deleteRow(member, fenceName(*fence), now);
}

void Takeover::requestVotes(const MemberId &member, TimePoint now)
{
    Attempt &attempt = m_attempts[member];
    if (now < attempt.nextVoteRequest)
        return;
    attempt.nextVoteRequest = now + voteRequestInterval;
    Observation &observation = m_directory.observation();
    const Revision revision = observation.revision(member);
    for (const MemberId &witness : observation.witnesses(member)) {
        if (m_localVote(witness, member, revision, now))
            observation.voteGranted(witness, member, revision);
        else if (witness != m_self.id)
            requestVoteFrom(witness, member, revision);
    }
}

// The lease of a witness without a row may have expired, and its process may have registered under
// a new id. That process still has its promises, so the request goes to every live member.
void Takeover::requestVoteFrom(const MemberId &witness, const MemberId &member, Revision revision)
{
    const std::string address = m_directory.rpcAddress(witness);
    if (!address.empty()) {
        sendVoteRequest(address, witness, member, revision);
        return;
    }
    for (const MemberInfo &other : m_directory.live(m_self.role)) {
        if (other.id != m_self.id && !other.rpcAddress.empty())
            sendVoteRequest(other.rpcAddress, witness, member, revision);
    }
}

void Takeover::sendVoteRequest(const std::string &address, const MemberId &witness,
                               const MemberId &member, Revision revision)
{
    ++m_voteRequests;
    Json::Value parameters;
    parameters["witness"] = witness.value();
    parameters["member"] = member.value();
    parameters["revision"] = Json::Int64(revision.value());
    m_io.call(address, "member.vote", parameters, voteTimeout,
              [this, witness, member, revision](const absl::StatusOr<Json::Value> &response) {
                  if (!response.ok() || !boolMember(*response, "granted").value_or(false))
                      return;
                  m_directory.observation().voteGranted(witness, member, revision);
                  evaluate(member, m_io.now());
              });
}

void Takeover::deleteRow(const MemberId &member, const char *reason, TimePoint now)
{
    Attempt &attempt = m_attempts[member];
    if (now < attempt.nextDelete)
        return;
    attempt.nextDelete = now + deleteInterval;
    const Revision revision = m_directory.observation().revision(member);
    platform::Commit commit{ChangeId(m_io.randomId())};
    commit.conditions.push_back({membersTable, member.value(), revision});
    commit.writes.push_back({membersTable, member.value(), Json::Value()});
    m_io.commit(std::move(commit), deleteTimeout,
                [this, member, reason](const absl::StatusOr<Revision> &result) {
                    // After a failure the next read shows whether the row is gone.
                    if (!result.ok())
                        return;
                    ++m_deletes;
                    log::info("member_deleted", {{"member", member.value()}, {"fence", reason}});
                    m_directory.removeMember(member);
                });
}

Json::Value Takeover::state() const
{
    Json::Value state;
    state["votesAsked"] = Json::Int64(m_voteRequests);
    state["deletes"] = Json::Int64(m_deletes);
    state["lapsedMembers"] = Json::Int64(static_cast<int64_t>(m_attempts.size()));
    return state;
}

} // namespace cwl::ownership
