// Settings of one process: a JSON file with comments, checked as a whole before anything starts.

#pragma once

#include "base/strongid.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cwl::settings {

struct ProcessSettings
{
    InstanceId instance;               // the platform's id of the instance this process runs on
    DataCentreId dataCentre;           // of that instance
    std::string region;                // of that instance
    std::string address = "127.0.0.1"; // numeric IP address that the process listens on
    uint16_t httpPort = 0;             // callers, operators and admin pages
    uint16_t rpcPort = 0;              // the system's other processes
    std::string rpcAdvertised = {}; // "ip:port" that other processes use; empty for address:rpcPort
    std::string platform;           // "ip:port" of the platform's table service
    std::vector<std::string> peers =
            {};                    // RPC addresses of other processes, for a start during an outage
    int64_t trafficThreads = 2;    // 1 to 64
    std::string logLevel = "info"; // trace, debug, info, warn or error
};

// The address that other processes use for RPC: the advertised one, or that of the open port.
std::string rpcAddress(const ProcessSettings &settings, uint16_t openPort);

// Reads and checks a file. Error: InvalidSettings with file, line or key, and the allowed range.
absl::StatusOr<ProcessSettings> loadProcessSettings(const std::string &path);

// The same from text; `name` stands for the file in messages.
absl::StatusOr<ProcessSettings> parseProcessSettings(const std::string &text,
                                                     const std::string &name);

} // namespace cwl::settings
