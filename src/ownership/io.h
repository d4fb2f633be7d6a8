// Interface of the runner to the store, other members and the clock. member.cpp binds it to the
// platform client and RPC; tests bind it to a simulation.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "platform/platform.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cwl::ownership {

using CallCallback = std::function<void(absl::StatusOr<Json::Value>)>;

// Every callback runs later on the control thread, never from within the call itself.
struct Transport
{
    std::function<TimePoint()> now;
    std::function<std::string()> randomId; // for a new member or change
    std::function<void(platform::Commit, TimePoint deadline, platform::CommitCallback)> commit;
    std::function<void(std::vector<platform::Read>, TimePoint deadline, platform::ReadCallback)>
            read;
    std::function<void(const std::string &address, const std::string &method, Json::Value,
                       TimePoint deadline, CallCallback)>
            call;
};

// Counts reads and writes of the store: totals and maxima per second.
class StoreUsage
{
public:
    void addReads(int64_t count, TimePoint now);
    void addWrites(int64_t count, TimePoint now);
    Json::Value state() const;

private:
    void startSecond(TimePoint now);

    TimePoint m_secondStart = {};
    int64_t m_reads = 0;
    int64_t m_writes = 0;
    int64_t m_readsThisSecond = 0;
    int64_t m_writesThisSecond = 0;
    int64_t m_maxReadsPerSecond = 0;
    int64_t m_maxWritesPerSecond = 0;
};

// Calls on behalf of one incarnation of the member. Results that arrive after this object is
// destroyed are dropped. `check` runs before and after each callback. It may destroy this object;
// then the callback is skipped.
class Io
{
public:
    Io(const Transport &transport, StoreUsage &use, std::function<void()> check);

    TimePoint now() const { return m_transport.now(); }
    std::string randomId() const { return m_transport.randomId(); }
    void commit(platform::Commit commit, Duration timeout, platform::CommitCallback callback);
    void read(std::vector<platform::Read> reads, Duration timeout, platform::ReadCallback callback);
    void call(const std::string &address, const std::string &method, Json::Value parameters,
              Duration timeout, CallCallback callback);

private:
    template <typename Result>
    std::function<void(Result)> guarded(std::function<void(Result)> callback) const;

    const Transport &m_transport;
    StoreUsage &m_storeUsage;
    std::shared_ptr<const std::function<void()>> m_check; // expires with this object
};

} // namespace cwl::ownership
