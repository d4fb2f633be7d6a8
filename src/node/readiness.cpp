#include "node/readiness.h"

namespace cwl::node {

void Readiness::addGate(const std::string &name, std::function<bool()> gate)
{
    m_gates.emplace_back(name, std::move(gate));
}

void Readiness::evaluate(TimePoint now)
{
    std::vector<bool> results;
    bool isOpen = true;
    for (const auto &[name, gate] : m_gates) {
        results.push_back(gate());
        isOpen = isOpen && results.back();
    }
    {
        const std::lock_guard lock(m_mutex);
        m_results = std::move(results);
    }
    m_isOpen = isOpen;
    m_evaluatedAt = now.time_since_epoch().count();
}

bool Readiness::isStalled(TimePoint now) const
{
    const int64_t evaluatedAt = m_evaluatedAt;
    return evaluatedAt != 0 && now - TimePoint(Duration(evaluatedAt)) > controlStallLimit;
}

bool Readiness::isReady(TimePoint now) const
{
    return m_isOpen && !m_isStopping && !isStalled(now);
}

Json::Value Readiness::state(TimePoint now) const
{
    Json::Value state;
    state["ready"] = isReady(now);
    state["stopping"] = m_isStopping.load();
    state["stalled"] = isStalled(now);
    state["gates"] = Json::Value(Json::objectValue);
    const std::lock_guard lock(m_mutex);
    for (size_t index = 0; index < m_gates.size(); ++index)
        state["gates"][m_gates[index].first] = index < m_results.size() && m_results[index];
    return state;
}

} // namespace cwl::node
