// Rate limit of one kind of store access.

#pragma once

#include "base/clock.h"

#include <cstdint>

namespace cwl::platform {

// Tokens accrue at a fixed rate up to one second's worth. A caller reserves tokens and is told when
// it may go ahead, so that callers are served in the order in which they asked.
class TokenBucket
{
public:
    TokenBucket(int64_t tokensPerSecond, TimePoint now);

    // Reserves `tokens` and returns the instant from which they may be used.
    TimePoint reserve(int64_t tokens, TimePoint now);

private:
    int64_t m_tokensPerSecond;
    TimePoint m_freeFrom; // instant at which the bucket was or will be empty of reservations
};

} // namespace cwl::platform
