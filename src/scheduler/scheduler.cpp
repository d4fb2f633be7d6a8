#include "scheduler/scheduler.h"

#include <string>
#include <utility>
#include <vector>

namespace cwl::scheduler {

namespace {

constexpr auto peersInterval = std::chrono::seconds(1);

} // namespace

absl::StatusOr<std::unique_ptr<Scheduler>>
Scheduler::create(const settings::ProcessSettings &settings, node::Node &node)
{
    std::unique_ptr<Scheduler> scheduler(new Scheduler(node));
    const absl::Status status = scheduler->open(settings);
    if (!status.ok())
        return status;
    scheduler->registerWithNode();
    return scheduler;
}

Scheduler::Scheduler(node::Node &node)
    : m_node(node)
    , m_peersTimer(node.controlContext())
{
}

absl::Status Scheduler::open(const settings::ProcessSettings &settings)
{
    auto platform =
            platform::Client::create(m_node.controlContext(), {.address = settings.platform});
    if (!platform.ok())
        return platform.status();
    m_platform = *std::move(platform);
    auto rpcServer = rpc::Server::create(m_node.trafficContext(),
                                         {.address = settings.address, .port = settings.rpcPort});
    if (!rpcServer.ok())
        return rpcServer.status();
    m_rpcServer = *std::move(rpcServer);
    m_rpcClient = std::make_unique<rpc::Client>(m_node.trafficContext());
    m_follower = settings::Follower::create(m_node.controlContext(), *m_platform, *m_rpcServer,
                                            *m_rpcClient, settings.peers);
    m_groups = std::make_unique<Groups>(Groups::Ports{
            m_node.controlContext(), m_node.trafficContext(), *m_platform, *m_rpcServer,
            *m_rpcClient, m_node.metrics(), [this] { return m_member.get(); }});
    const absl::Status status = createMember(settings);
    if (!status.ok())
        return status;
    m_api = std::make_unique<OperatorsApi>(m_node.controlContext(), *m_groups, *m_follower);
    return absl::OkStatus();
}

absl::Status Scheduler::createMember(const settings::ProcessSettings &settings)
{
    ownership::MemberOptions options;
    options.info.role = ownership::Role::Scheduler;
    options.info.instance = settings.instance;
    options.info.dataCentre = settings.dataCentre;
    options.info.rpcAddress = settings::rpcAddress(settings, m_rpcServer->port());
    options.info.httpAddress = settings.address + ":" + std::to_string(m_node.httpPort());
    options.peers = settings.peers;
    auto member = ownership::Member::create(m_node.controlContext(), *m_platform, *m_rpcServer,
                                            *m_rpcClient, options, groupListener());
    if (!member.ok())
        return member.status();
    m_member = *std::move(member);
    return absl::OkStatus();
}

ownership::GroupListener Scheduler::groupListener()
{
    ownership::GroupListener listener;
    listener.acquired = [this](const ownership::Acquisition &acquisition) {
        m_groups->acquired(acquisition);
    };
    listener.lost = [this](const GroupId &group) { m_groups->lost(group); };
    listener.release = [this](const GroupId &group, std::function<void()> done) {
        m_groups->release(group, std::move(done));
    };
    return listener;
}

void Scheduler::registerWithNode()
{
    for (const char *prefix : {"/v1/jobs", "/v1/workers", "/v1/settings"}) {
        m_node.route(prefix, [this](http::Request request, http::Responder respond) {
            m_api->handle(std::move(request), std::move(respond));
        });
    }
    m_node.addReadyGate("settings", [this] { return m_follower->current() != nullptr; });
    m_node.addReadyGate("member", [this] { return m_member->validUntil() > BootClock::now(); });
    m_node.addState("platform", [this] { return m_platform->state(); });
    m_node.addState("rpcServer", [this] { return m_rpcServer->state(); });
    m_node.addState("rpcClient", [this] { return m_rpcClient->state(); });
    m_node.addState("settings", [this] { return m_follower->state(); });
    m_node.addState("member", [this] { return m_member->state(); });
    m_node.addState("groups", [this] { return m_groups->state(); });
    m_node.onStop([this](std::function<void()> done) {
        m_member->setReady(false);
        m_member->shutDown(std::move(done));
    });
    m_node.supervisor().add("scheduler",
                            {.start = [this](const supervisor::Failed &) { start(); }});
}

void Scheduler::start()
{
    m_follower->addListener([this](const Groups::SharedSettings &settings) {
        m_groups->setSettings(settings);
        m_member->setGroups(Groups::groupsOf(*settings));
        m_member->setReady(true);
    });
    m_follower->start();
    m_member->start();
    m_groups->start();
    updatePeers();
}

// Passes the live members to the settings follower, which notifies them of accepted changes.
void Scheduler::updatePeers()
{
    std::vector<std::string> addresses;
    for (const auto role : {ownership::Role::Entry, ownership::Role::Scheduler}) {
        for (const ownership::MemberInfo &member : m_member->liveMembers(role)) {
            if (member.id != m_member->self().id)
                addresses.push_back(member.rpcAddress);
        }
    }
    if (!addresses.empty())
        m_follower->setPeers(std::move(addresses));
    m_peersTimer.expires_after(peersInterval);
    m_peersTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            updatePeers();
    });
}

} // namespace cwl::scheduler
