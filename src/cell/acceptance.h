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

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::cell {

constexpr size_t maxAcceptBatch = 40;                  // the store takes 100 entries a call
constexpr size_t maxAcceptBytes = 500000;              // and 1 MB, encoded
constexpr size_t maxWaitingEntries = 2000;             // further ones are refused
constexpr Duration acceptAttempt = milliseconds(700);  // for one answer of the store
constexpr Duration acceptPause = milliseconds(60);     // between attempts
constexpr Duration acceptPatience = milliseconds(900); // a certain failure is told after it
constexpr Duration answerMargin = milliseconds(120);   // for the answer to reach the client

enum class Stored {
    Yes,     // by this entry
    Before,  // by an earlier one of the same key, or by an attempt whose answer was lost
    No,      // and it never will be
    Unknown, // it may be, also later
};

class Acceptance
{
public:
    using Callback = std::function<void(Stored)>;

    Acceptance(boost::asio::io_context &context, TableStore &store);

    // `row` is to be stored in its part unless its key exists. Answers by `deadline`.
    void put(Row row, TimePoint deadline, Callback callback);
    size_t waiting() const { return m_waiting; }

private:
    struct Entry
    {
        Row row;
        TimePoint deadline;
        TimePoint patience;
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

    void flush(const std::string &name);
    void onAnswer(const std::string &name, std::vector<std::shared_ptr<Entry>> batch,
                  const absl::StatusOr<TransactionResult> &result);
    void finish(const std::shared_ptr<Entry> &entry, Stored outcome);
    void dropLate(Part &part);

    boost::asio::io_context &m_context;
    TableStore &m_store;
    std::unordered_map<std::string, std::unique_ptr<Part>> m_parts;
    size_t m_waiting = 0;
};

} // namespace cwl::cell
