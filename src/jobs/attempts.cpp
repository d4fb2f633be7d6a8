#include "jobs/attempts.h"

#include <algorithm>

namespace cwl::jobs {

namespace {

// A number consists of the count of starts, the count of failures, and zeros. Owners of earlier
// versions count up by one from the last number, so the zeros show that a number is not theirs.
constexpr int zeroBits = 4;
constexpr int failureBits = 12;
constexpr int startBits = 14; // of the count of starts, for the starts by one owner
constexpr int64_t firstNumber = int64_t(1) << (startBits + failureBits + zeroBits);

static_assert(maxCountedFailures < (1U << failureBits));

} // namespace

int64_t nextAttempt(int64_t last, Epoch epoch, uint32_t failures)
{
    const int64_t lastStart = last >> (failureBits + zeroBits);
    const int64_t start = std::max(lastStart + 1, epoch.value() << startBits);
    const int64_t counted = std::min(failures, maxCountedFailures);
    return ((start << failureBits) + counted) << zeroBits;
}

std::optional<uint32_t> failuresBefore(int64_t attempt)
{
    constexpr int64_t zeros = (int64_t(1) << zeroBits) - 1;
    if (attempt < firstNumber || (attempt & zeros) != 0)
        return std::nullopt;
    return uint32_t(attempt >> zeroBits) & ((1U << failureBits) - 1);
}

} // namespace cwl::jobs
