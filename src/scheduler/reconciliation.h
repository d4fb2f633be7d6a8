// Wait of a new owner before it restarts tasks of earlier epochs: until every worker has reported
// or every earlier lease has expired. Pure: the time is an argument. The rules are in
// docs/design.md, section 5.4.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"

#include <set>

namespace cwl::scheduler {

constexpr Duration taskLease = seconds(60); // lease of a running task, from each renewal

class Reconciliation
{
public:
    // `isFirstOwner`: no earlier epoch exists, so no task can run yet. `acquiredAt`: time of the
    // takeover, or the time at which a job of an earlier owner became known.
    Reconciliation(bool isFirstOwner, TimePoint acquiredAt);

    // Sets the workers of the group, from an instance list requested after the takeover.
    void setWorkers(const std::set<WorkerId> &workers);
    // Ignores a report that was requested before the takeover.
    void reported(const WorkerId &worker, TimePoint requestedAt);

    // True once no unknown task of an earlier epoch can run. Stays true.
    bool isComplete(TimePoint now);
    TimePoint deadline() const { return m_deadline; } // latest time of completion
    size_t missing() const;                           // number of workers that have not reported

private:
    bool m_isComplete = false;
    bool m_hasWorkers = false;
    TimePoint m_acquiredAt = {};
    TimePoint m_deadline = {};
    std::set<WorkerId> m_workers;
    std::set<WorkerId> m_reported;
};

} // namespace cwl::scheduler
