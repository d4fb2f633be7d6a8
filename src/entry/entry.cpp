#include "entry/entry.h"

#include "base/error.h"
#include "base/random.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace cwl::entry {

namespace {

namespace asio = boost::asio;

constexpr Duration peersInterval = seconds(1);
constexpr Duration idlePoll = milliseconds(20);
// The load balancer needs a few seconds to notice that an entry is not ready. Requests of 30 s that
// arrive within this time still end before the stop deadline of 39 s.
constexpr Duration acceptWhileStopping = seconds(5);

} // namespace

absl::StatusOr<std::unique_ptr<Entry>> Entry::create(const settings::ProcessSettings &settings,
                                                     node::Node &node)
{
    std::unique_ptr<Entry> entry(new Entry(node));
    const absl::Status status = entry->open(settings);
    if (!status.ok())
        return status;
    entry->registerWithNode();
    return entry;
}

Entry::Entry(node::Node &node)
    : m_node(node)
    , m_peersTimer(node.controlContext())
    , m_refuseTimer(node.controlContext())
    , m_stopTimer(node.controlContext())
{
}

// Section: construction

absl::Status Entry::open(const settings::ProcessSettings &settings)
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
    const absl::Status status = createMember(settings);
    if (!status.ok())
        return status;
    m_executor = Executor::create(m_node.trafficContext(),
                                  [this](const GroupId &group) { return m_member->owns(group); });
    m_directory = Directory::create(m_node.controlContext(), *m_platform, *m_member,
                                    [executor = m_executor](EndpointsByService endpoints) {
                                        executor->setEndpoints(std::move(endpoints));
                                    });
    m_router = Router::create(routerPorts(), randomSeed());
    m_api = std::make_unique<CallersApi>(
            [this] { return m_follower->current(); },
            [router = m_router](ExecuteRequest request, Router::Callback callback) {
                router->route(std::move(request), std::move(callback));
            },
            m_limits, m_node.metrics());
    return absl::OkStatus();
}

absl::Status Entry::createMember(const settings::ProcessSettings &settings)
{
    ownership::MemberOptions options;
    options.info.role = ownership::Role::Entry;
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

ownership::GroupListener Entry::groupListener()
{
    ownership::GroupListener listener;
    listener.acquired = [this](const ownership::Acquisition &acquisition) {
        m_executor->acquire(acquisition);
    };
    listener.lost = [this](const GroupId &group) { m_executor->lose(group); };
    listener.release = [this](const GroupId &group, std::function<void()> done) {
        m_executor->release(group, [this, done = std::move(done)] {
            asio::post(m_node.controlContext(), done);
        });
    };
    return listener;
}

RouterPorts Entry::routerPorts()
{
    RouterPorts ports;
    ports.groups = [this](const ServiceId &service) -> int64_t {
        const SharedSettings settings = m_follower->current();
        if (!settings)
            return 0;
        const auto found = settings->cell.services.find(service.value());
        return found == settings->cell.services.end() ? 0 : found->second.endpointGroups;
    };
    ports.ownsGroup = [this](const GroupId &group) { return m_member->owns(group).has_value(); };
    ports.ownerAddress = [directory = m_directory](const GroupId &group) {
        return directory->ownerAddress(group);
    };
    ports.call = [this](const std::string &address, rpc::Message message, TimePoint deadline,
                        rpc::CallCallback callback) {
        m_rpcClient->call(address, executeMethod, std::move(message), deadline,
                          std::move(callback));
    };
    ports.executeHere = [executor = m_executor](ExecuteRequest request, ExecuteCallback callback) {
        executor->execute(std::move(request), std::move(callback));
    };
    ports.after = [this](Duration pause, std::function<void()> function) {
        const auto timer = std::make_shared<asio::steady_timer>(m_node.trafficContext(), pause);
        timer->async_wait([timer, function = std::move(function)](
                                  const boost::system::error_code &) { function(); });
    };
    return ports;
}

void Entry::registerWithNode()
{
    m_rpcServer->add(executeMethod, [this](rpc::Message message, const rpc::Reply &reply) {
        serveExecute(std::move(message), reply);
    });
    m_node.route(servicesPrefix, [this](http::Request request, http::Responder respond) {
        m_api->handle(std::move(request), std::move(respond));
    });
    m_node.addReadyGate("settings", [this] { return m_follower->current() != nullptr; });
    m_node.addReadyGate("member", [this] { return m_member->validUntil() > BootClock::now(); });
    m_node.addState("platform", [this] { return m_platform->state(); });
    m_node.addState("rpcServer", [this] { return m_rpcServer->state(); });
    m_node.addState("rpcClient", [this] { return m_rpcClient->state(); });
    m_node.addState("settings", [this] { return m_follower->state(); });
    m_node.addState("member", [this] { return m_member->state(); });
    m_node.addState("groups", [this] { return m_executor->state(); });
    m_node.addState("directory", [this] { return m_directory->state(); });
    m_node.addState("router", [this] { return m_router->state(); });
    m_node.addState("held", [this] {
        Json::Value held;
        held["requests"] = Json::Int64(m_limits.requests());
        held["bytes"] = Json::Int64(m_limits.bytes());
        held["callers"] = Json::Int64(m_api->underWay());
        return held;
    });
    m_node.onStop([this](const std::function<void()> &done) { stop(done); });
    m_node.supervisor().add("entry", {.start = [this](const supervisor::Failed &) { start(); }});
}

// Section: running

void Entry::start()
{
    m_follower->addListener([this](const SharedSettings &settings) { onSettings(settings); });
    m_follower->start();
    m_member->start();
    m_directory->start();
    tellPeers();
}

void Entry::onSettings(const SharedSettings &settings)
{
    const std::vector<GroupId> groups = endpointGroupsOf(*settings);
    m_executor->setSettings(settings);
    m_directory->setGroups(groups);
    m_member->setGroups(groups);
    m_member->setReady(true);
}

// The follower tells these of a change that it accepts.
void Entry::tellPeers()
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
            tellPeers();
    });
}

void Entry::serveExecute(rpc::Message message, const rpc::Reply &reply)
{
    const LoadLimits::Place place = m_limits.take(message.attachment.size());
    if (!place) {
        reply(encodeResult(
                notRun(makeError(Failure::QueueFull, "the owner holds too many requests",
                                 {.limit = std::to_string(maxRequestsHeld) + " requests, "
                                          + std::to_string(maxBytesHeld) + " bytes",
                                  .retryAfterMs = 500}))));
        return;
    }
    auto request = decodeRequest(std::move(message), BootClock::now());
    if (!request.ok()) {
        reply(encodeResult(notRun(request.status())));
        return;
    }
    m_router->serve(*std::move(request),
                    [reply, place](const ExecuteResult &result) { reply(encodeResult(result)); });
}

// Section: graceful shutdown

void Entry::stop(const std::function<void()> &done)
{
    m_refuseTimer.expires_after(acceptWhileStopping);
    m_refuseTimer.async_wait([this, done](const boost::system::error_code &error) {
        if (error)
            return;
        m_api->stop();
        m_hasAcceptedLongEnough = true;
        if (m_isHandedOver)
            stopWhenIdle(done);
    });
    m_member->setReady(false);
    // The hand-over may be quick; callers are then served by way of the other owners.
    m_member->shutDown([this, done] {
        m_isHandedOver = true;
        if (m_hasAcceptedLongEnough)
            stopWhenIdle(done);
    });
}

void Entry::stopWhenIdle(std::function<void()> done)
{
    if (m_limits.requests() == 0) {
        done();
        return;
    }
    m_stopTimer.expires_after(idlePoll);
    m_stopTimer.async_wait([this, done = std::move(done)](const boost::system::error_code &error) {
        if (!error)
            stopWhenIdle(done);
    });
}

} // namespace cwl::entry
