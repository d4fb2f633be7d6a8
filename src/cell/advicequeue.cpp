#include "cell/advicequeue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cwl::cell {

namespace {

bool contains(const std::vector<std::string> &list, const std::string &entry)
{
    return std::find(list.begin(), list.end(), entry) != list.end();
}

} // namespace

AdviceQueue::AdviceQueue()
{
    m_callers[std::string()].isResponsive = true;
}

void AdviceQueue::setMembers(const std::vector<std::string> &addresses)
{
    std::erase_if(m_callers, [&](const auto &entry) {
        return !entry.first.empty() && !contains(addresses, entry.first);
    });
    for (const std::string &address : addresses)
        m_callers.try_emplace(address);
}

AdviceQueue::Number AdviceQueue::add(const Query &query, TimePoint now)
{
    const Number number = ++m_last;
    Entry &entry = m_queries[number];
    entry.query = query;
    if (query.wantedSince == TimePoint())
        entry.query.wantedSince = now;
    entry.giveUpAt = now + adviceQueueTimeout;
    return number;
}

// The query that has been wanted for longest beyond `adviceOverdueTime`, unless such a query is in
// flight: overdue queries of low priority must not take all callers from urgent ones.
std::optional<AdviceQueue::Number> AdviceQueue::overdueQuery(TimePoint now) const
{
    std::optional<Number> oldest;
    for (const auto &[number, entry] : m_queries) {
        if (entry.caller) {
            if (entry.isOverdue)
                return std::nullopt;
            continue;
        }
        if (now - entry.query.wantedSince >= adviceOverdueTime
            && (!oldest || entry.query.wantedSince < m_queries.at(*oldest).query.wantedSince))
            oldest = number;
    }
    return oldest;
}

std::vector<AdviceQueue::Number> AdviceQueue::waitingInOrder(TimePoint now) const
{
    std::vector<Number> waiting;
    for (const auto &[number, entry] : m_queries) {
        if (!entry.caller)
            waiting.push_back(number);
    }
    const Number first = overdueQuery(now).value_or(0);
    std::sort(waiting.begin(), waiting.end(), [&](Number a, Number b) {
        return std::tuple(a != first, m_queries.at(a).query.priority, a)
                < std::tuple(b != first, m_queries.at(b).query.priority, b);
    });
    return waiting;
}

size_t AdviceQueue::longQueriesAllowed(TimePoint now) const
{
    const Counts count = counts(now);
    const size_t reserved =
            count.responsive == 0 ? 0 : std::min(callersReservedForShort, count.responsive - 1);
    const size_t taken = count.withLong + reserved;
    return count.responsive > taken ? count.responsive - taken : 0;
}

// The caller with the fewest queries that may take one more, or, for a long query, that will be
// idle first.
AdviceQueue::Callers::iterator
AdviceQueue::chooseCaller(const Entry &entry, const std::vector<std::string> &kept, TimePoint now)
{
    auto best = m_callers.end();
    for (auto caller = m_callers.begin(); caller != m_callers.end(); ++caller) {
        const Caller &state = caller->second;
        const bool mayTake = state.isUsable(now) && !state.hasLongQuery
                && (entry.isLong() || state.inFlight < maxShortPerCaller)
                && !contains(kept, caller->first) && !contains(entry.tried, caller->first);
        if (mayTake && (best == m_callers.end() || state.inFlight < best->second.inFlight))
            best = caller;
    }
    return best;
}

std::vector<AdviceQueue::Assignment> AdviceQueue::assign(TimePoint now)
{
    std::vector<Assignment> assignments;
    std::vector<std::string> kept; // for long queries that wait until the caller is idle
    const Number overdue = overdueQuery(now).value_or(0);
    size_t longAllowed = longQueriesAllowed(now);
    size_t shortAllowed = SIZE_MAX;
    for (const Number number : waitingInOrder(now)) {
        Entry &entry = m_queries.at(number);
        size_t &allowed = entry.isLong() ? longAllowed : shortAllowed;
        if (allowed == 0)
            continue;
        const auto caller = chooseCaller(entry, kept, now);
        if (caller == m_callers.end()) {
            if (entry.tried.empty())
                allowed = 0; // no caller is left for the others either
            continue;
        }
        --allowed;
        Caller &state = caller->second;
        if (entry.isLong() && state.inFlight > 0) {
            kept.push_back(caller->first);
            continue;
        }
        ++state.inFlight;
        state.hasLongQuery = entry.isLong();
        entry.caller = caller->first;
        entry.isOverdue = number == overdue;
        assignments.push_back({number, caller->first});
    }
    return assignments;
}

std::vector<AdviceQueue::Number> AdviceQueue::takeTimedOut(TimePoint now)
{
    std::vector<Number> timedOut;
    for (const auto &[number, entry] : m_queries) {
        if (!entry.caller && now >= entry.giveUpAt)
            timedOut.push_back(number);
    }
    for (const Number number : timedOut)
        m_queries.erase(number);
    return timedOut;
}

void AdviceQueue::release(Entry &entry)
{
    const auto caller = m_callers.find(*entry.caller);
    entry.caller.reset();
    if (caller == m_callers.end())
        return; // no member any more
    // The member may have been removed and listed again meanwhile.
    caller->second.inFlight -= std::min<size_t>(1, caller->second.inFlight);
    if (entry.isLong())
        caller->second.hasLongQuery = false;
}

void AdviceQueue::onAnswered(Number query)
{
    release(m_queries.at(query));
    m_queries.erase(query);
}

bool AdviceQueue::onFailed(Number query, TimePoint now)
{
    Entry &entry = m_queries.at(query);
    const std::string address = *entry.caller;
    release(entry);
    const auto caller = m_callers.find(address);
    if (caller != m_callers.end()) {
        caller->second.isResponsive = address.empty(); // this process always responds
        caller->second.pausedUntil = now + callerBackoff;
        caller->second.probeAt = now;
    }
    entry.tried.push_back(address);
    entry.giveUpAt = now + adviceQueueTimeout;
    const bool hasOther = std::any_of(m_callers.begin(), m_callers.end(), [&](const auto &other) {
        return other.second.isUsable(now) && !contains(entry.tried, other.first);
    });
    if (hasOther && entry.tried.size() < size_t(maxAdviceSends))
        return true;
    m_queries.erase(query);
    return false;
}

std::vector<std::string> AdviceQueue::takeProbes(TimePoint now)
{
    std::vector<std::string> addresses;
    if (m_queries.empty())
        return addresses;
    for (auto &[address, caller] : m_callers) {
        if (caller.isResponsive || caller.isProbing || now < caller.probeAt)
            continue;
        caller.isProbing = true;
        addresses.push_back(address);
    }
    return addresses;
}

void AdviceQueue::onProbed(const std::string &address, bool hasResponded, TimePoint now)
{
    const auto caller = m_callers.find(address);
    if (caller == m_callers.end())
        return;
    caller->second.isProbing = false;
    caller->second.isResponsive = hasResponded;
    caller->second.probeAt = now + callerProbeInterval;
}

AdviceQueue::Counts AdviceQueue::counts(TimePoint now) const
{
    Counts count = {.known = m_callers.size()};
    for (const auto &[address, caller] : m_callers) {
        count.responsive += caller.isUsable(now) ? 1 : 0;
        count.withLong += caller.isUsable(now) && caller.hasLongQuery ? 1 : 0;
    }
    count.waiting = size_t(std::count_if(m_queries.begin(), m_queries.end(), [](const auto &entry) {
        return !entry.second.caller.has_value();
    }));
    return count;
}

} // namespace cwl::cell
