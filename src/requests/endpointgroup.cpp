#include "requests/endpointgroup.h"

#include "base/error.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cwl::requests {

namespace {

constexpr int64_t maxAttempts = 3;                  // of one request
constexpr int64_t observationsForLimit = 5;         // of a method, before they limit its tries
constexpr int64_t tryLimitFactor = 3;               // of the high estimate: slower is rather silent
constexpr Duration minTryLimit = milliseconds(500); // a pause of an endpoint is no silence
constexpr Duration tryCheckInterval = milliseconds(100); // while no retry can be had
constexpr int64_t minRetryAfterMs = 50;     // a refusal never invites an immediate repeat
constexpr int64_t maxRetryAfterMs = 5000;   // estimates beyond it are too uncertain
constexpr int64_t noEndpointRetryMs = 1000; // the instance list is read every second

int64_t inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

int64_t retryAfter(Duration wait)
{
    return std::clamp(inMilliseconds(wait), minRetryAfterMs, maxRetryAfterMs);
}

EndpointLimits limitsOf(const settings::ServiceSettings &service)
{
    return {.slots = service.slotsPerEndpoint, .connections = service.connectionsPerEndpoint};
}

std::optional<TimePoint> suspectUntil(const GroupStart &start)
{
    if (start.isFirstOwner)
        return std::nullopt;
    return start.acquiredAt + maxRequestDeadline;
}

IdMemoryOptions withTakeover(IdMemoryOptions memory, const GroupStart &start)
{
    if (!start.isFirstOwner)
        memory.takeover = start.acquiredAtUnix;
    return memory;
}

absl::Status deadlinePassed()
{
    return makeError(Failure::DeadlinePassed, "the deadline passed before a slot was free",
                     {.field = "Request-Deadline-Ms", .retryAfterMs = minRetryAfterMs});
}

} // namespace

EndpointGroup::EndpointGroup(const settings::ServiceSettings &service, const GroupStart &start,
                             IdMemoryOptions memory)
    : m_service(service)
    , m_queues(service.maxQueued, service.classShares)
    , m_pool(limitsOf(service), suspectUntil(start))
    , m_memory(withTakeover(std::move(memory), start))
{
}

// Section: what the group is told

void EndpointGroup::setService(const settings::ServiceSettings &service)
{
    m_service = service;
    m_queues.setLimits(service.maxQueued, service.classShares);
    m_pool.setLimits(limitsOf(service));
}

void EndpointGroup::setEndpoints(const std::vector<ListedEndpoint> &endpoints, TimePoint now)
{
    m_pool.setEndpoints(endpoints, now);
}

void EndpointGroup::report(const EndpointId &id, const EndpointStatus &status, TimePoint askedAt)
{
    m_pool.report(id, status, askedAt);
}

Admission EndpointGroup::submit(const Submission &submission, TimePoint now,
                                UnixMilliseconds unixNow)
{
    if (!submission.isIdempotent) {
        const IdMemory::Check check = m_memory.check(*submission.id, unixNow);
        if (check.verdict == IdMemory::Verdict::Running) {
            ++m_counters.joined;
            return {.kind = Admission::Kind::Joined, .ticket = check.ticket};
        }
        if (check.verdict == IdMemory::Verdict::Settled) {
            ++m_counters.refused;
            return {.kind = Admission::Kind::Settled, .outcome = check.outcome};
        }
    }
    std::optional<Outcome> refused = refusal(submission, now);
    if (refused) {
        ++m_counters.refused;
        return {.kind = Admission::Kind::Settled,
                .outcome = std::make_shared<const Outcome>(*std::move(refused))};
    }
    const Ticket ticket = m_nextTicket++;
    if (!submission.isIdempotent)
        m_memory.accept(*submission.id, ticket);
    m_requests.emplace(ticket, Request{.submission = submission});
    m_queues.push(submission.urgency, ticket);
    m_deadlines.emplace(submission.deadline, ticket);
    m_retryBudget.requestAccepted();
    ++m_counters.accepted;
    return {.kind = Admission::Kind::Accepted, .ticket = ticket};
}

// Section: admission

std::optional<Outcome> EndpointGroup::refusal(const Submission &submission, TimePoint now)
{
    if (m_isReleasing)
        return Outcome::notRun(makeError(Failure::NotOwner, "the group is being handed over",
                                         {.retryAfterMs = noEndpointRetryMs}));
    if (submission.deadline <= now)
        return Outcome::notRun(deadlinePassed());
    if (!m_pool.hasEndpoints())
        return Outcome::notRun(makeError(Failure::NotReady,
                                         "the group has no endpoint of the service",
                                         {.retryAfterMs = noEndpointRetryMs}));
    const Duration wait = expectedWait(submission.urgency, now);
    if (m_queues.isFull(submission.urgency))
        return Outcome::notRun(
                makeError(Failure::QueueFull,
                          std::string("the queue of class '")
                                  + settings::urgencyClassName(submission.urgency) + "' is full",
                          {.field = "Request-Class",
                           .limit = std::to_string(m_queues.maxQueued()) + " requests",
                           .retryAfterMs = retryAfter(wait)}));
    const Duration needed = wait + expectedService(submission.method, now);
    if (now + needed > submission.deadline)
        return Outcome::notRun(makeError(
                Failure::DeadlineUnreachable,
                "the expected time to the answer is " + std::to_string(inMilliseconds(needed))
                        + " ms",
                {.field = "Request-Deadline-Ms",
                 .limit = std::to_string(inMilliseconds(submission.deadline - now)) + " ms",
                 .retryAfterMs = retryAfter(wait)}));
    return std::nullopt;
}

Duration EndpointGroup::expectedWait(UrgencyClass urgency, TimePoint now)
{
    const std::optional<TimePoint> ejectedUntil = m_pool.allEjectedUntil(now);
    if (ejectedUntil && *ejectedUntil > now)
        return *ejectedUntil - now;
    if (m_pool.freeSlots(now) > m_queues.queued())
        return Duration(0);
    const double slots = m_queues.slotsFor(urgency, m_pool.usableSlots(now), m_inUse);
    if (slots <= 0)
        return Duration(0); // nothing is known yet, such as right after a takeover
    const auto ahead = static_cast<double>(m_queues.queued(urgency)) + 0.5;
    const auto service = static_cast<double>(m_groupTime.estimate(now).count());
    return Duration(static_cast<int64_t>(ahead / slots * service));
}

Duration EndpointGroup::expectedService(const std::string &method, TimePoint now) const
{
    const auto found = m_methodTimes.find(method);
    return found == m_methodTimes.end() ? Duration(0) : found->second.highEstimate(now);
}

// Section: sending

std::vector<Send> EndpointGroup::dispatch(TimePoint now)
{
    expire(now);
    std::vector<Send> sends;
    while (m_queues.queued() > 0 && m_pool.freeSlots(now) > 0) {
        const Ticket ticket = *m_queues.pop(m_pool.usableSlots(now), m_inUse);
        Request &request = m_requests.at(ticket);
        const Submission &submission = request.submission;
        m_deadlines.erase({submission.deadline, ticket});
        if (now + expectedService(submission.method, now) > submission.deadline) {
            settleUnsent(ticket, deadlinePassed());
            continue;
        }
        const EndpointId endpoint = *m_pool.choose(now, request.lastEndpoint);
        m_pool.sent(endpoint);
        request.endpoint = endpoint;
        request.sentAt = now;
        ++request.attempts;
        ++m_inUse[static_cast<size_t>(submission.urgency)];
        ++m_counters.sends;
        if (submission.isIdempotent && request.attempts < maxAttempts) {
            request.checkTryAt = tryLimit(submission, now);
            m_tryLimits.emplace(request.checkTryAt, ticket);
        }
        sends.push_back({ticket, endpoint, submission.deadline});
    }
    return sends;
}

TimePoint EndpointGroup::tryLimit(const Submission &submission, TimePoint now) const
{
    const Duration half = (submission.deadline - now) / 2;
    const auto found = m_methodTimes.find(submission.method);
    if (found == m_methodTimes.end() || found->second.count() < observationsForLimit)
        return now + half;
    const Duration usual = tryLimitFactor * found->second.lastHighEstimate();
    return now + std::min(half, std::max(usual, minTryLimit));
}

// A try is dropped only if the retry can follow at once: without budget or a free slot, its own
// response is the best hope.
std::vector<GiveUp> EndpointGroup::takeGiveUps(TimePoint now)
{
    std::vector<GiveUp> all;
    int64_t free = m_pool.freeSlots(now) - m_queues.queued();
    while (!m_tryLimits.empty() && m_tryLimits.begin()->first <= now) {
        const Ticket ticket = m_tryLimits.begin()->second;
        m_tryLimits.erase(m_tryLimits.begin());
        Request &request = m_requests.at(ticket);
        if (free > 0 && mayRetry(request, SendResult::MayHaveRun, now)) {
            --free;
            request.hasRetryTaken = true;
            ++m_counters.givenUp;
            all.push_back({ticket, *request.endpoint});
            continue;
        }
        request.checkTryAt = now + tryCheckInterval;
        if (request.checkTryAt < request.submission.deadline)
            m_tryLimits.emplace(request.checkTryAt, ticket);
    }
    return all;
}

void EndpointGroup::expire(TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const Ticket ticket = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        m_queues.remove(m_requests.at(ticket).submission.urgency, ticket);
        settleUnsent(ticket, deadlinePassed());
    }
}

void EndpointGroup::finished(Ticket ticket, SendResult result, Outcome outcome, TimePoint now)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end() || !found->second.endpoint)
        return;
    Request &request = found->second;
    const Duration elapsed = now - request.sentAt;
    m_pool.finished(*request.endpoint, result, elapsed, now);
    --m_inUse[static_cast<size_t>(request.submission.urgency)];
    request.lastEndpoint = std::exchange(request.endpoint, std::nullopt);
    m_tryLimits.erase({request.checkTryAt, ticket});
    const bool hasRetryTaken = std::exchange(request.hasRetryTaken, false);
    if (result == SendResult::Answered || result == SendResult::AnsweredError) {
        m_groupTime.add(elapsed, now);
        m_methodTimes[request.submission.method].add(elapsed, now);
        settle(ticket, std::move(outcome));
        return;
    }
    request.mayHaveRun = request.mayHaveRun || result == SendResult::MayHaveRun;
    if ((hasRetryTaken && now < request.submission.deadline) || mayRetry(request, result, now)) {
        requeue(ticket, request);
        return;
    }
    if (result == SendResult::MayHaveRun)
        settle(ticket, std::move(outcome));
    else
        settleUnsent(ticket, outcome.error);
}

bool EndpointGroup::mayRetry(const Request &request, SendResult result, TimePoint now)
{
    if (result == SendResult::MayHaveRun && !request.submission.isIdempotent)
        return false;
    if (request.attempts >= maxAttempts)
        return false;
    if (now + expectedService(request.submission.method, now) >= request.submission.deadline)
        return false;
    return m_retryBudget.takeRetry();
}

void EndpointGroup::requeue(Ticket ticket, Request &request)
{
    ++m_counters.retries;
    m_queues.pushFront(request.submission.urgency, ticket);
    m_deadlines.emplace(request.submission.deadline, ticket);
}

// Section: ending

void EndpointGroup::settleUnsent(Ticket ticket, const absl::Status &reason)
{
    const bool mayHaveRun = m_requests.at(ticket).mayHaveRun;
    settle(ticket, mayHaveRun ? Outcome::unknown(reason) : Outcome::notRun(reason));
}

void EndpointGroup::settle(Ticket ticket, Outcome outcome)
{
    const auto found = m_requests.find(ticket);
    switch (outcome.kind) {
    case OutcomeKind::Answered:
        ++m_counters.answered;
        break;
    case OutcomeKind::NotRun:
        ++m_counters.notRun;
        break;
    case OutcomeKind::Unknown:
        ++m_counters.unknown;
        break;
    }
    const auto shared = std::make_shared<const Outcome>(std::move(outcome));
    const Submission &submission = found->second.submission;
    if (!submission.isIdempotent)
        m_memory.settle(*submission.id, shared);
    m_settled.push_back({ticket, shared});
    m_requests.erase(found);
}

void EndpointGroup::abandon()
{
    const absl::Status reason = makeError(Failure::LeaseLapsed, "the group lost its owner",
                                          {.retryAfterMs = noEndpointRetryMs});
    while (!m_requests.empty()) {
        const auto &[ticket, request] = *m_requests.begin();
        if (request.endpoint) {
            settle(ticket, Outcome::unknown(reason));
            continue;
        }
        m_queues.remove(request.submission.urgency, ticket);
        settleUnsent(ticket, reason);
    }
    m_deadlines.clear();
    m_tryLimits.clear();
    m_isReleasing = true;
}

std::vector<Settlement> EndpointGroup::takeSettled()
{
    return std::exchange(m_settled, {});
}

// Section: what the group shows

double EndpointGroup::load(TimePoint now)
{
    const int64_t slots = m_pool.usableSlots(now);
    return static_cast<double>(m_requests.size())
            / static_cast<double>(std::max<int64_t>(slots, 1));
}

Json::Value EndpointGroup::state(TimePoint now) const
{
    Json::Value state;
    state["queued"] = Json::Int64(m_queues.queued());
    state["underWay"] = Json::Int64(underWay());
    state["rememberedIds"] = Json::Int64(static_cast<int64_t>(m_memory.size()));
    state["rememberedAnswerBytes"] = Json::Int64(static_cast<int64_t>(m_memory.answerBytes()));
    state["releasing"] = m_isReleasing;
    state["accepted"] = Json::Int64(m_counters.accepted);
    state["joined"] = Json::Int64(m_counters.joined);
    state["refused"] = Json::Int64(m_counters.refused);
    state["sends"] = Json::Int64(m_counters.sends);
    state["retries"] = Json::Int64(m_counters.retries);
    state["givenUp"] = Json::Int64(m_counters.givenUp);
    state["answered"] = Json::Int64(m_counters.answered);
    state["notRun"] = Json::Int64(m_counters.notRun);
    state["unknown"] = Json::Int64(m_counters.unknown);
    state["endpoints"] = m_pool.state(now);
    return state;
}

} // namespace cwl::requests
