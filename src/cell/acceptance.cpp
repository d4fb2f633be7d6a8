#include "cell/acceptance.h"

#include "base/error.h"
#include "node/log.h"

#include <algorithm>

namespace cwl::cell {

Acceptance::Acceptance(boost::asio::io_context &context, TableStore &store)
    : m_context(context)
    , m_store(store)
{
}

void Acceptance::put(Row row, TimePoint deadline, Callback callback)
{
    if (m_waiting >= maxWaitingEntries) {
        callback(Stored::No);
        return;
    }
    ++m_waiting;
    const TimePoint now = BootClock::now();
    auto entry = std::make_shared<Entry>();
    const std::string name = row.part;
    entry->row = std::move(row);
    entry->deadline = deadline;
    entry->patience = std::min(deadline - answerMargin, now + acceptPatience);
    entry->callback = std::move(callback);
    std::unique_ptr<Part> &part = m_parts[name];
    if (!part)
        part = std::make_unique<Part>(m_context);
    part->entries.push_back(std::move(entry));
    if (!part->isBusy)
        flush(name);
}

void Acceptance::finish(const std::shared_ptr<Entry> &entry, Stored outcome)
{
    --m_waiting;
    entry->callback(outcome);
}

void Acceptance::dropLate(Part &part)
{
    const TimePoint now = BootClock::now();
    for (size_t index = 0; index < part.entries.size();) {
        const std::shared_ptr<Entry> entry = part.entries[index];
        const bool isOver =
                entry->mayBeStored ? now >= entry->deadline - answerMargin : now >= entry->patience;
        if (!isOver) {
            ++index;
            continue;
        }
        part.entries.erase(part.entries.begin() + std::ptrdiff_t(index));
        finish(entry, entry->mayBeStored ? Stored::Unknown : Stored::No);
    }
}

void Acceptance::flush(const std::string &name)
{
    Part &part = *m_parts.at(name);
    dropLate(part);
    if (part.entries.empty()) {
        part.isBusy = false;
        return;
    }
    part.isBusy = true;
    std::vector<std::shared_ptr<Entry>> batch;
    Transaction transaction;
    size_t bytes = 0;
    while (!part.entries.empty() && batch.size() < maxAcceptBatch && bytes < maxAcceptBytes) {
        const std::shared_ptr<Entry> entry = part.entries.front();
        const bool isTwice = std::any_of(batch.begin(), batch.end(), [&](const auto &other) {
            return other->row.key == entry->row.key;
        });
        if (isTwice)
            break; // it finds the first one stored
        part.entries.pop_front();
        bytes += entry->row.value.size();
        Row expected = entry->row;
        expected.value.clear();
        expected.revision = Revision(0);
        transaction.expected.push_back(std::move(expected));
        transaction.writes.push_back(entry->row);
        batch.push_back(entry);
    }
    m_store.commit(transaction, BootClock::now() + acceptAttempt,
                   [this, name, batch](const absl::StatusOr<TransactionResult> &result) {
                       onAnswer(name, batch, result);
                   });
}

void Acceptance::onAnswer(const std::string &name, std::vector<std::shared_ptr<Entry>> batch,
                          const absl::StatusOr<TransactionResult> &result)
{
    Part &part = *m_parts.at(name);
    if (result.ok() && result->isCommitted) {
        for (const std::shared_ptr<Entry> &entry : batch)
            finish(entry, Stored::Yes);
        flush(name);
        return;
    }
    const bool isUnknown = !result.ok() && failureOf(result.status()) != Failure::StoreUnavailable;
    if (!result.ok())
        log::info("accept_write_failed",
                  {{"part", name},
                   {"entries", batch.size()},
                   {"job", batch.front()->row.key},
                   {"error", result.status()}});
    std::vector<std::shared_ptr<Entry>> again;
    for (const std::shared_ptr<Entry> &entry : batch) {
        const bool exists = result.ok()
                && std::any_of(result->current.begin(), result->current.end(), [&](const Row &row) {
                                return row.key == entry->row.key && row.revision.value() > 0;
                            });
        entry->mayBeStored = entry->mayBeStored || isUnknown;
        if (exists)
            finish(entry, Stored::Before);
        else
            again.push_back(entry);
    }
    part.entries.insert(part.entries.begin(), again.begin(), again.end());
    if (result.ok()) {
        flush(name);
        return;
    }
    part.timer.expires_after(acceptPause);
    part.timer.async_wait([this, name](boost::system::error_code error) {
        if (!error)
            flush(name);
    });
}

} // namespace cwl::cell
