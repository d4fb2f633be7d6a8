#include "ownership/directory.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <limits>
#include <utility>

namespace cwl::ownership {

namespace {

constexpr int64_t maxInt = std::numeric_limits<int64_t>::max();

const char *roleName(Role role)
{
    return role == Role::Entry ? "entry" : "scheduler";
}

absl::StatusOr<Role> roleFromName(const std::string &name)
{
    if (name == "entry")
        return Role::Entry;
    if (name == "scheduler")
        return Role::Scheduler;
    return makeError(Failure::InvalidValue, absl::StrCat("unknown role '", name, "'"),
                     {.field = "role", .limit = "entry or scheduler"});
}

} // namespace

Json::Value toJson(const MemberInfo &info)
{
    Json::Value value;
    value["role"] = roleName(info.role);
    value["instance"] = info.instance.value();
    value["dataCentre"] = info.dataCentre.value();
    value["rpcAddress"] = info.rpcAddress;
    value["httpAddress"] = info.httpAddress;
    value["ready"] = info.ready;
    return value;
}

Json::Value toJson(const MemberEntry &entry)
{
    Json::Value value = toJson(entry.info);
    value["renewals"] = Json::Int64(entry.renewals);
    value["witnesses"] = Json::Value(Json::arrayValue);
    for (const MemberId &witness : entry.witnesses)
        value["witnesses"].append(witness.value());
    return value;
}

Json::Value toJson(const GroupEntry &entry)
{
    Json::Value value;
    value["owner"] = entry.owner.value();
    value["epoch"] = Json::Int64(entry.epoch.value());
    return value;
}

absl::StatusOr<MemberInfo> memberInfoFromJson(const std::string &id, const Json::Value &value)
{
    MemberInfo info;
    info.id = MemberId(id);
    const absl::StatusOr<std::string> roleText = stringMember(value, "role");
    if (!roleText.ok())
        return roleText.status();
    const absl::StatusOr<Role> role = roleFromName(*roleText);
    if (!role.ok())
        return role.status();
    info.role = *role;
    const absl::StatusOr<std::string> rpcAddress = stringMember(value, "rpcAddress");
    if (!rpcAddress.ok())
        return rpcAddress.status();
    info.rpcAddress = *rpcAddress;
    const absl::StatusOr<bool> ready = boolMember(value, "ready");
    if (!ready.ok())
        return ready.status();
    info.ready = *ready;
    info.instance = InstanceId(stringMember(value, "instance").value_or(""));
    info.dataCentre = DataCentreId(stringMember(value, "dataCentre").value_or(""));
    info.httpAddress = stringMember(value, "httpAddress").value_or("");
    return info;
}

absl::StatusOr<MemberEntry> memberEntryFromRow(const platform::Row &row)
{
    absl::StatusOr<MemberInfo> info = memberInfoFromJson(row.key, row.value);
    if (!info.ok())
        return info.status();
    MemberEntry entry;
    entry.info = *std::move(info);
    entry.revision = row.revision;
    entry.renewals = intMember(row.value, "renewals", 0, maxInt).value_or(0);
    const Json::Value &witnesses = row.value["witnesses"];
    if (!witnesses.isArray())
        return makeError(Failure::InvalidValue, "field 'witnesses' must be an array",
                         {.field = "witnesses"});
    for (const Json::Value &witness : witnesses) {
        if (!witness.isString())
            return makeError(Failure::InvalidValue, "a witness must be a member id",
                             {.field = "witnesses"});
        entry.witnesses.insert(MemberId(witness.asString()));
    }
    return entry;
}

absl::StatusOr<GroupEntry> groupEntryFromRow(const platform::Row &row)
{
    const absl::StatusOr<std::string> owner = stringMember(row.value, "owner");
    if (!owner.ok())
        return owner.status();
    const absl::StatusOr<int64_t> epoch = intMember(row.value, "epoch", 1, maxInt);
    if (!epoch.ok())
        return epoch.status();
    return GroupEntry{GroupId(row.key), MemberId(*owner), Epoch(*epoch), row.revision};
}

void Directory::update(const std::vector<platform::Row> &members,
                       const std::vector<platform::Row> &groups, TimePoint now)
{
    std::map<MemberId, MemberEntry> next;
    std::vector<MemberRow> rows;
    for (const platform::Row &row : members) {
        absl::StatusOr<MemberEntry> entry = memberEntryFromRow(row);
        if (!entry.ok()) {
            ++m_malformedRows;
            continue;
        }
        rows.push_back({entry->info.id, entry->revision, entry->witnesses});
        const MemberId id = entry->info.id;
        next.emplace(id, *std::move(entry));
    }
    for (const platform::Row &row : groups) {
        const absl::StatusOr<GroupEntry> entry = groupEntryFromRow(row);
        if (entry.ok())
            addGroup(*entry);
        else
            ++m_malformedRows;
    }
    m_members = std::move(next);
    m_observation.update(rows, now);
    m_fromPeers.clear();
    m_hasRead = true;
}

void Directory::updateFromPeer(const Json::Value &response)
{
    const Json::Value members = response.get("members", Json::Value());
    const Json::Value groups = response.get("groups", Json::Value());
    if (!members.isObject() || !groups.isObject())
        return;
    for (const std::string &id : members.getMemberNames()) {
        const absl::StatusOr<MemberInfo> info = memberInfoFromJson(id, members[id]);
        if (info.ok())
            m_fromPeers[info->id] = *info;
    }
    for (const std::string &group : groups.getMemberNames()) {
        const absl::StatusOr<int64_t> revision = intMember(groups[group], "revision", 1, maxInt);
        if (!revision.ok())
            continue;
        const absl::StatusOr<GroupEntry> entry =
                groupEntryFromRow({group, groups[group], Revision(*revision)});
        if (entry.ok())
            addGroup(*entry);
    }
}

Json::Value Directory::ownersResponse() const
{
    Json::Value response;
    response["members"] = Json::Value(Json::objectValue);
    response["groups"] = Json::Value(Json::objectValue);
    for (const auto &[id, entry] : m_members) {
        if (m_observation.isLive(id))
            response["members"][id.value()] = toJson(entry.info);
    }
    for (const auto &[group, entry] : m_groups) {
        Json::Value value = toJson(entry);
        value["revision"] = Json::Int64(entry.revision.value());
        response["groups"][group.value()] = value;
    }
    return response;
}

void Directory::setGroup(const GroupEntry &entry)
{
    addGroup(entry);
}

void Directory::removeMember(const MemberId &id)
{
    m_members.erase(id);
}

std::vector<MemberInfo> Directory::live(Role role) const
{
    std::vector<MemberInfo> found;
    for (const auto &[id, entry] : m_members) {
        if (entry.info.role == role && m_observation.isLive(id))
            found.push_back(entry.info);
    }
    if (m_hasRead)
        return found;
    for (const auto &[id, info] : m_fromPeers) {
        if (info.role == role)
            found.push_back(info);
    }
    return found;
}

std::string Directory::rpcAddress(const MemberId &id) const
{
    const std::optional<MemberInfo> info = find(id);
    return info ? info->rpcAddress : std::string();
}

std::optional<MemberInfo> Directory::find(const MemberId &id) const
{
    const auto member = m_members.find(id);
    if (member != m_members.end())
        return member->second.info;
    const auto fromPeer = m_fromPeers.find(id);
    if (fromPeer != m_fromPeers.end())
        return fromPeer->second;
    return std::nullopt;
}

void Directory::addGroup(const GroupEntry &entry)
{
    // Group rows are never deleted and their revisions only increase.
    const auto [known, isNew] = m_groups.try_emplace(entry.group, entry);
    if (!isNew && entry.revision > known->second.revision)
        known->second = entry;
}

} // namespace cwl::ownership
