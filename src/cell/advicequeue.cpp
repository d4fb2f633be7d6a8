#include "cell/advicequeue.h"

#include <algorithm>

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
    Entry &entry = m_waiting[{query.priority, number}];
    entry.query = query;
    if (query.wantedSince == TimePoint())
        entry.query.wantedSince = now;
    entry.giveUpAt = now + adviceQueueTimeout;
    return number;
}

// The query that has been wanted for longest beyond `adviceOverdueTime`, unless such a query is in
// flight: overdue queries of low priority must not take all callers from urgent ones.
AdviceQueue::Waiting::iterator AdviceQueue::overdueQuery(TimePoint now)
{
    if (m_isOverdueInFlight || m_waiting.empty())
        return m_waiting.end();
    const auto oldest =
            std::min_element(m_waiting.begin(), m_waiting.end(), [](const auto &a, const auto &b) {
                return a.second.query.wantedSince < b.second.query.wantedSince;
            });
    const bool isOverdue = now - oldest->second.query.wantedSince >= adviceOverdueTime;
    return isOverdue ? oldest : m_waiting.end();
}

// The caller with the fewest queries that may take one more, or, for a long query, that will be
// idle first.
AdviceQueue::Callers::iterator AdviceQueue::chooseCaller(const Entry &entry, const Pass &pass)
{
    auto best = m_callers.end();
    for (auto caller = m_callers.begin(); caller != m_callers.end(); ++caller) {
        const Caller &state = caller->second;
        const bool mayTake = state.isUsable(pass.now) && !state.hasLongQuery
                && (entry.isLong() || state.inFlight < maxShortPerCaller) && &state != pass.kept
                && !contains(entry.tried, caller->first);
        if (mayTake && (best == m_callers.end() || state.inFlight < best->second.inFlight))
            best = caller;
    }
    return best;
}

bool AdviceQueue::assignOne(Waiting::iterator query, Pass &pass)
{
    Entry &entry = query->second;
    size_t &allowed = entry.isLong() ? pass.longAllowed : pass.shortAllowed;
    if (allowed == 0)
        return false;
    const auto caller = chooseCaller(entry, pass);
    if (caller == m_callers.end()) {
        if (entry.tried.empty())
            allowed = 0; // no caller is left for the others either
        return false;
    }
    Caller &state = caller->second;
    if (entry.isLong() && state.inFlight > 0) {
        if (pass.mayKeep)
            pass.kept = &state;
        if (entry.tried.empty())
            allowed = 0; // no caller is idle
        pass.mayKeep = false;
        return false;
    }
    --allowed;
    pass.mayKeep = pass.mayKeep && !entry.isLong();
    ++state.inFlight;
    state.hasLongQuery = entry.isLong();
    const Number number = query->first.second;
    pass.assignments.push_back({number, caller->first});
    entry.caller = caller->first;
    m_inFlight.emplace(number, std::move(entry));
    m_waiting.erase(query);
    return true;
}

std::vector<AdviceQueue::Assignment> AdviceQueue::assign(TimePoint now)
{
    if (m_waiting.empty())
        return {};
    const Counts count = counts(now);
    const size_t reserved =
            count.responsive == 0 ? 0 : std::min(callersReservedForShort, count.responsive - 1);
    Pass pass = {.now = now, .shortAllowed = SIZE_MAX, .mayKeep = count.withLong == 0};
    if (count.responsive > reserved + count.withLong)
        pass.longAllowed = count.responsive - reserved - count.withLong;
    const auto overdue = overdueQuery(now);
    if (overdue != m_waiting.end()) {
        const Number number = overdue->first.second;
        if (assignOne(overdue, pass)) {
            m_inFlight.at(number).isOverdue = true;
            m_isOverdueInFlight = true;
        }
    }
    for (auto query = m_waiting.begin(); query != m_waiting.end();) {
        if (pass.longAllowed == 0 && pass.shortAllowed == 0)
            break;
        assignOne(query++, pass);
    }
    return std::move(pass.assignments);
}

std::vector<AdviceQueue::Number> AdviceQueue::takeTimedOut(TimePoint now)
{
    std::vector<Number> timedOut;
    for (auto query = m_waiting.begin(); query != m_waiting.end();) {
        if (now < query->second.giveUpAt) {
            ++query;
            continue;
        }
        timedOut.push_back(query->first.second);
        query = m_waiting.erase(query);
    }
    return timedOut;
}

// Removes the query and frees its place at its caller.
AdviceQueue::Entry AdviceQueue::takeInFlight(Number query)
{
    Entry entry = std::move(m_inFlight.extract(query).mapped());
    m_isOverdueInFlight = m_isOverdueInFlight && !entry.isOverdue;
    entry.isOverdue = false;
    const auto caller = m_callers.find(entry.caller);
    if (caller == m_callers.end())
        return entry; // no member any more
    // The member may have been removed and listed again meanwhile.
    caller->second.inFlight -= std::min<size_t>(1, caller->second.inFlight);
    if (entry.isLong())
        caller->second.hasLongQuery = false;
    return entry;
}

void AdviceQueue::onAnswered(Number query)
{
    takeInFlight(query);
}

bool AdviceQueue::onFailed(Number query, TimePoint now)
{
    Entry entry = takeInFlight(query);
    const auto caller = m_callers.find(entry.caller);
    if (caller != m_callers.end()) {
        caller->second.isResponsive = caller->first.empty(); // this process always responds
        caller->second.pausedUntil = now + callerBackoff;
        caller->second.probeAt = now;
    }
    entry.tried.push_back(std::move(entry.caller));
    entry.giveUpAt = now + adviceQueueTimeout;
    const bool hasOther = std::any_of(m_callers.begin(), m_callers.end(), [&](const auto &other) {
        return other.second.isUsable(now) && !contains(entry.tried, other.first);
    });
    if (!hasOther || entry.tried.size() >= size_t(maxAdviceSends))
        return false;
    const int64_t priority = entry.query.priority;
    m_waiting.emplace(std::pair(priority, query), std::move(entry));
    return true;
}

std::vector<std::string> AdviceQueue::takeProbes(TimePoint now)
{
    std::vector<std::string> addresses;
    if (m_waiting.empty() && m_inFlight.empty())
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
    Counts count = {.known = m_callers.size(), .waiting = m_waiting.size()};
    for (const auto &[address, caller] : m_callers) {
        count.responsive += caller.isUsable(now) ? 1 : 0;
        count.withLong += caller.isUsable(now) && caller.hasLongQuery ? 1 : 0;
    }
    return count;
}

} // namespace cwl::cell
