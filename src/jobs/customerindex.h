// Finds the customer of a request by its key, at a cost that does not grow with the number of
// customers.

#pragma once

#include "jobs/types.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace cwl::jobs {

// Only digests are compared, so neither contents nor timing reveal a key.
class CustomerIndex
{
public:
    explicit CustomerIndex(std::shared_ptr<const CellConfig> config);

    // True if the configuration has customers: callers of queues that are not anonymous need a key.
    bool isInForce() const { return m_config->customers.has_value(); }
    // The customer with this key; null if there is none.
    const Customer *find(const std::string &key) const;

private:
    std::shared_ptr<const CellConfig> m_config; // owns the customers
    std::unordered_map<KeyDigest, const Customer *> m_byKey;
};

} // namespace cwl::jobs
