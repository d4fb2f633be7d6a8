// Life of one start of a task, as its owner knows it. Pure: the time is an argument.
//
// The question that it answers is when a task has certainly ended, so that its capacity is free and
// it may be started elsewhere. A start whose answer was lost may still take effect until its first
// lease has ended; a running task goes on until its last lease has ended or a report that was asked
// for later no longer lists it.

#pragma once

#include "base/clock.h"

namespace cwl::scheduler {

enum class TaskPhase {
    Sent,    // the start was sent; no answer yet
    Unsure,  // the answer was lost: it may run
    Running, // the worker acknowledged the start or reported the task
    Over,    // it certainly does not run
};
const char *taskPhaseName(TaskPhase phase);

// What led to the present phase.
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

class TaskLife
{
public:
    // A start is about to be sent with a lease that ends no later than `leaseEnd`, on our clock.
    static TaskLife sent(TimePoint now, TimePoint leaseEnd);
    // A report listed a task that this owner did not start. Its lease is not known, so it is taken
    // to end at `latestLeaseEnd`.
    static TaskLife adopted(TimePoint now, TimePoint latestLeaseEnd);

    TaskPhase phase() const { return m_phase; }
    TaskCause cause() const { return m_cause; }
    TimePoint since() const { return m_since; }
    TimePoint leaseEnd() const { return m_leaseEnd; }
    bool isOver() const { return m_phase == TaskPhase::Over; }

    // Section: events

    void startAcknowledged(TimePoint now);
    void startRefused(TimePoint now);
    void startNotSent(TimePoint now);     // certainly not sent
    void startUnanswered(TimePoint now);  // sent, perhaps
    void renewalSent(TimePoint leaseEnd); // before the renewal leaves
    // A complete report that was asked for at `askedAt` does, or does not, list the task as
    // running.
    void reported(bool isListed, TimePoint askedAt, TimePoint now);
    void finished(TimePoint now); // the report lists its outcome
    void workerGone(TimePoint now);
    void timePassed(TimePoint now); // notices an expired lease

private:
    void enter(TaskPhase phase, TaskCause cause, TimePoint now);

    TaskPhase m_phase = TaskPhase::Sent;
    TaskCause m_cause = TaskCause::Placed;
    TimePoint m_since = {};
    TimePoint m_leaseEnd = {}; // latest end of any lease that was sent, on our clock
    TimePoint m_knownAt = {};  // when it was first known to run
};

} // namespace cwl::scheduler
