// Keeps the newest cell settings in this process: reads the store's head, hears of changes from
// peers, and accepts changes from operators.

#pragma once

#include "base/strongid.h"
#include "platform/platform.h"
#include "rpc/rpc.h"
#include "settings/cellsettings.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cwl::settings {

struct Change
{
    ChangeId changeId;       // makes the change repeatable
    std::string subtree;     // "cell" or a team
    std::string text;        // JSON with comments; empty removes a team
    SettingsVersion basedOn; // the version the operator saw
    std::string token;       // proves who asks
};

// All calls and callbacks are on the control thread.
class Follower
{
public:
    using Listener = std::function<void(std::shared_ptr<const CellSettings>)>;

    static std::unique_ptr<Follower> create(boost::asio::io_context &controlContext,
                                            platform::Client &platform, rpc::Server &rpcServer,
                                            rpc::Client &rpcClient, std::vector<std::string> peers);
    ~Follower();

    void start();
    void addListener(Listener listener); // called on each version, which only rises

    // RPC addresses of all live members. They and the configured peers are told of accepted changes
    // at once, and asked for the newest version while the store is not available.
    void setPeers(std::vector<std::string> peers);

    // The newest known settings; null until the first were read. Any thread may call it.
    std::shared_ptr<const CellSettings> current() const;

    // Accepts a change. Errors: NotAuthorized, VersionConflict, InvalidSettings and the like,
    // StoreUnavailable, StoreOutcomeUnknown.
    void change(Change change, std::function<void(absl::StatusOr<SettingsVersion>)> callback);

    Json::Value state() const;

private:
    class Implementation;
    explicit Follower(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cwl::settings
