// Load shedding: bounds on the requests that one process holds and on the bytes of their bodies.

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace cwl::entry {

constexpr int64_t maxRequestsHeld = 10000;          // under way or queued in one process
constexpr int64_t maxBytesHeld = int64_t(64) << 20; // of request bodies, of the 256 MB of a process

class LoadLimits
{
public:
    // Holds a place for as long as it lives.
    using Place = std::shared_ptr<void>;

    // Takes a place for a request of `bytes`, or returns null when a limit is reached. Any thread.
    Place take(size_t bytes);

    int64_t requests() const { return m_counts->requests; }
    int64_t bytes() const { return m_counts->bytes; }

private:
    struct Counts
    {
        std::atomic<int64_t> requests = 0;
        std::atomic<int64_t> bytes = 0;
    };
    std::shared_ptr<Counts> m_counts = std::make_shared<Counts>(); // places may outlive this object
};

} // namespace cwl::entry
