// The cell's own tables: names, parts, and the rows that carry ownership.

#pragma once

#include "base/units.h"
#include "cell/ports.h"

#include <absl/status/statusor.h>

#include <string>

namespace cwl::cell {

// Section: names

constexpr const char *jobsTable = "jobs";         // accepted jobs and cancellations, by id
constexpr const char *progressTable = "progress"; // stored progress of each job
constexpr const char *ownerTable = "owner";     // the owner's row, the condition of all its writes
constexpr const char *leaseTable = "lease";     // renewals of the owner, followed by all members
constexpr const char *membersTable = "members"; // addresses of the members
constexpr const char *ownerPart = "owner";      // part of all rows that the owner writes
constexpr const char *ownerKey = "owner";
constexpr const char *workersKey = "workers";   // in the owner's table: see UsedWorkers
constexpr const char *cancelSuffix = "!cancel"; // follows the id in the key of a cancellation

// Jobs are spread over parts by their id: a part executes its transactions one by one, so a slow
// store accepts no more than a few jobs a second in each.
constexpr size_t jobParts = 32;
std::string jobPart(const JobId &id);
std::string jobPartName(size_t number);

// Section: rows

struct OwnerRow
{
    Epoch epoch = {};
    std::string holder = {};  // member; empty: resigned
    std::string address = {}; // where the holder serves other members, "ip:port"
    int64_t number = 0;       // of the write; rises within an epoch
    Millicores cores = {};    // processor share of the holder's instance; 0: unknown
    bool isSole = false;      // no earlier owner can act any more

    bool operator==(const OwnerRow &) const = default;
};

std::string encodeOwner(const OwnerRow &row);
absl::StatusOr<OwnerRow> decodeOwner(const std::string &text); // Error: MalformedBody

} // namespace cwl::cell
