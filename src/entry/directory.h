// What the entry knows of the cell, read on the control thread and offered to the traffic threads:
// the endpoints from the platform's instance list, and the owners of the endpoint groups.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "entry/executor.h"
#include "ownership/member.h"
#include "platform/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cwl::entry {

// The endpoints of each service in the instance list.
EndpointsByService endpointsOf(const std::vector<platform::Instance> &instances);

// The ids of all endpoint groups that the settings define.
std::vector<GroupId> endpointGroupsOf(const settings::CellSettings &settings);

class Directory : public std::enable_shared_from_this<Directory>
{
public:
    using EndpointsListener = std::function<void(EndpointsByService)>;

    static std::shared_ptr<Directory> create(boost::asio::io_context &controlContext,
                                             platform::Client &platform, ownership::Member &member,
                                             EndpointsListener listener);

    // Control thread.
    void start();
    void setGroups(std::vector<GroupId> groups);
    Json::Value state() const;

    // RPC address of the owner as last seen. Any thread.
    std::optional<std::string> ownerAddress(const GroupId &group) const;

private:
    Directory(boost::asio::io_context &context, platform::Client &platform,
              ownership::Member &member, EndpointsListener listener);

    void readInstances();
    void readOwners();
    void every(boost::asio::steady_timer &timer, Duration interval, void (Directory::*function)());

    platform::Client &m_platform;
    ownership::Member &m_member;
    EndpointsListener m_listener;
    boost::asio::steady_timer m_instancesTimer;
    boost::asio::steady_timer m_ownersTimer;
    std::vector<GroupId> m_groups;
    size_t m_endpoints = 0;
    TimePoint m_listReadAt = {};
    mutable std::mutex m_mutex; // guards m_owners
    std::map<GroupId, std::string> m_owners;
};

} // namespace cwl::entry
