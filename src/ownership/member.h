// Membership and ownership of groups, based on the platform's tables and RPC between members.
// docs/design.md, section 5, defines the protocol. The state machines in this folder implement its
// rules without I/O.

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

// What a member publishes about itself in its row.
struct MemberInfo
{
    MemberId id;
    Role role = Role::Entry;
    InstanceId instance;
    DataCentreId dataCentre;
    std::string rpcAddress;  // "ip:port"
    std::string httpAddress; // "ip:port"
    bool ready = false;      // may be assigned groups
};

// Describes how a new owner acquired a group.
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
    // The group is owned from now on, as long as Member::validUntil() is in the future.
    std::function<void(const Acquisition &)> acquired;
    // The group is lost because the member's lease expired. Stop all work for it at once.
    std::function<void(const GroupId &)> lost;
    // The group is to be handed over. Start no new work, and call `done` once nothing sent for it
    // is in flight.
    std::function<void(const GroupId &, std::function<void()> done)> release;
};

struct MemberOptions
{
    MemberInfo info;                     // the member chooses the id, anew for each registration
    std::vector<GroupId> groups = {};    // all groups of this role, from the cell settings
    std::vector<std::string> peers = {}; // RPC addresses to use before the members are known
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

    // End of the member's validity. At or after this time no work may be started or sent for any
    // group.
    TimePoint validUntil() const;

    // Returns the epoch if this member owns the group and is valid now.
    std::optional<Epoch> owns(const GroupId &group) const;

    // Returns the last known owner, which may be out of date.
    std::optional<MemberInfo> ownerOf(const GroupId &group) const;

    // Returns the members whose rows were renewed recently, including this one.
    std::vector<MemberInfo> liveMembers(Role role) const;
    MemberInfo self() const;

    // Hands over all groups, deletes the member's row and calls `done`.
    void shutDown(std::function<void()> done);

    Json::Value state() const;

private:
    class Implementation;
    explicit Member(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cwl::ownership
