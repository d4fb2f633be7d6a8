// Workers and endpoints of a test, as settings of the stand-ins and entries of the instance list.

#pragma once

#include "harness/harness.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cwl::harness {

// One service with its endpoints, and the workers that come with it.
struct FleetPart
{
    std::string service;
    int64_t endpoints = 0;
    int64_t slots = 8;
    int64_t connections = 64;
    int64_t serviceMs = 5;
    int64_t workers = 0;
    int64_t cores = 16000; // millicores
    int64_t memoryMiB = 65536;
    int64_t accelerators = 0;
    int64_t workersPerRack = 5;
};

struct Fleet
{
    std::vector<std::string> dataCentres = {"dc1", "dc2", "dc3"};
    std::string region = "r1";
    std::vector<FleetPart> parts = {};
};

// The deployments of today, docs/design.md, section 1.6.
Fleet mocionesFleet();
Fleet yarmoukFleet();

// The stand-ins of one cell, running.
struct Standins
{
    std::string platform;                    // "ip:port"
    std::string workers;                     // all workers
    std::string endpoints;                   // the control port; each endpoint has its own
    std::vector<Json::Value> instances = {}; // the list as the platform was given it
    Process *platformProcess = nullptr;
    Process *workersProcess = nullptr;
    Process *endpointsProcess = nullptr;
};

// Starts the three stand-ins; the instance list holds the fleet from the start.
Standins startStandins(Harness &harness, const Fleet &fleet);

// Adds entries to the platform's list, such as Deployment::instanceList(). Throws if it cannot.
void addInstances(const Standins &standins, const std::vector<Json::Value> &instances);

} // namespace cwl::harness
