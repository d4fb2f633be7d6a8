#include "platform/tokenbucket.h"

#include <algorithm>

namespace cwl::platform {

namespace {

constexpr Duration burst = seconds(1);

} // namespace

TokenBucket::TokenBucket(int64_t tokensPerSecond, TimePoint now)
    : m_tokensPerSecond(tokensPerSecond)
    , m_freeFrom(now - burst)
{
}

TimePoint TokenBucket::reserve(int64_t tokens, TimePoint now)
{
    const Duration cost = Duration(seconds(1)) * tokens / m_tokensPerSecond;
    m_freeFrom = std::max(m_freeFrom, now - burst) + cost;
    return std::max(now, m_freeFrom);
}

} // namespace cwl::platform
