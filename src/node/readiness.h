// The readiness gates: evaluated on the control thread, read by any thread.

#pragma once

#include "base/clock.h"

#include <json/value.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace cwl::node {

constexpr Duration gateInterval = milliseconds(100); // between two evaluations
// A control thread that has not evaluated the gates for this long cannot renew leases in time.
constexpr Duration controlStallLimit = seconds(2);

class Readiness
{
public:
    // Before the first evaluation.
    void addGate(const std::string &name, std::function<bool()> gate);

    void evaluate(TimePoint now); // on the control thread
    void setStopping() { m_isStopping = true; }

    bool isStopping() const { return m_isStopping; }
    bool isReady(TimePoint now) const;
    bool isStalled(TimePoint now) const; // false before the first evaluation

    // {"ready", "stopping", "stalled", "gates": {name: bool}}
    Json::Value state(TimePoint now) const;

private:
    std::vector<std::pair<std::string, std::function<bool()>>> m_gates;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isOpen = false;     // all gates, at the last evaluation
    std::atomic<int64_t> m_evaluatedAt = 0; // nanoseconds of BootClock; 0 before the first time
    mutable std::mutex m_mutex;             // guards m_results
    std::vector<bool> m_results;            // of the gates, at the last evaluation
};

} // namespace cwl::node
