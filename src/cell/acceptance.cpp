#include "cell/acceptance.h"

#include "base/error.h"
#include "node/log.h"

#include <algorithm>
#include <array>

namespace cwl::cell {

const char *storedName(Stored stored)
{
    constexpr std::array names = {"yes", "before", "no", "unknown"};
    return names[size_t(stored)];
}

Acceptance::Acceptance(boost::asio::io_context &context, TableStore &store)
    : m_context(context)
    , m_store(store)
{
}

void Acceptance::put(Row row, TimePoint deadline, Callback callback)
{
    const TimePoint now = BootClock::now();
    if (m_waiting >= maxWaitingEntries || isSilent(now)) {
        callback(Stored::No);
        return;
    }
    ++m_waiting;
    auto entry = std::make_shared<Entry>();
    const std::string name = row.part;
    entry->row = std::move(row);
    entry->refuseAt = std::min(deadline - answerMargin, now + refusalPatience);
    entry->giveUpAt = std::min(deadline - answerMargin, now + acceptPatience);
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
                isSilent(now) || now >= (entry->mayBeStored ? entry->giveUpAt : entry->refuseAt);
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
    const TimePoint now = BootClock::now();
    m_store.commit(transaction, now + m_attemptLimit,
                   [this, name, batch, now](const absl::StatusOr<TransactionResult> &result) {
                       onAnswer(name, batch, now, result);
                   });
}

bool Acceptance::isSilent(TimePoint now) const
{
    return m_lastFailure > m_lastAnswer && now - m_lastAnswer > storeSilence;
}

Duration Acceptance::silence(TimePoint now) const
{
    return isSilent(now) ? now - m_lastAnswer : Duration::zero();
}

// Keeps the limit of an attempt in step with the store: an answer that is lost should not cost
// much more than one that comes.
void Acceptance::noteAttempt(TimePoint sentAt, bool isAnswered)
{
    const TimePoint now = BootClock::now();
    if (!isAnswered) {
        m_lastFailure = now;
        m_attemptLimit = std::min(longestAttempt, 2 * m_attemptLimit);
        return;
    }
    m_lastAnswer = now;
    m_answerTime += (now - sentAt - m_answerTime) / 4;
    m_attemptLimit =
            std::clamp<Duration>(attemptFactor * m_answerTime, shortestAttempt, longestAttempt);
}

void Acceptance::onAnswer(const std::string &name, std::vector<std::shared_ptr<Entry>> batch,
                          TimePoint sentAt, const absl::StatusOr<TransactionResult> &result)
{
    noteAttempt(sentAt, result.ok());
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
