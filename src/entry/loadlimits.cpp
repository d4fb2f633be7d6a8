#include "entry/loadlimits.h"

namespace cwl::entry {

LoadLimits::Place LoadLimits::take(size_t bytes)
{
    const auto size = static_cast<int64_t>(bytes);
    const bool fits = ++m_counts->requests <= maxRequestsHeld;
    if ((m_counts->bytes += size) > maxBytesHeld || !fits) {
        --m_counts->requests;
        m_counts->bytes -= size;
        return nullptr;
    }
    return {m_counts.get(), [counts = m_counts, size](void *) {
                --counts->requests;
                counts->bytes -= size;
            }};
}

} // namespace cwl::entry
