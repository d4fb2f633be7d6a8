// All decisions about the requests of one endpoint group, made by its owner. It does no I/O: the
// executor submits requests, performs the sends that dispatch() names, reports how each ended, and
// tells the callers what takeSettled() returns.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "requests/classqueues.h"
#include "requests/endpointpool.h"
#include "requests/idmemory.h"
#include "requests/outcome.h"
#include "requests/requestid.h"
#include "requests/retrybudget.h"
#include "requests/servicetime.h"
#include "settings/cellsettings.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cwl::requests {

// How the owner got the group.
struct GroupStart
{
    TimePoint acquiredAt = {};
    UnixMilliseconds acquiredAtUnix = {};
    bool isFirstOwner = false; // no earlier owner can have sent or run anything
};

struct Submission
{
    std::optional<ParsedRequestId> id = {}; // required when not idempotent
    std::string method = {};
    bool isIdempotent = false;
    UrgencyClass urgency = UrgencyClass::Normal;
    TimePoint deadline = {};
};

struct Admission
{
    enum class Kind {
        Accepted, // queued under `ticket`
        Joined,   // the same id is under way as `ticket`; its outcome is this request's outcome
        Settled,  // `outcome` holds now
    };

    Kind kind = Kind::Settled;
    Ticket ticket = 0;
    SharedOutcome outcome = {};
};

// One request to send now.
struct Send
{
    Ticket ticket = 0;
    EndpointId endpoint;
    TimePoint deadline = {};
};

// A try that takes too long and is to be dropped, because a retry of it has been granted. It is
// ended by finished() like any other; its response still counts if it comes first.
struct GiveUp
{
    Ticket ticket = 0;
    EndpointId endpoint;
};

// One request that ended. Each accepted ticket appears exactly once.
struct Settlement
{
    Ticket ticket = 0;
    SharedOutcome outcome;
};

struct GroupCounters
{
    int64_t accepted = 0;
    int64_t joined = 0;
    int64_t refused = 0; // settled without being accepted
    int64_t sends = 0;
    int64_t retries = 0;
    int64_t givenUp = 0; // tries dropped at their limit
    int64_t answered = 0;
    int64_t notRun = 0;
    int64_t unknown = 0;
};

class EndpointGroup
{
public:
    EndpointGroup(const settings::ServiceSettings &service, const GroupStart &start,
                  IdMemoryOptions memory = {});

    // Section: what the group is told

    void setService(const settings::ServiceSettings &service);
    void setEndpoints(const std::vector<ListedEndpoint> &endpoints, TimePoint now);
    void report(const EndpointId &id, const EndpointStatus &status, TimePoint askedAt);

    Admission submit(const Submission &submission, TimePoint now, UnixMilliseconds unixNow);

    // Ends one send. `outcome` is the complete response for Answered and AnsweredError, else an
    // unknown outcome with the failure.
    void finished(Ticket ticket, SendResult result, Outcome outcome, TimePoint now);

    // Refuses new requests from now on; what was accepted goes on.
    void beginRelease() { m_isReleasing = true; }

    // Settles everything at once, because the group is no longer owned.
    void abandon();

    // Section: what the group decides

    // The sends to perform now. Each must be ended by finished().
    std::vector<Send> dispatch(TimePoint now);

    // The tries to drop now: of idempotent requests, past the limit of the try (three high
    // estimates of the method's service time, at least 500 ms, at most half of the remaining time),
    // while a slot is free for the retry. Each is returned once.
    std::vector<GiveUp> takeGiveUps(TimePoint now);

    std::vector<Settlement> takeSettled();

    // Section: what the group shows

    bool isIdle() const { return m_requests.empty(); } // nothing queued and nothing under way
    double load(TimePoint now);                        // (slots in use + queued) / slots
    int64_t queued() const { return m_queues.queued(); }
    int64_t underWay() const { return static_cast<int64_t>(m_requests.size()) - queued(); }
    int64_t connectionsPerEndpoint() const { return m_pool.connectionsPerEndpoint(); }
    int64_t inUse(const EndpointId &id) const { return m_pool.inUse(id); }
    bool hasSuspectSlots(const EndpointId &id) const { return m_pool.hasSuspectSlots(id); }
    std::vector<ListedEndpoint> endpoints() const { return m_pool.endpoints(); }
    const GroupCounters &counters() const { return m_counters; }
    Json::Value state(TimePoint now) const;

private:
    struct Request
    {
        Submission submission;
        std::optional<EndpointId> endpoint = {};     // while under way
        std::optional<EndpointId> lastEndpoint = {}; // a retry avoids it
        TimePoint sentAt = {};
        int64_t attempts = 0;
        bool mayHaveRun = false;    // an earlier attempt may have run
        bool hasRetryTaken = false; // from the budget, for when the current attempt is dropped
        TimePoint checkTryAt = {};  // key in m_tryLimits, if it has an entry there
    };

    std::optional<Outcome> refusal(const Submission &submission, TimePoint now);
    Duration expectedWait(UrgencyClass urgency, TimePoint now);
    Duration expectedService(const std::string &method, TimePoint now) const;
    void expire(TimePoint now);
    TimePoint tryLimit(const Submission &submission, TimePoint now) const;
    bool mayRetry(const Request &request, SendResult result, TimePoint now);
    void requeue(Ticket ticket, Request &request);
    void settle(Ticket ticket, Outcome outcome);
    void settleUnsent(Ticket ticket, const absl::Status &reason);

    settings::ServiceSettings m_service;
    bool m_isReleasing = false;
    ClassQueues m_queues;
    EndpointPool m_pool;
    IdMemory m_memory;
    RetryBudget m_retryBudget;
    std::map<std::string, ServiceTime> m_methodTimes; // by method; methods come from the settings
    ServiceTime m_groupTime;                          // of all methods
    PerClass<int64_t> m_inUse = {};                   // slots in use by class
    Ticket m_nextTicket = 1;
    std::map<Ticket, Request> m_requests;               // queued or under way
    std::set<std::pair<TimePoint, Ticket>> m_deadlines; // of queued requests
    std::set<std::pair<TimePoint, Ticket>> m_tryLimits; // of tries that may be dropped
    std::vector<Settlement> m_settled;
    GroupCounters m_counters;
};

} // namespace cwl::requests
