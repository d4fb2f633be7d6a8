#include "node/program.h"

#include "base/error.h"
#include "base/json.h"
#include "base/version.h"
#include "settings/describe.h"

#include <absl/strings/str_cat.h>
#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <stdexcept>
#include <string>

namespace cwl::node {

namespace {

std::string usageOf(const ProgramInfo &info)
{
    const std::string &name = info.name;
    return absl::StrCat(info.summary, "\n\nUsage:\n  ", name, " --settings FILE [--check]\n  ",
                        name, " --help\n  ", name,
                        " --version\n\n"
                        "Options:\n"
                        "  --settings FILE  settings of this process, JSON with comments\n"
                        "  --check          print the settings with their defaults and exit\n\n"
                        "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 invalid settings,\n"
                        "4 a port could not be opened, 5 a part of the program kept failing.\n");
}

ExitCode checkOrServe(const ProgramInfo &info, std::map<std::string, docopt::value> &arguments,
                      const Serve &serve)
{
    const auto settings = settings::loadProcessSettings(arguments["--settings"].asString());
    if (!settings.ok())
        return reportFailure(info, settings.status());
    if (!arguments["--check"].asBool())
        return serve(*settings);
    std::cout << writeJsonIndented(settings::describe(*settings)) << "\n";
    return ExitCode::Success;
}

} // namespace

ExitCode runProgram(const ProgramInfo &info, int argc, char **argv, const Serve &serve)
{
    const std::string usage = usageOf(info);
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return ExitCode::Success;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << info.name << " " << version << "\n";
        return ExitCode::Success;
    } catch (const std::runtime_error &error) {
        std::cerr << info.name << ": " << error.what() << "\n" << usage;
        return ExitCode::Usage;
    }
    return checkOrServe(info, arguments, serve);
}

ExitCode reportFailure(const ProgramInfo &info, const absl::Status &status)
{
    std::cerr << info.name << ": " << status.message() << "\n";
    switch (failureOf(status)) {
    case Failure::AddressInUse:
        return ExitCode::AddressInUse;
    case Failure::InvalidSettings:
    case Failure::InvalidValue:
        return ExitCode::InvalidSettings;
    default:
        return ExitCode::Failure;
    }
}

} // namespace cwl::node
