#include "base/error.h"
#include "base/json.h"
#include "base/random.h"
#include "client/commands.h"
#include "client/difference.h"
#include "client/output.h"
#include "settings/cellsettings.h"

#include <absl/strings/str_cat.h>

#include <limits>
#include <optional>
#include <thread>
#include <utility>

namespace cwl::client {

namespace {

constexpr Duration pollInterval = milliseconds(200); // while waiting for settings to be in force

std::string subtreePath(const std::string &subtree)
{
    return "/v1/settings/" + escapedSegment(subtree);
}

absl::StatusOr<int64_t> versionOf(const Answer &answer)
{
    return intMember(answer.body, "version", 0, std::numeric_limits<int64_t>::max());
}

absl::StatusOr<Answer> readSubtree(Connection &connection, const std::string &subtree)
{
    absl::StatusOr<Answer> answer = connection.send({.path = subtreePath(subtree)});
    if (!answer.ok())
        return answer;
    const absl::StatusOr<std::string> text = stringMember(answer->body, "text");
    if (!text.ok())
        return text.status();
    return answer;
}

// Finds the field at fault before anything is sent.
absl::Status checkText(const Arguments &arguments)
{
    if (arguments.text.empty())
        return absl::OkStatus(); // removes the team
    absl::Status status = absl::OkStatus();
    if (arguments.subtree == "cell")
        status = settings::parseCellSubtree(arguments.text).status();
    else
        status = settings::parseTeamSubtree(arguments.text).status();
    if (status.ok())
        return status;
    return makeError(Failure::InvalidSettings,
                     absl::StrCat(arguments.fileName, ": ", std::string(status.message())),
                     detailOf(status));
}

// Section: versions in force

struct ServerVersion
{
    std::string server;
    absl::StatusOr<int64_t> version;
};

std::vector<ServerVersion> versionsInForce(Connection &connection)
{
    std::vector<ServerVersion> versions;
    for (const std::string &server : connection.servers()) {
        const absl::StatusOr<Answer> answer = connection.sendTo(server, {.path = "/v1/settings"});
        versions.push_back(
                {.server = server, .version = answer.ok() ? versionOf(*answer) : answer.status()});
    }
    return versions;
}

// Returns the lowest version, or nullopt when a server did not answer.
std::optional<int64_t> lowestVersion(const std::vector<ServerVersion> &versions)
{
    std::optional<int64_t> lowest;
    for (const ServerVersion &entry : versions) {
        if (!entry.version.ok())
            return std::nullopt;
        lowest = std::min(lowest.value_or(*entry.version), *entry.version);
    }
    return lowest;
}

int64_t highestVersion(const std::vector<ServerVersion> &versions)
{
    int64_t highest = 0;
    for (const ServerVersion &entry : versions)
        highest = std::max(highest, entry.version.ok() ? *entry.version : 0);
    return highest;
}

Json::Value statusRows(const std::vector<ServerVersion> &versions)
{
    Json::Value rows(Json::arrayValue);
    for (const ServerVersion &entry : versions) {
        Json::Value row;
        row["server"] = entry.server;
        if (entry.version.ok())
            row["version"] = Json::Int64(*entry.version);
        else
            row["error"] = std::string(entry.version.status().message());
        rows.append(row);
    }
    return rows;
}

// Waits, when asked to, until every server has `wanted` or, when that is 0, the newest version
// seen.
absl::StatusOr<std::vector<ServerVersion>> awaitVersions(Connection &connection, int64_t wanted,
                                                         bool wait)
{
    while (true) {
        std::vector<ServerVersion> versions = versionsInForce(connection);
        const int64_t target = wanted > 0 ? wanted : highestVersion(versions);
        const std::optional<int64_t> lowest = lowestVersion(versions);
        if (!wait || (lowest && *lowest >= target))
            return versions;
        if (BootClock::now() + pollInterval < connection.deadline()) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        return makeError(Failure::Timeout,
                         absl::StrCat("version ", target, " is not in force at all servers:\n",
                                      table(statusRows(versions), {"server", "version"})),
                         {.field = "--timeout"});
    }
}

} // namespace

// Section: commands

absl::StatusOr<Output> showSettings(Connection &connection, const Arguments &arguments)
{
    if (arguments.subtree.empty()) {
        const absl::StatusOr<Answer> answer = connection.send({.path = "/v1/settings"});
        if (!answer.ok())
            return answer.status();
        return Output{.json = answer->body, .text = describe(answer->body)};
    }
    const absl::StatusOr<Answer> answer = readSubtree(connection, arguments.subtree);
    if (!answer.ok())
        return answer.status();
    // The text alone, so that it can be edited and set again.
    return Output{.json = answer->body, .text = answer->body["text"].asString()};
}

absl::StatusOr<Output> setSettings(Connection &connection, const Arguments &arguments)
{
    const absl::Status checked = checkText(arguments);
    if (!checked.ok())
        return checked;
    int64_t basedOn = arguments.version;
    if (basedOn == 0) {
        const absl::StatusOr<Answer> current = connection.send({.path = "/v1/settings"});
        if (!current.ok())
            return current.status();
        const absl::StatusOr<int64_t> version = versionOf(*current);
        if (!version.ok())
            return version.status();
        basedOn = *version;
    }
    const std::string changeId = arguments.changeId.empty() ? randomHexId() : arguments.changeId;
    http::Request write{
            .method = "PUT", .path = subtreePath(arguments.subtree), .body = arguments.text};
    write.headers.set("Change-Id", changeId);
    write.headers.set("If-Match", absl::StrCat(basedOn));
    const absl::StatusOr<Answer> answer = connection.send(std::move(write));
    if (!answer.ok())
        return makeError(failureOf(answer.status()),
                         absl::StrCat(std::string(answer.status().message()),
                                      "\n  to repeat safely: --change-id=", changeId,
                                      " --based-on=", basedOn),
                         detailOf(answer.status()));
    const absl::StatusOr<int64_t> version = versionOf(*answer);
    if (!version.ok())
        return version.status();
    Output output{.json = answer->body,
                  .text = absl::StrCat("accepted as version ", *version, "\n")};
    output.json["changeId"] = changeId;
    if (!arguments.wait)
        return output;
    const auto versions = awaitVersions(connection, *version, true);
    if (!versions.ok())
        return versions.status();
    output.json["servers"] = statusRows(*versions);
    output.text += table(output.json["servers"], {"server", "version"});
    return output;
}

absl::StatusOr<Output> diffSettings(Connection &connection, const Arguments &arguments)
{
    const absl::StatusOr<Answer> answer = readSubtree(connection, arguments.subtree);
    if (!answer.ok())
        return answer.status();
    Output output;
    output.text = lineDifference(answer->body["text"].asString(), arguments.text);
    output.json["subtree"] = arguments.subtree;
    output.json["version"] = answer->body["version"];
    output.json["same"] = output.text.empty();
    output.json["difference"] = output.text;
    if (output.text.empty())
        output.text = "no difference\n";
    return output;
}

absl::StatusOr<Output> settingsStatus(Connection &connection, const Arguments &arguments)
{
    const auto versions = awaitVersions(connection, arguments.version, arguments.wait);
    if (!versions.ok())
        return versions.status();
    Output output;
    output.json["servers"] = statusRows(*versions);
    const std::optional<int64_t> lowest = lowestVersion(*versions);
    const int64_t target = arguments.version > 0 ? arguments.version : highestVersion(*versions);
    output.json["inForce"] = lowest && *lowest >= target;
    output.json["version"] = Json::Int64(target);
    output.text = table(output.json["servers"], {"server", "version"});
    absl::StrAppend(&output.text, "version ", target,
                    output.json["inForce"].asBool() ? " is" : " is not",
                    " in force at all servers\n");
    return output;
}

} // namespace cwl::client
