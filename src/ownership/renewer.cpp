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
constexpr Duration relayDelay =
        milliseconds(500); // relay if a direct attempt has no result by then
constexpr Duration relayTimeout = milliseconds(1500);
constexpr Duration promiseRequestMargin =
        milliseconds(1500); // remaining validity that triggers requests
constexpr Duration promiseRequestInterval = milliseconds(500);
constexpr Duration promiseTimeout = seconds(1);

// True if a failed call definitely had no effect on the store.
bool hadNoEffect(const absl::Status &status)
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
    // A member whose row does not name its witnesses cannot stay valid during an outage of the
    // store, so a new witness triggers a renewal at once. The members change only with a read, so
    // this adds at most one renewal per second.
    const bool isDue = now >= m_nextAttempt || (!m_lease.pending() && isWitnessMissing());
    if (!m_isDirectInFlight && isDue)
        attemptDirectly(now);
    else if (m_isDirectInFlight && now - m_attemptedAt >= relayDelay)
        attemptThroughPeer(now);
    if (m_lease.isValid(now) && m_lease.validUntil() - now < promiseRequestMargin)
        requestPromises(now);
}

void Renewer::startRenewal(TimePoint now)
{
    MemberEntry entry;
    entry.info = m_self;
    entry.witnesses = otherLiveMembers();
    entry.renewals = ++m_renewals;
    m_row = toJson(entry);
    m_lease.beginRenewal(ChangeId(m_io.randomId()), entry.witnesses, now);
}

MemberSet Renewer::otherLiveMembers() const
{
    MemberSet others;
    for (const MemberInfo &member : m_directory.live(m_self.role)) {
        // A different member at the same address is an earlier run of this process.
        if (member.id != m_self.id && member.rpcAddress != m_self.rpcAddress)
            others.insert(member.id);
    }
    return others;
}

bool Renewer::isWitnessMissing() const
{
    const MemberSet others = otherLiveMembers();
    const MemberSet named = m_lease.promiseCandidates();
    return !std::includes(named.begin(), named.end(), others.begin(), others.end());
}

void Renewer::attemptDirectly(TimePoint now)
{
    if (m_lease.pending())
        m_lease.addAttempt();
    else
        startRenewal(now);
    m_isDirectInFlight = true;
    m_attemptedAt = now;
    m_nextAttempt = now + renewalInterval;
    const Renewal &renewal = *m_lease.pending();
    platform::Commit commit{renewal.changeId};
    commit.conditions.push_back({membersTable, m_self.id.value(), renewal.condition});
    commit.writes.push_back({membersTable, m_self.id.value(), m_row});
    m_io.commit(std::move(commit), attemptTimeout,
                [this, changeId = renewal.changeId](const absl::StatusOr<Revision> &result) {
                    handleDirectResult(changeId, result);
                });
}

void Renewer::handleDirectResult(const ChangeId &changeId, const absl::StatusOr<Revision> &result)
{
    m_isDirectInFlight = false;
    const bool isDefinite = result.ok() || failureOf(result.status()) == Failure::Conflict;
    // The relay starts before this attempt ends, because a renewal without attempts in flight is
    // dropped.
    if (!isDefinite && isPending(changeId))
        attemptThroughPeer(m_io.now());
    completeAttempt(changeId, result);
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
              [this, changeId = renewal.changeId](const absl::StatusOr<Json::Value> &response) {
                  handleRelayResponse(changeId, response);
              });
}

void Renewer::handleRelayResponse(const ChangeId &changeId,
                                  const absl::StatusOr<Json::Value> &response)
{
    if (!response.ok()) {
        completeAttempt(changeId, response.status());
        return;
    }
    const absl::StatusOr<int64_t> revision =
            intMember(*response, "revision", 1, std::numeric_limits<int64_t>::max());
    if (revision.ok())
        completeAttempt(changeId, Revision(*revision));
    else
        completeAttempt(changeId, revision.status());
}

void Renewer::completeAttempt(const ChangeId &changeId, const absl::StatusOr<Revision> &result)
{
    if (!isPending(changeId))
        return;
    const TimePoint sentAt = m_lease.pending()->sentAt;
    if (result.ok()) {
        m_lease.committed(*result, m_io.now());
        m_nextAttempt = sentAt + renewalInterval;
    } else if (failureOf(result.status()) == Failure::Conflict) {
        m_lease.rejected();
    } else {
        m_lease.attemptEnded(hadNoEffect(result.status()) ? AttemptOutcome::NotWritten
                                                          : AttemptOutcome::Unknown);
    }
}

void Renewer::requestPromises(TimePoint now)
{
    if (now < m_nextPromiseRequests)
        return;
    m_nextPromiseRequests = now + promiseRequestInterval;
    const Revision revision = m_lease.revision();
    for (const MemberId &witness : m_lease.promiseCandidates()) {
        const std::string address = m_directory.rpcAddress(witness);
        if (address.empty())
            continue;
        ++m_promiseRequests;
        Json::Value parameters;
        parameters["witness"] = witness.value();
        parameters["member"] = m_self.id.value();
        parameters["revision"] = Json::Int64(revision.value());
        m_io.call(address, "member.promise", parameters, promiseTimeout,
                  [this, witness, revision, now](const absl::StatusOr<Json::Value> &response) {
                      if (response.ok() && boolMember(*response, "granted").value_or(false))
                          m_lease.promiseGranted(witness, revision, now, m_io.now());
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
    state["promisesAsked"] = Json::Int64(m_promiseRequests);
    return state;
}

} // namespace cwl::ownership
