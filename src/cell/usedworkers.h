// The workers that the owner has used, as stored for later owners: what runs there has to be read
// before a job is started again, even if the worker is no longer listed. A worker gets starts only
// once it is certainly stored here. An owner and its successor also count the same workers when
// each of them needs a part of all; see Ownership.
//
// The workers are spread over several rows by a hash of their id, because a row of the store is
// limited in size, and a change then writes one small row.

#pragma once

#include "cell/ports.h"

#include <array>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::cell {

class UsedWorkers
{
public:
    static constexpr size_t rowCount = 64;

    void set(const std::string &id, const std::string &address);
    void erase(const std::string &id);
    void clear();

    const std::unordered_map<std::string, std::string> &addresses() const { return m_addresses; }

    // Takes over the rows of the owner's table, also the single row of earlier versions.
    void load(const std::vector<Row> &rows);

    // Rows that differ from what is stored, up to `most`. They count as stored from then on, until
    // takeChanges() of the same rows is undone by restoreChanges().
    bool hasChanges() const { return !m_changed.empty(); }
    std::vector<Row> takeChanges(size_t most);
    void restoreChanges(const std::vector<Row> &rows);
    // The rows are stored. Returns the workers that they name.
    std::vector<std::string> confirmChanges(const std::vector<Row> &rows);
    // An upper bound of the number of workers that the store lists: the outcome of a write may not
    // be known yet.
    size_t storedAtMost() const;
    // The single row of earlier versions, to be removed with the last rows that replace it.
    std::vector<Row> takeRemovals();

private:
    static size_t rowOf(const std::string &id);
    static std::string keyOf(size_t row);
    static size_t numberOf(const std::string &key);

    std::unordered_map<std::string, std::string> m_addresses; // by id
    std::array<std::set<std::string>, rowCount> m_ids;        // by row
    std::array<std::set<std::string>, rowCount> m_stored;     // by row, possibly in the store
    std::set<size_t> m_changed;                               // rows to store
    bool m_hasSingleRow = false;                              // in the store
};

} // namespace cwl::cell
