// The program cwl-entry put together: platform client, RPC, settings, membership, and the parts
// that serve callers.

#pragma once

#include "entry/callersapi.h"
#include "entry/directory.h"
#include "entry/executor.h"
#include "entry/loadlimits.h"
#include "entry/router.h"
#include "node/node.h"
#include "ownership/member.h"
#include "platform/platform.h"
#include "rpc/rpc.h"
#include "settings/follower.h"
#include "settings/processsettings.h"

#include <absl/status/statusor.h>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace cwl::entry {

class Entry
{
public:
    // Opens the RPC port and registers everything with the node. Call Node::run() next, and keep
    // the entry until it returns.
    static absl::StatusOr<std::unique_ptr<Entry>> create(const settings::ProcessSettings &settings,
                                                         node::Node &node);

private:
    explicit Entry(node::Node &node);

    absl::Status open(const settings::ProcessSettings &settings);
    absl::Status createMember(const settings::ProcessSettings &settings);
    ownership::GroupListener groupListener();
    RouterPorts routerPorts();
    void registerWithNode();
    void start();
    void onSettings(const SharedSettings &settings);
    void serveExecute(rpc::Message message, const rpc::Reply &reply);
    void tellPeers();
    void stop(const std::function<void()> &done);
    void stopWhenIdle(std::function<void()> done);

    node::Node &m_node;
    LoadLimits m_limits;
    std::unique_ptr<platform::Client> m_platform;
    std::unique_ptr<rpc::Server> m_rpcServer;
    std::unique_ptr<rpc::Client> m_rpcClient;
    std::unique_ptr<settings::Follower> m_follower;
    std::unique_ptr<ownership::Member> m_member;
    std::shared_ptr<Executor> m_executor;
    std::shared_ptr<Directory> m_directory;
    std::shared_ptr<Router> m_router;
    std::unique_ptr<CallersApi> m_api;
    boost::asio::steady_timer m_peersTimer;
    boost::asio::steady_timer m_refuseTimer; // from the stop signal until new requests are refused
    boost::asio::steady_timer m_stopTimer;
    bool m_hasAcceptedLongEnough = false; // since the stop signal, for the balancer to notice
    bool m_isHandedOver = false;          // all groups, and the member's row is gone
};

} // namespace cwl::entry
