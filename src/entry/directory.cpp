#include "entry/directory.h"

#include "requests/routing.h"

#include <utility>

namespace cwl::entry {

namespace {

constexpr Duration listInterval = seconds(1); // a leaving endpoint gets nothing new within 3 s
constexpr Duration listTimeout = seconds(1);
constexpr Duration ownersInterval = milliseconds(50);

} // namespace

EndpointsByService endpointsOf(const std::vector<platform::Instance> &instances)
{
    EndpointsByService endpoints;
    for (const platform::Instance &instance : instances) {
        if (instance.kind != platform::InstanceKind::Endpoint)
            continue;
        endpoints[instance.service].push_back({EndpointId(instance.id.value()), instance.address,
                                               instance.state == platform::InstanceState::Leaving});
    }
    return endpoints;
}

std::vector<GroupId> endpointGroupsOf(const settings::CellSettings &settings)
{
    std::vector<GroupId> groups;
    for (const auto &[name, service] : settings.cell.services) {
        for (int64_t number = 0; number < service.endpointGroups; ++number)
            groups.push_back(requests::endpointGroupId(ServiceId(name), number));
    }
    return groups;
}

std::shared_ptr<Directory> Directory::create(boost::asio::io_context &controlContext,
                                             platform::Client &platform, ownership::Member &member,
                                             EndpointsListener listener)
{
    return std::shared_ptr<Directory>(
            new Directory(controlContext, platform, member, std::move(listener)));
}

Directory::Directory(boost::asio::io_context &context, platform::Client &platform,
                     ownership::Member &member, EndpointsListener listener)
    : m_platform(platform)
    , m_member(member)
    , m_listener(std::move(listener))
    , m_instancesTimer(context)
    , m_ownersTimer(context)
{
}

void Directory::start()
{
    every(m_instancesTimer, Duration(0), &Directory::readInstances);
    every(m_ownersTimer, Duration(0), &Directory::readOwners);
}

void Directory::setGroups(std::vector<GroupId> groups)
{
    m_groups = std::move(groups);
}

void Directory::every(boost::asio::steady_timer &timer, Duration interval,
                      void (Directory::*function)())
{
    timer.expires_after(interval);
    timer.async_wait([weak = weak_from_this(), function](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error)
            ((*self).*function)();
    });
}

// An unavailable list changes nothing: the endpoints known so far stay, and each still reports by
// itself that it is leaving.
void Directory::readInstances()
{
    m_platform.instances(
            BootClock::now() + listTimeout,
            [weak = weak_from_this()](const absl::StatusOr<std::vector<platform::Instance>> &list) {
                const auto self = weak.lock();
                if (!self)
                    return;
                if (list.ok()) {
                    EndpointsByService endpoints = endpointsOf(*list);
                    self->m_listReadAt = BootClock::now();
                    self->m_endpoints = 0;
                    for (const auto &[service, ofService] : endpoints)
                        self->m_endpoints += ofService.size();
                    self->m_listener(std::move(endpoints));
                }
                self->every(self->m_instancesTimer, listInterval, &Directory::readInstances);
            });
}

void Directory::readOwners()
{
    std::map<GroupId, std::string> owners;
    for (const GroupId &group : m_groups) {
        const std::optional<ownership::MemberInfo> owner = m_member.ownerOf(group);
        if (owner && !owner->rpcAddress.empty())
            owners[group] = owner->rpcAddress;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_owners = std::move(owners);
    }
    every(m_ownersTimer, ownersInterval, &Directory::readOwners);
}

std::optional<std::string> Directory::ownerAddress(const GroupId &group) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_owners.find(group);
    return found == m_owners.end() ? std::nullopt : std::optional(found->second);
}

Json::Value Directory::state() const
{
    Json::Value state;
    state["endpoints"] = Json::UInt64(m_endpoints);
    state["listAgeMs"] = Json::Int64(
            std::chrono::duration_cast<milliseconds>(BootClock::now() - m_listReadAt).count());
    const std::lock_guard lock(m_mutex);
    for (const auto &[group, address] : m_owners)
        state["owners"][group.value()] = address;
    return state;
}

} // namespace cwl::entry
