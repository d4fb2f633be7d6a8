#include "client/output.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <set>

namespace cwl::client {

namespace {

struct Advice
{
    Failure failure;
    const char *text;
};

constexpr std::array adviceTable{
        Advice{Failure::MalformedBody, "correct the JSON at the position named above"},
        Advice{Failure::MissingField, "add the field"},
        Advice{Failure::UnknownField, "remove or correct the field"},
        Advice{Failure::InvalidValue, "correct the value"},
        Advice{Failure::InvalidSettings, "correct the file; cwl-check shows the same errors"},
        Advice{Failure::BodyTooLarge, "make the file smaller"},
        Advice{Failure::UnknownTeam, "see 'cwl settings get' for the teams"},
        Advice{Failure::UnknownJob, "see 'cwl list' for the jobs"},
        Advice{Failure::UnknownWorker, "see 'cwl workers' for the workers"},
        Advice{Failure::UnknownSubtree, "see 'cwl settings get' for the subtrees"},
        Advice{Failure::NotAuthorized, "give the team's token with --token or CWL_TOKEN"},
        Advice{Failure::JobTooLarge, "ask for at most the size named as the limit"},
        Advice{Failure::JobConflict, "the job id is taken by another job; choose another --job-id"},
        Advice{Failure::VersionConflict, "look at 'cwl settings diff', then set again"},
        Advice{Failure::QuotaImpossible, "ask for less or raise the team's quota"},
        Advice{Failure::QueueFull, "try again later"},
        Advice{Failure::RateLimited, "try again later"},
        Advice{Failure::StoreUnavailable, "nothing was changed; try again after the store outage"},
        Advice{Failure::StoreOutcomeUnknown, "repeat the command with the same change id"},
        Advice{Failure::ConnectionRefused, "nothing was sent; check --server or CWL_SERVER"},
        Advice{Failure::ConnectionLost, "it may have been done; repeat the same command"},
        Advice{Failure::Timeout, "it may have been done; repeat the same command"},
        Advice{Failure::NotReady, "try again or name another --server"},
        Advice{Failure::NoOwner, "no scheduler owns the group yet; try again in a few seconds"},
        Advice{Failure::UnknownMethod, "check that --server is a scheduler of this version"},
};

bool isPlain(const Json::Value &value)
{
    return !value.isObject() && !value.isArray();
}

bool isTable(const Json::Value &value)
{
    return value.isArray() && !value.empty()
            && std::all_of(value.begin(), value.end(),
                           [](const Json::Value &row) { return row.isObject(); });
}

std::vector<std::string> columnsOf(const Json::Value &rows, const std::vector<std::string> &first)
{
    std::set<std::string> present;
    for (const Json::Value &row : rows) {
        for (const std::string &name : row.getMemberNames()) {
            if (isPlain(row[name]))
                present.insert(name);
        }
    }
    std::vector<std::string> columns;
    for (const std::string &name : first) {
        if (present.erase(name) > 0)
            columns.push_back(name);
    }
    columns.insert(columns.end(), present.begin(), present.end());
    return columns;
}

std::string padded(const std::string &text, size_t width)
{
    return text.size() >= width ? text : text + std::string(width - text.size(), ' ');
}

} // namespace

// Section: answers

std::string plainText(const Json::Value &value)
{
    if (value.isNull())
        return "-";
    if (value.isString())
        return value.asString();
    return writeJson(value);
}

std::string table(const Json::Value &rows, const std::vector<std::string> &first)
{
    if (rows.empty())
        return "none\n";
    const std::vector<std::string> columns = columnsOf(rows, first);
    std::vector<std::vector<std::string>> cells = {columns};
    for (const Json::Value &row : rows) {
        std::vector<std::string> &line = cells.emplace_back();
        for (const std::string &column : columns)
            line.push_back(plainText(row[column]));
    }
    std::vector<size_t> widths(columns.size());
    for (const std::vector<std::string> &line : cells) {
        for (size_t column = 0; column < line.size(); ++column)
            widths[column] = std::max(widths[column], line[column].size());
    }
    std::string text;
    for (const std::vector<std::string> &line : cells) {
        std::string printed;
        for (size_t column = 0; column < line.size(); ++column)
            absl::StrAppend(&printed, column > 0 ? "  " : "", padded(line[column], widths[column]));
        printed.erase(printed.find_last_not_of(' ') + 1);
        text += printed + "\n";
    }
    return text;
}

std::string describe(const Json::Value &object)
{
    if (!object.isObject())
        return plainText(object) + "\n";
    size_t width = 0;
    for (const std::string &name : object.getMemberNames())
        width = std::max(width, name.size());
    std::string text;
    std::string tables;
    for (const std::string &name : object.getMemberNames()) {
        const Json::Value &value = object[name];
        if (isTable(value))
            absl::StrAppend(&tables, "\n", name, ":\n", table(value, {}));
        else
            absl::StrAppend(&text, padded(name + ":", width + 1), " ", plainText(value), "\n");
    }
    return text + tables;
}

// Section: errors

std::string errorText(const absl::Status &status)
{
    const Failure failure = failureOf(status);
    const ErrorDetail detail = detailOf(status);
    std::string text =
            absl::StrCat("cwl: ", std::string(status.message()), " [", failureName(failure), "]\n");
    if (!detail.field.empty())
        absl::StrAppend(&text, "  field: ", detail.field, "\n");
    if (!detail.limit.empty())
        absl::StrAppend(&text, "  limit: ", detail.limit, "\n");
    if (detail.retryAfterMs)
        absl::StrAppend(&text, "  retry after: ", *detail.retryAfterMs, " ms\n");
    for (const Advice &advice : adviceTable) {
        if (advice.failure == failure)
            absl::StrAppend(&text, "  what to do: ", advice.text, "\n");
    }
    return text;
}

ExitCode exitCodeOf(const absl::Status &status)
{
    if (status.ok())
        return ExitCode::Success;
    return failureOf(status) == Failure::InvalidSettings ? ExitCode::InvalidSettings
                                                         : ExitCode::Failure;
}

} // namespace cwl::client
