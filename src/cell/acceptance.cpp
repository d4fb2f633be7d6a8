#include "cell/acceptance.h"

#include "base/error.h"
#include "node/log.h"

#include <algorithm>
#include <array>

namespace cwl::cell {

const char *storeOutcomeName(StoreOutcome stored)
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
    const bool isUnresponsive = isStoreUnresponsive(now);
    if (isUnresponsive && storeUnresponsive)
        storeUnresponsive();
    if (m_pendingCount >= maxPendingEntries || isUnresponsive) {
        callback(StoreOutcome::NotStored);
        return;
    }
    ++m_pendingCount;
    auto entry = std::make_shared<Entry>();
    const std::string name = row.part;
    entry->row = std::move(row);
    entry->rejectAt = std::min(deadline - responseMargin, now + rejectTimeout);
    entry->giveUpAt = std::min(deadline - responseMargin, now + unknownOutcomeTimeout);
    entry->callback = std::move(callback);
    std::unique_ptr<Part> &part = m_parts[name];
    if (!part)
        part = std::make_unique<Part>(m_context);
    part->entries.push_back(std::move(entry));
    if (!part->isBusy)
        flush(name);
}

void Acceptance::finish(const std::shared_ptr<Entry> &entry, StoreOutcome outcome)
{
    --m_pendingCount;
    entry->callback(outcome);
}

void Acceptance::dropExpired(Part &part)
{
    const TimePoint now = BootClock::now();
    for (size_t index = 0; index < part.entries.size();) {
        const std::shared_ptr<Entry> entry = part.entries[index];
        const bool isExpired = isStoreUnresponsive(now)
                || now >= (entry->mayBeStored ? entry->giveUpAt : entry->rejectAt);
        if (!isExpired) {
            ++index;
            continue;
        }
        part.entries.erase(part.entries.begin() + std::ptrdiff_t(index));
        finish(entry, entry->mayBeStored ? StoreOutcome::Unknown : StoreOutcome::NotStored);
    }
}

void Acceptance::flush(const std::string &name)
{
    Part &part = *m_parts.at(name);
    dropExpired(part);
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
        const bool isDuplicate = std::any_of(batch.begin(), batch.end(), [&](const auto &other) {
            return other->row.key == entry->row.key;
        });
        if (isDuplicate)
            break; // a later transaction finds the first one stored
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
    m_store.commit(transaction, now + m_attemptTimeout,
                   [this, name, batch, now](const absl::StatusOr<TransactionResult> &result) {
                       onResponse(name, batch, now, result);
                   });
}

bool Acceptance::isStoreUnresponsive(TimePoint now) const
{
    return m_lastFailure > m_lastResponse && now - m_lastResponse > storeResponseLimit;
}

Duration Acceptance::outageDuration(TimePoint now) const
{
    return isStoreUnresponsive(now) ? now - m_lastResponse : Duration::zero();
}

// Keeps the attempt timeout close to the store's response time, so that a lost response costs
// little more than one that arrives.
void Acceptance::recordAttempt(TimePoint sentAt, bool hasResponse)
{
    const TimePoint now = BootClock::now();
    if (!hasResponse) {
        m_lastFailure = now;
        m_attemptTimeout = std::min(maxAttemptTimeout, 2 * m_attemptTimeout);
        m_responseTime = std::max({m_responseTime, failedAttemptTime, now - sentAt});
        return;
    }
    m_lastResponse = now;
    // Follows a slower store at once: attempts that time out too early are executed all the same.
    const Duration time = now - sentAt;
    m_responseTime += (time - m_responseTime) / (time > m_responseTime ? 2 : 4);
    m_attemptTimeout = std::clamp<Duration>(attemptTimeoutFactor * m_responseTime,
                                            minAttemptTimeout, maxAttemptTimeout);
}

void Acceptance::onResponse(const std::string &name, std::vector<std::shared_ptr<Entry>> batch,
                            TimePoint sentAt, const absl::StatusOr<TransactionResult> &result)
{
    recordAttempt(sentAt, result.ok());
    Part &part = *m_parts.at(name);
    if (result.ok() && result->isCommitted) {
        for (const std::shared_ptr<Entry> &entry : batch)
            finish(entry, StoreOutcome::Stored);
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
    std::vector<std::shared_ptr<Entry>> retries;
    for (const std::shared_ptr<Entry> &entry : batch) {
        const bool exists = result.ok()
                && std::any_of(result->current.begin(), result->current.end(), [&](const Row &row) {
                                return row.key == entry->row.key && row.revision.value() > 0;
                            });
        entry->mayBeStored = entry->mayBeStored || isUnknown;
        if (exists)
            finish(entry, StoreOutcome::AlreadyStored);
        else
            retries.push_back(entry);
    }
    part.entries.insert(part.entries.begin(), retries.begin(), retries.end());
    if (result.ok()) {
        flush(name);
        return;
    }
    part.timer.expires_after(acceptRetryPause);
    part.timer.async_wait([this, name](boost::system::error_code error) {
        if (!error)
            flush(name);
    });
}

} // namespace cwl::cell
