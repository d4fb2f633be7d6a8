#include "scheduler/tasklife.h"

#include <algorithm>

namespace cwl::scheduler {

TaskLifecycle TaskLifecycle::sent(TimePoint now, TimePoint leaseEnd)
{
    TaskLifecycle lifecycle;
    lifecycle.m_since = now;
    lifecycle.m_leaseEnd = leaseEnd;
    return lifecycle;
}

TaskLifecycle TaskLifecycle::adopted(TimePoint now, TimePoint latestLeaseEnd)
{
    TaskLifecycle lifecycle;
    lifecycle.m_leaseEnd = latestLeaseEnd;
    lifecycle.m_knownAt = now;
    lifecycle.enter(TaskPhase::Running, TaskCause::SeenInReport, now);
    return lifecycle;
}

void TaskLifecycle::enter(TaskPhase phase, TaskCause cause, TimePoint now)
{
    if (isOver())
        return;
    m_phase = phase;
    m_cause = cause;
    m_since = now;
}

void TaskLifecycle::startAcknowledged(TimePoint now)
{
    if (m_phase == TaskPhase::Running)
        return;
    m_knownAt = now;
    enter(TaskPhase::Running, TaskCause::StartAcknowledged, now);
}

void TaskLifecycle::startRefused(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::StartRefused, now);
}

void TaskLifecycle::startNotSent(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::StartNotSent, now);
}

void TaskLifecycle::startUnanswered(TimePoint now)
{
    if (m_phase == TaskPhase::Sent)
        enter(TaskPhase::Unsure, TaskCause::StartUnanswered, now);
}

void TaskLifecycle::renewalSent(TimePoint leaseEnd)
{
    m_leaseEnd = std::max(m_leaseEnd, leaseEnd);
}

void TaskLifecycle::reported(bool isListed, TimePoint requestedAt, TimePoint now)
{
    if (isListed) {
        if (m_phase == TaskPhase::Running)
            return;
        m_knownAt = now;
        enter(TaskPhase::Running, TaskCause::SeenInReport, now);
        return;
    }
    // An earlier request's report may describe the worker before the start took effect.
    const bool isMissing =
            m_phase == TaskPhase::Running ? requestedAt > m_knownAt : requestedAt > m_leaseEnd;
    if (isMissing)
        enter(TaskPhase::Over, TaskCause::MissingInReport, now);
}

void TaskLifecycle::finished(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::FinishedInReport, now);
}

void TaskLifecycle::workerGone(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::WorkerGone, now);
}

void TaskLifecycle::checkLeaseExpiry(TimePoint now)
{
    if (now > m_leaseEnd)
        enter(TaskPhase::Over, TaskCause::LeaseExpired, now);
}

const char *taskPhaseName(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Sent:
        return "sent";
    case TaskPhase::Unsure:
        return "unsure";
    case TaskPhase::Running:
        return "running";
    case TaskPhase::Over:
        return "over";
    }
    return "over";
}

const char *taskCauseName(TaskCause cause)
{
    switch (cause) {
    case TaskCause::Placed:
        return "placed";
    case TaskCause::StartAcknowledged:
        return "start_acknowledged";
    case TaskCause::StartRefused:
        return "start_refused";
    case TaskCause::StartNotSent:
        return "start_not_sent";
    case TaskCause::StartUnanswered:
        return "start_unanswered";
    case TaskCause::SeenInReport:
        return "seen_in_report";
    case TaskCause::MissingInReport:
        return "missing_in_report";
    case TaskCause::FinishedInReport:
        return "finished_in_report";
    case TaskCause::LeaseExpired:
        return "lease_expired";
    case TaskCause::WorkerGone:
        return "worker_gone";
    }
    return "placed";
}

} // namespace cwl::scheduler
