// One endpoint group that this entry owns: performs what requests::EndpointGroup decides. All
// functions run on the executor's strand.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"
#include "entry/endpointlink.h"
#include "entry/wire.h"
#include "requests/endpointgroup.h"
#include "settings/cellsettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cwl::entry {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

// The epoch in which this process owns the group, if it does and its member is valid. Any thread.
using CurrentEpoch = std::function<std::optional<Epoch>(const GroupId &)>;

// What an owner holds a group by. An older epoch of the same process must not send either: another
// owner may have had the group in between.
struct Tenure
{
    GroupId group;
    Epoch epoch;
    CurrentEpoch currentEpoch;

    bool isValid() const { return currentEpoch(group) == epoch; }
};

class OwnedGroup : public std::enable_shared_from_this<OwnedGroup>
{
public:
    OwnedGroup(boost::asio::io_context &context, Strand strand, Tenure tenure,
               const settings::ServiceSettings &service, const requests::GroupStart &start);

    void setService(const settings::ServiceSettings &service);
    void setEndpoints(const std::vector<requests::ListedEndpoint> &endpoints);

    // Calls `callback` on the strand with the one outcome of the request.
    void execute(ExecuteRequest request, ExecuteCallback callback);

    // Expires, sends and asks for status as far as it is time to. Called every few milliseconds.
    void tick();

    // Settles every request and closes every connection, because the group is no longer owned.
    void lose();

    // Accepts nothing new; calls `done` when nothing accepted is left.
    void release(std::function<void()> done);

    // True when it was released and another owner may have the group.
    bool isOver() const { return m_isReleased && !m_tenure.isValid(); }

    bool hasRequests() const { return !m_waiting.empty(); } // queued, sent or not yet settled
    Json::Value state() const { return m_group.state(BootClock::now()); }

private:
    struct Repeat
    {
        TimePoint deadline; // its caller waits no longer, whenever the first request ends
        ExecuteCallback callback;
    };
    struct Waiting
    {
        ExecuteRequest request;
        ExecuteCallback callback;
        std::vector<Repeat> repeats; // of the same id
        uint64_t send = 0;           // number of the last send at its endpoint's link
    };
    struct Endpoint
    {
        std::unique_ptr<EndpointLink> link;
        TimePoint nextStatus = {};
        bool isAsking = false;
    };

    void pump();
    void send(const requests::Send &send);
    void sendEnded(requests::Ticket ticket, SendEnd end);
    void giveUpSlowTries();
    void settle();
    void expireRepeats();
    void updateLinks();
    void askStatus(const EndpointId &id, Endpoint &endpoint);
    void onStatus(const EndpointId &id, TimePoint askedAt,
                  const absl::StatusOr<requests::EndpointStatus> &status);

    boost::asio::io_context &m_context;
    Strand m_strand;
    const Tenure m_tenure;
    requests::EndpointGroup m_group;
    bool m_isLost = false;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<requests::Ticket, Waiting> m_waiting; // accepted and not settled
    std::multimap<TimePoint, requests::Ticket> m_repeatDeadlines;
    std::function<void()> m_released; // set while the group is being handed over
    bool m_isReleased = false;        // nothing accepted is left, and nothing is accepted
};

} // namespace cwl::entry
