#include "cell/usedworkers.h"

#include "base/json.h"
#include "cell/tables.h"
#include "http/client.h"
#include "node/log.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace cwl::cell {

size_t UsedWorkers::rowOf(const std::string &id)
{
    return XXH64(id.data(), id.size(), 0) % rowCount;
}

std::string UsedWorkers::keyOf(size_t row)
{
    return absl::StrCat(workersKey, ".", row);
}

// The reverse of keyOf().
size_t UsedWorkers::numberOf(const std::string &key)
{
    size_t number = 0;
    while (number + 1 < rowCount && keyOf(number) != key)
        ++number;
    return number;
}

void UsedWorkers::set(const std::string &id, const std::string &address)
{
    std::string &known = m_addresses[id];
    if (known == address)
        return;
    known = address;
    const size_t row = rowOf(id);
    m_ids[row].insert(id);
    m_changed.insert(row);
}

void UsedWorkers::erase(const std::string &id)
{
    if (m_addresses.erase(id) == 0)
        return;
    const size_t row = rowOf(id);
    m_ids[row].erase(id);
    m_changed.insert(row);
}

void UsedWorkers::clear()
{
    m_addresses.clear();
    m_changed.clear();
    m_hasSingleRow = false;
    for (size_t row = 0; row < rowCount; ++row) {
        m_ids[row].clear();
        m_stored[row].clear();
    }
}

void UsedWorkers::load(const std::vector<Row> &rows)
{
    clear();
    for (const Row &row : rows) {
        const bool isSingleRow = row.key == workersKey;
        if (!isSingleRow && !absl::StartsWith(row.key, absl::StrCat(workersKey, ".")))
            continue;
        m_hasSingleRow = m_hasSingleRow || isSingleRow;
        const absl::StatusOr<Json::Value> value = parseJson(row.value);
        if (!value.ok() || !value->isObject()) {
            log::error("used_workers_unreadable",
                       {{"key", row.key}, {"revision", row.revision.value()}});
            continue;
        }
        for (const std::string &id : value->getMemberNames()) {
            const absl::StatusOr<std::string> address = stringMember(*value, id.c_str());
            // No worker can have been used at an address that nothing connects to.
            if (address.ok() && http::isAddress(*address))
                set(id, *address);
            else
                log::error("used_worker_unreadable",
                           {{"worker", id}, {"address", address.value_or(std::string())}});
        }
    }
    if (!m_hasSingleRow)
        m_changed.clear();
    m_stored = m_ids;
}

std::vector<Row> UsedWorkers::takeChanges(size_t most)
{
    std::vector<Row> rows;
    while (!m_changed.empty() && rows.size() < most) {
        const size_t number = *m_changed.begin();
        m_changed.erase(m_changed.begin());
        Json::Value value(Json::objectValue);
        for (const std::string &id : m_ids[number])
            value[id] = m_addresses.at(id);
        rows.push_back({ownerTable, ownerPart, keyOf(number), writeJson(value)});
        m_stored[number].insert(m_ids[number].begin(), m_ids[number].end());
    }
    return rows;
}

std::vector<Row> UsedWorkers::takeRemovals()
{
    if (!m_hasSingleRow || !m_changed.empty())
        return {};
    m_hasSingleRow = false;
    return {{ownerTable, ownerPart, workersKey}};
}

void UsedWorkers::restoreChanges(const std::vector<Row> &rows)
{
    for (const Row &row : rows)
        m_changed.insert(numberOf(row.key));
}

std::vector<std::string> UsedWorkers::confirmChanges(const std::vector<Row> &rows)
{
    std::vector<std::string> workers;
    for (const Row &row : rows) {
        const absl::StatusOr<Json::Value> value = parseJson(row.value);
        if (!value.ok())
            continue; // takeChanges() writes only what can be read
        const std::vector<std::string> ids = value->getMemberNames();
        m_stored[numberOf(row.key)] = {ids.begin(), ids.end()};
        workers.insert(workers.end(), ids.begin(), ids.end());
    }
    return workers;
}

size_t UsedWorkers::storedAtMost() const
{
    size_t count = 0;
    for (const std::set<std::string> &ids : m_stored)
        count += ids.size();
    return count;
}

} // namespace cwl::cell
