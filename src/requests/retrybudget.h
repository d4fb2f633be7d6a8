// Caps retries at a part of the requests, so that retries never multiply an overload.

#pragma once

#include <cstdint>

namespace cwl::requests {

class RetryBudget
{
public:
    // Adds a tenth of a retry for an accepted request.
    void requestAccepted();

    // Takes one retry; false when the budget is spent.
    bool takeRetry();

    int64_t retries() const { return m_retries; } // taken so far

private:
    static constexpr int64_t retryCost = 10; // in requests: 10% of requests may be retries
    static constexpr int64_t maxSaved = 100; // saved requests, so that a burst has 10 retries
    int64_t m_saved = retryCost;             // the first retry needs no history
    int64_t m_retries = 0;
};

} // namespace cwl::requests
