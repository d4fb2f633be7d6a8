// Decides which caller of the advice service gets which query, and when. The service handles one
// query at a time for each calling instance, so the owner distributes its queries over all members.
// Does no I/O and reads no clock.
//
//  - Only members that respond are callers: their rows stay in the store long after they have gone.
//    A member gets queries once it has responded to a probe, and after a failure only once it has
//    responded to another one.
//  - Long queries leave some of the callers that respond to short ones, but never none to
//    themselves.
//  - Queries are sent by priority. A long query needs a caller without any other. While none is in
//    flight, the caller that is idle first is kept for one, since short queries that come steadily
//    would never leave one idle.
//  - A query of low priority that has been wanted for long goes first, one at a time.

#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cwl::cell {

constexpr Duration adviceQueueTimeout = milliseconds(1200); // for a query that waits for a caller
constexpr Duration adviceOverdueTime = milliseconds(1200);  // after which a query goes first
constexpr Duration shortQueryTime = milliseconds(60);       // a caller handles two of these at once
constexpr size_t maxShortPerCaller = 2;
constexpr size_t callersReservedForShort = 2;               // not used by long queries
constexpr int maxAdviceSends = 2;                           // of one query, to different callers
constexpr Duration callerBackoff = seconds(2);              // after a failure of a caller
constexpr Duration callerProbeInterval = milliseconds(500); // of a member that does not respond

class AdviceQueue
{
public:
    using Number = uint64_t;
    struct Query
    {
        int64_t priority = 0;       // the lowest goes first
        Duration expected = {};     // duration of the call
        TimePoint wantedSince = {}; // also by earlier queries for the same step; zero: since now
    };
    struct Assignment
    {
        Number query = 0;
        std::string caller; // address; empty: this process
    };
    struct Counts
    {
        size_t known = 0;      // callers, with this process
        size_t responsive = 0; // of them
        size_t withLong = 0;   // of the responsive ones
        size_t waiting = 0;    // queries
    };

    AdviceQueue();

    void setMembers(const std::vector<std::string> &addresses); // the other members

    Number add(const Query &query, TimePoint now);
    // Returns the queries to send now; they are in flight from then on.
    std::vector<Assignment> assign(TimePoint now);
    // Removes and returns the queries that have waited for `adviceQueueTimeout`.
    std::vector<Number> takeTimedOut(TimePoint now);
    void onAnswered(Number query);
    // The caller did not answer the query. Returns true if the query waits for another caller.
    bool onFailed(Number query, TimePoint now);

    // Returns the members to probe now; none while no query needs a caller.
    std::vector<std::string> takeProbes(TimePoint now);
    void onProbed(const std::string &address, bool hasResponded, TimePoint now);

    Counts counts(TimePoint now) const;

private:
    struct Caller
    {
        bool isResponsive = false;
        bool isProbing = false;
        TimePoint probeAt = {};
        TimePoint pausedUntil = {};
        size_t inFlight = 0;
        bool hasLongQuery = false;

        bool isUsable(TimePoint now) const { return isResponsive && now >= pausedUntil; }
    };
    struct Entry
    {
        Query query;
        TimePoint giveUpAt = {};             // while it waits
        std::string caller = {};             // while it is in flight
        std::vector<std::string> tried = {}; // callers that did not answer it
        bool isOverdue = false;              // it was sent ahead of its turn

        bool isLong() const { return query.expected > shortQueryTime; }
    };
    using Callers = std::map<std::string, Caller>;               // by address
    using Waiting = std::map<std::pair<int64_t, Number>, Entry>; // by priority
    // What one call of assign() may still do.
    struct Pass
    {
        TimePoint now;
        size_t longAllowed = 0;
        size_t shortAllowed = 0;
        bool mayKeep = false;         // a caller for a long query
        const Caller *kept = nullptr; // that caller
        std::vector<Assignment> assignments = {};
    };

    Waiting::iterator overdueQuery(TimePoint now);
    Callers::iterator chooseCaller(const Entry &entry, const Pass &pass);
    // Returns true if the query is in flight now.
    bool assignOne(Waiting::iterator query, Pass &pass);
    Entry takeInFlight(Number query);

    Callers m_callers;
    Waiting m_waiting;
    std::map<Number, Entry> m_inFlight;
    bool m_isOverdueInFlight = false;
    Number m_last = 0;
};

} // namespace cwl::cell
