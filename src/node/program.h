// Command line that the long-running programs share: --settings, --check, --help and --version.

#pragma once

#include "base/exitcode.h"
#include "settings/processsettings.h"

#include <absl/status/status.h>

#include <functional>
#include <string>

namespace cwl::node {

struct ProgramInfo
{
    std::string name;    // of the binary
    std::string summary; // first line of the help text
};

// Serves until the process is to end. Called with settings that passed their checks.
using Serve = std::function<ExitCode(const settings::ProcessSettings &settings)>;

// Parses the arguments, loads and checks the settings, and serves. With --check it prints the
// settings with their defaults instead.
ExitCode runProgram(const ProgramInfo &info, int argc, char **argv, const Serve &serve);

// Prints the failure to standard error; returns the exit code of its kind.
ExitCode reportFailure(const ProgramInfo &info, const absl::Status &status);

} // namespace cwl::node
