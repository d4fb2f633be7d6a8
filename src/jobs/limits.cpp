#include "jobs/limits.h"

#include "base/error.h"
#include "jobs/attempts.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace cwl::jobs {

namespace {

constexpr int64_t maxFirstAtMs = 1'000'000'000'000'000; // Unix milliseconds

// Upper bound of the stored progress of one step without checkpoints and numbers of attempts,
// beside a byte for each digit of the failures of each task.
constexpr uint64_t progressBytesPerStep = 90;

uint64_t progressBytes(const JobSpec &spec, uint64_t digitsPerTask)
{
    uint64_t bytes = 0;
    for (const Step &step : spec.steps)
        bytes += digitsPerTask * step.count + progressBytesPerStep;
    return std::max(1U, spec.times) * bytes;
}

bool isAmount(int64_t value)
{
    return value >= 0 && value <= maxTaskAmount;
}

absl::Status checkStep(const Step &step, size_t position)
{
    if (step.count < 1)
        return makeError(Failure::MalformedBody, "a step of the job has no tasks");
    if (!isPossible(step.each))
        return makeError(Failure::MalformedBody, "a step of the job asks for an invalid amount");
    if (step.estimate < Duration::zero() || step.estimate > maxJobDuration)
        return makeError(Failure::MalformedBody, "a step of the job has no valid estimate");
    const bool isOrdered = std::all_of(step.after.begin(), step.after.end(),
                                       [&](uint32_t before) { return before < position; });
    if (!isOrdered)
        return makeError(Failure::MalformedBody,
                         "a step of the job follows one that is not before it");
    return absl::OkStatus();
}

} // namespace

bool isPossible(const Resources &resources)
{
    return isAmount(resources.cores.value()) && isAmount(resources.memory.value())
            && isAmount(resources.accelerators.value());
}

absl::Status checkJob(const JobSpec &spec)
{
    if (spec.steps.empty())
        return makeError(Failure::MalformedBody, "the job has no steps");
    if (spec.interval < Duration::zero() || spec.interval > maxInterval || spec.firstAt.value() < 0
        || spec.firstAt.value() > maxFirstAtMs)
        return makeError(Failure::MalformedBody, "the job has no valid times");
    uint64_t tasks = 0;
    for (size_t position = 0; position < spec.steps.size(); ++position) {
        const absl::Status status = checkStep(spec.steps[position], position);
        if (!status.ok())
            return status;
        tasks += spec.steps[position].count;
    }
    if (tasks > maxJobTasks)
        return makeError(Failure::JobTooLarge, absl::StrCat("the job has ", tasks, " tasks"),
                         {.limit = absl::StrCat(maxJobTasks, " tasks")});
    if (progressBytes(spec, 1) > maxProgressBytes)
        return makeError(Failure::JobTooLarge,
                         absl::StrCat("the job has ", std::max(1U, spec.times), " occurrences of ",
                                      tasks, " tasks"),
                         {.limit = absl::StrCat(maxProgressBytes, " bytes of stored progress")});
    return absl::OkStatus();
}

int64_t attemptLimit(const JobSpec &spec)
{
    const bool hasTwoDigits = progressBytes(spec, 2) <= maxProgressBytes;
    return std::min<int64_t>(spec.queue.maxAttempts,
                             hasTwoDigits ? maxCountedFailures : failuresPerDigit - 1);
}

absl::Status checkCap(const JobSpec &spec)
{
    if (!spec.customer)
        return absl::OkStatus();
    const Resources &cap = spec.customer->cap;
    const auto exceeds = [](int64_t needed, int64_t limit) { return limit > 0 && needed > limit; };
    for (const Step &step : spec.steps) {
        const int64_t together = step.gang ? step.count : 1;
        if (exceeds(step.each.cores.value() * together, cap.cores.value())
            || exceeds(step.each.memory.value() * together, cap.memory.value())
            || exceeds(step.each.accelerators.value() * together, cap.accelerators.value()))
            return makeError(Failure::QuotaImpossible,
                             "a task or gang of the job needs more than the customer's cap");
    }
    return absl::OkStatus();
}

} // namespace cwl::jobs
