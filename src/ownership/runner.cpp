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
constexpr Duration decisionInterval = milliseconds(200); // of takeovers, claims and hand-overs
constexpr Duration ownersTimeout = seconds(1);
constexpr Duration deleteOwnRowFor = seconds(3); // then the others take over by themselves
constexpr size_t maxFormerIds = 16;

// Parameters that member.promise and member.vote have in common.
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

Json::Value grantedAnswer(bool granted)
{
    Json::Value answer;
    answer["granted"] = granted;
    return answer;
}

} // namespace

Runner::Incarnation::Incarnation(Runner &runner)
    : io(runner.m_transport, runner.m_use, [&runner] { runner.check(); })
    , witness(runner.m_self.id)
    , renewer(io, runner.m_directory, runner.m_self, runner.m_peers)
    , takeover(
              io, runner.m_directory,
              [&runner](const MemberId &asked, const MemberId &member, Revision revision,
                        TimePoint now) { return runner.voteAs(asked, member, revision, now); },
              runner.m_self, runner.m_former)
    , keeper(io, runner.m_directory, runner.m_self, runner.m_listener,
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
    enter();
}

void Runner::tick()
{
    if (!m_isStarted)
        return;
    check();
    const TimePoint now = m_transport.now();
    readIfDue(now);
    // A process that is shutting down still routes what arrives, so it goes on following the
    // owners.
    if (m_isStopped)
        return;
    // The first row names witnesses, so the members are read before it is written. When they
    // cannot be read, nothing can be written either.
    if (!m_directory.hasRead())
        return;
    m_incarnation->renewer.tick(now);
    if (m_incarnation->renewer.lease().isValid(now) && now >= m_nextDecision) {
        m_nextDecision = now + decisionInterval;
        m_incarnation->takeover.tick(now);
        if (!m_shutDownDone)
            m_incarnation->keeper.tick(m_groups, now);
    }
    if (m_shutDownDone)
        shutDownStep(now);
}

void Runner::setReady(bool ready)
{
    m_self.ready = ready && !m_shutDownDone;
}

// Section: validity

// Runs before any other work, so that work after a pause starts from the lapse.
void Runner::check()
{
    if (!m_isStarted || m_isStopped)
        return;
    if (m_incarnation->renewer.lease().hasLapsed(m_transport.now()))
        lapse();
    publishValidity();
}

void Runner::lapse()
{
    m_validUntil = 0;
    ++m_lapses;
    log::warn("member_lapsed", {{"member", m_self.id.value()}});
    const std::vector<GroupId> groups = m_incarnation->keeper.heldGroups();
    publishOwned({});
    retireWitness();
    m_incarnation.reset();
    for (const GroupId &group : groups)
        m_listener.lost(group);
    m_former.insert(m_self.id);
    m_formerOrder.push_back(m_self.id);
    if (m_formerOrder.size() > maxFormerIds) {
        m_former.erase(m_formerOrder.front());
        m_formerOrder.pop_front();
    }
    enter();
    if (m_shutDownDone)
        finishShutDown();
}

// The process goes on voting as its former ids: unlike a restarted one, it knows what it promised.
// It promises nothing more under them.
void Runner::retireWitness()
{
    m_retired.push_back(std::move(m_incarnation->witness));
    if (m_retired.size() > maxFormerIds)
        m_retired.pop_front();
}

bool Runner::voteAs(const MemberId &asked, const MemberId &member, Revision revision, TimePoint now)
{
    if (m_incarnation->witness.vote(asked, member, revision, now))
        return true;
    for (Witness &witness : m_retired) {
        if (witness.vote(asked, member, revision, now))
            return true;
    }
    return false;
}

void Runner::enter()
{
    m_self.id = MemberId(m_transport.randomId());
    m_isReadOpen = false;
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
    if (m_isReadOpen || now < m_nextRead)
        return;
    m_isReadOpen = true;
    m_nextRead = now + readInterval;
    platform::Read members{membersTable};
    members.prefix = "";
    platform::Read groups{groupsTable};
    groups.prefix = "";
    m_incarnation->io.read({members, groups}, readTimeout,
                           [this](const auto &answer) { readAnswer(answer); });
}

void Runner::readAnswer(const absl::StatusOr<std::vector<std::vector<platform::Row>>> &answer)
{
    m_isReadOpen = false;
    if (!answer.ok() || answer->size() != 2) {
        askPeerForOwners();
        return;
    }
    const TimePoint now = m_transport.now();
    m_directory.update(answer->at(0), answer->at(1), now);
    m_incarnation->witness.forget(m_directory.observation().revisions(), now);
    if (!m_isStopped && m_incarnation->renewer.lease().isValid(now))
        m_incarnation->keeper.afterRead(now);
}

// Lets a process that starts during an outage route to the owners.
void Runner::askPeerForOwners()
{
    const TimePoint now = m_transport.now();
    if (m_directory.hasRead() || m_peers.empty() || now < m_nextOwners)
        return;
    m_nextOwners = now + readInterval;
    const std::string peer = m_peers[m_peerIndex++ % m_peers.size()];
    m_incarnation->io.call(peer, "group.owners", Json::Value(Json::objectValue), ownersTimeout,
                           [this](const absl::StatusOr<Json::Value> &answer) {
                               if (answer.ok() && answer->isObject())
                                   m_directory.updateFromPeer(*answer);
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

void Runner::shutDownStep(TimePoint now)
{
    Incarnation &incarnation = *m_incarnation;
    if (!incarnation.renewer.lease().isValid(now)) {
        finishShutDown();
        return;
    }
    incarnation.keeper.releaseAll(now);
    if (!incarnation.keeper.isIdle())
        return;
    incarnation.renewer.stop();
    const bool isFirst = m_deleteDeadline == TimePoint();
    if (isFirst)
        m_deleteDeadline = now + deleteOwnRowFor;
    if (now >= m_deleteDeadline) {
        finishShutDown();
        return;
    }
    // The row's revision is certain once no renewal is pending.
    if (incarnation.renewer.lease().pending() || m_isDeleteOpen)
        return;
    m_isDeleteOpen = true;
    platform::Commit commit{ChangeId(m_transport.randomId())};
    commit.conditions.push_back(
            {membersTable, m_self.id.value(), incarnation.renewer.lease().revision()});
    commit.writes.push_back({membersTable, m_self.id.value(), Json::Value()});
    incarnation.io.commit(std::move(commit), seconds(1),
                          [this](const absl::StatusOr<Revision> &answer) {
                              m_isDeleteOpen = false;
                              if (answer.ok() || failureOf(answer.status()) == Failure::Conflict)
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
    check();
    const absl::StatusOr<WitnessRequest> request = witnessRequest(parameters);
    if (!request.ok())
        return request.status();
    if (!m_isStarted)
        return makeError(Failure::NotReady, "the member is not started");
    return grantedAnswer(m_incarnation->witness.promise(request->witness, request->member,
                                                        request->revision, m_transport.now()));
}

absl::StatusOr<Json::Value> Runner::vote(const Json::Value &parameters)
{
    check();
    const absl::StatusOr<WitnessRequest> request = witnessRequest(parameters);
    if (!request.ok())
        return request.status();
    if (!m_isStarted)
        return makeError(Failure::NotReady, "the member is not started");
    return grantedAnswer(
            voteAs(request->witness, request->member, request->revision, m_transport.now()));
}

absl::StatusOr<Json::Value> Runner::owners()
{
    return m_directory.answerForPeer();
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
    m_use.addWrites(1, m_transport.now());
    // Not tied to an incarnation: the answer is of use to the caller in any case.
    m_transport.commit(std::move(commit), m_transport.now() + seconds(1),
                       [reply = std::move(reply)](const absl::StatusOr<Revision> &answer) {
                           if (!answer.ok()) {
                               reply(answer.status());
                               return;
                           }
                           Json::Value result;
                           result["revision"] = Json::Int64(answer->value());
                           reply(result);
                       });
}

Json::Value Runner::state() const
{
    const TimePoint now = m_transport.now();
    Json::Value state;
    state["member"] = m_self.id.value();
    state["isReady"] = m_self.ready;
    state["lapses"] = Json::Int64(m_lapses);
    state["storeUse"] = m_use.state();
    state["malformedRows"] = Json::Int64(m_directory.malformedRows());
    state["members"] = Json::Int64(static_cast<int64_t>(m_directory.members().size()));
    if (m_incarnation) {
        state["lease"] = m_incarnation->renewer.state(now);
        state["takeover"] = m_incarnation->takeover.state();
        state["groups"] = m_incarnation->keeper.state();
        state["promisesGiven"] =
                Json::Int64(static_cast<int64_t>(m_incarnation->witness.promiseCount()));
        state["votesGiven"] = Json::Int64(static_cast<int64_t>(m_incarnation->witness.voteCount()));
    }
    return state;
}

} // namespace cwl::ownership
