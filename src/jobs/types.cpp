#include "jobs/types.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <charconv>

namespace cwl::jobs {

namespace {

constexpr std::array jobStateNames = {"queued", "running", "completed", "failed", "cancelled"};
constexpr std::array endKindNames = {"done",   "failed", "stopped", "lapsed",
                                     "broken", "alone",  "unknown"};
constexpr std::array orderAnswerNames = {"accepted",     "fenced",     "superseded", "late",
                                         "no_room",      "bad_ticket", "invalid",    "unhealthy",
                                         "wrong_worker", "not_sent",   "unknown"};

} // namespace

std::string TaskAddress::stepText() const
{
    return absl::StrCat(job.value(), ".", occurrence, ".", step);
}

std::string TaskAddress::text() const
{
    return absl::StrCat(job.value(), ".", occurrence, ".", step, ".", index);
}

std::optional<TaskAddress> TaskAddress::parse(const std::string &text)
{
    TaskAddress address;
    const size_t dot = text.find('.');
    if (dot == std::string::npos)
        return std::nullopt;
    address.job = JobId(text.substr(0, dot));
    const char *position = text.data() + dot;
    const char *const end = text.data() + text.size();
    for (uint32_t *part : {&address.occurrence, &address.step, &address.index}) {
        if (position == end || *position != '.')
            return std::nullopt;
        const auto [rest, problem] = std::from_chars(position + 1, end, *part);
        if (problem != std::errc())
            return std::nullopt;
        position = rest;
    }
    return position == end ? std::optional(address) : std::nullopt;
}

const char *jobStateName(JobState state)
{
    return jobStateNames[size_t(state)];
}

std::optional<JobState> jobStateFromName(const std::string &name)
{
    for (size_t index = 0; index < jobStateNames.size(); ++index) {
        if (name == jobStateNames[index])
            return JobState(index);
    }
    return std::nullopt;
}

const char *endKindName(EndKind kind)
{
    return endKindNames[size_t(kind)];
}

const char *orderAnswerName(OrderAnswer answer)
{
    return orderAnswerNames[size_t(answer)];
}

} // namespace cwl::jobs
