// Finds the queue of a request by host and path, at a cost that does not grow with the number of
// queues.

#pragma once

#include "jobs/types.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::jobs {

class QueueIndex
{
public:
    explicit QueueIndex(std::shared_ptr<const CellConfig> config);

    // The queue of `host` with the longest prefix that matches `path`; null if there is none.
    const Queue *find(const std::string &host, const std::string &path) const;

private:
    struct Host
    {
        std::unordered_map<std::string, const Queue *> byPrefix = {};
        std::vector<size_t> lengths = {}; // of the prefixes, each once, the longest first
    };

    std::shared_ptr<const CellConfig> m_config; // owns the queues
    std::unordered_map<std::string, Host> m_hosts;
};

} // namespace cwl::jobs
