// Membership and ownership of groups, driven over the platform's tables and RPC between members.
// The rules are in docs/design.md, section 5. The decisions are in the pure state machines of this
// folder.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"
#include "platform/platform.h"
#include "rpc/rpc.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cwl::ownership {

// Which kinds of group a member may own.
enum class Role { Entry, Scheduler };

// What a member tells the others in its row.
struct MemberInfo
{
    MemberId id;
    Role role = Role::Entry;
    InstanceId instance;
    DataCentreId dataCentre;
    std::string rpcAddress;  // "ip:port"
    std::string httpAddress; // "ip:port"
    bool ready = false;      // may be given groups
};

// What a new owner must know about the takeover.
struct Acquisition
{
    GroupId group;
    Epoch epoch;
    bool isFirstOwner = false; // no earlier epoch exists, so there is nothing to wait for
    TimePoint acquiredAt = {}; // when the claim committed, on this process's clock
    UnixMilliseconds acquiredAtUnix = {}; // the same instant as time of day
};

// All functions are called on the control thread.
struct GroupListener
{
    // The group is owned from now on, while Member::validUntil() is in the future.
    std::function<void(const Acquisition &)> acquired;
    // The group is lost (validity lapsed): act on nothing held for it, at once.
    std::function<void(const GroupId &)> lost;
    // The group is to be handed over: stop new work, call `done` when nothing that was sent is
    // under way.
    std::function<void(const GroupId &, std::function<void()> done)> release;
};

struct MemberOptions
{
    MemberInfo info; // id is chosen by the member and replaced on each registration
    std::vector<GroupId> groups = {};    // all groups of this role, from the cell settings
    std::vector<std::string> peers = {}; // RPC addresses tried before the members are known
};

// All calls are on the control thread, except validUntil() and owns(), which any thread may call.
class Member
{
public:
    static absl::StatusOr<std::unique_ptr<Member>>
    create(boost::asio::io_context &controlContext, platform::Client &platform,
           rpc::Server &rpcServer, rpc::Client &rpcClient, const MemberOptions &options,
           GroupListener listener);
    ~Member();

    void start();
    void setReady(bool ready);
    void setGroups(std::vector<GroupId> groups); // after a change of the cell settings

    // Nothing may be started or sent for any group at or after this instant.
    TimePoint validUntil() const;

    // The epoch, if this member owns the group and is valid now.
    std::optional<Epoch> owns(const GroupId &group) const;

    // The owner as last seen, which may be out of date.
    std::optional<MemberInfo> ownerOf(const GroupId &group) const;

    // Members that this one has seen renewing lately, itself included.
    std::vector<MemberInfo> liveMembers(Role role) const;
    MemberInfo self() const;

    // Hands all groups over, deletes the member's row and calls `done`.
    void shutDown(std::function<void()> done);

    Json::Value state() const;

private:
    class Implementation;
    explicit Member(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cwl::ownership
