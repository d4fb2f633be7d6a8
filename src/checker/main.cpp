// cwl-check: checks settings files and configurations before they reach a process or the cell.

#include "base/exitcode.h"
#include "base/json.h"
#include "base/version.h"
#include "checker/configreport.h"
#include "settings/cellsettings.h"
#include "settings/describe.h"
#include "settings/processsettings.h"

#include <absl/strings/str_cat.h>
#include <docopt/docopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

constexpr const char *usage =
        R"(cwl-check: checks settings files and prints the settings with their defaults.

Usage:
  cwl-check process FILE...
  cwl-check cell DIRECTORY
  cwl-check configuration FILE [--in-force FILE] [--json]
  cwl-check (-h | --help)
  cwl-check --version

`process` checks settings files of cwl-entry and cwl-scheduler. `cell` checks a deployment: DIRECTORY holds
cell.json and one file per team, <team>.json. `configuration` checks the operators' configuration of cwl-cell
and prints findings, and differences from the version in force.

Options:
  --in-force FILE  Compare with the configuration in force.
  --json           Print one object with `findings` and `differences`.
  -h --help        Print this text.
  --version        Print the version.

Exit codes: 0 valid, 2 wrong usage, 3 invalid settings or errors, 4 warnings only (`configuration`).
)";

int asInt(cwl::ExitCode code)
{
    return static_cast<int>(code);
}

int report(const absl::Status &status)
{
    std::cerr << "cwl-check: " << status.message() << "\n";
    return asInt(cwl::ExitCode::InvalidSettings);
}

int checkProcesses(const std::vector<std::string> &paths)
{
    for (const std::string &path : paths) {
        const auto settings = cwl::settings::loadProcessSettings(path);
        if (!settings.ok())
            return report(settings.status());
        std::cout << cwl::writeJsonIndented(cwl::settings::describe(*settings)) << "\n";
    }
    return asInt(cwl::ExitCode::Success);
}

std::string fileText(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

// Settings files of a deployment by the name of their subtree.
std::map<std::string, std::filesystem::path> subtreesIn(const std::string &directory)
{
    std::map<std::string, std::filesystem::path> subtrees;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(directory, error)) {
        if (entry.path().extension() == ".json")
            subtrees[entry.path().stem().string()] = entry.path();
    }
    return subtrees;
}

int checkCell(const std::string &directory)
{
    const std::map<std::string, std::filesystem::path> subtrees = subtreesIn(directory);
    if (!subtrees.contains("cell")) {
        std::cerr << "cwl-check: " << directory << ": has no cell.json\n";
        return asInt(cwl::ExitCode::InvalidSettings);
    }
    cwl::settings::CellSettings settings;
    for (const auto &[name, path] : subtrees) {
        auto next = cwl::settings::withSubtree(settings, name, fileText(path));
        if (!next.ok()) {
            std::cerr << "cwl-check: " << path.string() << ": " << next.status().message() << "\n";
            return asInt(cwl::ExitCode::InvalidSettings);
        }
        settings = *std::move(next);
    }
    std::cout << cwl::writeJsonIndented(cwl::settings::describe(settings)) << "\n";
    return asInt(cwl::ExitCode::Success);
}

// Section: configurations of cwl-cell

// The content of a file; none if it cannot be read.
std::optional<std::string> readFile(const std::string &path)
{
    std::error_code error;
    std::ifstream file(path, std::ios::binary);
    if (std::filesystem::is_directory(path, error) || !file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    return file.bad() ? std::nullopt : std::optional(content.str());
}

cwl::checker::Finding unreadable(const std::string &path)
{
    return {cwl::checker::Severity::Error, "file-unreadable", path, "the file cannot be read"};
}

cwl::checker::ConfigReport reportOn(const std::string &path,
                                    const std::optional<std::string> &inForcePath)
{
    const std::optional<std::string> text = readFile(path);
    const std::optional<std::string> inForce = inForcePath ? readFile(*inForcePath) : std::nullopt;
    cwl::checker::ConfigReport report;
    if (text)
        report = cwl::checker::checkConfigText(*text, inForce);
    else
        report.findings.push_back(unreadable(path));
    if (inForcePath && !inForce)
        report.findings.push_back(unreadable(*inForcePath));
    return report;
}

int checkConfiguration(const std::string &path, const std::optional<std::string> &inForcePath,
                       bool asJson)
{
    const cwl::checker::ConfigReport report = reportOn(path, inForcePath);
    if (asJson)
        std::cout << cwl::writeJsonIndented(cwl::checker::toJson(report)) << "\n";
    else
        std::cout << cwl::checker::toText(report);
    return cwl::checker::exitCode(report);
}

} // namespace

int main(int argc, char **argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return asInt(cwl::ExitCode::Success);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "cwl-check " << cwl::version << "\n";
        return asInt(cwl::ExitCode::Success);
    } catch (const std::runtime_error &error) {
        std::cerr << "cwl-check: " << error.what() << "\n" << usage;
        return asInt(cwl::ExitCode::Usage);
    }
    if (arguments["configuration"].asBool()) {
        const docopt::value &inForce = arguments["--in-force"];
        return checkConfiguration(arguments["FILE"].asStringList().front(),
                                  inForce ? std::optional(inForce.asString()) : std::nullopt,
                                  arguments["--json"].asBool());
    }
    if (arguments["process"].asBool())
        return checkProcesses(arguments["FILE"].asStringList());
    return checkCell(arguments["DIRECTORY"].asString());
}
