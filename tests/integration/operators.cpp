#include "integration/operators.h"

#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace cwl::integration {

namespace {

constexpr Duration callTimeout = seconds(8); // a change may take 5 s

} // namespace

std::string teamText(const std::string &note)
{
    Json::Value team;
    team["tokenSha256"] = std::string(64, '1');
    team["quota"]["cores"] = 1000000;
    team["quota"]["memoryMiB"] = 10000000;
    team["quota"]["accelerators"] = 0;
    team["note"] = note;
    return writeJson(team);
}

harness::JsonAnswer putTeam(const std::string &address, const std::string &changeId,
                            int64_t basedOn, const std::string &text)
{
    http::Request request{.method = "PUT", .path = "/v1/settings/draws", .body = text};
    request.headers.set("Change-Id", changeId);
    request.headers.set("If-Match", std::to_string(basedOn));
    request.headers.set("Authorization", absl::StrCat("Bearer ", operatorsToken));
    const auto response =
            harness::call(address, std::move(request), BootClock::now() + callTimeout);
    if (!response.ok())
        return {};
    const auto body = parseJson(response->body);
    return {response->status, body.ok() ? *body : Json::Value(), response->headers};
}

int64_t changeTeam(Cell &cell, const std::string &note)
{
    const std::vector<std::string> addresses = cell.schedulerAddresses();
    int64_t version = 0;
    size_t next = 0;
    harness::waitUntil(harness::patience(), [&] {
        const auto answer = putTeam(addresses[next++ % addresses.size()], "change-" + note,
                                    storedVersion(cell), teamText(note));
        version = answer.status == 200 ? answer.body["version"].asInt64() : 0;
        return version > 0;
    });
    return version;
}

int64_t versionOf(const std::string &address)
{
    const auto state = harness::getJson(address, "/state", BootClock::now() + seconds(2));
    if (!state.ok() || state->status != 200)
        return -1;
    const Json::Value &body = state->body;
    const Json::Value &sections = body.isMember("sections") ? body["sections"] : body;
    return sections["settings"]["version"].asInt64();
}

int64_t storedVersion(const Cell &cell)
{
    for (const Json::Value &row : cell.rows("settings", "head"))
        return row["value"]["version"].asInt64();
    return 0;
}

bool waitForVersion(const std::vector<std::string> &addresses, int64_t version)
{
    return harness::waitUntil(harness::patience(), [&] {
        return std::all_of(addresses.begin(), addresses.end(), [&](const std::string &address) {
            return versionOf(address) >= version;
        });
    });
}

// Section: watch

VersionWatch::VersionWatch(const std::vector<std::string> &addresses)
    : m_violations(addresses.size())
{
    for (size_t i = 0; i < addresses.size(); ++i)
        m_threads.emplace_back(
                [this, i, address = addresses[i]] { watch(address, m_violations[i]); });
}

VersionWatch::~VersionWatch()
{
    stop();
}

std::string VersionWatch::stop()
{
    m_isStopping = true;
    std::string result;
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    for (const std::string &violations : m_violations)
        result += violations;
    return result;
}

// A process that has just started knows no version, 0, until it has read one.
void VersionWatch::watch(const std::string &address, std::string &violations) const
{
    int64_t highest = 0;
    while (!m_isStopping) {
        const int64_t version = versionOf(address);
        if (version > 0 && version < highest)
            absl::StrAppend(&violations, address, " went back from version ", highest, " to ",
                            version, "\n");
        highest = std::max(highest, version);
        std::this_thread::sleep_for(milliseconds(20));
    }
}

} // namespace cwl::integration
