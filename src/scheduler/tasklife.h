// State of one started task as its owner knows it. Pure: the time is an argument.
//
// It determines when a task has certainly ended, so that its capacity is free and it may be started
// elsewhere. A start without a response may still take effect until its first lease has expired. A
// running task runs until its last lease has expired, or until a report that was requested later no
// longer lists it.

#pragma once

#include "base/clock.h"

namespace cwl::scheduler {

enum class TaskPhase {
    Sent,    // the start was sent; no response yet
    Unsure,  // no response to the start: the task may run
    Running, // the worker acknowledged the start or reported the task
    Over,    // the task has certainly ended
};
const char *taskPhaseName(TaskPhase phase);

// The event that led to the current phase.
enum class TaskCause {
    Placed,
    StartAcknowledged,
    StartRefused,
    StartNotSent,
    StartUnanswered,
    SeenInReport,
    MissingInReport,
    FinishedInReport,
    LeaseExpired,
    WorkerGone,
};
const char *taskCauseName(TaskCause cause);

class TaskLifecycle
{
public:
    // A start is about to be sent. Its lease ends no later than `leaseEnd`, on this process's
    // clock.
    static TaskLifecycle sent(TimePoint now, TimePoint leaseEnd);
    // A report listed a task that an earlier owner started. Its lease is unknown and treated as
    // ending at `latestLeaseEnd`.
    static TaskLifecycle adopted(TimePoint now, TimePoint latestLeaseEnd);

    TaskPhase phase() const { return m_phase; }
    TaskCause cause() const { return m_cause; }
    TimePoint since() const { return m_since; }
    TimePoint leaseEnd() const { return m_leaseEnd; }
    bool isOver() const { return m_phase == TaskPhase::Over; }

    // Section: events

    void startAcknowledged(TimePoint now);
    void startRefused(TimePoint now);
    void startNotSent(TimePoint now);     // certainly not sent
    void startUnanswered(TimePoint now);  // may have been received
    void renewalSent(TimePoint leaseEnd); // call it before sending the renewal
    // A complete report requested at `requestedAt` lists the task as running, or does not.
    void reported(bool isListed, TimePoint requestedAt, TimePoint now);
    void finished(TimePoint now); // a report lists its outcome
    void workerGone(TimePoint now);
    void checkLeaseExpiry(TimePoint now); // ends the task if its lease has expired

private:
    void enter(TaskPhase phase, TaskCause cause, TimePoint now);

    TaskPhase m_phase = TaskPhase::Sent;
    TaskCause m_cause = TaskCause::Placed;
    TimePoint m_since = {};
    TimePoint m_leaseEnd = {}; // latest end of all leases sent, on this process's clock
    TimePoint m_knownAt = {};  // when the task became known to run
};

} // namespace cwl::scheduler
