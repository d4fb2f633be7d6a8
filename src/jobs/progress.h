// Durable progress of a job: the part of its state that survives a change of owner.

#pragma once

#include "jobs/types.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

namespace cwl::jobs {

struct TaskProgress
{
    bool isDone = false;
    // Those of the failed runs whose numbers are known. Owners of earlier versions read no count.
    std::vector<int64_t> failedAttempts = {};
    std::string checkpoint = {}; // newest one; empty: none
    uint32_t failures = 0;       // runs that have failed

    bool isEmpty() const { return !isDone && failures == 0 && checkpoint.empty(); }
    // Counts the failure of a run. Returns false if it has been counted before.
    bool addFailure(int64_t attempt);
};

// Numbers of an occurrence and of one of its steps.
using StepKey = std::pair<uint32_t, uint32_t>;

struct Progress
{
    JobState state = JobState::Running;
    std::map<StepKey, std::vector<TaskProgress>> steps = {};
};

// JSON texts for the platform's tables. Decoding errors: MalformedBody.

// At most `maxProgressBytes` and the bytes of an empty text, for any progress of a job that
// checkJob() accepts and whose tasks have failed less often than attemptLimit(). Where the text
// would be longer, checkpoints are left out, then numbers of attempts; what is done and how often
// each task has failed is always kept. Sets `isShortened` accordingly.
std::string encodeProgress(const Progress &progress, bool *isShortened = nullptr);
absl::StatusOr<Progress> decodeProgress(const std::string &text);
std::string encodeJob(const JobSpec &spec);
absl::StatusOr<JobSpec> decodeJob(const std::string &text);

} // namespace cwl::jobs
