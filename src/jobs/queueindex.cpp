#include "jobs/queueindex.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cwl::jobs {

QueueIndex::QueueIndex(std::shared_ptr<const CellConfig> config)
    : m_config(std::move(config))
{
    for (const Queue &queue : m_config->queues) {
        Host &host = m_hosts[queue.host];
        if (host.byPrefix.emplace(queue.prefix, &queue).second)
            host.lengths.push_back(queue.prefix.size());
    }
    for (auto &[name, host] : m_hosts) {
        std::sort(host.lengths.begin(), host.lengths.end(), std::greater<>());
        host.lengths.erase(std::unique(host.lengths.begin(), host.lengths.end()),
                           host.lengths.end());
    }
}

const Queue *QueueIndex::find(const std::string &host, const std::string &path) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return nullptr;
    for (const size_t length : found->second.lengths) {
        if (length > path.size())
            continue;
        const auto queue = found->second.byPrefix.find(path.substr(0, length));
        if (queue != found->second.byPrefix.end())
            return queue->second;
    }
    return nullptr;
}

} // namespace cwl::jobs
