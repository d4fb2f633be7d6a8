// Tells the other members who owns the cell. They learn it from the store; a member that the store
// turns away would go on asking the earlier owner and could show no job's state. Runs on the
// control thread of the owner.

#pragma once

#include "cell/tables.h"
#include "http/client.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cwl::cell {

constexpr const char *ownerAnnouncementPath = "/cell/announcement";
constexpr size_t maxAnnouncementsInFlight = 16;                // members called at once
constexpr Duration announcementTimeout = milliseconds(400);    // of one member's response
constexpr Duration announcementRetryPause = milliseconds(500); // before the next round
constexpr int maxAnnouncementRounds = 20;                      // to members that do not respond

class OwnerAnnouncer
{
public:
    explicit OwnerAnnouncer(boost::asio::io_context &context);
    ~OwnerAnnouncer();

    // Begins to tell the members at `addresses`, each until it has responded once.
    void announce(const OwnerRow &owner, const std::vector<std::string> &addresses);
    // Adds members that were not known before.
    void addMembers(const std::vector<std::string> &addresses);
    void stop(); // this member owns the cell no more

private:
    void sendNext();
    void send(const std::string &address);
    void onResponse(const std::string &address, const absl::StatusOr<http::Response> &response);

    boost::asio::io_context &m_context;
    boost::asio::basic_waitable_timer<BootClock> m_timer;
    std::string m_message;               // empty: nothing to announce
    std::map<std::string, int> m_rounds; // calls by member, also of those that responded
    std::deque<std::string> m_waiting;   // members to call in this round
    std::vector<std::string> m_failed;   // members to call in the next round
    std::map<std::string, std::shared_ptr<http::Client>> m_calls; // in flight
    uint64_t m_term = 0; // rises with each announcement; responses to earlier ones are ignored
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
