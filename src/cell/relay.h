// Relays rows to other members for storage when this member cannot reach the platform's store: the
// store may serve them although it rejects this instance. Runs on a traffic thread.

#pragma once

#include "cell/acceptance.h"
#include "cell/ports.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cwl::cell {

constexpr Duration relayTimeout = milliseconds(450);        // of one member's response
constexpr Duration relayConnectTimeout = milliseconds(200); // it is in the same region
constexpr Duration peerBackoff = seconds(2);                // after a failure of a member
constexpr int maxRelays = 2;             // members that may have received one row
constexpr int maxUnreachableMembers = 4; // tried for one row, beside those
// Time that a member has for the response beyond the time that it may take for the row.
constexpr Duration collectMargin = milliseconds(100);

// Body of the response to POST /cell/relay between members.
std::string encodeStoreOutcome(StoreOutcome stored);
StoreOutcome decodeStoreOutcome(const std::string &body); // Unknown for what cannot be read

class Relay
{
public:
    using Callback = std::function<void(StoreOutcome)>;

    explicit Relay(boost::asio::io_context &context);

    // Addresses of the other members, "ip:port". The owner is tried first: its
    // renewals show that it reaches the store.
    void setPeers(std::vector<std::string> addresses);
    void setOwner(const std::string &address) { m_owner = address; }

    // The member that collects the rows of `part` while the store is slow, chosen alike by all
    // members that reach the same others: empty if it is this one, whose own address is `self`.
    std::string collectorOf(const std::string &part, const std::string &self) const;
    // Asks one member to store the row by `deadline`.
    void putThrough(const std::string &address, const Row &row, TimePoint deadline,
                    Callback callback);

    // Asks up to `maxRelays` members to store the row, and others in place of those that cannot be
    // reached: rows of members that have gone are listed for long. The result is NotStored if all
    // of them reported that it certainly is not stored, or none could be reached.
    void put(const Row &row, TimePoint deadline, Callback callback);

private:
    struct Request;
    struct Peer
    {
        std::shared_ptr<http::Client> client;
        TimePoint pausedUntil = {};
    };

    bool isPaused(const std::string &address, TimePoint now) const;
    std::string chooseMember(const std::vector<std::string> &tried, TimePoint now);
    std::shared_ptr<http::Client> clientOf(const std::string &address);
    static http::Request makeMessage(const Row &row, Duration limit);
    static StoreOutcome outcomeOf(const absl::StatusOr<http::Response> &response);
    void sendToNext(const std::shared_ptr<Request> &request);
    void onResponse(const std::shared_ptr<Request> &request, const std::string &address,
                    const absl::StatusOr<http::Response> &response);

    boost::asio::io_context &m_context;
    std::vector<std::string> m_addresses;
    std::string m_owner;
    std::map<std::string, Peer> m_peers; // by address; those used so far
    std::mt19937_64 m_random;
};

} // namespace cwl::cell
