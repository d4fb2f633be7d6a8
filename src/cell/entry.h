// The callers' side of a member: accepts and cancels jobs by writing to the store, and queries the
// owner for job states. Runs on a traffic thread; accepting a job needs no owner.

#pragma once

#include "cell/acceptance.h"
#include "cell/configfollower.h"
#include "cell/ownership.h"
#include "cell/ports.h"
#include "cell/relay.h"
#include "cell/storeprobe.h"
#include "cell/tables.h"
#include "http/client.h"
#include "metrics/metrics.h"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cwl::cell {

// Section: limits

constexpr Duration ownerTimeout = milliseconds(350); // of a query to the owner
// Each member opens so many to the owner, which has to accept those of all members.
constexpr size_t maxOwnerConnections = 2;
constexpr Duration storeReadTimeout = milliseconds(900);
// Retry-After for rejected clients. An outage is expected to last as long again as it has lasted,
// but a client has to come back several times before it gives up to find the end of the outage.
constexpr Duration minRetryAfter = seconds(1); // the smallest value that HTTP allows
constexpr Duration maxRetryAfter = seconds(3);
constexpr int triesBeforeDeadline = 3;
constexpr Duration maxWaitingCountAge = milliseconds(1500); // for reuse of a cached count
// While writes take longer, the rows of one part go through one member, which stores them together:
// a part of the store executes its transactions one by one.
constexpr Duration slowStoreTime = milliseconds(60);
constexpr size_t maxJobBytes = 45000; // stored form; a row of the store holds 65,536 in base64

enum class Answer {
    Accepted,    // stored, or cancelled
    Refused,     // certainly not stored: retry later
    TooLarge,    // certainly not stored, and never will be
    Conflict,    // certainly not stored: the id belongs to another customer's job
    Unknown,     // it may be stored
    NotFound,    // no such job
    Found,       // with a state or a count
    Unavailable, // not known at present
};

struct StateResult
{
    Answer answer = Answer::Unavailable;
    jobs::JobState state = jobs::JobState::Queued;
    CustomerId customer = {}; // of the job; empty: none
};

// Whose jobs a caller may see and cancel, beside those that belong to no customer.
struct Requester
{
    bool isRestricted = false; // false while there are no customers: all jobs
    CustomerId customer = {};  // identified by its key; empty: none
};

inline bool mayAccess(const Requester &requester, const CustomerId &owner)
{
    return !requester.isRestricted || owner.isEmpty() || owner == requester.customer;
}

struct CountResult
{
    Answer answer = Answer::Unavailable;
    int64_t waiting = 0;
};

// Queries to the owner when it is this process. They run on the control thread; callbacks may run
// on any thread.
struct LocalOwner
{
    std::function<void(JobId, std::function<void(std::optional<StateResult>)>)> state;
    std::function<void(std::function<void(std::optional<Json::Value>)>)> waiting;
    // The row of a job or of a cancellation, once it is stored.
    std::function<void(std::string key, std::string value)> stored;
};

class Entry
{
public:
    // `address` is where this member serves others, "ip:port".
    Entry(boost::asio::io_context &context, TableStore &store, const RowReader &reader,
          std::string member, std::string address, LocalOwner local, metrics::Registry &metrics);

    void start(); // on the traffic thread

    // Called when the store responds again after it did not.
    std::function<void()> storeRegained;
    // Called with each configuration that comes into force.
    std::function<void(const ConfigFollower::ConfigPointer &config)> configChanged;

    // Section: updates from the control thread; called on the traffic thread

    void setOwner(const OwnerRow &owner); // as stored, or as announced by the owner itself
    void setPeers(std::vector<std::string> addresses) { m_relay.setPeers(std::move(addresses)); }
    void noteStoreResponse(TimePoint at) { m_acceptance.noteStoreResponse(at); }
    void noteStoreFailure() { m_probe.start(); }

    // Section: callers

    ConfigFollower &config() { return m_config; }

    void submit(jobs::JobSpec spec, TimePoint deadline, std::function<void(Answer)> callback);
    // Jobs that the requester may not access count as not found.
    void cancel(const JobId &id, const Requester &requester, TimePoint deadline,
                std::function<void(Answer)> callback);
    void state(const JobId &id, const Requester &requester, TimePoint deadline,
               std::function<void(StateResult)> callback);
    void countWaiting(const std::string &queue, TimePoint deadline,
                      std::function<void(CountResult)> callback);

    // For a client that is rejected now and waits until `deadline` in all.
    Duration retryAfter(TimePoint deadline) const;

    // Section: other members

    // Stores the row of a job or of a cancellation for another member, by `deadline`.
    void storeFor(const std::string &key, std::string value, TimePoint deadline,
                  std::function<void(StoreOutcome)> callback);

private:
    // The customer of a stored job; empty: it has none.
    using JobCallback = std::function<void(absl::StatusOr<std::optional<CustomerId>>)>;

    void readState(const JobId &id, const Requester &requester, TimePoint deadline,
                   std::function<void(StateResult)> callback);
    void readProgress(const JobId &id, TimePoint deadline,
                      std::function<void(StateResult)> callback);
    // Calls back with nullopt if the owner did not respond or does not know the job.
    void askOwner(const JobId &id, TimePoint deadline,
                  std::function<void(std::optional<StateResult>)> callback);
    void findJob(const JobId &id, TimePoint deadline, JobCallback callback);
    // Calls back with nullopt if there is no such job.
    void readJob(const JobId &id, TimePoint deadline, JobCallback callback);
    void confirmRepeat(const JobId &id, const CustomerId &customer, TimePoint deadline,
                       std::function<void(Answer)> callback);
    void queryOwner(const std::string &path, const std::string &query, TimePoint deadline,
                    std::function<void(std::optional<Json::Value>)> callback);
    Answer countOutcome(StoreOutcome stored);
    void collectRow(Row row, const std::string &collector, TimePoint deadline,
                    std::function<void(StoreOutcome)> callback);
    void storeRow(Row row, TimePoint deadline, std::function<void(StoreOutcome)> callback);
    void putLocally(Row row, TimePoint deadline, std::function<void(StoreOutcome)> callback);
    void notifyOwner(const Row &row);
    void onCounts(std::optional<Json::Value> counts);

    boost::asio::io_context &m_context;
    TableStore &m_store;
    const std::string m_member;
    const std::string m_address;
    const LocalOwner m_local;
    Acceptance m_acceptance;
    Relay m_relay;
    ConfigFollower m_config;
    StoreProbe m_probe;
    OwnerRow m_owner = {};
    std::shared_ptr<http::Client> m_ownerClient;
    std::string m_ownerAddress;
    Json::Value m_counts;
    TimePoint m_countsReceivedAt = {};
    metrics::Counter &m_accepted;
    metrics::Counter &m_refused;
    metrics::Counter &m_unknown;
    metrics::Counter &m_relayed;
    metrics::Counter &m_collected;
    metrics::Histogram &m_acceptTime;
};

} // namespace cwl::cell
