// cwl-entry: callers' HTTP, request queues, routing to endpoints.

#include "base/error.h"
#include "base/exitcode.h"
#include "entry/entry.h"
#include "node/node.h"
#include "settings/processsettings.h"

#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <stdexcept>
#include <string>

namespace {

using cwl::ExitCode;

constexpr const char *usage = R"(Serves callers' requests of one cell.

Usage:
  cwl-entry --settings FILE [--check]
  cwl-entry --help
  cwl-entry --version

Options:
  --settings FILE  settings of this process, JSON with comments
  --check          check the settings and exit
)";

int failed(const absl::Status &status)
{
    std::cerr << "cwl-entry: " << status.message() << "\n";
    switch (cwl::failureOf(status)) {
    case cwl::Failure::AddressInUse:
        return static_cast<int>(ExitCode::AddressInUse);
    case cwl::Failure::InvalidSettings:
    case cwl::Failure::InvalidValue:
        return static_cast<int>(ExitCode::InvalidSettings);
    default:
        return static_cast<int>(ExitCode::Failure);
    }
}

int serve(const cwl::settings::ProcessSettings &settings)
{
    // A request that no handler has seen certainly did not run.
    cwl::node::NodeOptions options;
    options.refusalHeaders.set(cwl::entry::outcomeHeader,
                               outcomeName(cwl::requests::OutcomeKind::NotRun));
    auto node = cwl::node::Node::create(settings, "cwl-entry", options);
    if (!node.ok())
        return failed(node.status());
    auto entry = cwl::entry::Entry::create(settings, **node);
    if (!entry.ok())
        return failed(entry.status());
    return static_cast<int>((*node)->run());
}

} // namespace

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return static_cast<int>(ExitCode::Success);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "cwl-entry 0.1.0\n";
        return static_cast<int>(ExitCode::Success);
    } catch (const std::runtime_error &error) {
        std::cerr << "cwl-entry: " << error.what() << "\n" << usage;
        return static_cast<int>(ExitCode::Usage);
    }
    const auto settings = cwl::settings::loadProcessSettings(arguments["--settings"].asString());
    if (!settings.ok())
        return failed(settings.status());
    if (arguments["--check"].asBool())
        return static_cast<int>(ExitCode::Success);
    return serve(*settings);
}
