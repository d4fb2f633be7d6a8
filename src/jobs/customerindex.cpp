#include "jobs/customerindex.h"

#include "base/sha256.h"

#include <utility>

namespace cwl::jobs {

CustomerIndex::CustomerIndex(std::shared_ptr<const CellConfig> config)
    : m_config(std::move(config))
{
    if (!m_config->customers)
        return;
    for (const CustomerEntry &entry : *m_config->customers) {
        for (const KeyDigest &key : entry.keys)
            m_byKey.emplace(key, &entry.customer);
    }
}

const Customer *CustomerIndex::find(const std::string &key) const
{
    if (key.empty())
        return nullptr;
    const auto found = m_byKey.find(KeyDigest(sha256Hex(key)));
    return found == m_byKey.end() ? nullptr : found->second;
}

} // namespace cwl::jobs
