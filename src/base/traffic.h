// Bytes that this process received and sent, told apart by what they serve. Filled by the HTTP and
// RPC libraries, shown in the state dump and the metrics.
//
// Payload of TCP connections: the headers of TCP and IP are not included. Everything here may be
// called on any thread.

#pragma once

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace cwl {

enum class Traffic {
    RpcControl,    // heartbeats and calls between own processes, except requests
    RpcRequests,   // callers' requests between own processes
    HttpServer,    // callers, operators and monitoring
    HttpPlatform,  // tables, objects and the instance list
    HttpWorkers,   // reports and commands
    HttpEndpoints, // callers' requests and status
    HttpOther,     // clients that state no purpose
};

struct TrafficBytes
{
    uint64_t received = 0;
    uint64_t sent = 0;
};

void addReceived(Traffic traffic, size_t bytes);
void addSent(Traffic traffic, size_t bytes);

TrafficBytes trafficBytes(Traffic traffic); // since the start of the process

// {"rpcControl": {"received", "sent"}, ...}
Json::Value trafficState();

// cwl_traffic_bytes_total in the Prometheus text format, labelled by traffic and direction.
std::string trafficText();

} // namespace cwl
