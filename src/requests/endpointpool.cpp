#include "requests/endpointpool.h"

#include <algorithm>

namespace cwl::requests {

namespace {

constexpr int64_t failuresBeforeEjection = 3;
constexpr int64_t maxEjectionDoublings = 5; // 1 s, 2 s, ... 32 s
constexpr Duration firstEjection = seconds(1);
constexpr int64_t slowFactor = 2;                // of the others' typical time: less concurrency
constexpr int64_t ejectSlowFactor = 8;           // of the others' typical time: ejected
constexpr Duration slowFloor = milliseconds(20); // differences below it are noise
constexpr int64_t observationsToJudge = 5;       // before an endpoint counts as slow

} // namespace

// Section: what is known of the endpoints

void EndpointPool::setEndpoints(const std::vector<ListedEndpoint> &endpoints, TimePoint now)
{
    for (auto &[id, endpoint] : m_endpoints)
        endpoint.isListed = false;
    for (const ListedEndpoint &listed : endpoints) {
        const auto [position, isNew] = m_endpoints.try_emplace(listed.id);
        Endpoint &endpoint = position->second;
        endpoint.address = listed.address;
        endpoint.isListed = true;
        endpoint.isListedLeaving = listed.isLeaving;
        if (!isNew)
            continue;
        endpoint.concurrency = slotsOf(endpoint);
        if (m_suspectUntil && *m_suspectUntil > now) {
            const auto slots = static_cast<size_t>(slotsOf(endpoint));
            endpoint.suspectSince.assign(slots, now);
            endpoint.suspectUntil.assign(slots, *m_suspectUntil);
        }
    }
    dropGone();
}

void EndpointPool::report(const EndpointId &id, const EndpointStatus &status, TimePoint askedAt)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    Endpoint &endpoint = found->second;
    endpoint.isReportedLeaving = status.isLeaving;
    endpoint.reportedSlots = status.slots;
    endpoint.concurrency = std::min(endpoint.concurrency, slotsOf(endpoint));
    // The report does not say whose requests are active, so all of them may be the suspects'.
    // Suspects newer than the question may have reached the endpoint after it answered.
    size_t older = 0;
    for (const TimePoint since : endpoint.suspectSince)
        older += since <= askedAt ? 1 : 0;
    for (size_t i = endpoint.suspectSince.size(); i-- > 0;) {
        if (older <= static_cast<size_t>(std::max<int64_t>(status.active, 0)))
            break;
        if (endpoint.suspectSince[i] > askedAt)
            continue;
        endpoint.suspectSince.erase(endpoint.suspectSince.begin() + static_cast<ptrdiff_t>(i));
        endpoint.suspectUntil.erase(endpoint.suspectUntil.begin() + static_cast<ptrdiff_t>(i));
        --older;
    }
}

void EndpointPool::dropGone()
{
    std::erase_if(m_endpoints, [](const auto &entry) {
        const Endpoint &endpoint = entry.second;
        return !endpoint.isListed && endpoint.inUse == 0 && endpoint.suspectSince.empty();
    });
}

std::vector<ListedEndpoint> EndpointPool::endpoints() const
{
    std::vector<ListedEndpoint> all;
    for (const auto &[id, endpoint] : m_endpoints)
        all.push_back(
                {id, endpoint.address,
                 endpoint.isListedLeaving || endpoint.isReportedLeaving || !endpoint.isListed});
    return all;
}

bool EndpointPool::hasEndpoints() const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const auto &entry) {
        const Endpoint &endpoint = entry.second;
        return endpoint.isListed && !endpoint.isListedLeaving && !endpoint.isReportedLeaving;
    });
}

// Section: slots

int64_t EndpointPool::connectionsPerEndpoint() const
{
    return std::min(m_limits.connections, m_limits.slots + 1);
}

int64_t EndpointPool::slotsOf(const Endpoint &endpoint) const
{
    const int64_t slots = std::min(m_limits.slots, std::max<int64_t>(m_limits.connections - 1, 1));
    return endpoint.reportedSlots > 0 ? std::min(slots, endpoint.reportedSlots) : slots;
}

int64_t EndpointPool::freeSlotsOf(const Endpoint &endpoint) const
{
    const int64_t suspect = static_cast<int64_t>(endpoint.suspectSince.size());
    const int64_t bySlots = slotsOf(endpoint) - endpoint.inUse - suspect;
    const int64_t byConcurrency = endpoint.concurrency - endpoint.inUse;
    return std::max<int64_t>(0, std::min(bySlots, byConcurrency));
}

bool EndpointPool::isUsable(const Endpoint &endpoint, TimePoint now)
{
    return endpoint.isListed && !endpoint.isListedLeaving && !endpoint.isReportedLeaving
            && endpoint.ejectedUntil <= now;
}

void EndpointPool::dropExpiredSuspects(TimePoint now)
{
    for (auto &[id, endpoint] : m_endpoints) {
        for (size_t i = endpoint.suspectUntil.size(); i-- > 0;) {
            if (endpoint.suspectUntil[i] > now)
                continue;
            const auto offset = static_cast<ptrdiff_t>(i);
            endpoint.suspectSince.erase(endpoint.suspectSince.begin() + offset);
            endpoint.suspectUntil.erase(endpoint.suspectUntil.begin() + offset);
        }
    }
}

int64_t EndpointPool::usableSlots(TimePoint now)
{
    dropExpiredSuspects(now);
    int64_t total = 0;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (isUsable(endpoint, now))
            total += endpoint.inUse + freeSlotsOf(endpoint);
    }
    return total;
}

int64_t EndpointPool::freeSlots(TimePoint now)
{
    dropExpiredSuspects(now);
    int64_t total = 0;
    for (const auto &[id, endpoint] : m_endpoints)
        total += isUsable(endpoint, now) ? freeSlotsOf(endpoint) : 0;
    return total;
}

int64_t EndpointPool::inUse(const EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.inUse;
}

bool EndpointPool::hasSuspectSlots(const EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found != m_endpoints.end() && !found->second.suspectSince.empty();
}

std::optional<TimePoint> EndpointPool::allEjectedUntil(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (isUsable(endpoint, now))
            return std::nullopt;
        const bool mayReturn =
                endpoint.isListed && !endpoint.isListedLeaving && !endpoint.isReportedLeaving;
        if (mayReturn && (!earliest || endpoint.ejectedUntil < *earliest))
            earliest = endpoint.ejectedUntil;
    }
    return earliest;
}

// Section: choice

std::optional<EndpointId> EndpointPool::choose(TimePoint now,
                                               const std::optional<EndpointId> &avoid)
{
    dropExpiredSuspects(now);
    std::optional<EndpointId> best;
    double bestLoad = 0;
    bool bestIsAvoided = false;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!isUsable(endpoint, now) || freeSlotsOf(endpoint) == 0)
            continue;
        const bool isAvoided = avoid && *avoid == id;
        const auto waiting = static_cast<double>(endpoint.inUse + 1)
                + static_cast<double>(endpoint.suspectSince.size());
        const std::chrono::duration<double> time =
                endpoint.serviceTime.estimate(now) + milliseconds(1);
        const double load = waiting / static_cast<double>(endpoint.concurrency) * time.count();
        if (!best || (bestIsAvoided && !isAvoided)
            || (bestIsAvoided == isAvoided && load < bestLoad)) {
            best = id;
            bestLoad = load;
            bestIsAvoided = isAvoided;
        }
    }
    return best;
}

void EndpointPool::sent(const EndpointId &id)
{
    ++m_endpoints.at(id).inUse;
}

// Section: what is learned from each send

void EndpointPool::finished(const EndpointId &id, SendResult result, Duration elapsed,
                            TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.inUse == 0)
        return;
    Endpoint &endpoint = found->second;
    --endpoint.inUse;
    switch (result) {
    case SendResult::Answered:
        recordSuccess(endpoint, elapsed, now);
        break;
    case SendResult::MayHaveRun:
        endpoint.suspectSince.push_back(now);
        endpoint.suspectUntil.push_back(now + maxRequestDeadline);
        recordFailure(endpoint, now);
        break;
    case SendResult::NotSent:
        recordFailure(endpoint, now);
        break;
    case SendResult::AnsweredError:
        // The requests may be at fault, so errors alone never eject more than half.
        if (mayEjectHalf(now))
            recordFailure(endpoint, now);
        break;
    }
    dropGone();
}

void EndpointPool::recordSuccess(Endpoint &endpoint, Duration elapsed, TimePoint now)
{
    if (endpoint.ejectedUntil > now)
        return;
    endpoint.serviceTime.add(elapsed, now);
    endpoint.failuresInRow = 0;
    ++endpoint.answersSinceChange;
    if (endpoint.isReturning) {
        endpoint.concurrency = std::min(endpoint.concurrency + 1, slotsOf(endpoint));
        endpoint.isReturning = endpoint.concurrency < slotsOf(endpoint);
        if (!endpoint.isReturning)
            endpoint.ejections = 0;
        return;
    }
    adaptConcurrency(endpoint, now);
}

void EndpointPool::recordFailure(Endpoint &endpoint, TimePoint now)
{
    // Requests that were under way at an ejection say nothing new about the endpoint.
    if (endpoint.ejectedUntil > now)
        return;
    ++endpoint.failuresInRow;
    if (endpoint.isReturning || endpoint.failuresInRow >= failuresBeforeEjection)
        eject(endpoint, now);
}

void EndpointPool::adaptConcurrency(Endpoint &endpoint, TimePoint now)
{
    if (endpoint.answersSinceChange < std::max(endpoint.concurrency, observationsToJudge))
        return;
    const Duration own = endpoint.serviceTime.estimate(now);
    // An endpoint without peers to compare with counts as typical.
    const Duration typical = typicalServiceTime(endpoint, now).value_or(own);
    endpoint.answersSinceChange = 0;
    if (own > std::max(typical * ejectSlowFactor, slowFloor * ejectSlowFactor)
        && endpoint.concurrency == 1 && mayEjectHalf(now)) {
        eject(endpoint, now);
        return;
    }
    if (own > std::max<Duration>(typical * slowFactor, slowFloor))
        endpoint.concurrency = std::max<int64_t>(1, endpoint.concurrency / 2);
    else
        endpoint.concurrency = std::min(endpoint.concurrency + 1, slotsOf(endpoint));
}

void EndpointPool::eject(Endpoint &endpoint, TimePoint now)
{
    const int64_t doublings = std::min(endpoint.ejections, maxEjectionDoublings);
    endpoint.ejectedUntil = now + firstEjection * (int64_t(1) << doublings);
    ++endpoint.ejections;
    endpoint.failuresInRow = 0;
    endpoint.answersSinceChange = 0;
    endpoint.concurrency = 1;
    endpoint.isReturning = true;
    endpoint.serviceTime = ServiceTime();
}

// The median of the other endpoints' times, if at least one of them was observed often enough.
std::optional<Duration> EndpointPool::typicalServiceTime(const Endpoint &except,
                                                         TimePoint now) const
{
    std::vector<Duration> times;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (&endpoint != &except && endpoint.serviceTime.count() >= observationsToJudge)
            times.push_back(endpoint.serviceTime.estimate(now));
    }
    if (times.empty())
        return std::nullopt;
    const auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

// True if an ejection leaves at least half of the endpoints usable. Slowness is relative, so it may
// eject no more than that.
bool EndpointPool::mayEjectHalf(TimePoint now) const
{
    int64_t usable = 0;
    for (const auto &[id, endpoint] : m_endpoints)
        usable += isUsable(endpoint, now) ? 1 : 0;
    return (usable - 1) * 2 >= static_cast<int64_t>(m_endpoints.size());
}

// Section: state dump

Json::Value EndpointPool::state(TimePoint now) const
{
    Json::Value all(Json::arrayValue);
    for (const auto &[id, endpoint] : m_endpoints) {
        Json::Value one;
        one["id"] = id.value();
        one["address"] = endpoint.address;
        one["inUse"] = Json::Int64(endpoint.inUse);
        one["slots"] = Json::Int64(slotsOf(endpoint));
        one["suspectSlots"] = Json::Int64(static_cast<int64_t>(endpoint.suspectSince.size()));
        one["concurrency"] = Json::Int64(endpoint.concurrency);
        one["listed"] = endpoint.isListed;
        one["leaving"] = endpoint.isListedLeaving || endpoint.isReportedLeaving;
        one["ejected"] = endpoint.ejectedUntil > now;
        one["serviceTimeUs"] = Json::Int64(std::chrono::duration_cast<std::chrono::microseconds>(
                                                   endpoint.serviceTime.estimate(now))
                                                   .count());
        all.append(one);
    }
    return all;
}

} // namespace cwl::requests
