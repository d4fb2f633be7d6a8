#include "ownership/renewer.h"

#include "base/error.h"
#include "base/json.h"
#include "ownership/constants.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cwl::ownership {

namespace {

constexpr Duration attemptTimeout = seconds(1);
constexpr Duration relayAfter = milliseconds(500); // a direct attempt is this slow
constexpr Duration relayTimeout = milliseconds(1500);
constexpr Duration promiseMargin = milliseconds(1500); // validity left when promises are asked for
constexpr Duration promiseInterval = milliseconds(500);
constexpr Duration promiseTimeout = seconds(1);

// True if a failed call certainly had no effect at the store.
bool isUnwritten(const absl::Status &status)
{
    switch (failureOf(status)) {
    case Failure::StoreUnavailable:
    case Failure::ConnectionRefused:
    case Failure::RateLimited:
        return true;
    default:
        return false;
    }
}

} // namespace

Renewer::Renewer(Io &io, const Directory &directory, const MemberInfo &self,
                 std::vector<std::string> peers)
    : m_io(io)
    , m_directory(directory)
    , m_self(self)
    , m_peers(std::move(peers))
{
}

void Renewer::tick(TimePoint now)
{
    if (m_isStopped && !m_lease.pending())
        return;
    // Without its witnesses in the row a member cannot outlast an outage of the store, so a new
    // one is named at once. Members change only with a read: this adds one renewal a second at
    // most.
    const bool isDue = now >= m_nextAttempt || (!m_lease.pending() && isWitnessMissing());
    if (!m_isDirectOpen && isDue)
        attemptDirectly(now);
    else if (m_isDirectOpen && now - m_attemptedAt >= relayAfter)
        attemptThroughPeer(now);
    if (m_lease.isValid(now) && m_lease.validUntil() - now < promiseMargin)
        askPromises(now);
}

void Renewer::begin(TimePoint now)
{
    MemberEntry entry;
    entry.info = m_self;
    entry.witnesses = liveOthers();
    entry.renewals = ++m_renewals;
    m_row = toJson(entry);
    m_lease.beginRenewal(ChangeId(m_io.randomId()), entry.witnesses, now);
}

MemberSet Renewer::liveOthers() const
{
    MemberSet others;
    for (const MemberInfo &member : m_directory.live(m_self.role)) {
        // Another member at the same address is an earlier run of this process.
        if (member.id != m_self.id && member.rpcAddress != m_self.rpcAddress)
            others.insert(member.id);
    }
    return others;
}

bool Renewer::isWitnessMissing() const
{
    const MemberSet others = liveOthers();
    const MemberSet named = m_lease.promiseCandidates();
    return !std::includes(named.begin(), named.end(), others.begin(), others.end());
}

void Renewer::attemptDirectly(TimePoint now)
{
    if (m_lease.pending())
        m_lease.addAttempt();
    else
        begin(now);
    m_isDirectOpen = true;
    m_attemptedAt = now;
    m_nextAttempt = now + renewalInterval;
    const Renewal &renewal = *m_lease.pending();
    platform::Commit commit{renewal.changeId};
    commit.conditions.push_back({membersTable, m_self.id.value(), renewal.condition});
    commit.writes.push_back({membersTable, m_self.id.value(), m_row});
    m_io.commit(std::move(commit), attemptTimeout,
                [this, changeId = renewal.changeId](const absl::StatusOr<Revision> &answer) {
                    directAnswer(changeId, answer);
                });
}

void Renewer::directAnswer(const ChangeId &changeId, const absl::StatusOr<Revision> &answer)
{
    m_isDirectOpen = false;
    const bool isDefinite = answer.ok() || failureOf(answer.status()) == Failure::Conflict;
    // The relay starts before this attempt ends: a renewal without open attempts is dropped.
    if (!isDefinite && isPending(changeId))
        attemptThroughPeer(m_io.now());
    finish(changeId, answer);
}

void Renewer::attemptThroughPeer(TimePoint now)
{
    const std::string peer = now >= m_nextRelay ? nextPeer() : std::string();
    if (peer.empty() || !m_lease.pending())
        return;
    m_nextRelay = now + renewalInterval;
    ++m_relayed;
    m_lease.addAttempt();
    const Renewal &renewal = *m_lease.pending();
    Json::Value parameters;
    parameters["changeId"] = renewal.changeId.value();
    parameters["member"] = m_self.id.value();
    parameters["revision"] = Json::Int64(renewal.condition.value());
    parameters["row"] = m_row;
    m_io.call(peer, "member.relayRenewal", parameters, relayTimeout,
              [this, changeId = renewal.changeId](const absl::StatusOr<Json::Value> &answer) {
                  relayAnswer(changeId, answer);
              });
}

void Renewer::relayAnswer(const ChangeId &changeId, const absl::StatusOr<Json::Value> &answer)
{
    if (!answer.ok()) {
        finish(changeId, answer.status());
        return;
    }
    const absl::StatusOr<int64_t> revision =
            intMember(*answer, "revision", 1, std::numeric_limits<int64_t>::max());
    if (revision.ok())
        finish(changeId, Revision(*revision));
    else
        finish(changeId, revision.status());
}

void Renewer::finish(const ChangeId &changeId, const absl::StatusOr<Revision> &answer)
{
    if (!isPending(changeId))
        return;
    const TimePoint sentAt = m_lease.pending()->sentAt;
    if (answer.ok()) {
        m_lease.committed(*answer, m_io.now());
        m_nextAttempt = sentAt + renewalInterval;
    } else if (failureOf(answer.status()) == Failure::Conflict) {
        m_lease.refused();
    } else {
        m_lease.attemptEnded(isUnwritten(answer.status()) ? AttemptOutcome::NotWritten
                                                          : AttemptOutcome::Unknown);
    }
}

void Renewer::askPromises(TimePoint now)
{
    if (now < m_nextPromises)
        return;
    m_nextPromises = now + promiseInterval;
    const Revision revision = m_lease.revision();
    for (const MemberId &witness : m_lease.promiseCandidates()) {
        const std::string address = m_directory.rpcAddress(witness);
        if (address.empty())
            continue;
        ++m_promisesAsked;
        Json::Value parameters;
        parameters["witness"] = witness.value();
        parameters["member"] = m_self.id.value();
        parameters["revision"] = Json::Int64(revision.value());
        m_io.call(address, "member.promise", parameters, promiseTimeout,
                  [this, witness, revision, now](const absl::StatusOr<Json::Value> &answer) {
                      if (answer.ok() && boolMember(*answer, "granted").value_or(false))
                          m_lease.promised(witness, revision, now, m_io.now());
                  });
    }
}

bool Renewer::isPending(const ChangeId &changeId) const
{
    return m_lease.pending() && m_lease.pending()->changeId == changeId;
}

std::string Renewer::nextPeer()
{
    std::vector<std::string> addresses;
    for (const MemberInfo &member : m_directory.live(m_self.role)) {
        if (member.id != m_self.id)
            addresses.push_back(member.rpcAddress);
    }
    if (addresses.empty())
        addresses = m_peers;
    if (addresses.empty())
        return {};
    return addresses[m_peerIndex++ % addresses.size()];
}

Json::Value Renewer::state(TimePoint now) const
{
    Json::Value state;
    state["isValid"] = m_lease.isValid(now);
    state["validForMs"] = Json::Int64(
            std::chrono::duration_cast<milliseconds>(m_lease.validUntil() - now).count());
    state["revision"] = Json::Int64(m_lease.revision().value());
    state["witnesses"] = Json::Int64(static_cast<int64_t>(m_lease.promiseCandidates().size()));
    state["isRenewalPending"] = m_lease.pending().has_value();
    state["renewals"] = Json::Int64(m_renewals);
    state["relayed"] = Json::Int64(m_relayed);
    state["promisesAsked"] = Json::Int64(m_promisesAsked);
    return state;
}

} // namespace cwl::ownership
