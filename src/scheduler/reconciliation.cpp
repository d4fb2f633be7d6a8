#include "scheduler/reconciliation.h"

#include <algorithm>

namespace cwl::scheduler {

Reconciliation::Reconciliation(bool isFirstOwner, TimePoint acquiredAt)
    : m_isComplete(isFirstOwner)
    , m_acquiredAt(acquiredAt)
    , m_deadline(acquiredAt + lengthenedByClockError(taskLease))
{
}

void Reconciliation::setWorkers(const std::set<WorkerId> &workers)
{
    m_workers = workers;
    m_hasWorkers = true;
}

void Reconciliation::reported(const WorkerId &worker, TimePoint requestedAt)
{
    if (requestedAt >= m_acquiredAt)
        m_reported.insert(worker);
}

size_t Reconciliation::missing() const
{
    return static_cast<size_t>(
            std::count_if(m_workers.begin(), m_workers.end(), [this](const WorkerId &worker) {
                return m_reported.count(worker) == 0;
            }));
}

bool Reconciliation::isComplete(TimePoint now)
{
    if (!m_isComplete)
        m_isComplete = now > m_deadline || (m_hasWorkers && missing() == 0);
    return m_isComplete;
}

} // namespace cwl::scheduler
