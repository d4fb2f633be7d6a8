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
    for (std::set<std::string> &ids : m_ids)
        ids.clear();
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
    for (size_t number = 0; number < rowCount; ++number) {
        for (const Row &row : rows) {
            if (row.key == keyOf(number))
                m_changed.insert(number);
        }
    }
}

} // namespace cwl::cell
