// The commands of cwl: each sends requests and returns its answer both as JSON and as text.

#pragma once

#include "client/connection.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <string>

namespace cwl::client {

// The arguments of one command; those that a command does not use stay empty.
struct Arguments
{
    std::string job = {};      // job id
    std::string worker = {};   // worker id
    std::string subtree = {};  // "cell" or a team
    std::string text = {};     // of the file that was given
    std::string fileName = {}; // of that file, for messages
    std::string jobId = {};    // replaces the job id in the file
    std::string team = {};     // list: only jobs of this team
    std::string jobState = {}; // list: only jobs in this state
    std::string changeId = {}; // of a write; a random one when empty
    int64_t version = 0;       // set: based on it; status: wanted; 0 for none given
    bool wait = false;         // until the settings are in force at all servers
};

struct Output
{
    Json::Value json;
    std::string text;
};

using Command = absl::StatusOr<Output> (*)(Connection &, const Arguments &);

struct CommandEntry
{
    const char *name; // such as "submit" or "settings set"
    Command run;
};

// Returns nullptr for an unknown name.
const CommandEntry *findCommand(const std::string &name);

// Section: settings commands, in settingscommands.cpp

absl::StatusOr<Output> showSettings(Connection &connection, const Arguments &arguments);
absl::StatusOr<Output> setSettings(Connection &connection, const Arguments &arguments);
absl::StatusOr<Output> diffSettings(Connection &connection, const Arguments &arguments);
absl::StatusOr<Output> settingsStatus(Connection &connection, const Arguments &arguments);

} // namespace cwl::client
