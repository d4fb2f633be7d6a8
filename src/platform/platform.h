// Client of the platform: transactional tables, objects and the list of instances.
//
// Every write carries a change id. When the answer of a commit is lost, the client reads the
// outcome by that id before it reports anything. Reads and writes are batched and capped per
// second, and a circuit breaker keeps a store that is down from being flooded.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cwl::platform {

struct Row
{
    std::string key;   // within its table
    Json::Value value; // null when absent
    Revision revision; // 0 when absent
};

struct Condition
{
    std::string table;
    std::string key;
    Revision revision; // the row must have it; 0 means that the row must be absent
};

struct Write
{
    std::string table;
    std::string key;
    Json::Value value; // null deletes the row
};

struct Commit
{
    ChangeId changeId; // the same id again writes nothing and gives the first answer
    std::vector<Condition> conditions = {}; // all must hold
    std::vector<Write> writes = {};         // all or none take effect
};

// One read: a key, or all keys with a prefix.
struct Read
{
    std::string table;
    std::optional<std::string> key = {};
    std::optional<std::string> prefix = {};
};

enum class InstanceKind { Worker, Endpoint, System };
enum class InstanceState { Live, Leaving };

// An entry of the platform's lagging list. An instance that is gone is not listed.
struct Instance
{
    InstanceId id;
    InstanceKind kind = InstanceKind::Worker;
    std::string address; // "ip:port"
    DataCentreId dataCentre = {};
    std::string region = {};
    RackId rack = {};
    ServiceId service = {}; // endpoints only
    InstanceState state = InstanceState::Live;
    Resources capacity = {}; // workers only
};

struct ClientOptions
{
    std::string address;                   // of the platform, "ip:port"
    int64_t maxReadsPerSecond = 80;        // this process's part of the cell's budget of 1,000
    int64_t maxWritesPerSecond = 25;       // this process's part of the cell's budget of 300
    Duration attemptTimeout = seconds(1);  // of one HTTP request
    Duration breakerOpenTime = seconds(1); // first pause after repeated failures; doubles up to 4 s
};

// Revision of a commit that took effect. Failures: Conflict (nothing was written; detail.field
// names "table/key"), StoreUnavailable (certainly nothing was written), StoreOutcomeUnknown (may
// have been written).
using CommitCallback = std::function<void(absl::StatusOr<Revision>)>;
using ReadCallback = std::function<void(absl::StatusOr<std::vector<std::vector<Row>>>)>;
using InstancesCallback = std::function<void(absl::StatusOr<std::vector<Instance>>)>;
using ObjectCallback = std::function<void(absl::StatusOr<std::string>)>;

// All calls and callbacks are on the thread that runs the io_context.
class Client
{
public:
    static absl::StatusOr<std::unique_ptr<Client>> create(boost::asio::io_context &context,
                                                          const ClientOptions &options);
    ~Client();

    void commit(Commit commit, TimePoint deadline, CommitCallback callback);
    void read(std::vector<Read> reads, TimePoint deadline, ReadCallback callback);
    void instances(TimePoint deadline, InstancesCallback callback);
    void putObject(const std::string &name, std::string content, TimePoint deadline,
                   std::function<void(absl::Status)> callback);
    void object(const std::string &name, TimePoint deadline, ObjectCallback callback);

    // False while the circuit breaker holds calls back.
    bool isAvailable() const;
    Json::Value state() const; // budgets, breaker, counts of reads, writes and failures

private:
    class Implementation;
    explicit Client(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cwl::platform
