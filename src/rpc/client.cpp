#include "rpc/peer.h"
#include "rpc/rpc.h"

#include <map>
#include <mutex>

namespace cwl::rpc {

namespace {

// Instances are replaced at any time, so addresses come and go.
constexpr Duration unusedPeerLimit = std::chrono::minutes(10);

} // namespace

class Client::Implementation
{
public:
    explicit Implementation(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    std::shared_ptr<Peer> peer(const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        std::shared_ptr<Peer> &found = m_peers[address];
        if (!found) {
            found = Peer::create(m_context, address);
            const std::shared_ptr<Peer> added = found;
            forgetUnusedPeers();
            return added;
        }
        return found;
    }

    void closeAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[address, peer] : m_peers)
            peer->close();
    }

    Json::Value state() const
    {
        const std::lock_guard lock(m_mutex);
        Json::Value state(Json::objectValue);
        for (const auto &[address, peer] : m_peers)
            state[address] = peer->state();
        return state;
    }

private:
    void forgetUnusedPeers()
    {
        const TimePoint limit = BootClock::now() - unusedPeerLimit;
        std::erase_if(m_peers,
                      [limit](const auto &entry) { return entry.second->isUnusedSince(limit); });
    }

    boost::asio::io_context &m_context;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Peer>> m_peers;
};

Client::Client(boost::asio::io_context &context)
    : m_implementation(std::make_shared<Implementation>(context))
{
}

Client::~Client()
{
    m_implementation->closeAll();
}

void Client::call(const std::string &address, const std::string &method, Message parameters,
                  TimePoint deadline, CallCallback callback)
{
    m_implementation->peer(address)->call(method, std::move(parameters), deadline,
                                          std::move(callback));
}

void Client::closeAll()
{
    m_implementation->closeAll();
}

Json::Value Client::state() const
{
    return m_implementation->state();
}

} // namespace cwl::rpc
