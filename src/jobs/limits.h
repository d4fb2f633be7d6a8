// Bounds of what a job may ask for. Jobs beyond them are rejected before they are stored, and a
// stored row beyond them is treated as damaged, so that no job can exhaust the owner.

#pragma once

#include "jobs/types.h"

#include <absl/status/status.h>

namespace cwl::jobs {

constexpr size_t maxJobTasks = 5000;                            // of all steps of one occurrence
constexpr int64_t maxTaskAmount = 1'000'000'000;                // of a resource, in its own unit
constexpr int64_t maxCapAmount = int64_t(1) << 50;              // of a customer, in its own unit
constexpr Duration maxJobDuration = std::chrono::hours(24 * 7); // of an estimate or an allowance
constexpr double maxSlowdownLimit = 1000;                       // of a queue
constexpr Duration maxInterval = std::chrono::hours(24 * 366);  // between occurrences
// Stored progress of one job: a row of the store holds 65,536 bytes in base64.
constexpr size_t maxProgressBytes = 45000;
constexpr uint32_t failuresPerDigit = 64; // base of the stored number of failures of a task

// True for amounts of a worker or of a task that can be added up without overflow.
bool isPossible(const Resources &resources);

// Returns an error for a job that asks for amounts, times or dependencies that make no sense
// (MalformedBody), or for more tasks than one job may have (JobTooLarge).
absl::Status checkJob(const JobSpec &spec);

// Returns after how many failed runs of a task the job has failed: `maxAttempts` of its queue, or
// the highest number that the stored progress of this job has room for. That is 63 or more.
int64_t attemptLimit(const JobSpec &spec);

// Returns QuotaImpossible for a job of which a task, or a whole gang, needs more than its customer
// may use at all, so that it could never start.
absl::Status checkCap(const JobSpec &spec);

} // namespace cwl::jobs
