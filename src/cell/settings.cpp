#include "cell/settings.h"

#include "base/error.h"
#include "base/json.h"
#include "settings/objectreader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace cwl::cell {

namespace {

constexpr int64_t maxPort = 65535;
constexpr double maxCores = 1024;
constexpr int64_t maxDescriptorsLimit = 10000000;
constexpr int64_t maxMemoryMb = 16L * 1024 * 1024;
constexpr int64_t minLeaseMs = 1000;
constexpr int64_t maxAllowedLeaseMs = 600000;
constexpr int64_t maxStopGraceMs = 600000;

} // namespace

jobs::DispatcherSettings dispatcherSettings(const CellSettings &settings)
{
    jobs::DispatcherSettings dispatcher;
    dispatcher.lease = milliseconds(std::min(preferredLeaseMs, settings.maxLeaseMs));
    return dispatcher;
}

absl::StatusOr<CellSettings> loadCellSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return makeError(Failure::InvalidSettings, absl::StrCat(path, ": cannot be opened"),
                         {.field = "--settings"});
    std::ostringstream text;
    text << file.rdbuf();
    return parseCellSettings(text.str(), path);
}

absl::StatusOr<CellSettings> parseCellSettings(const std::string &text, const std::string &name)
{
    const absl::StatusOr<Json::Value> root = parseJsonWithComments(text);
    if (!root.ok())
        return makeError(Failure::InvalidSettings,
                         absl::StrCat(name, ": ", std::string(root.status().message())));
    const settings::Document document{name, text};
    settings::ObjectReader reader(document, *root, "");
    CellSettings settings;
    settings.process.instance = InstanceId(reader.requiredText("instance"));
    settings.process.dataCentre = DataCentreId(reader.requiredText("dataCentre"));
    settings.process.region = reader.requiredText("region");
    settings.process.address = reader.requiredText("address");
    settings.process.httpPort = uint16_t(reader.requiredInteger("membersPort", 1, maxPort));
    settings.process.platform = reader.requiredText("platform");
    settings.process.trafficThreads = 1;
    settings.process.logLevel =
            reader.choice("logLevel", "info", {"trace", "debug", "info", "warn", "error"});
    settings.callersAddress = reader.requiredText("callersAddress");
    settings.readinessAddress = reader.requiredText("readinessAddress");
    settings.adviceAddress = reader.text("adviceAddress", "");
    settings.metricsPort = uint16_t(reader.integer("metricsPort", 0, 0, maxPort));
    settings.coreShare = reader.real("coreShare", 0, 0, maxCores);
    settings.maxDescriptors = reader.integer("maxDescriptors", 0, 0, maxDescriptorsLimit);
    settings.memoryMb = reader.integer("memoryMb", 0, 0, maxMemoryMb);
    settings.maxLeaseMs = reader.requiredInteger("maxLeaseMs", minLeaseMs, maxAllowedLeaseMs);
    settings.stopGraceMs = reader.requiredInteger("stopGraceMs", 1000, maxStopGraceMs);
    const absl::Status status = reader.finish();
    if (!status.ok())
        return status;
    return settings;
}

} // namespace cwl::cell
