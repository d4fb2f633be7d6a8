// Caches the members and groups tables as last read, and converts their rows from and to JSON.

#pragma once

#include "ownership/member.h"
#include "ownership/observation.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cwl::ownership {

constexpr const char *membersTable = "members";
constexpr const char *groupsTable = "groups";

struct MemberEntry
{
    MemberInfo info;
    MemberSet witnesses;
    int64_t renewals = 0;
    Revision revision;
};

struct GroupEntry
{
    GroupId group;
    MemberId owner = {}; // empty after a hand-over
    Epoch epoch = {};
    Revision revision = {};
};

// Conversions between rows and JSON. Errors name the invalid field.
Json::Value toJson(const MemberInfo &info);
Json::Value toJson(const MemberEntry &entry);
Json::Value toJson(const GroupEntry &entry);
absl::StatusOr<MemberInfo> memberInfoFromJson(const std::string &id, const Json::Value &value);
absl::StatusOr<MemberEntry> memberEntryFromRow(const platform::Row &row);
absl::StatusOr<GroupEntry> groupEntryFromRow(const platform::Row &row);

// Skips malformed rows and counts them.
class Directory
{
public:
    // Stores both tables from one batched read whose response arrived at `now`.
    void update(const std::vector<platform::Row> &members, const std::vector<platform::Row> &groups,
                TimePoint now);

    // Stores a peer's response to group.owners. It is used for routing only, never for takeovers.
    void updateFromPeer(const Json::Value &response);
    Json::Value ownersResponse() const;

    // Stores a row that this member wrote itself. An older read does not overwrite it.
    void setGroup(const GroupEntry &entry);
    void removeMember(const MemberId &id);

    const std::map<MemberId, MemberEntry> &members() const { return m_members; }
    const std::map<GroupId, GroupEntry> &groups() const { return m_groups; }
    Observation &observation() { return m_observation; }
    const Observation &observation() const { return m_observation; }
    std::vector<MemberInfo> live(Role role) const;    // from the last read
    std::string rpcAddress(const MemberId &id) const; // empty if the id is unknown
    std::optional<MemberInfo> find(const MemberId &id) const;
    bool hasRead() const { return m_hasRead; }
    int64_t malformedRows() const { return m_malformedRows; }

private:
    void addGroup(const GroupEntry &entry);

    std::map<MemberId, MemberEntry> m_members;
    std::map<GroupId, GroupEntry> m_groups;
    std::map<MemberId, MemberInfo> m_fromPeers;
    Observation m_observation;
    bool m_hasRead = false;
    int64_t m_malformedRows = 0;
};

} // namespace cwl::ownership
