#include "settings/processsettings.h"

#include "base/error.h"
#include "base/json.h"
#include "settings/objectreader.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>

namespace cwl::settings {

namespace {

constexpr int64_t maxPort = 65535;
constexpr int64_t maxTrafficThreads = 64;

} // namespace

std::string rpcAddress(const ProcessSettings &settings, uint16_t openPort)
{
    if (!settings.rpcAdvertised.empty())
        return settings.rpcAdvertised;
    return absl::StrCat(settings.address, ":", openPort);
}

absl::StatusOr<ProcessSettings> loadProcessSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(Failure::InvalidSettings, absl::StrCat(path, ": cannot be opened"),
                         {.field = "--settings"});
    std::ostringstream text;
    text << file.rdbuf();
    return parseProcessSettings(text.str(), path);
}

absl::StatusOr<ProcessSettings> parseProcessSettings(const std::string &text,
                                                     const std::string &name)
{
    const absl::StatusOr<Json::Value> root = parseJsonWithComments(text);
    if (!root.ok())
        return makeError(Failure::InvalidSettings,
                         absl::StrCat(name, ": ", std::string(root.status().message())));
    const Document document{name, text};
    ObjectReader reader(document, *root, "");
    ProcessSettings settings;
    settings.instance = InstanceId(reader.requiredText("instance"));
    settings.dataCentre = DataCentreId(reader.requiredText("dataCentre"));
    settings.region = reader.requiredText("region");
    settings.address = reader.text("address", settings.address);
    settings.httpPort = static_cast<uint16_t>(reader.requiredInteger("httpPort", 0, maxPort));
    settings.rpcPort = static_cast<uint16_t>(reader.requiredInteger("rpcPort", 0, maxPort));
    settings.rpcAdvertised = reader.text("rpcAdvertised", settings.rpcAdvertised);
    settings.platform = reader.requiredText("platform");
    settings.peers = reader.texts("peers", settings.peers);
    settings.trafficThreads =
            reader.integer("trafficThreads", settings.trafficThreads, 1, maxTrafficThreads);
    settings.logLevel = reader.choice("logLevel", settings.logLevel,
                                      {"trace", "debug", "info", "warn", "error"});
    if (settings.instance.isEmpty())
        reader.fail("instance", "is empty", "the platform's id of this instance");
    const absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    return settings;
}

} // namespace cwl::settings
