#include "harness/fleet.h"

#include <stdexcept>

namespace cwl::harness {

namespace {

std::string workerId(const FleetPart &part, int64_t index)
{
    return part.service + "-worker-" + std::to_string(index);
}

std::string endpointId(const FleetPart &part, int64_t index)
{
    return part.service + "-endpoint-" + std::to_string(index);
}

// Racks lie in one data centre each and take turns.
const std::string &dataCentreOf(const Fleet &fleet, int64_t rack)
{
    return fleet.dataCentres.at(size_t(rack) % fleet.dataCentres.size());
}

Json::Value workersSettings(const Fleet &fleet)
{
    Json::Value settings;
    settings["workers"] = Json::Value(Json::arrayValue);
    for (const FleetPart &part : fleet.parts) {
        for (int64_t i = 0; i < part.workers; ++i) {
            Json::Value worker;
            worker["id"] = workerId(part, i);
            worker["cores"] = Json::Int64(part.cores);
            worker["memoryMiB"] = Json::Int64(part.memoryMiB);
            worker["accelerators"] = Json::Int64(part.accelerators);
            // The clocks of workers differ in value and, within the allowed 0.2%, in rate.
            worker["clockOffsetMs"] = Json::Int64(1000000 + 7919 * i);
            worker["clockRatePerMille"] = Json::Int64(999 + i % 3);
            settings["workers"].append(worker);
        }
    }
    return settings;
}

Json::Value endpointsSettings(const Fleet &fleet)
{
    Json::Value settings;
    settings["endpoints"] = Json::Value(Json::arrayValue);
    for (const FleetPart &part : fleet.parts) {
        for (int64_t i = 0; i < part.endpoints; ++i) {
            Json::Value endpoint;
            endpoint["id"] = endpointId(part, i);
            endpoint["slots"] = Json::Int64(part.slots);
            endpoint["connections"] = Json::Int64(part.connections);
            endpoint["serviceMs"] = Json::Int64(part.serviceMs);
            settings["endpoints"].append(endpoint);
        }
    }
    return settings;
}

Json::Value instanceOf(const Fleet &fleet, const std::string &id, const std::string &kind,
                       const std::string &address, const std::string &service, int64_t rack)
{
    Json::Value instance;
    instance["id"] = id;
    instance["kind"] = kind;
    instance["address"] = address;
    instance["dataCentre"] = dataCentreOf(fleet, rack);
    instance["region"] = fleet.region;
    instance["rack"] = service + "-rack-" + std::to_string(rack);
    instance["service"] = kind == "endpoint" ? service : "";
    instance["state"] = "live";
    return instance;
}

std::vector<Json::Value> instancesOf(const Fleet &fleet, const std::string &workers,
                                     const std::vector<uint16_t> &endpointPorts)
{
    std::vector<Json::Value> result;
    size_t nextPort = 1; // the first one is the control port
    for (const FleetPart &part : fleet.parts) {
        for (int64_t i = 0; i < part.workers; ++i) {
            Json::Value worker = instanceOf(fleet, workerId(part, i), "worker", workers,
                                            part.service, i / part.workersPerRack);
            worker["cores"] = Json::Int64(part.cores);
            worker["memoryMiB"] = Json::Int64(part.memoryMiB);
            worker["accelerators"] = Json::Int64(part.accelerators);
            result.push_back(std::move(worker));
        }
        for (int64_t i = 0; i < part.endpoints; ++i)
            result.push_back(instanceOf(fleet, endpointId(part, i), "endpoint",
                                        loopback(endpointPorts.at(nextPort++)), part.service,
                                        i / part.workersPerRack));
    }
    return result;
}

} // namespace

Fleet mocionesFleet()
{
    Fleet fleet;
    fleet.parts = {
            {.service = "draw", .endpoints = 35, .workers = 35},
            {.service = "analysis",
             .endpoints = 13,
             .workers = 13,
             .cores = 64000,
             .memoryMiB = 262144,
             .accelerators = 8,
             .workersPerRack = 3},
    };
    return fleet;
}

Fleet yarmoukFleet()
{
    Fleet fleet;
    fleet.dataCentres = {"dc1", "dc2", "dc3", "dc4"};
    fleet.parts = {
            {.service = "intake",
             .endpoints = 35,
             .workers = 35,
             .cores = 64000,
             .memoryMiB = 131072,
             .workersPerRack = 4},
            {.service = "analysis",
             .endpoints = 13,
             .workers = 13,
             .cores = 128000,
             .memoryMiB = 262144,
             .accelerators = 8,
             .workersPerRack = 3},
    };
    return fleet;
}

Standins startStandins(Harness &harness, const Fleet &fleet)
{
    Standins standins;
    std::vector<uint16_t> ports;
    standins.workersProcess = &harness.startReady(
            "workers", "standin-workers",
            {"--settings", harness.writeFile("workers.json", workersSettings(fleet))}, ports);
    standins.workers = loopback(ports.at(0));
    standins.endpointsProcess = &harness.startReady(
            "endpoints", "standin-endpoints",
            {"--settings", harness.writeFile("endpoints.json", endpointsSettings(fleet))}, ports);
    standins.endpoints = loopback(ports.at(0));
    standins.instances = instancesOf(fleet, standins.workers, ports);
    Json::Value list;
    list["instances"] = Json::Value(Json::arrayValue);
    for (const Json::Value &instance : standins.instances)
        list["instances"].append(instance);
    standins.platformProcess =
            &harness.startReady("platform", "standin-platform",
                                {"--instances", harness.writeFile("instances.json", list)}, ports);
    standins.platform = loopback(ports.at(0));
    return standins;
}

void addInstances(const Standins &standins, const std::vector<Json::Value> &instances)
{
    Json::Value command;
    command["instances"] = Json::Value(Json::arrayValue);
    for (const Json::Value &instance : instances)
        command["instances"].append(instance);
    const auto answer = postJson(standins.platform, "/control", command);
    if (!answer.ok() || answer->status != 200)
        throw std::runtime_error("the platform's instance list cannot be changed");
}

} // namespace cwl::harness
