// The members of the cell as their table lists them. Each member writes its row again from time to
// time; the owner removes rows of members that no longer do, so that instances that left are not
// called for ever.

#pragma once

#include "cell/ports.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::cell {

constexpr Duration announceInterval = seconds(60);      // between writes of a member's own row
constexpr Duration memberExpiry = 3 * announceInterval; // without a new write of the row

class MemberList
{
public:
    // `rows` is the whole table as read at `now`.
    void update(const std::vector<Row> &rows, TimePoint now);

    // Addresses of the members other than `self`, "ip:port".
    std::vector<std::string> othersThan(const std::string &self) const;

    // Rows that have been the same for `memberExpiry`, as seen by this process, with the revisions
    // under which they may be removed.
    std::vector<Row> expired(TimePoint now) const;

private:
    struct Entry
    {
        Row row;
        TimePoint changedAt; // first read of this revision
    };

    std::unordered_map<std::string, Entry> m_entries; // by instance
};

} // namespace cwl::cell
