// What a check of an operators' configuration found.

#pragma once

#include <absl/strings/str_cat.h>

#include <cstddef>
#include <string>

namespace cwl::checker {

enum class Severity {
    Error,   // the members reject or ignore a part of the configuration, or read another value
    Warning, // the configuration is read as written, but a part of it has no effect or no sense
};

// Texts contain names of entries and figures, never a key or its digest.
struct Finding
{
    Severity severity = Severity::Error;
    std::string code;    // stable, such as "out-of-range"
    std::string entry;   // such as "queue r1"; "configuration" for the whole
    std::string message; // one sentence
};

constexpr const char *wholeConfig = "configuration"; // entry of findings about the whole

// "queue r1", or "queue #2" for the second entry if it has no name.
inline std::string entryLabel(const std::string &kind, const std::string &name, size_t position)
{
    return name.empty() ? absl::StrCat(kind, " #", position + 1) : absl::StrCat(kind, " ", name);
}

} // namespace cwl::checker
