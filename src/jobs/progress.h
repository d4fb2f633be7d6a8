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
    std::vector<int64_t> failedAttempts = {}; // a completion that is read twice counts once
    std::string checkpoint = {};              // newest one; empty: none

    bool isEmpty() const { return !isDone && failedAttempts.empty() && checkpoint.empty(); }
};

// Numbers of an occurrence and of one of its steps.
using StepKey = std::pair<uint32_t, uint32_t>;

struct Progress
{
    JobState state = JobState::Running;
    std::map<StepKey, std::vector<TaskProgress>> steps = {};
};

// JSON texts for the platform's tables. Decoding errors: MalformedBody.
std::string encodeProgress(const Progress &progress);
absl::StatusOr<Progress> decodeProgress(const std::string &text);
std::string encodeJob(const JobSpec &spec);
absl::StatusOr<JobSpec> decodeJob(const std::string &text);

} // namespace cwl::jobs
