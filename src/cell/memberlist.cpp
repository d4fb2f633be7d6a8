#include "cell/memberlist.h"

#include <utility>

namespace cwl::cell {

void MemberList::update(const std::vector<Row> &rows, TimePoint now)
{
    std::unordered_map<std::string, Entry> entries;
    for (const Row &row : rows) {
        const auto known = m_entries.find(row.key);
        const bool isSame = known != m_entries.end() && known->second.row.revision == row.revision;
        entries[row.key] = {row, isSame ? known->second.changedAt : now};
    }
    m_entries = std::move(entries);
}

std::vector<std::string> MemberList::othersThan(const std::string &self) const
{
    std::vector<std::string> addresses;
    for (const auto &[instance, entry] : m_entries) {
        if (entry.row.value != self)
            addresses.push_back(entry.row.value);
    }
    return addresses;
}

std::vector<Row> MemberList::expired(TimePoint now) const
{
    std::vector<Row> rows;
    for (const auto &[instance, entry] : m_entries) {
        if (now - entry.changedAt > memberExpiry)
            rows.push_back(entry.row);
    }
    return rows;
}

} // namespace cwl::cell
