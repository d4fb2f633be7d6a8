#include "entry/ownedgroup.h"

#include "base/error.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cwl::entry {

namespace {

namespace asio = boost::asio;

constexpr Duration statusInterval = milliseconds(500);
constexpr Duration suspectStatusInterval = milliseconds(100); // slots wait for the answer

} // namespace

OwnedGroup::OwnedGroup(asio::io_context &context, Strand strand, Tenure tenure,
                       const settings::ServiceSettings &service, const requests::GroupStart &start)
    : m_context(context)
    , m_strand(std::move(strand))
    , m_tenure(std::move(tenure))
    , m_group(service, start)
{
}

void OwnedGroup::setService(const settings::ServiceSettings &service)
{
    m_group.setService(service);
}

void OwnedGroup::setEndpoints(const std::vector<requests::ListedEndpoint> &endpoints)
{
    m_group.setEndpoints(endpoints, BootClock::now());
    updateLinks();
    tick();
}

// Section: requests

void OwnedGroup::execute(ExecuteRequest request, ExecuteCallback callback)
{
    const TimePoint now = BootClock::now();
    if (m_isLost || !m_tenure.isValid()) {
        callback(notRun(
                makeError(Failure::NotOwner, "this entry does not own " + m_tenure.group.value())));
        return;
    }
    requests::Submission submission;
    submission.id = request.id;
    submission.method = request.method;
    submission.isIdempotent = request.isIdempotent;
    submission.urgency = request.urgency;
    submission.deadline = request.deadline;
    const requests::Admission admission = m_group.submit(submission, now, UnixMilliseconds::now());
    if (admission.kind == requests::Admission::Kind::Settled) {
        callback({admission.outcome, m_group.load(now)});
        return;
    }
    if (admission.kind == requests::Admission::Kind::Joined) {
        m_repeatDeadlines.emplace(request.deadline, admission.ticket);
        m_waiting.at(admission.ticket).repeats.push_back({request.deadline, std::move(callback)});
        return;
    }
    m_waiting[admission.ticket] = {std::move(request), std::move(callback), {}, 0};
    pump();
}

void OwnedGroup::pump()
{
    if (m_isLost)
        return;
    // Without the right to send, queued requests wait: the member either renews or loses the group.
    if (m_tenure.isValid()) {
        for (const requests::Send &one : m_group.dispatch(BootClock::now()))
            send(one);
    }
    settle();
}

void OwnedGroup::send(const requests::Send &send)
{
    const auto ended = [self = shared_from_this(), ticket = send.ticket](SendEnd end) {
        asio::post(self->m_strand, [self, ticket, end = std::move(end)]() mutable {
            self->sendEnded(ticket, std::move(end));
        });
    };
    const auto guard = [tenure = m_tenure] { return tenure.isValid(); };
    const auto found = m_endpoints.find(send.endpoint);
    if (found == m_endpoints.end()) {
        ended({requests::SendResult::NotSent,
               requests::Outcome::unknown(makeError(Failure::ConnectionRefused,
                                                    "the endpoint's address is invalid"))});
        return;
    }
    Waiting &waiting = m_waiting.at(send.ticket);
    waiting.send = found->second.link->send(waiting.request, send.deadline, guard, ended);
}

void OwnedGroup::giveUpSlowTries()
{
    for (const requests::GiveUp &one : m_group.takeGiveUps(BootClock::now())) {
        const auto found = m_endpoints.find(one.endpoint);
        if (found != m_endpoints.end())
            found->second.link->giveUp(m_waiting.at(one.ticket).send);
    }
}

void OwnedGroup::sendEnded(requests::Ticket ticket, SendEnd end)
{
    if (m_isLost)
        return;
    m_group.finished(ticket, end.result, std::move(end.outcome), BootClock::now());
    pump();
}

void OwnedGroup::settle()
{
    for (const requests::Settlement &settlement : m_group.takeSettled()) {
        auto node = m_waiting.extract(settlement.ticket);
        const double load = m_group.load(BootClock::now());
        node.mapped().callback({settlement.outcome, load});
        for (const Repeat &repeat : node.mapped().repeats)
            repeat.callback({settlement.outcome, load});
    }
    if (m_released && m_group.isIdle()) {
        m_isReleased = true;
        std::exchange(m_released, nullptr)();
    }
}

void OwnedGroup::expireRepeats()
{
    const TimePoint now = BootClock::now();
    while (!m_repeatDeadlines.empty() && m_repeatDeadlines.begin()->first <= now) {
        const auto found = m_waiting.find(m_repeatDeadlines.begin()->second);
        m_repeatDeadlines.erase(m_repeatDeadlines.begin());
        if (found == m_waiting.end())
            continue;
        std::vector<Repeat> &repeats = found->second.repeats;
        const auto expired =
                std::stable_partition(repeats.begin(), repeats.end(), [now](const Repeat &repeat) {
                    return repeat.deadline > now;
                });
        for (auto repeat = expired; repeat != repeats.end(); ++repeat)
            repeat->callback({std::make_shared<const requests::Outcome>(requests::Outcome::unknown(
                    makeError(Failure::Timeout, "the first request of this id is under way")))});
        repeats.erase(expired, repeats.end());
    }
}

// Section: endpoints

void OwnedGroup::updateLinks()
{
    std::map<EndpointId, Endpoint> kept;
    for (const requests::ListedEndpoint &listed : m_group.endpoints()) {
        auto node = m_endpoints.extract(listed.id);
        const bool isUsable = !node.empty()
                && (node.mapped().link->address() == listed.address
                    || m_group.inUse(listed.id) > 0);
        if (isUsable) {
            kept.insert(std::move(node));
            continue;
        }
        auto link = EndpointLink::create(m_context, listed.address,
                                         static_cast<size_t>(m_group.connectionsPerEndpoint()));
        if (link.ok())
            kept[listed.id].link = *std::move(link);
    }
    m_endpoints = std::move(kept);
}

void OwnedGroup::tick()
{
    if (m_isLost)
        return;
    const TimePoint now = BootClock::now();
    for (auto &[id, endpoint] : m_endpoints) {
        if (!endpoint.isAsking && endpoint.nextStatus <= now && m_tenure.isValid())
            askStatus(id, endpoint);
    }
    expireRepeats();
    giveUpSlowTries();
    pump();
}

void OwnedGroup::askStatus(const EndpointId &id, Endpoint &endpoint)
{
    endpoint.isAsking = true;
    const TimePoint askedAt = BootClock::now();
    endpoint.link->askStatus([self = shared_from_this(), id,
                              askedAt](absl::StatusOr<requests::EndpointStatus> status) {
        asio::post(self->m_strand, [self, id, askedAt, status = std::move(status)] {
            self->onStatus(id, askedAt, status);
        });
    });
}

void OwnedGroup::onStatus(const EndpointId &id, TimePoint askedAt,
                          const absl::StatusOr<requests::EndpointStatus> &status)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (status.ok())
        m_group.report(id, *status, askedAt);
    found->second.isAsking = false;
    found->second.nextStatus =
            askedAt + (m_group.hasSuspectSlots(id) ? suspectStatusInterval : statusInterval);
    pump();
}

// Section: end of ownership

void OwnedGroup::lose()
{
    if (m_isLost)
        return;
    m_isLost = true;
    m_group.abandon();
    m_endpoints.clear();
    settle();
}

void OwnedGroup::release(std::function<void()> done)
{
    m_group.beginRelease();
    m_released = std::move(done);
    pump();
}

} // namespace cwl::entry
