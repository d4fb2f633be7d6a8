// Settings as they are in force, defaults included, for people and for the state dump.

#pragma once

#include "settings/cellsettings.h"
#include "settings/processsettings.h"

#include <json/value.h>

namespace cwl::settings {

Json::Value describe(const ProcessSettings &settings);
Json::Value describe(const CellSettings &settings); // without token digests

} // namespace cwl::settings
