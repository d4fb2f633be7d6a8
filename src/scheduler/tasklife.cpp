#include "scheduler/tasklife.h"

#include <algorithm>

namespace cwl::scheduler {

TaskLife TaskLife::sent(TimePoint now, TimePoint leaseEnd)
{
    TaskLife life;
    life.m_since = now;
    life.m_leaseEnd = leaseEnd;
    return life;
}

TaskLife TaskLife::adopted(TimePoint now, TimePoint latestLeaseEnd)
{
    TaskLife life;
    life.m_leaseEnd = latestLeaseEnd;
    life.m_knownAt = now;
    life.enter(TaskPhase::Running, TaskCause::SeenInReport, now);
    return life;
}

void TaskLife::enter(TaskPhase phase, TaskCause cause, TimePoint now)
{
    if (isOver())
        return;
    m_phase = phase;
    m_cause = cause;
    m_since = now;
}

void TaskLife::startAcknowledged(TimePoint now)
{
    if (m_phase == TaskPhase::Running)
        return;
    m_knownAt = now;
    enter(TaskPhase::Running, TaskCause::StartAcknowledged, now);
}

void TaskLife::startRefused(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::StartRefused, now);
}

void TaskLife::startNotSent(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::StartNotSent, now);
}

void TaskLife::startUnanswered(TimePoint now)
{
    if (m_phase == TaskPhase::Sent)
        enter(TaskPhase::Unsure, TaskCause::StartUnanswered, now);
}

void TaskLife::renewalSent(TimePoint leaseEnd)
{
    m_leaseEnd = std::max(m_leaseEnd, leaseEnd);
}

void TaskLife::reported(bool isListed, TimePoint askedAt, TimePoint now)
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
            m_phase == TaskPhase::Running ? askedAt > m_knownAt : askedAt > m_leaseEnd;
    if (isMissing)
        enter(TaskPhase::Over, TaskCause::MissingInReport, now);
}

void TaskLife::finished(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::FinishedInReport, now);
}

void TaskLife::workerGone(TimePoint now)
{
    enter(TaskPhase::Over, TaskCause::WorkerGone, now);
}

void TaskLife::timePassed(TimePoint now)
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
