// Stores accepted jobs and cancellations. Entries that arrive while a write of their part is in
// flight are batched into the next one.
//
// An entry is stored under the condition that its row is absent, so that a job that arrives twice
// stays one job. A job is rejected only when no attempt can have taken effect.

#pragma once

#include "cell/ports.h"
#include "cell/tables.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::cell {

constexpr size_t maxAcceptBatch = 40;      // the store takes 100 entries a call
constexpr size_t maxAcceptBytes = 500000;  // and 1 MB, encoded
constexpr size_t maxPendingEntries = 2000; // further ones are rejected
// Timeout of one attempt: starts at the minimum and doubles with each attempt that times out.
constexpr Duration minAttemptTimeout = milliseconds(330);
constexpr Duration maxAttemptTimeout = milliseconds(1500);
// Counted for an attempt that the store rejects or does not answer: it is overloaded or
// unreachable.
constexpr Duration failedAttemptTime = milliseconds(200);
constexpr int attemptTimeoutFactor = 4;                 // times the smoothed response time
constexpr Duration acceptRetryPause = milliseconds(60); // between attempts
constexpr Duration rejectTimeout = milliseconds(300);   // after which a certain failure is reported
// After which an unknown outcome is reported while the store responds to others. A client does not
// repeat a request after such an answer, and a slow store takes up to a second for a write.
constexpr Duration unknownOutcomeTimeout = milliseconds(2500);
// The store is treated as unresponsive when it has not responded for this long. Polls for changes,
// which every member makes continuously, take up to 400 ms plus the network delay.
constexpr Duration storeResponseLimit = milliseconds(900);
constexpr Duration responseMargin = milliseconds(120); // for the response to reach the client

enum class StoreOutcome {
    Stored,        // by this entry
    AlreadyStored, // by an earlier one of the same key, or by an attempt whose response was lost
    NotStored,     // and will not be stored later
    Unknown,       // may be stored, now or later
};
const char *storeOutcomeName(StoreOutcome stored);

class Acceptance
{
public:
    using Callback = std::function<void(StoreOutcome)>;

    Acceptance(boost::asio::io_context &context, TableStore &store);

    // Called when an entry is rejected because the store is unresponsive.
    std::function<void()> storeUnresponsive;

    // `row` is to be stored in its part unless its key exists. Calls back by `deadline`, and at
    // once without sending anything if the store is unresponsive.
    void put(Row row, TimePoint deadline, Callback callback);
    // The store has responded to another part of this process.
    void noteStoreResponse(TimePoint at) { m_lastResponse = std::max(m_lastResponse, at); }
    // A write by another member on behalf of this one was sent at `sentAt` and has taken effect.
    void noteRelayedWrite(TimePoint sentAt) { recordAttempt(sentAt, true); }
    Duration responseTime() const { return m_responseTime; } // of writes, smoothed
    size_t waiting() const { return m_pendingCount; }
    // How long the store has been unresponsive; zero while it responds.
    Duration outageDuration(TimePoint now) const;

private:
    struct Entry
    {
        Row row;
        TimePoint rejectAt; // while it is certainly not stored
        TimePoint giveUpAt; // once it may be
        Callback callback;
        bool mayBeStored = false;
    };
    struct Part
    {
        explicit Part(boost::asio::io_context &context)
            : timer(context)
        {
        }
        std::deque<std::shared_ptr<Entry>> entries;
        bool isBusy = false;
        boost::asio::basic_waitable_timer<BootClock> timer;
    };

    bool isStoreUnresponsive(TimePoint now) const;
    void recordAttempt(TimePoint sentAt, bool hasResponse);
    void flush(const std::string &name);
    void onResponse(const std::string &name, std::vector<std::shared_ptr<Entry>> batch,
                    TimePoint sentAt, const absl::StatusOr<TransactionResult> &result);
    void finish(const std::shared_ptr<Entry> &entry, StoreOutcome outcome);
    void dropExpired(Part &part);

    boost::asio::io_context &m_context;
    TableStore &m_store;
    std::unordered_map<std::string, std::unique_ptr<Part>> m_parts;
    size_t m_pendingCount = 0;
    TimePoint m_lastResponse = {}; // of the store, to any part of this process
    TimePoint m_lastFailure = {};  // of an attempt here
    Duration m_responseTime = {};  // smoothed
    Duration m_attemptTimeout = minAttemptTimeout;
};

} // namespace cwl::cell
