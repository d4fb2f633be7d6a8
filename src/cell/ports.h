// The platform as the cell sees it: versioned tables, workers and the advice service. The
// implementations only translate to the platform's protocol.
//
// Callbacks run on the thread of the io_context that the implementation was made with, once each.

#pragma once

#include "base/clock.h"
#include "base/units.h"
#include "jobs/dispatcher.h"
#include "jobs/types.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cwl::cell {

// Section: tables

struct Row
{
    std::string table;
    std::string part; // rows of one part are written together
    std::string key;
    std::string value = {}; // any bytes
    Revision revision = {}; // 0: the row is absent
    bool isDeleted = false; // in a feed
};

struct Transaction
{
    std::vector<Row> expected = {}; // table, part, key, revision; all must hold
    std::vector<Row> writes = {};
    std::vector<Row> removals = {};
};

// A transaction took effect, or one of its conditions did not hold.
struct TransactionResult
{
    bool isCommitted = false;
    Revision revision = {};        // of the rows written
    std::vector<Row> current = {}; // of the rows expected, where a condition did not hold
};

struct Range
{
    std::string table;
    std::string part = {};
    std::string from = {};  // first key
    std::string until = {}; // first key after the range; empty: to the end
};

struct Page
{
    std::vector<Row> rows = {};
    bool hasMore = false;
    Revision revision = {}; // of the store
};

// Failures: StoreUnavailable (certainly nothing was done), StoreOutcomeUnknown (it may have been
// done, or may be done later), HistoryLost (changes() only: read the whole table again),
// ProtocolError.
class TableStore
{
public:
    using TransactionCallback = std::function<void(absl::StatusOr<TransactionResult>)>;
    using PageCallback = std::function<void(absl::StatusOr<Page>)>;

    virtual ~TableStore() = default;
    virtual void commit(const Transaction &transaction, TimePoint deadline,
                        TransactionCallback callback) = 0;
    virtual void read(const Range &range, TimePoint deadline, PageCallback callback) = 0;
    // Calls back as soon as there is a change after `after`, or with no rows after `wait`.
    virtual void changes(const std::string &table, Revision after, Duration wait,
                         TimePoint deadline, PageCallback callback) = 0;
};

// Section: workers

struct WorkerTarget
{
    WorkerId id;
    std::string address;
};

// The result of a poll: a report, or why there is none.
struct WatchResult
{
    jobs::OrderAnswer answer = jobs::OrderAnswer::Unknown; // Accepted: `report` holds
    jobs::WorkerReport report = {};
    TimePoint sentAt = {};         // when the poll was written to its connection
    bool isIdentification = false; // the poll only asked which process answers; see watch()
};

class WorkerGateway
{
public:
    using OrderCallback = std::function<void(jobs::OrderAnswer)>;
    using WatchCallback = std::function<void(WatchResult)>;

    virtual ~WorkerGateway() = default;
    // A connection that was opened after the last report is used only once a poll on it has shown
    // that it leads to the order's incarnation; NotSent if it does not.
    virtual void start(const jobs::StartOrder &order, Epoch epoch, TimePoint deadline,
                       OrderCallback callback) = 0;
    virtual void stop(const jobs::StopOrder &order, Epoch epoch, TimePoint deadline,
                      OrderCallback callback) = 0;
    virtual void pace(const jobs::PaceOrder &order, Epoch epoch, TimePoint deadline,
                      OrderCallback callback) = 0;
    // Calls back when a run ends, or after `wait`. The connection is kept for the next poll of the
    // worker if `keepsConnection`, else it is shared with orders and other workers. A connection
    // that was opened after the last report may lead to another process of the worker. The poll on
    // it acknowledges nothing, renews no lease and does not wait; its report tells which process
    // answers, and the next poll on that connection does the rest.
    virtual void watch(const WorkerTarget &target, const jobs::WatchOrder &order, Epoch epoch,
                       Duration wait, bool keepsConnection, TimePoint deadline,
                       WatchCallback callback) = 0;
    virtual void closeConnections(const WorkerTarget &target) = 0; // closes its connections
};

// Section: advice

class AdviceService
{
public:
    using Callback = std::function<void(absl::StatusOr<std::vector<jobs::AllowedWorker>>)>;

    virtual ~AdviceService() = default;
    virtual void ask(const std::string &step, const std::vector<WorkerId> &workers,
                     TimePoint deadline, Callback callback) = 0;
};

// Section: rows written by operators and workers

// Decodes rows that the system does not write itself. Error: MalformedBody; such a row is skipped.
struct RowReader
{
    absl::StatusOr<jobs::CellConfig> (*config)(const std::string &value) = nullptr;
    absl::StatusOr<jobs::WorkerEntry> (*worker)(const std::string &id,
                                                const std::string &value) = nullptr;
    std::string configTable;  // with the row of the configuration ...
    std::string configKey;    // ... under this key
    std::string workersTable; // with a row for each worker, under its id
};

} // namespace cwl::cell
