// cwl: the operators' command line.

#include "base/error.h"
#include "base/exitcode.h"
#include "base/json.h"
#include "base/version.h"
#include "client/commands.h"
#include "client/output.h"

#include <absl/strings/numbers.h>
#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>

namespace {

using cwl::ExitCode;
using cwl::client::Arguments;
using cwl::client::Connection;
using Options = std::map<std::string, docopt::value>;

constexpr const char *usage = R"(cwl: talks to the schedulers of a cell.

Usage:
  cwl submit FILE [--job-id=ID] [options]
  cwl list [--team=TEAM] [--state=STATE] [options]
  cwl show JOB [options]
  cwl cancel JOB [--change-id=ID] [options]
  cwl explain JOB [options]
  cwl workers [options]
  cwl drain WORKER [--change-id=ID] [options]
  cwl undrain WORKER [--change-id=ID] [options]
  cwl settings get [SUBTREE] [options]
  cwl settings set SUBTREE FILE [--based-on=VERSION] [--change-id=ID] [--wait] [options]
  cwl settings diff SUBTREE FILE [options]
  cwl settings status [--at-least=VERSION] [--wait] [options]
  cwl state [options]
  cwl (-h | --help)
  cwl --version

FILE is JSON with comments, or - for standard input. SUBTREE is a team or "cell"; setting an empty file
removes a team. Writes may be repeated: a job by its id, any other by its change id.

Options:
  --server=LIST         Schedulers as ip:port,ip:port; tried in turn. `settings status` and --wait ask
                        all of them. Default: CWL_SERVER, else 127.0.0.1:7000.
  --token=TOKEN         Token of the team or of the cell's operators. Default: CWL_TOKEN.
  --timeout=SECONDS     Limit of the whole command [default: 10].
  --json                Print the answer, or the error, as JSON.
  --job-id=ID           Use this job id instead of the file's.
  --team=TEAM           Only jobs of this team.
  --state=STATE         Only jobs in this state.
  --based-on=VERSION    Refuse the change if a newer version is in force; by default the current one.
  --at-least=VERSION    The version asked about; by default the newest at any server.
  --change-id=ID        Repeat the write of this change id.
  --wait                Wait until the version is in force at all servers.
  -h --help             Print this text.
  --version             Print the version.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 invalid settings file.
)";

// Larger than any body that a server accepts.
constexpr size_t maxFileBytes = size_t(8) * 1024 * 1024;

int asInt(ExitCode code)
{
    return static_cast<int>(code);
}

int reportUsage(const std::string &problem)
{
    std::cerr << "cwl: " << problem << "\nsee cwl --help\n";
    return asInt(ExitCode::Usage);
}

std::string text(const Options &options, const std::string &name)
{
    const auto found = options.find(name);
    return found != options.end() && found->second.isString() ? found->second.asString()
                                                              : std::string();
}

bool flag(const Options &options, const std::string &name)
{
    const auto found = options.find(name);
    return found != options.end() && found->second.isBool() && found->second.asBool();
}

std::string fromEnvironment(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name);
    return value && *value ? std::string(value) : otherwise;
}

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream file;
    if (name != "-") {
        file.open(name, std::ios::binary);
        if (!file)
            return std::nullopt;
    }
    std::istream &stream = name == "-" ? std::cin : file;
    std::string content(std::istreambuf_iterator<char>(stream), {});
    if (stream.bad() || content.size() > maxFileBytes)
        return std::nullopt;
    return content;
}

std::string commandName(const Options &options)
{
    const std::string prefix = flag(options, "settings") ? "settings " : "";
    for (const auto &[name, value] : options) {
        if (name != "settings" && name.front() != '-' && value.isBool() && value.asBool())
            return prefix + name;
    }
    return {};
}

// Returns nullopt when the option is given but is no whole number above 0.
std::optional<int64_t> number(const Options &options, const std::string &name, int64_t otherwise)
{
    const std::string given = text(options, name);
    int64_t value = 0;
    if (given.empty())
        return otherwise;
    if (!absl::SimpleAtoi(given, &value) || value <= 0)
        return std::nullopt;
    return value;
}

int fail(const absl::Status &status, bool asJson)
{
    if (asJson)
        std::cout << cwl::writeJsonIndented(cwl::errorToJson(status)) << "\n";
    else
        std::cerr << cwl::client::errorText(status);
    return asInt(cwl::client::exitCodeOf(status));
}

Arguments argumentsOf(const Options &options)
{
    return {.job = text(options, "JOB"),
            .worker = text(options, "WORKER"),
            .subtree = text(options, "SUBTREE"),
            .fileName = text(options, "FILE"),
            .jobId = text(options, "--job-id"),
            .team = text(options, "--team"),
            .jobState = text(options, "--state"),
            .changeId = text(options, "--change-id"),
            .wait = flag(options, "--wait")};
}

int run(const Options &options)
{
    const bool asJson = flag(options, "--json");
    const std::optional<int64_t> timeout = number(options, "--timeout", 10);
    if (!timeout || *timeout > 3600)
        return reportUsage("--timeout must be a whole number of seconds, 1 to 3600");
    Arguments arguments = argumentsOf(options);
    for (const char *name : {"--based-on", "--at-least"}) {
        const std::optional<int64_t> version = number(options, name, arguments.version);
        if (!version)
            return reportUsage(std::string(name) + " must be a version, a whole number above 0");
        arguments.version = *version;
    }
    if (!arguments.fileName.empty()) {
        const std::optional<std::string> content = readFile(arguments.fileName);
        if (!content)
            return reportUsage("cannot read the file '" + arguments.fileName
                               + "', or it is too large");
        arguments.text = *content;
    }
    std::string servers = text(options, "--server");
    if (servers.empty())
        servers = fromEnvironment("CWL_SERVER", "127.0.0.1:7000");
    std::string token = text(options, "--token");
    if (token.empty())
        token = fromEnvironment("CWL_TOKEN", "");
    const auto connection = Connection::create({.servers = cwl::client::splitServers(servers),
                                                .token = token,
                                                .timeout = cwl::seconds(*timeout)});
    if (!connection.ok())
        return reportUsage(std::string(connection.status().message()));
    const cwl::client::CommandEntry *command = cwl::client::findCommand(commandName(options));
    if (!command)
        return reportUsage("unknown command");
    const auto output = command->run(**connection, arguments);
    if (!output.ok())
        return fail(output.status(), asJson);
    std::cout << (asJson ? cwl::writeJsonIndented(output->json) + "\n" : output->text);
    return asInt(ExitCode::Success);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    try {
        options = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return asInt(ExitCode::Success);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "cwl " << cwl::version << "\n";
        return asInt(ExitCode::Success);
    } catch (const std::runtime_error &error) {
        return reportUsage(error.what());
    }
    return run(options);
}
