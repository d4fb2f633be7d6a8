// The components of cwl-scheduler: platform client, RPC, settings, membership, worker groups and
// the operators' API.

#pragma once

#include "node/node.h"
#include "ownership/member.h"
#include "platform/platform.h"
#include "rpc/rpc.h"
#include "scheduler/groups.h"
#include "scheduler/operatorsapi.h"
#include "settings/follower.h"
#include "settings/processsettings.h"

#include <absl/status/statusor.h>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace cwl::scheduler {

class Scheduler
{
public:
    // Opens the RPC port and registers everything with the node. Call Node::run() next, and keep
    // the scheduler alive until it returns.
    static absl::StatusOr<std::unique_ptr<Scheduler>>
    create(const settings::ProcessSettings &settings, node::Node &node);

private:
    explicit Scheduler(node::Node &node);

    absl::Status open(const settings::ProcessSettings &settings);
    absl::Status createMember(const settings::ProcessSettings &settings);
    ownership::GroupListener groupListener();
    void registerWithNode();
    void start();
    void updatePeers();

    node::Node &m_node;
    std::unique_ptr<platform::Client> m_platform;
    std::unique_ptr<rpc::Server> m_rpcServer;
    std::unique_ptr<rpc::Client> m_rpcClient;
    std::unique_ptr<settings::Follower> m_follower;
    std::unique_ptr<ownership::Member> m_member;
    std::unique_ptr<Groups> m_groups;
    std::unique_ptr<OperatorsApi> m_api;
    boost::asio::steady_timer m_peersTimer;
};

} // namespace cwl::scheduler
