#include "platform/wire.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace cwl::platform {

namespace {

absl::Status protocolError(const std::string &what)
{
    return makeError(Failure::ProtocolError, absl::StrCat("the platform's answer ", what));
}

absl::StatusOr<Json::Value> parseAnswer(const std::string &body)
{
    absl::StatusOr<Json::Value> value = parseJson(body);
    if (!value.ok() || !value->isObject())
        return protocolError("is not a JSON object");
    return value;
}

absl::StatusOr<Revision> decision(const Json::Value &answer)
{
    if (!answer["committed"].isBool())
        return protocolError("has no 'committed'");
    if (answer["committed"].asBool()) {
        if (!answer["revision"].isInt64())
            return protocolError("has no 'revision'");
        return Revision(answer["revision"].asInt64());
    }
    const Json::Value &conflict = answer["conflict"];
    std::string where;
    if (conflict.isObject())
        where = absl::StrCat(conflict["table"].asString(), "/", conflict["key"].asString());
    return makeError(Failure::Conflict, absl::StrCat("a condition on ", where, " does not hold"),
                     {.field = where});
}

std::string textOf(const Json::Value &object, const char *name)
{
    return object[name].isString() ? object[name].asString() : std::string();
}

int64_t numberOf(const Json::Value &object, const char *name)
{
    return object[name].isInt64() ? object[name].asInt64() : 0;
}

absl::StatusOr<InstanceKind> kindFromName(const std::string &name)
{
    if (name == "worker")
        return InstanceKind::Worker;
    if (name == "endpoint")
        return InstanceKind::Endpoint;
    if (name == "system")
        return InstanceKind::System;
    return protocolError(absl::StrCat("names the unknown kind '", name, "'"));
}

absl::StatusOr<Instance> instanceFromJson(const Json::Value &value)
{
    if (!value.isObject() || textOf(value, "id").empty())
        return protocolError("lists an instance without an id");
    const absl::StatusOr<InstanceKind> kind = kindFromName(textOf(value, "kind"));
    if (!kind.ok())
        return kind.status();
    Instance instance;
    instance.id = InstanceId(textOf(value, "id"));
    instance.kind = *kind;
    instance.address = textOf(value, "address");
    instance.dataCentre = DataCentreId(textOf(value, "dataCentre"));
    instance.region = textOf(value, "region");
    instance.rack = RackId(textOf(value, "rack"));
    instance.service = ServiceId(textOf(value, "service"));
    const bool isLeaving = textOf(value, "state") == "leaving";
    instance.state = isLeaving ? InstanceState::Leaving : InstanceState::Live;
    instance.capacity.cores = Millicores(numberOf(value, "cores"));
    instance.capacity.memory = Mebibytes(numberOf(value, "memoryMiB"));
    instance.capacity.accelerators = Accelerators(numberOf(value, "accelerators"));
    return instance;
}

} // namespace

std::string commitToJson(const Commit &commit)
{
    Json::Value body;
    body["changeId"] = commit.changeId.value();
    body["conditions"] = Json::Value(Json::arrayValue);
    for (const Condition &condition : commit.conditions) {
        Json::Value entry;
        entry["table"] = condition.table;
        entry["key"] = condition.key;
        entry["revision"] = Json::Int64(condition.revision.value());
        body["conditions"].append(std::move(entry));
    }
    body["writes"] = Json::Value(Json::arrayValue);
    for (const Write &write : commit.writes) {
        Json::Value entry;
        entry["table"] = write.table;
        entry["key"] = write.key;
        entry["value"] = write.value;
        body["writes"].append(std::move(entry));
    }
    return writeJson(body);
}

std::string readsToJson(const std::vector<Read> &reads)
{
    Json::Value body;
    body["reads"] = Json::Value(Json::arrayValue);
    for (const Read &read : reads) {
        Json::Value entry;
        entry["table"] = read.table;
        if (read.key)
            entry["key"] = *read.key;
        if (read.prefix)
            entry["prefix"] = *read.prefix;
        body["reads"].append(std::move(entry));
    }
    return writeJson(body);
}

absl::StatusOr<Revision> commitAnswer(const std::string &body)
{
    const absl::StatusOr<Json::Value> answer = parseAnswer(body);
    if (!answer.ok())
        return answer.status();
    return decision(*answer);
}

absl::StatusOr<ChangeOutcome> changeAnswer(const std::string &body)
{
    const absl::StatusOr<Json::Value> answer = parseAnswer(body);
    if (!answer.ok())
        return answer.status();
    if (!(*answer)["known"].isBool())
        return protocolError("has no 'known'");
    ChangeOutcome outcome;
    outcome.known = (*answer)["known"].asBool();
    if (outcome.known)
        outcome.decision = decision(*answer);
    return outcome;
}

absl::StatusOr<std::vector<std::vector<Row>>> readAnswer(const std::string &body, size_t reads)
{
    const absl::StatusOr<Json::Value> answer = parseAnswer(body);
    if (!answer.ok())
        return answer.status();
    const Json::Value &lists = (*answer)["rows"];
    if (!lists.isArray() || lists.size() != reads)
        return protocolError("does not hold one list per read");
    std::vector<std::vector<Row>> result;
    for (const Json::Value &list : lists) {
        std::vector<Row> rows;
        for (const Json::Value &entry : list) {
            if (!entry.isObject() || !entry["key"].isString() || !entry["revision"].isInt64())
                return protocolError("holds a row without key or revision");
            rows.push_back({entry["key"].asString(), entry["value"],
                            Revision(entry["revision"].asInt64())});
        }
        result.push_back(std::move(rows));
    }
    return result;
}

absl::StatusOr<std::vector<Instance>> instancesAnswer(const std::string &body)
{
    const absl::StatusOr<Json::Value> answer = parseAnswer(body);
    if (!answer.ok())
        return answer.status();
    if (!(*answer)["instances"].isArray())
        return protocolError("has no 'instances'");
    std::vector<Instance> instances;
    for (const Json::Value &entry : (*answer)["instances"]) {
        absl::StatusOr<Instance> instance = instanceFromJson(entry);
        if (!instance.ok())
            return instance.status();
        instances.push_back(*std::move(instance));
    }
    return instances;
}

} // namespace cwl::platform
