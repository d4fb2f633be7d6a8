// Reads what control costs: processor time, memory and bytes of each process, reads and writes of
// the store; and fits lines through such figures.

#pragma once

#include "harness/deployment.h"

#include <map>
#include <string>
#include <vector>

namespace cwl::bench {

// Figures by name, such as "entry.cpu_percent".
using Figures = std::map<std::string, double>;

// The roles that the figures are split by: "entry", "owner" (a scheduler that owns a worker group)
// and "standby" (a scheduler that owns none). Figures are averages over the processes of a role.
class Usage
{
public:
    // `members` may grow between readings, not during one. Both must outlive this object.
    Usage(const std::vector<harness::Member *> &members, std::string platform);

    // Observes the running members for `window`. Throws std::runtime_error if one does not answer.
    Figures measure(Duration window) const;

private:
    struct Reading;
    Reading read(const harness::Member &member) const;
    Json::Value storeCounters() const;

    const std::vector<harness::Member *> &m_members;
    std::string m_platform;
};

struct Line
{
    double slope = 0;
    double base = 0; // at size 0
};

// Least squares; at least two different sizes.
Line fit(const std::vector<double> &sizes, const std::vector<double> &values);

} // namespace cwl::bench
