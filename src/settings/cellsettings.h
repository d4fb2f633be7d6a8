// Settings of the cell: one subtree per team and the subtree "cell", in force everywhere at one
// version.

#pragma once

#include "base/strongid.h"
#include "base/units.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <array>
#include <map>
#include <string>
#include <vector>

namespace cwl::settings {

enum class UrgencyClass { Urgent, Normal, Deferred };
constexpr size_t urgencyClassCount = 3;

struct MethodSettings
{
    bool idempotent = false; // a non-idempotent method runs at most once for each request id
};

// A set of endpoints behind one name.
struct ServiceSettings
{
    int64_t endpointGroups = 6;          // 1 to 256; fixed while the service exists
    int64_t slotsPerEndpoint = 8;        // requests that run at once on one endpoint
    int64_t connectionsPerEndpoint = 64; // connections open to one endpoint
    int64_t maxQueued = 2000;            // waiting requests per class at one owner
    std::array<int64_t, urgencyClassCount> classShares = {50, 35,
                                                          15}; // guaranteed percent of slots
    std::map<std::string, MethodSettings> methods = {};
};

enum class PackingPolicy { BestFit, WorstFit, ReserveForGangs };

// A team's subtree.
struct TeamSettings
{
    std::string tokenSha256 =
            {};           // 64 hexadecimal digits; who holds the token may change the subtree
    Resources quota = {}; // most that the team's tasks may use at once
    int64_t weight = 1;   // 1 to 1000; share of capacity against other teams
    PackingPolicy packing = PackingPolicy::BestFit; // of the team's batch tasks
    std::string note = {};                          // free text for operators
};

// The subtree "cell", changed by the team "cell" only.
struct CellSubtree
{
    std::string tokenSha256 = {};                     // of the cell's operators
    std::vector<std::string> workerGroups = {"cell"}; // names of the worker groups
    std::array<int64_t, urgencyClassCount> classShares = {40, 30,
                                                          10}; // guaranteed percent of capacity
    int64_t maxWaitingTasks = 1000000; // per worker group; further jobs are refused
    std::map<std::string, ServiceSettings> services = {};
    std::string logLevel = "info"; // of all processes of the cell
};

struct CellSettings
{
    SettingsVersion version; // 0 before anything was accepted
    CellSubtree cell = {};
    std::map<TeamId, TeamSettings> teams = {};
    std::map<std::string, std::string> texts = {}; // subtree name to its text as accepted
};

// Checks one subtree's text. Errors: InvalidSettings, UnknownField, InvalidValue with key and
// allowed range.
absl::StatusOr<CellSubtree> parseCellSubtree(const std::string &text);
absl::StatusOr<TeamSettings> parseTeamSubtree(const std::string &text);

// Returns `settings` with the subtree `name` ("cell" or a team) replaced, checked as a whole,
// version unchanged. An empty team text removes the team.
absl::StatusOr<CellSettings> withSubtree(const CellSettings &settings, const std::string &name,
                                         const std::string &text);

// True if the SHA-256 of `token` is that of the subtree's holder or of the cell's operators;
// constant time.
bool isAuthorized(const CellSettings &settings, const std::string &subtree,
                  const std::string &token);

// Whole settings for peers that start during an outage.
Json::Value toJson(const CellSettings &settings);
absl::StatusOr<CellSettings> cellSettingsFromJson(const Json::Value &value);

// Wire names: "urgent", "normal", "deferred".
const char *urgencyClassName(UrgencyClass urgency);
absl::StatusOr<UrgencyClass> urgencyClassFromName(const std::string &name);

} // namespace cwl::settings
