#include "ownership/io.h"

#include <algorithm>
#include <utility>

namespace cwl::ownership {

void StoreUsage::addReads(int64_t count, TimePoint now)
{
    startSecond(now);
    m_reads += count;
    m_readsThisSecond += count;
    m_maxReadsPerSecond = std::max(m_maxReadsPerSecond, m_readsThisSecond);
}

void StoreUsage::addWrites(int64_t count, TimePoint now)
{
    startSecond(now);
    m_writes += count;
    m_writesThisSecond += count;
    m_maxWritesPerSecond = std::max(m_maxWritesPerSecond, m_writesThisSecond);
}

Json::Value StoreUsage::state() const
{
    Json::Value state;
    state["reads"] = Json::Int64(m_reads);
    state["writes"] = Json::Int64(m_writes);
    state["maxReadsPerSecond"] = Json::Int64(m_maxReadsPerSecond);
    state["maxWritesPerSecond"] = Json::Int64(m_maxWritesPerSecond);
    return state;
}

void StoreUsage::startSecond(TimePoint now)
{
    if (now - m_secondStart < seconds(1))
        return;
    m_secondStart = now;
    m_readsThisSecond = 0;
    m_writesThisSecond = 0;
}

Io::Io(const Transport &transport, StoreUsage &use, std::function<void()> check)
    : m_transport(transport)
    , m_storeUsage(use)
    , m_check(std::make_shared<const std::function<void()>>(std::move(check)))
{
}

template <typename Result>
std::function<void(Result)> Io::guarded(std::function<void(Result)> callback) const
{
    const std::weak_ptr<const std::function<void()>> weak = m_check;
    return [weak, callback = std::move(callback)](Result result) {
        const auto runCheck = [&weak] {
            if (const auto check = weak.lock())
                (*check)();
        };
        runCheck();
        if (weak.expired())
            return;
        callback(std::move(result));
        runCheck();
    };
}

void Io::commit(platform::Commit commit, Duration timeout, platform::CommitCallback callback)
{
    m_storeUsage.addWrites(static_cast<int64_t>(commit.writes.size()), now());
    m_transport.commit(std::move(commit), now() + timeout, guarded(std::move(callback)));
}

void Io::read(std::vector<platform::Read> reads, Duration timeout, platform::ReadCallback callback)
{
    m_storeUsage.addReads(static_cast<int64_t>(reads.size()), now());
    m_transport.read(std::move(reads), now() + timeout, guarded(std::move(callback)));
}

void Io::call(const std::string &address, const std::string &method, Json::Value parameters,
              Duration timeout, CallCallback callback)
{
    m_transport.call(address, method, std::move(parameters), now() + timeout,
                     guarded(std::move(callback)));
}

} // namespace cwl::ownership
