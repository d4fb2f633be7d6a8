#include "placement/types.h"

namespace cwl::placement {

const char *waitReasonName(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NotWaiting:
        return "not_waiting";
    case WaitReason::Turn:
        return "turn";
    case WaitReason::NoCapacity:
        return "no_room";
    case WaitReason::Quota:
        return "quota";
    case WaitReason::Backoff:
        return "backoff";
    case WaitReason::GangCapacity:
        return "gang_room";
    case WaitReason::NoWorkerReady:
        return "no_worker_ready";
    }
    return "not_waiting";
}

const char *jobKindName(JobKind kind)
{
    switch (kind) {
    case JobKind::Service:
        return "service";
    case JobKind::Batch:
        return "batch";
    case JobKind::Gang:
        return "gang";
    }
    return "batch";
}

std::optional<JobKind> jobKindFromName(const std::string &name)
{
    if (name == "service")
        return JobKind::Service;
    if (name == "batch")
        return JobKind::Batch;
    if (name == "gang")
        return JobKind::Gang;
    return std::nullopt;
}

} // namespace cwl::placement
