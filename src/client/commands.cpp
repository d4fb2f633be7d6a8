#include "client/commands.h"

#include "base/error.h"
#include "base/json.h"
#include "base/random.h"
#include "client/output.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>
#include <vector>

namespace cwl::client {

namespace {

// Section: helpers

http::Request request(const std::string &method, const std::string &path)
{
    return http::Request{.method = method, .path = path};
}

http::Request writeRequest(const std::string &method, const std::string &path,
                           const Arguments &arguments)
{
    http::Request write = request(method, path);
    write.headers.set("Change-Id", arguments.changeId.empty() ? randomHexId() : arguments.changeId);
    return write;
}

absl::StatusOr<Output> described(absl::StatusOr<Answer> answer)
{
    if (!answer.ok())
        return answer.status();
    return Output{.json = answer->body, .text = describe(answer->body)};
}

// `member` names the list in the answer.
absl::StatusOr<Output> listed(absl::StatusOr<Answer> answer, const char *member,
                              const std::vector<std::string> &columns)
{
    if (!answer.ok())
        return answer.status();
    if (!answer->body.isObject() || !answer->body[member].isArray())
        return makeError(Failure::ProtocolError,
                         absl::StrCat(answer->server, " answered without a list '", member, "'"));
    return Output{.json = answer->body, .text = table(answer->body[member], columns)};
}

std::string jobPath(const Arguments &arguments)
{
    return "/v1/jobs/" + escapedSegment(arguments.job);
}

// Section: jobs

absl::StatusOr<Output> submit(Connection &connection, const Arguments &arguments)
{
    absl::StatusOr<Json::Value> job = parseJsonWithComments(arguments.text);
    if (!job.ok())
        return makeError(
                Failure::MalformedBody,
                absl::StrCat(arguments.fileName, ": ", std::string(job.status().message())));
    if (!job->isObject())
        return makeError(Failure::MalformedBody, arguments.fileName + ": the job is not an object");
    if (!arguments.jobId.empty())
        (*job)["jobId"] = arguments.jobId;
    // Without an id chosen here, a repeat after a lost answer would be a second job.
    const absl::StatusOr<std::string> id = stringMember(*job, "jobId");
    if (!id.ok())
        return makeError(failureOf(id.status()),
                         absl::StrCat(arguments.fileName, ": ", std::string(id.status().message()),
                                      "; it makes the submission safe to repeat, or give --job-id"),
                         {.field = "jobId"});
    http::Request write = writeRequest("POST", "/v1/jobs", arguments);
    write.body = writeJson(*job);
    return described(connection.send(std::move(write)));
}

absl::StatusOr<Output> list(Connection &connection, const Arguments &arguments)
{
    http::Request read = request("GET", "/v1/jobs");
    if (!arguments.team.empty())
        read.query = "team=" + escapedSegment(arguments.team);
    if (!arguments.jobState.empty())
        absl::StrAppend(&read.query, read.query.empty() ? "" : "&",
                        "state=", escapedSegment(arguments.jobState));
    return listed(
            connection.send(std::move(read)), "jobs",
            {"jobId", "team", "kind", "class", "state", "count", "waiting", "running", "finished"});
}

absl::StatusOr<Output> show(Connection &connection, const Arguments &arguments)
{
    return described(connection.send(request("GET", jobPath(arguments))));
}

absl::StatusOr<Output> cancel(Connection &connection, const Arguments &arguments)
{
    return described(connection.send(writeRequest("DELETE", jobPath(arguments), arguments)));
}

absl::StatusOr<Output> explain(Connection &connection, const Arguments &arguments)
{
    return described(connection.send(request("GET", jobPath(arguments) + "/explain")));
}

// Section: workers

absl::StatusOr<Output> workers(Connection &connection, const Arguments &)
{
    return listed(connection.send(request("GET", "/v1/workers")), "workers",
                  {"id", "state", "dataCentre", "rack", "cores", "freeCores", "memoryMiB",
                   "freeMemoryMiB", "accelerators", "freeAccelerators", "tasks"});
}

absl::StatusOr<Output> changeWorker(Connection &connection, const Arguments &arguments,
                                    const char *action)
{
    const std::string path =
            absl::StrCat("/v1/workers/", escapedSegment(arguments.worker), "/", action);
    return described(connection.send(writeRequest("POST", path, arguments)));
}

absl::StatusOr<Output> drain(Connection &connection, const Arguments &arguments)
{
    return changeWorker(connection, arguments, "drain");
}

absl::StatusOr<Output> undrain(Connection &connection, const Arguments &arguments)
{
    return changeWorker(connection, arguments, "undrain");
}

// Section: state

absl::StatusOr<Output> state(Connection &connection, const Arguments &)
{
    absl::StatusOr<Answer> answer = connection.send(request("GET", "/state"));
    if (!answer.ok())
        return answer.status();
    return Output{.json = answer->body, .text = writeJsonIndented(answer->body) + "\n"};
}

constexpr std::array commandTable{
        CommandEntry{"submit", submit},
        CommandEntry{"list", list},
        CommandEntry{"show", show},
        CommandEntry{"cancel", cancel},
        CommandEntry{"explain", explain},
        CommandEntry{"workers", workers},
        CommandEntry{"drain", drain},
        CommandEntry{"undrain", undrain},
        CommandEntry{"settings get", showSettings},
        CommandEntry{"settings set", setSettings},
        CommandEntry{"settings diff", diffSettings},
        CommandEntry{"settings status", settingsStatus},
        CommandEntry{"state", state},
};

} // namespace

const CommandEntry *findCommand(const std::string &name)
{
    for (const CommandEntry &entry : commandTable) {
        if (name == entry.name)
            return &entry;
    }
    return nullptr;
}

} // namespace cwl::client
