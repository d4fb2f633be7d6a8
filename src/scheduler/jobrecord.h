// A job as the owner of a worker group keeps it: what was submitted, and which tasks are over.

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
constexpr size_t maxSpecBytes = 16UL * 1024; // of the opaque member "spec"

// A set of task indexes, kept as ranges since finished tasks mostly follow each other.
class IndexSet
{
public:
    bool add(uint32_t index); // false if it was in the set
    void addAll(const IndexSet &other);
    bool contains(uint32_t index) const;
    size_t size() const { return m_size; }
    std::vector<uint32_t> indexes() const;

    std::string toText() const; // such as "0-4,7"
    // Error: InvalidValue for anything but ascending ranges below `limit`.
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
    Json::Value submitted = {}; // the body as submitted: a repeat must equal it
    JobState state = JobState::Accepted;
    IndexSet succeeded = {};
    IndexSet failed = {};             // given up
    UnixMilliseconds finishedAt = {}; // end of the job; 0 while it is accepted
};

// Reads a submitted job. Errors: MissingField, InvalidValue, UnknownField.
absl::StatusOr<placement::JobSpec> jobFromJson(const Json::Value &body);

// A row of the table `jobs`. Errors of reading: those of jobFromJson().
Json::Value toRow(const JobRecord &record);
absl::StatusOr<JobRecord> fromRow(const Json::Value &row);

// "<job id>/<index>", and back.
TaskId taskId(const JobId &job, uint32_t index);
std::optional<std::pair<JobId, uint32_t>> parseTaskId(const std::string &id);

} // namespace cwl::scheduler
