// What a new owner waits for before it restarts tasks of earlier epochs. Pure: the time is an
// argument. The rules are in docs/design.md, section 5.4.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <set>

namespace cwl::scheduler {

constexpr Duration taskLease = seconds(60); // of a running task, from each renewal

class Reconciliation
{
public:
    // `isFirstOwner`: no earlier epoch exists, so nothing can run yet. `acquiredAt`: of the
    // takeover, or the time at which a job of an earlier owner became known.
    Reconciliation(bool isFirstOwner, TimePoint acquiredAt);

    // The workers of the group, from an instance list that was asked for after the takeover.
    void setWorkers(const std::set<WorkerId> &workers);
    // A report that was asked for before the takeover does not count.
    void reported(const WorkerId &worker, TimePoint askedAt);

    // True once no task of an earlier epoch can run without being known. Stays true.
    bool isComplete(TimePoint now);
    TimePoint deadline() const { return m_deadline; } // complete then at the latest
    size_t missing() const;                           // workers that have not reported

private:
    bool m_isComplete = false;
    bool m_hasWorkers = false;
    TimePoint m_acquiredAt = {};
    TimePoint m_deadline = {};
    std::set<WorkerId> m_workers;
    std::set<WorkerId> m_reported;
};

} // namespace cwl::scheduler
