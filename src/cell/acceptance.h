// Stores accepted jobs and cancellations. Entries that arrive while a write of their part is on its
// way go together into the next one.
//
// An entry is stored under the condition that its row is absent, so that a job that arrives twice
// stays one job. A refusal is given only when no attempt can have taken effect.

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
constexpr size_t maxWaitingEntries = 2000; // further ones are refused
// For one answer of the store: the shortest limit, doubled with each attempt that meets it.
constexpr Duration shortestAttempt = milliseconds(330);
constexpr Duration longestAttempt = milliseconds(880);
constexpr int attemptFactor = 4;                        // of the smoothed time of an answer
constexpr Duration acceptPause = milliseconds(60);      // between attempts
constexpr Duration refusalPatience = milliseconds(300); // a certain failure is told after it
constexpr Duration acceptPatience = milliseconds(900);  // an uncertain one
// The store is taken for silent when nothing has reached it for so long; looks for changes, which
// every member makes all the time, take up to 400 ms and a way.
constexpr Duration storeSilence = milliseconds(900);
constexpr Duration answerMargin = milliseconds(120); // for the answer to reach the client

enum class Stored {
    Yes,     // by this entry
    Before,  // by an earlier one of the same key, or by an attempt whose answer was lost
    No,      // and it never will be
    Unknown, // it may be, also later
};
const char *storedName(Stored stored);

class Acceptance
{
public:
    using Callback = std::function<void(Stored)>;

    Acceptance(boost::asio::io_context &context, TableStore &store);

    // `row` is to be stored in its part unless its key exists. Answers by `deadline`, and soon if
    // the store is silent: then nothing is sent.
    void put(Row row, TimePoint deadline, Callback callback);
    // The store has answered another part of this process.
    void noteStoreAnswered(TimePoint at) { m_lastAnswer = std::max(m_lastAnswer, at); }
    size_t waiting() const { return m_waiting; }
    // How long the store has been silent; zero while it answers.
    Duration silence(TimePoint now) const;

private:
    struct Entry
    {
        Row row;
        TimePoint refuseAt; // while it is certainly not stored
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

    bool isSilent(TimePoint now) const;
    void noteAttempt(TimePoint sentAt, bool isAnswered);
    void flush(const std::string &name);
    void onAnswer(const std::string &name, std::vector<std::shared_ptr<Entry>> batch,
                  TimePoint sentAt, const absl::StatusOr<TransactionResult> &result);
    void finish(const std::shared_ptr<Entry> &entry, Stored outcome);
    void dropLate(Part &part);

    boost::asio::io_context &m_context;
    TableStore &m_store;
    std::unordered_map<std::string, std::unique_ptr<Part>> m_parts;
    size_t m_waiting = 0;
    TimePoint m_lastAnswer = {};  // of the store, to any part of this process
    TimePoint m_lastFailure = {}; // of an attempt here
    Duration m_answerTime = {};   // smoothed
    Duration m_attemptLimit = shortestAttempt;
};

} // namespace cwl::cell
