#include "entry/router.h"

#include "base/error.h"
#include "requests/routing.h"

#include <algorithm>
#include <utility>

namespace cwl::entry {

namespace {

using requests::Outcome;
using requests::OutcomeKind;
using requests::SharedOutcome;

constexpr Duration firstPause = milliseconds(20); // before another try; doubles
constexpr Duration maxPause = milliseconds(500);
constexpr int64_t maxDoublings = 5;
// An id made before a takeover is unknown to the new owner, so a non-idempotent request gains
// nothing from waiting for one. This time covers a view of the owners that is out of date.
constexpr Duration nonIdempotentPatience = seconds(1);
constexpr Duration loadLifetime = seconds(2); // a load seen earlier says nothing
constexpr Duration maxAnswerMargin = milliseconds(50);
constexpr int64_t retryAfterMs = 1000;

// Another owner, or another group, may still accept the request.
bool mayTryElsewhere(const ExecuteResult &result)
{
    if (result.outcome->kind != OutcomeKind::NotRun)
        return false;
    const Failure failure = failureOf(result.outcome->error);
    return failure == Failure::NotOwner || failure == Failure::NotReady
            || failure == Failure::LeaseLapsed;
}

// The owner gets a little less time than the caller gave, so that its outcome arrives in time.
TimePoint ownerDeadline(TimePoint deadline, TimePoint now)
{
    return deadline - std::min<Duration>(maxAnswerMargin, (deadline - now) / 10);
}

} // namespace

std::shared_ptr<Router> Router::create(RouterPorts ports, uint64_t seed)
{
    return std::shared_ptr<Router>(new Router(std::move(ports), seed));
}

Router::Router(RouterPorts ports, uint64_t seed)
    : m_ports(std::move(ports))
    , m_generator(seed)
{
}

// Section: one try after another

void Router::route(ExecuteRequest request, Callback callback)
{
    const auto journey = std::make_shared<Journey>();
    journey->request = std::move(request);
    journey->callback = std::move(callback);
    journey->startedAt = BootClock::now();
    {
        const std::lock_guard lock(m_mutex);
        m_retryBudget.requestAccepted();
    }
    step(journey);
}

void Router::step(const JourneyPointer &journey)
{
    ExecuteRequest &request = journey->request;
    if (request.deadline <= BootClock::now()) {
        finishUnsent(journey,
                     makeError(Failure::DeadlinePassed,
                               "the deadline passed before an owner accepted the request",
                               {.field = "Request-Deadline-Ms"}));
        return;
    }
    const std::optional<int64_t> group = chooseGroup(request);
    if (!group) {
        finishUnsent(journey,
                     makeError(Failure::UnknownService,
                               "service '" + request.service.value() + "' was removed",
                               {.field = "service"}));
        return;
    }
    request.group = *group;
    ++journey->tries;
    const GroupId groupId = groupIdOf(request);
    const auto onResult = [self = shared_from_this(),
                           journey](const absl::StatusOr<ExecuteResult> &result) {
        self->onResult(journey, result);
    };
    if (m_ports.ownsGroup(groupId)) {
        m_ports.executeHere(request, onResult);
        return;
    }
    const std::optional<std::string> owner = m_ports.ownerAddress(groupId);
    if (owner)
        forward(request, *owner, onResult);
    else
        tryLater(journey,
                 makeError(Failure::NoOwner, groupId.value() + " has no owner now",
                           {.retryAfterMs = retryAfterMs}));
}

std::optional<int64_t> Router::chooseGroup(const ExecuteRequest &request)
{
    const int64_t groups = m_ports.groups(request.service);
    if (groups <= 0)
        return std::nullopt;
    if (!request.isIdempotent)
        return requests::groupOfRequestId(request.id.id, groups);
    const std::lock_guard lock(m_mutex);
    return requests::chooseGroup(groups, m_generator, [this, &request](int64_t group) {
        return loadOf(requests::endpointGroupId(request.service, group));
    });
}

void Router::forward(const ExecuteRequest &request, const std::string &address,
                     std::function<void(absl::StatusOr<ExecuteResult>)> callback)
{
    const TimePoint now = BootClock::now();
    ExecuteRequest forwarded = request;
    forwarded.hops = request.hops + 1;
    forwarded.deadline = ownerDeadline(request.deadline, now);
    {
        const std::lock_guard lock(m_mutex);
        ++m_forwarded;
    }
    m_ports.call(address, encodeRequest(forwarded, now), request.deadline,
                 [callback = std::move(callback)](absl::StatusOr<rpc::Message> answer) {
                     if (answer.ok())
                         callback(decodeResult(*std::move(answer)));
                     else
                         callback(answer.status());
                 });
}

void Router::onResult(const JourneyPointer &journey, const absl::StatusOr<ExecuteResult> &result)
{
    if (!result.ok()) {
        // Only a refused connection proves that the owner never got the request.
        if (failureOf(result.status()) == Failure::ConnectionRefused)
            tryLater(journey, result.status());
        else
            onLost(journey, result.status());
        return;
    }
    noteLoad(groupIdOf(journey->request), result->load);
    if (mayTryElsewhere(*result))
        tryLater(journey, result->outcome->error);
    else if (result->outcome->kind == OutcomeKind::NotRun && journey->request.isIdempotent)
        finishUnsent(journey, result->outcome->error);
    else
        finish(journey, result->outcome);
}

void Router::onLost(const JourneyPointer &journey, const absl::Status &status)
{
    journey->mayHaveRun = true;
    bool mayRetry = journey->request.isIdempotent
            && journey->request.deadline > BootClock::now() + firstPause;
    {
        const std::lock_guard lock(m_mutex);
        ++m_lost;
        mayRetry = mayRetry && m_retryBudget.takeRetry();
    }
    if (mayRetry)
        tryLater(journey, status);
    else
        finishUnsent(journey, status);
}

// Tries again after a pause, or ends the request with `reason` when no time is left.
void Router::tryLater(const JourneyPointer &journey, const absl::Status &reason)
{
    const int64_t doublings = std::clamp<int64_t>(journey->tries - 1, 0, maxDoublings);
    const Duration pause = std::min<Duration>(firstPause * (int64_t(1) << doublings), maxPause);
    const TimePoint next = BootClock::now() + pause;
    const bool isTooLate = next >= journey->request.deadline
            || (!journey->request.isIdempotent
                && next > journey->startedAt + nonIdempotentPatience);
    if (isTooLate) {
        finishUnsent(journey, reason);
        return;
    }
    m_ports.after(pause, [self = shared_from_this(), journey] { self->step(journey); });
}

void Router::finish(const JourneyPointer &journey, const SharedOutcome &outcome)
{
    journey->callback(outcome);
}

// Ends a request whose last try certainly did not run it; an earlier try, or an earlier attempt of
// the caller at another entry, may have. Only the owner that remembers the id could rule that out.
void Router::finishUnsent(const JourneyPointer &journey, const absl::Status &reason)
{
    const bool mayHaveRun = journey->mayHaveRun || journey->request.mayBeRepeat;
    finish(journey,
           std::make_shared<const Outcome>(mayHaveRun ? Outcome::unknown(reason)
                                                      : Outcome::notRun(reason)));
}

// Section: requests of other entries

void Router::serve(ExecuteRequest request, ExecuteCallback callback)
{
    const GroupId group = groupIdOf(request);
    const std::optional<std::string> owner = m_ports.ownerAddress(group);
    if (m_ports.ownsGroup(group) || request.hops >= maxHops || !owner) {
        m_ports.executeHere(std::move(request), std::move(callback));
        return;
    }
    forward(request, *owner,
            [callback = std::move(callback)](absl::StatusOr<ExecuteResult> result) {
                if (result.ok())
                    callback(*std::move(result));
                else if (failureOf(result.status()) == Failure::ConnectionRefused)
                    callback(notRun(makeError(Failure::NotOwner, "the owner cannot be reached",
                                              {.retryAfterMs = retryAfterMs})));
                else
                    callback({std::make_shared<const Outcome>(Outcome::unknown(result.status()))});
            });
}

// Section: loads

void Router::noteLoad(const GroupId &group, double load)
{
    const std::lock_guard lock(m_mutex);
    m_loads[group] = {load, BootClock::now()};
}

double Router::loadOf(const GroupId &group) const
{
    const auto found = m_loads.find(group);
    if (found == m_loads.end() || found->second.seenAt + loadLifetime < BootClock::now())
        return 0;
    return found->second.value;
}

Json::Value Router::state() const
{
    const std::lock_guard lock(m_mutex);
    Json::Value state;
    state["forwarded"] = Json::Int64(m_forwarded);
    state["lost"] = Json::Int64(m_lost);
    state["retries"] = Json::Int64(m_retryBudget.retries());
    for (const auto &[group, load] : m_loads)
        state["loads"][group.value()] = load.value;
    return state;
}

} // namespace cwl::entry
