// The narrow interface through which the runner reaches the store, other members and the clock. It
// is bound to the platform client and to RPC in member.cpp, and to simulated ones in tests.

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

// Every callback is called later, never from within the call, on the control thread.
struct Transport
{
    std::function<TimePoint()> now;
    std::function<std::string()> randomId; // of a new member or change
    std::function<void(platform::Commit, TimePoint deadline, platform::CommitCallback)> commit;
    std::function<void(std::vector<platform::Read>, TimePoint deadline, platform::ReadCallback)>
            read;
    std::function<void(const std::string &address, const std::string &method, Json::Value,
                       TimePoint deadline, CallCallback)>
            call;
};

// Reads and writes of the store, in all and per second.
class StoreUse
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

// Calls on behalf of one incarnation of the member. Answers that arrive after this object was
// destroyed are dropped. `check` runs before and after each answer is handled; it may destroy this
// object, in which case the answer is dropped.
class Io
{
public:
    Io(const Transport &transport, StoreUse &use, std::function<void()> check);

    TimePoint now() const { return m_transport.now(); }
    std::string randomId() const { return m_transport.randomId(); }
    void commit(platform::Commit commit, Duration timeout, platform::CommitCallback callback);
    void read(std::vector<platform::Read> reads, Duration timeout, platform::ReadCallback callback);
    void call(const std::string &address, const std::string &method, Json::Value parameters,
              Duration timeout, CallCallback callback);

private:
    template <typename Answer>
    std::function<void(Answer)> guarded(std::function<void(Answer)> callback) const;

    const Transport &m_transport;
    StoreUse &m_use;
    std::shared_ptr<const std::function<void()>> m_check; // its lifetime is that of this object
};

} // namespace cwl::ownership
