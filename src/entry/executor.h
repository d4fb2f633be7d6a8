// The groups that this entry owns, and the requests that other entries and this one send to them.
// All state is on one strand of the traffic threads.

#pragma once

#include "base/strongid.h"
#include "entry/ownedgroup.h"
#include "entry/wire.h"
#include "ownership/member.h"
#include "requests/endpointpool.h"
#include "settings/cellsettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cwl::entry {

using EndpointsByService = std::map<ServiceId, std::vector<requests::ListedEndpoint>>;
using SharedSettings = std::shared_ptr<const settings::CellSettings>;

// All functions may be called on any thread.
class Executor : public std::enable_shared_from_this<Executor>
{
public:
    static std::shared_ptr<Executor> create(boost::asio::io_context &trafficContext,
                                            CurrentEpoch currentEpoch);

    void setSettings(SharedSettings settings);
    void setEndpoints(EndpointsByService endpoints);

    void acquire(const ownership::Acquisition &acquisition);
    void lose(const GroupId &group);
    // `done` is called on the strand.
    void release(const GroupId &group, std::function<void()> done);

    // Runs a request of a group, or settles it as not run if this entry does not own the group.
    void execute(ExecuteRequest request, ExecuteCallback callback);

    // Groups, endpoints and counts, as of the last second.
    Json::Value state() const;

private:
    Executor(boost::asio::io_context &context, CurrentEpoch currentEpoch);

    void onStrand(std::function<void()> function);
    void tick();
    void waitForTick();
    void applyEndpoints(const GroupId &id, OwnedGroup &group);
    const settings::ServiceSettings *serviceOf(const ServiceId &service) const;
    void executeHere(ExecuteRequest request, ExecuteCallback callback);
    absl::Status check(const ExecuteRequest &request) const;
    void publishState();

    boost::asio::io_context &m_context;
    Strand m_strand;
    CurrentEpoch m_currentEpoch;
    boost::asio::steady_timer m_timer;
    SharedSettings m_settings;
    EndpointsByService m_endpoints;
    std::map<GroupId, ownership::Acquisition> m_pending; // acquired before the settings were known
    std::map<GroupId, std::shared_ptr<OwnedGroup>> m_groups;
    TimePoint m_nextState = {};
    bool m_isResting = false;        // the wait that is under way takes restInterval
    mutable std::mutex m_stateMutex; // guards m_state
    Json::Value m_state = Json::Value(Json::objectValue);
};

} // namespace cwl::entry
