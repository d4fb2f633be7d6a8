#include "requests/retrybudget.h"

#include <algorithm>

namespace cwl::requests {

void RetryBudget::requestAccepted()
{
    m_saved = std::min(m_saved + 1, maxSaved);
}

bool RetryBudget::takeRetry()
{
    if (m_saved < retryCost)
        return false;
    m_saved -= retryCost;
    ++m_retries;
    return true;
}

} // namespace cwl::requests
