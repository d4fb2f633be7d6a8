// A job as the owner of a worker group records it: the submitted body and the finished tasks.

#pragma once

#include "base/clock.h"
#include "placement/types.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace cwl::scheduler {

constexpr int64_t maxTasksPerJob = 1'000'000;
constexpr size_t maxJobIdBytes = 200;
constexpr size_t maxSpecBytes = 16UL * 1024; // size of the opaque field "spec" as JSON text

// A set of task indexes, stored as ranges because finished tasks are mostly consecutive.
class IndexSet
{
public:
    bool add(uint32_t index); // returns false if the set already holds it
    void addAll(const IndexSet &other);
    bool contains(uint32_t index) const;
    size_t size() const { return m_size; }
    std::vector<uint32_t> indexes() const;

    std::string toText() const; // for example "0-4,7"
    // Parses the format of toText(). Error: InvalidValue unless the ranges ascend and stay below
    // `limit`.
    static absl::StatusOr<IndexSet> fromText(const std::string &text, uint32_t limit);

private:
    std::map<uint32_t, uint32_t> m_ranges; // first to last
    size_t m_size = 0;
};

enum class JobState { Accepted, Cancelled, Done };
const char *jobStateName(JobState state);

struct JobRecord
{
    placement::JobSpec spec;
    Json::Value submitted = {}; // the body as submitted; a repeated submission must equal it
    JobState state = JobState::Accepted;
    IndexSet succeeded = {};
    IndexSet failed = {};             // tasks that are not retried any more
    UnixMilliseconds finishedAt = {}; // when the job finished; 0 while it is accepted
};

// Parses a submitted job. Errors: MalformedBody, MissingField, InvalidValue, UnknownField.
absl::StatusOr<placement::JobSpec> jobFromJson(const Json::Value &body);

// Converts a record to and from a row of the table `jobs`. Errors of fromRow() include those of
// jobFromJson().
Json::Value toRow(const JobRecord &record);
absl::StatusOr<JobRecord> fromRow(const Json::Value &row);

// Formats and parses a task id, "<job id>/<index>". Nullopt for any other format.
TaskId taskId(const JobId &job, uint32_t index);
std::optional<std::pair<JobId, uint32_t>> parseTaskId(const std::string &id);

} // namespace cwl::scheduler
