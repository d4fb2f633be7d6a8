#include "cell/memorystore.h"

#include "base/error.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace cwl::cell::tests {

namespace {

constexpr Duration pollInterval = milliseconds(10); // of a call that waits for a change

absl::Status unavailable()
{
    return makeError(Failure::StoreUnavailable, "the store is down");
}

} // namespace

MemoryStore::MemoryStore(boost::asio::io_context &context)
    : m_context(context)
{
}

void MemoryStore::answer(std::function<void()> action)
{
    boost::asio::post(m_context, std::move(action));
}

void MemoryStore::commit(const Transaction &transaction, TimePoint, TransactionCallback callback)
{
    if (isSilent)
        return;
    if (isDown) {
        answer([callback = std::move(callback)] { callback(unavailable()); });
        return;
    }
    const bool isTooLarge =
            std::any_of(transaction.writes.begin(), transaction.writes.end(),
                        [this](const Row &row) { return row.value.size() > maxRowBytes; });
    if (isTooLarge) {
        answer([callback = std::move(callback)] {
            callback(makeError(Failure::ProtocolError, "a value is too long"));
        });
        return;
    }
    TransactionResult result;
    result.isCommitted = true;
    for (const Row &expected : transaction.expected) {
        const auto found = m_rows.find({expected.table, expected.part, expected.key});
        const Revision current = found == m_rows.end() ? Revision(0) : found->second.revision;
        result.isCommitted = result.isCommitted && current == expected.revision;
        if (found != m_rows.end())
            result.current.push_back(found->second);
    }
    if (result.isCommitted) {
        m_revision += Revision(1);
        result.current.clear();
        for (Row row : transaction.writes) {
            row.revision = m_revision;
            m_rows[{row.table, row.part, row.key}] = std::move(row);
        }
        for (const Row &row : transaction.removals)
            m_rows.erase({row.table, row.part, row.key});
    }
    result.revision = m_revision;
    answer([callback = std::move(callback), result] { callback(result); });
}

void MemoryStore::read(const Range &range, TimePoint, PageCallback callback)
{
    if (isSilent)
        return;
    if (isDown) {
        answer([callback = std::move(callback)] { callback(unavailable()); });
        return;
    }
    Page page;
    page.revision = m_revision;
    for (const auto &[key, row] : m_rows) {
        if (row.table == range.table && row.part == range.part && row.key >= range.from
            && (range.until.empty() || row.key < range.until))
            page.rows.push_back(row);
    }
    answer([callback = std::move(callback), page] { callback(page); });
}

Page MemoryStore::changedAfter(const std::string &table, Revision after) const
{
    Page page;
    page.revision = m_revision;
    for (const auto &[key, row] : m_rows) {
        if (row.table == table && row.revision > after)
            page.rows.push_back(row);
    }
    return page;
}

void MemoryStore::changes(const std::string &table, Revision after, Duration wait,
                          TimePoint deadline, PageCallback callback)
{
    if (isSilent)
        return;
    if (isDown) {
        answer([callback = std::move(callback)] { callback(unavailable()); });
        return;
    }
    if (isFeedSilent && wait > Duration::zero())
        return;
    const Page page = changedAfter(table, after);
    if (!page.rows.empty() || wait <= Duration::zero()) {
        answer([callback = std::move(callback), page] { callback(page); });
        return;
    }
    auto timer = std::make_shared<boost::asio::basic_waitable_timer<BootClock>>(m_context);
    timer->expires_after(pollInterval);
    timer->async_wait([=, this, callback = std::move(callback)](boost::system::error_code error) {
        if (!error)
            changes(table, after, wait - pollInterval, deadline, callback);
        (void)timer;
    });
}

std::string MemoryStore::value(const std::string &table, const std::string &part,
                               const std::string &key) const
{
    const auto found = m_rows.find({table, part, key});
    return found == m_rows.end() ? std::string() : found->second.value;
}

} // namespace cwl::cell::tests
