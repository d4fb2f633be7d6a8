// The endpoints of one group: which may be sent to, how many slots each has in use, and which gets
// the next request.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "requests/servicetime.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cwl::requests {

constexpr Duration maxRequestDeadline = seconds(30); // nothing that was sent runs for longer

struct EndpointLimits
{
    int64_t slots = 8;        // requests that run at once on one endpoint
    int64_t connections = 64; // open to one endpoint; one of them is kept for /status
};

// An endpoint as the instance list shows it.
struct ListedEndpoint
{
    EndpointId id;
    std::string address;    // "ip:port"
    bool isLeaving = false; // gets no new request
};

// An endpoint's own report, GET /status.
struct EndpointStatus
{
    int64_t slots = 0;      // 0 if it names none
    int64_t active = 0;     // requests that run there now
    bool isLeaving = false; // gets no new request
};

// How one send to an endpoint ended.
enum class SendResult {
    Answered,      // a complete response
    AnsweredError, // a complete response with a status of 500 or more
    NotSent,       // certainly nothing reached the endpoint
    MayHaveRun,    // no complete response, and the endpoint may be working on it still
};

class EndpointPool
{
public:
    // `slotsSuspectUntil` is the time until which slots of an endpoint that is seen for the first
    // time count as in use, because an earlier owner may have filled them; empty for a first owner.
    EndpointPool(const EndpointLimits &limits, std::optional<TimePoint> slotsSuspectUntil)
        : m_limits(limits)
        , m_suspectUntil(slotsSuspectUntil)
    {
    }

    void setLimits(const EndpointLimits &limits) { m_limits = limits; }

    // Replaces the list. An endpoint that is gone is dropped once nothing runs on it.
    void setEndpoints(const std::vector<ListedEndpoint> &endpoints, TimePoint now);

    // Takes an endpoint's report that was asked for at `askedAt`.
    void report(const EndpointId &id, const EndpointStatus &status, TimePoint askedAt);

    // The endpoint for the next request: the one with the least observed load that has a free slot,
    // if possible another than `avoid`.
    std::optional<EndpointId> choose(TimePoint now, const std::optional<EndpointId> &avoid);

    void sent(const EndpointId &id);
    void finished(const EndpointId &id, SendResult result, Duration elapsed, TimePoint now);

    int64_t usableSlots(TimePoint now); // of endpoints that may be sent to, in use or not
    int64_t freeSlots(TimePoint now);
    int64_t inUse(const EndpointId &id) const;        // sent by this owner
    bool hasSuspectSlots(const EndpointId &id) const; // in use by others, as far as is known
    bool hasEndpoints() const;                        // some endpoint is neither leaving nor gone

    // The earliest time at which an ejected endpoint is tried again, if all are ejected.
    std::optional<TimePoint> allEjectedUntil(TimePoint now) const;

    // Open at most this many connections to one endpoint: a slot needs one, and /status one more.
    int64_t connectionsPerEndpoint() const;

    std::vector<ListedEndpoint> endpoints() const; // those not gone, or with requests under way
    Json::Value state(TimePoint now) const;

private:
    struct Endpoint
    {
        std::string address = {};
        bool isListed = true;
        bool isListedLeaving = false;
        bool isReportedLeaving = false;
        int64_t inUse = 0;                        // sent by this owner and not finished
        std::vector<TimePoint> suspectSince = {}; // one per slot that may be in use otherwise
        std::vector<TimePoint> suspectUntil = {}; // parallel: when that slot is certainly free
        int64_t reportedSlots = 0;                // 0 if never reported
        int64_t concurrency = 0;                  // allowed now, at most the slots
        int64_t answersSinceChange = 0;           // of the concurrency
        ServiceTime serviceTime = {};
        int64_t failuresInRow = 0;
        int64_t ejections = 0; // since the last time it served well
        TimePoint ejectedUntil = {};
        bool isReturning = false; // after an ejection, until it serves well
    };

    int64_t slotsOf(const Endpoint &endpoint) const;
    int64_t freeSlotsOf(const Endpoint &endpoint) const;
    static bool isUsable(const Endpoint &endpoint, TimePoint now);
    void dropExpiredSuspects(TimePoint now);
    void recordSuccess(Endpoint &endpoint, Duration elapsed, TimePoint now);
    void recordFailure(Endpoint &endpoint, TimePoint now);
    void adaptConcurrency(Endpoint &endpoint, TimePoint now);
    void eject(Endpoint &endpoint, TimePoint now);
    std::optional<Duration> typicalServiceTime(const Endpoint &except, TimePoint now) const;
    bool mayEjectHalf(TimePoint now) const;
    void dropGone();

    EndpointLimits m_limits;
    std::optional<TimePoint> m_suspectUntil;
    std::map<EndpointId, Endpoint> m_endpoints;
};

} // namespace cwl::requests
