#include "cell/relay.h"

#include "base/error.h"
#include "base/json.h"
#include "base/random.h"
#include "node/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cwl::cell {

// A row that is being relayed.
struct Relay::Request
{
    Row row;
    TimePoint deadline;
    Callback callback;
    std::vector<std::string> tried = {};
    int unreachable = 0; // of the members tried
    bool mayBeStored = false;
};

std::string encodeStoreOutcome(StoreOutcome stored)
{
    Json::Value value;
    value["stored"] = storeOutcomeName(stored);
    return writeJson(value);
}

StoreOutcome decodeStoreOutcome(const std::string &body)
{
    const absl::StatusOr<Json::Value> value = parseJson(body);
    const auto name = value.ok() ? stringMember(*value, "stored")
                                 : absl::StatusOr<std::string>(value.status());
    for (const StoreOutcome stored :
         {StoreOutcome::Stored, StoreOutcome::AlreadyStored, StoreOutcome::NotStored}) {
        if (name.ok() && *name == storeOutcomeName(stored))
            return stored;
    }
    return StoreOutcome::Unknown;
}

Relay::Relay(boost::asio::io_context &context)
    : m_context(context)
    , m_random(randomSeed())
{
}

void Relay::setPeers(std::vector<std::string> addresses)
{
    m_addresses = std::move(addresses);
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        const bool isKnown = peer->first == m_owner
                || std::find(m_addresses.begin(), m_addresses.end(), peer->first)
                        != m_addresses.end();
        if (isKnown) {
            ++peer;
            continue;
        }
        // A client must not be destroyed inside its own callback.
        boost::asio::post(m_context, [client = std::move(peer->second.client)] {});
        peer = m_peers.erase(peer);
    }
}

bool Relay::isPaused(const std::string &address, TimePoint now) const
{
    const auto peer = m_peers.find(address);
    return peer != m_peers.end() && now < peer->second.pausedUntil;
}

std::string Relay::chooseMember(const std::vector<std::string> &tried, TimePoint now)
{
    const auto isFree = [&](const std::string &address) {
        return std::find(tried.begin(), tried.end(), address) == tried.end()
                && !isPaused(address, now);
    };
    if (!m_owner.empty() && isFree(m_owner))
        return m_owner;
    std::vector<std::string> free;
    std::copy_if(m_addresses.begin(), m_addresses.end(), std::back_inserter(free), isFree);
    return free.empty() ? std::string() : free[m_random() % free.size()];
}

std::shared_ptr<http::Client> Relay::clientOf(const std::string &address)
{
    Peer &peer = m_peers[address];
    if (peer.client)
        return peer.client;
    auto client = http::Client::create(m_context,
                                       {.address = address,
                                        .connectTimeout = relayConnectTimeout,
                                        .traffic = Traffic::RpcControl});
    if (!client.ok()) {
        log::warn("member_address_invalid", {{"address", address}, {"error", client.status()}});
        return nullptr;
    }
    peer.client = *std::move(client);
    return peer.client;
}

http::Request Relay::makeMessage(const Row &row, Duration limit)
{
    http::Request message;
    message.method = "POST";
    message.path = "/cell/relay";
    message.query = absl::StrCat(
            "key=", row.key, "&limitMs=", std::chrono::duration_cast<milliseconds>(limit).count());
    message.body = row.value;
    return message;
}

namespace {

bool isNotSent(const absl::StatusOr<http::Response> &response)
{
    return !response.ok() && failureOf(response.status()) == Failure::ConnectionRefused;
}

} // namespace

StoreOutcome Relay::outcomeOf(const absl::StatusOr<http::Response> &response)
{
    if (response.ok() && response->status == 200)
        return decodeStoreOutcome(response->body);
    return isNotSent(response) ? StoreOutcome::NotStored : StoreOutcome::Unknown;
}

std::string Relay::collectorOf(const std::string &part, const std::string &self) const
{
    const auto weightOf = [&](const std::string &address) {
        const std::string text = absl::StrCat(part, "/", address);
        return XXH64(text.data(), text.size(), 0);
    };
    const TimePoint now = BootClock::now();
    std::string best;
    uint64_t bestWeight = weightOf(self);
    for (const std::string &address : m_addresses) {
        if (isPaused(address, now))
            continue;
        const uint64_t weight = weightOf(address);
        if (weight > bestWeight) {
            best = address;
            bestWeight = weight;
        }
    }
    return best;
}

void Relay::putThrough(const std::string &address, const Row &row, TimePoint deadline,
                       Callback callback)
{
    const TimePoint now = BootClock::now();
    const std::shared_ptr<http::Client> client =
            isPaused(address, now) ? nullptr : clientOf(address);
    if (!client || deadline - now <= collectMargin) {
        callback(StoreOutcome::NotStored);
        return;
    }
    client->send(makeMessage(row, deadline - now - collectMargin), deadline,
                 [this, address, key = row.key,
                  callback = std::move(callback)](const absl::StatusOr<http::Response> &response) {
                     const StoreOutcome stored = outcomeOf(response);
                     if (!response.ok()) {
                         log::info(
                                 "collector_failed",
                                 {{"key", key}, {"member", address}, {"error", response.status()}});
                         m_peers[address].pausedUntil = BootClock::now() + peerBackoff;
                     }
                     callback(stored);
                 });
}

void Relay::put(const Row &row, TimePoint deadline, Callback callback)
{
    auto request = std::make_shared<Request>();
    request->row = row;
    request->deadline = deadline;
    request->callback = std::move(callback);
    sendToNext(request);
}

void Relay::sendToNext(const std::shared_ptr<Request> &request)
{
    const TimePoint now = BootClock::now();
    const std::string address = chooseMember(request->tried, now);
    const bool isExhausted = now >= request->deadline
            || int(request->tried.size()) - request->unreachable >= maxRelays
            || request->unreachable > maxUnreachableMembers;
    const std::shared_ptr<http::Client> client =
            isExhausted || address.empty() ? nullptr : clientOf(address);
    if (!client) {
        request->callback(request->mayBeStored ? StoreOutcome::Unknown : StoreOutcome::NotStored);
        return;
    }
    request->tried.push_back(address);
    client->send(makeMessage(request->row, relayTimeout),
                 std::min(request->deadline, now + relayTimeout),
                 [this, request, address](const absl::StatusOr<http::Response> &response) {
                     onResponse(request, address, response);
                 });
}

void Relay::onResponse(const std::shared_ptr<Request> &request, const std::string &address,
                       const absl::StatusOr<http::Response> &response)
{
    const StoreOutcome stored = outcomeOf(response);
    log::info("row_relayed",
              {{"key", request->row.key},
               {"member", address},
               {"stored", storeOutcomeName(stored)},
               {"error", response.ok() ? absl::OkStatus() : response.status()}});
    if (stored == StoreOutcome::Stored || stored == StoreOutcome::AlreadyStored) {
        request->callback(stored);
        return;
    }
    m_peers[address].pausedUntil = BootClock::now() + peerBackoff;
    request->unreachable += isNotSent(response) ? 1 : 0;
    request->mayBeStored = request->mayBeStored || stored == StoreOutcome::Unknown;
    sendToNext(request);
}

} // namespace cwl::cell
