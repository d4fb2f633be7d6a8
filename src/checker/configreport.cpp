#include "checker/configreport.h"

#include "base/exitcode.h"
#include "checker/configcheck.h"
#include "platform/configfields.h"
#include "platform/decode.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace cwl::checker {

namespace {

constexpr int warningsExitCode = 4; // cwl-check opens no port, so AddressInUse has no use in it

constexpr std::array severityNames = {"error", "warning"};          // in the order of Severity
constexpr std::array changeNames = {"added", "removed", "changed"}; // in the order of Change

const char *nameOf(Severity severity)
{
    return severityNames[size_t(severity)];
}

const char *nameOf(Change change)
{
    return changeNames[size_t(change)];
}

void append(std::vector<Finding> &findings, std::vector<Finding> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(findings));
}

bool hasErrors(const std::vector<Finding> &findings)
{
    return std::any_of(findings.begin(), findings.end(),
                       [](const Finding &finding) { return finding.severity == Severity::Error; });
}

void compareWithInForce(const std::string &text, const jobs::CellConfig &config,
                        ConfigReport &report)
{
    const auto inForce = platform_adapter::decodeConfig(text);
    if (!inForce.ok()) {
        report.findings.push_back({Severity::Error, "in-force-unreadable", "version in force",
                                   std::string(inForce.status().message())});
        return;
    }
    append(report.findings, checkVersion(*inForce, config));
    report.differences = differences(*inForce, config);
}

std::string lineOf(const Difference &difference)
{
    std::string line = absl::StrCat(nameOf(difference.change), ": ", difference.entry);
    if (!difference.field.empty())
        absl::StrAppend(&line, ": ", difference.field);
    if (!difference.before.empty())
        absl::StrAppend(&line, " ", difference.before, " ->");
    if (!difference.after.empty())
        absl::StrAppend(&line, " ", difference.after);
    return line;
}

// A name with line breaks or escape sequences must not change what the terminal shows.
std::string printable(std::string line)
{
    std::replace_if(
            line.begin(), line.end(), [](unsigned char c) { return absl::ascii_iscntrl(c); }, '?');
    return line;
}

void setUnlessEmpty(Json::Value &object, const char *name, const std::string &value)
{
    if (!value.empty())
        object[name] = value;
}

} // namespace

ConfigReport checkConfigText(const std::string &text, const std::optional<std::string> &inForce)
{
    ConfigReport report;
    report.findings = platform_adapter::checkConfigFields(text);
    const auto config = platform_adapter::decodeConfig(text);
    if (!config.ok()) {
        // A guard against a rule of the decoder that the check of the fields does not have.
        if (!hasErrors(report.findings))
            report.findings.push_back({Severity::Error, "not-decodable", wholeConfig,
                                       std::string(config.status().message())});
        return report;
    }
    append(report.findings, checkConfig(*config));
    if (inForce)
        compareWithInForce(*inForce, *config, report);
    return report;
}

int exitCode(const ConfigReport &report)
{
    if (report.findings.empty())
        return int(ExitCode::Success);
    return hasErrors(report.findings) ? int(ExitCode::InvalidSettings) : warningsExitCode;
}

std::string toText(const ConfigReport &report)
{
    std::string text;
    for (const Finding &finding : report.findings)
        absl::StrAppend(&text,
                        printable(absl::StrCat(nameOf(finding.severity), " [", finding.code, "] ",
                                               finding.entry, ": ", finding.message)),
                        "\n");
    for (const Difference &difference : report.differences)
        absl::StrAppend(&text, printable(lineOf(difference)), "\n");
    return report.findings.empty() ? text + "no findings\n" : text;
}

Json::Value toJson(const ConfigReport &report)
{
    Json::Value object(Json::objectValue);
    Json::Value &findings = object["findings"] = Json::Value(Json::arrayValue);
    for (const Finding &finding : report.findings) {
        Json::Value &row = findings.append(Json::Value(Json::objectValue));
        row["severity"] = nameOf(finding.severity);
        row["code"] = finding.code;
        row["entry"] = finding.entry;
        row["message"] = finding.message;
    }
    Json::Value &changes = object["differences"] = Json::Value(Json::arrayValue);
    for (const Difference &difference : report.differences) {
        Json::Value &row = changes.append(Json::Value(Json::objectValue));
        row["change"] = nameOf(difference.change);
        row["entry"] = difference.entry;
        setUnlessEmpty(row, "field", difference.field);
        setUnlessEmpty(row, "before", difference.before);
        setUnlessEmpty(row, "after", difference.after);
    }
    return object;
}

} // namespace cwl::checker
