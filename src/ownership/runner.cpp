#include "ownership/runner.h"

#include "node/log.h"

#include "base/error.h"
#include "base/json.h"
#include "ownership/constants.h"

#include <absl/strings/str_cat.h>

#include <limits>
#include <utility>

namespace cwl::ownership {

namespace {

constexpr Duration readInterval = seconds(1);
constexpr Duration readTimeout = seconds(1);
constexpr Duration decisionInterval = milliseconds(200); // for takeovers, claims and hand-overs
constexpr Duration ownersRequestTimeout = seconds(1);
constexpr Duration deleteOwnRowTimeout = seconds(3); // after this the others take over
constexpr size_t maxFormerIds = 16;

// Common parameters of member.promise and member.vote.
struct WitnessRequest
{
    MemberId witness;
    MemberId member;
    Revision revision;
};

absl::StatusOr<WitnessRequest> witnessRequest(const Json::Value &parameters)
{
    const absl::StatusOr<std::string> witness = stringMember(parameters, "witness");
    if (!witness.ok())
        return witness.status();
    const absl::StatusOr<std::string> member = stringMember(parameters, "member");
    if (!member.ok())
        return member.status();
    const absl::StatusOr<int64_t> revision =
            intMember(parameters, "revision", 1, std::numeric_limits<int64_t>::max());
    if (!revision.ok())
        return revision.status();
    return WitnessRequest{MemberId(*witness), MemberId(*member), Revision(*revision)};
}

Json::Value grantedResponse(bool granted)
{
    Json::Value response;
    response["granted"] = granted;
    return response;
}

} // namespace

Runner::Incarnation::Incarnation(Runner &runner)
    : io(runner.m_transport, runner.m_storeUsage, [&runner] { runner.checkLease(); })
    , witness(runner.m_self.id)
    , renewer(io, runner.m_directory, runner.m_self, runner.m_peers)
    , takeover(
              io, runner.m_directory,
              [&runner](const MemberId &witnessId, const MemberId &member, Revision revision,
                        TimePoint now) { return runner.voteAs(witnessId, member, revision, now); },
              runner.m_self, runner.m_formerIds)
    , ownedGroups(io, runner.m_directory, runner.m_self, runner.m_listener,
                  [&runner](const std::map<GroupId, Epoch> &owned) { runner.publishOwned(owned); })
{
}

Runner::Runner(Transport transport, const MemberOptions &options, GroupListener listener)
    : m_transport(std::move(transport))
    , m_self(options.info)
    , m_groups(options.groups)
    , m_peers(options.peers)
    , m_listener(std::move(listener))
{
    publishOwned({});
}

void Runner::start()
{
    m_isStarted = true;
    startIncarnation();
}

void Runner::tick()
{
    if (!m_isStarted)
        return;
    checkLease();
    const TimePoint now = m_transport.now();
    readIfDue(now);
    // A process that is shutting down still routes requests, so it continues to read the owners.
    if (m_isStopped)
        return;
    // The first row names witnesses, so the members table is read before the row is written. While
    // the store cannot be read, it cannot be written either.
    if (!m_directory.hasRead())
        return;
    m_incarnation->renewer.tick(now);
    if (m_incarnation->renewer.lease().isValid(now) && now >= m_nextDecision) {
        m_nextDecision = now + decisionInterval;
        m_incarnation->takeover.tick(now);
        if (!m_shutDownDone)
            m_incarnation->ownedGroups.tick(m_groups, now);
    }
    if (m_shutDownDone)
        continueShutDown(now);
}

void Runner::setReady(bool ready)
{
    m_self.ready = ready && !m_shutDownDone;
}

// Section: validity

// Runs before any other work, so that after a pause of the process an expired lease is handled
// first.
void Runner::checkLease()
{
    if (!m_isStarted || m_isStopped)
        return;
    if (m_incarnation->renewer.lease().hasExpired(m_transport.now()))
        handleLeaseExpiry();
    publishValidity();
}

void Runner::handleLeaseExpiry()
{
    m_validUntil = 0;
    ++m_leaseExpiries;
    log::warn("member_lapsed", {{"member", m_self.id.value()}});
    const std::vector<GroupId> groups = m_incarnation->ownedGroups.heldGroups();
    publishOwned({});
    retainWitness();
    m_incarnation.reset();
    for (const GroupId &group : groups)
        m_listener.lost(group);
    m_formerIds.insert(m_self.id);
    m_formerIdOrder.push_back(m_self.id);
    if (m_formerIdOrder.size() > maxFormerIds) {
        m_formerIds.erase(m_formerIdOrder.front());
        m_formerIdOrder.pop_front();
    }
    startIncarnation();
    if (m_shutDownDone)
        finishShutDown();
}

// The process continues to vote under its former ids: unlike a restarted process, it still has the
// promises that it made. It makes no new promises under them.
void Runner::retainWitness()
{
    m_formerWitnesses.push_back(std::move(m_incarnation->witness));
    if (m_formerWitnesses.size() > maxFormerIds)
        m_formerWitnesses.pop_front();
}

bool Runner::voteAs(const MemberId &witnessId, const MemberId &member, Revision revision,
                    TimePoint now)
{
    if (m_incarnation->witness.vote(witnessId, member, revision, now))
        return true;
    for (Witness &witness : m_formerWitnesses) {
        if (witness.vote(witnessId, member, revision, now))
            return true;
    }
    return false;
}

void Runner::startIncarnation()
{
    m_self.id = MemberId(m_transport.randomId());
    m_isReadInFlight = false;
    m_incarnation = std::make_unique<Incarnation>(*this);
}

void Runner::publishValidity()
{
    const MemberLease &lease = m_incarnation->renewer.lease();
    const bool isValid = lease.isValid(m_transport.now());
    m_validUntil = isValid ? lease.validUntil().time_since_epoch().count() : 0;
}

void Runner::publishOwned(const std::map<GroupId, Epoch> &owned)
{
    m_owned = std::make_shared<const std::map<GroupId, Epoch>>(owned);
}

TimePoint Runner::validUntil() const
{
    return TimePoint(Duration(m_validUntil.load()));
}

std::optional<Epoch> Runner::owns(const GroupId &group) const
{
    const std::shared_ptr<const std::map<GroupId, Epoch>> owned = m_owned.load();
    const auto found = owned->find(group);
    if (found == owned->end() || m_transport.now() >= validUntil())
        return std::nullopt;
    return found->second;
}

// Section: reading the tables

void Runner::readIfDue(TimePoint now)
{
    if (m_isReadInFlight || now < m_nextRead)
        return;
    m_isReadInFlight = true;
    m_nextRead = now + readInterval;
    platform::Read members{membersTable};
    members.prefix = "";
    platform::Read groups{groupsTable};
    groups.prefix = "";
    m_incarnation->io.read({members, groups}, readTimeout,
                           [this](const auto &result) { handleReadResult(result); });
}

void Runner::handleReadResult(const absl::StatusOr<std::vector<std::vector<platform::Row>>> &result)
{
    m_isReadInFlight = false;
    if (!result.ok() || result->size() != 2) {
        requestOwnersFromPeer();
        return;
    }
    const TimePoint now = m_transport.now();
    m_directory.update(result->at(0), result->at(1), now);
    m_incarnation->witness.prune(m_directory.observation().revisions(), now);
    if (!m_isStopped && m_incarnation->renewer.lease().isValid(now))
        m_incarnation->ownedGroups.afterRead(now);
}

// Allows a process that starts during an outage of the store to route to the owners.
void Runner::requestOwnersFromPeer()
{
    const TimePoint now = m_transport.now();
    if (m_directory.hasRead() || m_peers.empty() || now < m_nextOwnersRequest)
        return;
    m_nextOwnersRequest = now + readInterval;
    const std::string peer = m_peers[m_peerIndex++ % m_peers.size()];
    m_incarnation->io.call(peer, "group.owners", Json::Value(Json::objectValue),
                           ownersRequestTimeout,
                           [this](const absl::StatusOr<Json::Value> &response) {
                               if (response.ok() && response->isObject())
                                   m_directory.updateFromPeer(*response);
                           });
}

std::optional<MemberInfo> Runner::ownerOf(const GroupId &group) const
{
    const auto row = m_directory.groups().find(group);
    if (row == m_directory.groups().end() || row->second.owner.isEmpty())
        return std::nullopt;
    if (row->second.owner == m_self.id)
        return m_self;
    return m_directory.find(row->second.owner);
}

std::vector<MemberInfo> Runner::liveMembers(Role role) const
{
    std::vector<MemberInfo> members = m_directory.live(role);
    std::erase_if(members, [this](const MemberInfo &member) { return member.id == m_self.id; });
    if (role == m_self.role && m_transport.now() < validUntil())
        members.push_back(m_self);
    return members;
}

// Section: shutting down

void Runner::shutDown(std::function<void()> done)
{
    if (!m_isStarted || m_isStopped) {
        done();
        return;
    }
    m_self.ready = false;
    m_shutDownDone = std::move(done);
}

void Runner::continueShutDown(TimePoint now)
{
    Incarnation &incarnation = *m_incarnation;
    if (!incarnation.renewer.lease().isValid(now)) {
        finishShutDown();
        return;
    }
    incarnation.ownedGroups.releaseAll(now);
    if (!incarnation.ownedGroups.isIdle())
        return;
    incarnation.renewer.stop();
    const bool isFirst = m_deleteDeadline == TimePoint();
    if (isFirst)
        m_deleteDeadline = now + deleteOwnRowTimeout;
    if (now >= m_deleteDeadline) {
        finishShutDown();
        return;
    }
    // The row's revision is known only while no renewal is pending.
    if (incarnation.renewer.lease().pending() || m_isDeleteInFlight)
        return;
    m_isDeleteInFlight = true;
    platform::Commit commit{ChangeId(m_transport.randomId())};
    commit.conditions.push_back(
            {membersTable, m_self.id.value(), incarnation.renewer.lease().revision()});
    commit.writes.push_back({membersTable, m_self.id.value(), Json::Value()});
    incarnation.io.commit(std::move(commit), seconds(1),
                          [this](const absl::StatusOr<Revision> &result) {
                              m_isDeleteInFlight = false;
                              if (result.ok() || failureOf(result.status()) == Failure::Conflict)
                                  finishShutDown();
                          });
}

void Runner::finishShutDown()
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    m_validUntil = 0;
    publishOwned({});
    const std::function<void()> done = std::exchange(m_shutDownDone, nullptr);
    done();
}

// Section: RPC methods

absl::StatusOr<Json::Value> Runner::promise(const Json::Value &parameters)
{
    checkLease();
    const absl::StatusOr<WitnessRequest> request = witnessRequest(parameters);
    if (!request.ok())
        return request.status();
    if (!m_isStarted)
        return makeError(Failure::NotReady, "the member is not started");
    return grantedResponse(m_incarnation->witness.promise(request->witness, request->member,
                                                          request->revision, m_transport.now()));
}

absl::StatusOr<Json::Value> Runner::vote(const Json::Value &parameters)
{
    checkLease();
    const absl::StatusOr<WitnessRequest> request = witnessRequest(parameters);
    if (!request.ok())
        return request.status();
    if (!m_isStarted)
        return makeError(Failure::NotReady, "the member is not started");
    return grantedResponse(
            voteAs(request->witness, request->member, request->revision, m_transport.now()));
}

absl::StatusOr<Json::Value> Runner::owners()
{
    return m_directory.ownersResponse();
}

void Runner::relayRenewal(const Json::Value &parameters, CallCallback reply)
{
    const absl::StatusOr<std::string> changeId = stringMember(parameters, "changeId");
    const absl::StatusOr<std::string> member = stringMember(parameters, "member");
    const absl::StatusOr<int64_t> revision =
            intMember(parameters, "revision", 0, std::numeric_limits<int64_t>::max());
    const Json::Value row = parameters.isObject() ? parameters["row"] : Json::Value();
    if (!changeId.ok() || !member.ok() || !revision.ok() || !row.isObject()) {
        reply(makeError(Failure::InvalidValue,
                        "member.relayRenewal needs changeId, member, revision and row"));
        return;
    }
    platform::Commit commit{ChangeId(*changeId)};
    commit.conditions.push_back({membersTable, *member, Revision(*revision)});
    commit.writes.push_back({membersTable, *member, row});
    m_storeUsage.addWrites(1, m_transport.now());
    // Not bound to an incarnation: the caller needs the response even if this member's lease
    // expires meanwhile.
    m_transport.commit(std::move(commit), m_transport.now() + seconds(1),
                       [reply = std::move(reply)](const absl::StatusOr<Revision> &result) {
                           if (!result.ok()) {
                               reply(result.status());
                               return;
                           }
                           Json::Value content;
                           content["revision"] = Json::Int64(result->value());
                           reply(content);
                       });
}

Json::Value Runner::state() const
{
    const TimePoint now = m_transport.now();
    Json::Value state;
    state["member"] = m_self.id.value();
    state["isReady"] = m_self.ready;
    state["lapses"] = Json::Int64(m_leaseExpiries);
    state["storeUse"] = m_storeUsage.state();
    state["malformedRows"] = Json::Int64(m_directory.malformedRows());
    state["members"] = Json::Int64(static_cast<int64_t>(m_directory.members().size()));
    if (m_incarnation) {
        state["lease"] = m_incarnation->renewer.state(now);
        state["takeover"] = m_incarnation->takeover.state();
        state["groups"] = m_incarnation->ownedGroups.state();
        state["promisesGiven"] =
                Json::Int64(static_cast<int64_t>(m_incarnation->witness.promiseCount()));
        state["votesGiven"] = Json::Int64(static_cast<int64_t>(m_incarnation->witness.voteCount()));
    }
    return state;
}

} // namespace cwl::ownership
