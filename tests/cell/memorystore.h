// In-memory tables for tests of a single part of a member, without processes.

#pragma once

#include "cell/ports.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cwl::cell::tests {

// Calls back on the thread of the io_context, at once; polls for changes wait for one.
class MemoryStore : public TableStore
{
public:
    explicit MemoryStore(boost::asio::io_context &context);

    void commit(const Transaction &transaction, TimePoint deadline,
                TransactionCallback callback) override;
    void read(const Range &range, TimePoint deadline, PageCallback callback) override;
    void changes(const std::string &table, Revision after, Duration wait, TimePoint deadline,
                 PageCallback callback) override;

    // Value of a row; empty if there is none.
    std::string value(const std::string &table, const std::string &part,
                      const std::string &key) const;
    bool isDown = false;           // every call fails with StoreUnavailable
    bool isSilent = false;         // calls are not answered; nothing is done
    size_t maxRowBytes = SIZE_MAX; // a transaction with a larger value fails with ProtocolError
    bool isFeedSilent = false;     // polls for changes that wait are not answered

private:
    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key

    void answer(std::function<void()> action);
    Page changedAfter(const std::string &table, Revision after) const;

    boost::asio::io_context &m_context;
    std::map<Key, Row> m_rows;
    Revision m_revision = {};
};

} // namespace cwl::cell::tests
