// Parsing of JSON from outside the process with RapidJSON, bounded in depth.

#pragma once

#include <rapidjson/document.h>

#include <string_view>

namespace cwl {

constexpr size_t maxJsonDepth = 64; // arrays and objects nested within one another

// Parses one JSON object in UTF-8 into `document`. Returns false if the text is anything else, or
// nests deeper than `maxJsonDepth`. The stack that it needs does not depend on the text. A parsing
// error sets `errorOffset` to its position in the text.
bool parseJsonObject(rapidjson::Document &document, std::string_view text,
                     size_t *errorOffset = nullptr);

} // namespace cwl
