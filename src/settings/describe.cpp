#include "settings/describe.h"

namespace cwl::settings {

namespace {

const char *packingName(PackingPolicy policy)
{
    switch (policy) {
    case PackingPolicy::BestFit:
        return "best-fit";
    case PackingPolicy::WorstFit:
        return "worst-fit";
    case PackingPolicy::ReserveForGangs:
        return "reserve-for-gangs";
    }
    return "best-fit";
}

Json::Value describeShares(const std::array<int64_t, urgencyClassCount> &shares)
{
    Json::Value value;
    for (size_t index = 0; index < urgencyClassCount; ++index)
        value[urgencyClassName(static_cast<UrgencyClass>(index))] = Json::Int64(shares[index]);
    return value;
}

Json::Value describeService(const ServiceSettings &service)
{
    Json::Value value;
    value["endpointGroups"] = Json::Int64(service.endpointGroups);
    value["slotsPerEndpoint"] = Json::Int64(service.slotsPerEndpoint);
    value["connectionsPerEndpoint"] = Json::Int64(service.connectionsPerEndpoint);
    value["maxQueued"] = Json::Int64(service.maxQueued);
    value["classShares"] = describeShares(service.classShares);
    for (const auto &[name, method] : service.methods)
        value["methods"][name]["idempotent"] = method.idempotent;
    return value;
}

Json::Value describeTeam(const TeamSettings &team)
{
    Json::Value value;
    value["quota"]["cores"] = Json::Int64(team.quota.cores.value());
    value["quota"]["memoryMiB"] = Json::Int64(team.quota.memory.value());
    value["quota"]["accelerators"] = Json::Int64(team.quota.accelerators.value());
    value["weight"] = Json::Int64(team.weight);
    value["packing"] = packingName(team.packing);
    if (!team.note.empty())
        value["note"] = team.note;
    return value;
}

} // namespace

Json::Value describe(const ProcessSettings &settings)
{
    Json::Value value;
    value["instance"] = settings.instance.value();
    value["dataCentre"] = settings.dataCentre.value();
    value["region"] = settings.region;
    value["address"] = settings.address;
    value["httpPort"] = settings.httpPort;
    value["rpcPort"] = settings.rpcPort;
    value["rpcAdvertised"] = settings.rpcAdvertised;
    value["platform"] = settings.platform;
    value["peers"] = Json::Value(Json::arrayValue);
    for (const std::string &peer : settings.peers)
        value["peers"].append(peer);
    value["trafficThreads"] = Json::Int64(settings.trafficThreads);
    value["logLevel"] = settings.logLevel;
    return value;
}

Json::Value describe(const CellSettings &settings)
{
    Json::Value value;
    value["version"] = Json::Int64(settings.version.value());
    Json::Value &cell = value["cell"];
    cell["workerGroups"] = Json::Value(Json::arrayValue);
    for (const std::string &group : settings.cell.workerGroups)
        cell["workerGroups"].append(group);
    cell["classShares"] = describeShares(settings.cell.classShares);
    cell["maxWaitingTasks"] = Json::Int64(settings.cell.maxWaitingTasks);
    cell["logLevel"] = settings.cell.logLevel;
    for (const auto &[name, service] : settings.cell.services)
        cell["services"][name] = describeService(service);
    for (const auto &[team, teamSettings] : settings.teams)
        value["teams"][team.value()] = describeTeam(teamSettings);
    return value;
}

} // namespace cwl::settings
