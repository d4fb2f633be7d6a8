#include "cell/ownerannouncer.h"

#include "node/log.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace cwl::cell {

OwnerAnnouncer::OwnerAnnouncer(boost::asio::io_context &context)
    : m_context(context)
    , m_timer(context)
{
}

OwnerAnnouncer::~OwnerAnnouncer()
{
    *m_alive = false;
}

void OwnerAnnouncer::announce(const OwnerRow &owner, const std::vector<std::string> &addresses)
{
    stop();
    m_message = encodeOwner(owner);
    addMembers(addresses);
}

void OwnerAnnouncer::addMembers(const std::vector<std::string> &addresses)
{
    if (m_message.empty())
        return;
    for (const std::string &address : addresses) {
        if (m_rounds.emplace(address, 0).second)
            m_waiting.push_back(address);
    }
    sendNext();
}

void OwnerAnnouncer::stop()
{
    ++m_term;
    m_message.clear();
    m_rounds.clear();
    m_waiting.clear();
    m_failed.clear();
    m_timer.cancel();
}

void OwnerAnnouncer::sendNext()
{
    while (!m_waiting.empty() && m_calls.size() < maxAnnouncementsInFlight) {
        const std::string address = std::move(m_waiting.front());
        m_waiting.pop_front();
        send(address);
    }
    if (!m_waiting.empty() || !m_calls.empty() || m_failed.empty())
        return;
    m_timer.expires_after(announcementRetryPause);
    m_timer.async_wait([this, alive = m_alive, term = m_term](boost::system::error_code error) {
        if (error || !*alive || term != m_term)
            return;
        m_waiting.assign(m_failed.begin(), m_failed.end());
        m_failed.clear();
        sendNext();
    });
}

void OwnerAnnouncer::send(const std::string &address)
{
    ++m_rounds[address];
    auto client = http::Client::create(m_context,
                                       {.address = address,
                                        .maxConnections = 1,
                                        .connectTimeout = announcementTimeout,
                                        .traffic = Traffic::RpcControl});
    if (!client.ok()) {
        log::warn("member_address_invalid", {{"address", address}, {"error", client.status()}});
        return;
    }
    const std::shared_ptr<http::Client> call = *std::move(client);
    m_calls[address] = call;
    http::Request request;
    request.method = "POST";
    request.path = ownerAnnouncementPath;
    request.body = m_message;
    call->send(std::move(request), BootClock::now() + announcementTimeout,
               [this, alive = m_alive, term = m_term,
                address](const absl::StatusOr<http::Response> &response) {
                   if (!*alive)
                       return;
                   // A client must not be destroyed inside its own callback.
                   const auto call = m_calls.extract(address);
                   if (!call.empty())
                       boost::asio::post(m_context, [client = call.mapped()] {});
                   if (term == m_term)
                       onResponse(address, response);
               });
}

void OwnerAnnouncer::onResponse(const std::string &address,
                                const absl::StatusOr<http::Response> &response)
{
    const bool isReceived = response.ok() && response->status == 200;
    if (!isReceived && m_rounds[address] < maxAnnouncementRounds)
        m_failed.push_back(address);
    sendNext();
}

} // namespace cwl::cell
