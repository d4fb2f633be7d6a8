#include "scheduler/drainstore.h"

#include "base/error.h"
#include "base/random.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cwl::scheduler {

namespace {

constexpr const char *table = "drains";
constexpr Duration deadline = seconds(10); // for one read or commit
constexpr auto retryDelay = std::chrono::milliseconds(500);

// The row of a drained worker; null, which deletes the row, for any other.
Json::Value drainRow(bool isDraining)
{
    Json::Value row;
    if (isDraining)
        row["draining"] = true;
    return row;
}

} // namespace

DrainStore::DrainStore(boost::asio::io_context &control, platform::Client &platform,
                       const GroupId &group)
    : m_platform(platform)
    , m_group(group)
    , m_retryTimer(control)
{
}

std::string DrainStore::rowKey(const WorkerId &worker) const
{
    return absl::StrCat(m_group.value(), "/", worker.value());
}

void DrainStore::close()
{
    m_isClosed = true;
    m_retryTimer.cancel();
}

size_t DrainStore::pending() const
{
    return static_cast<size_t>(
            std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) {
                return entry.second.next || entry.second.commit;
            }));
}

void DrainStore::load(LoadCallback loaded)
{
    const std::string prefix = m_group.value() + "/";
    m_platform.read({{.table = table, .prefix = prefix}}, BootClock::now() + deadline,
                    [self = shared_from_this(), prefix, loaded = std::move(loaded)](
                            const absl::StatusOr<std::vector<std::vector<platform::Row>>> &rows) {
                        if (self->m_isClosed)
                            return;
                        if (!rows.ok()) {
                            loaded(rows.status());
                            return;
                        }
                        std::set<WorkerId> workers;
                        for (const platform::Row &row : rows->front()) {
                            const WorkerId worker(row.key.substr(prefix.size()));
                            self->m_entries[worker].revision = row.revision;
                            workers.insert(worker);
                        }
                        loaded(std::move(workers));
                    });
}

void DrainStore::save(const WorkerId &worker, bool isDraining)
{
    Entry &entry = m_entries[worker];
    entry.next = isDraining;
    write(worker, entry);
}

void DrainStore::write(const WorkerId &worker, Entry &entry)
{
    if (m_isClosed || entry.isInFlight || (!entry.next && !entry.commit))
        return;
    entry.isInFlight = true;
    if (!entry.commit) {
        platform::Commit commit;
        commit.changeId = ChangeId(randomHexId());
        commit.conditions.push_back({table, rowKey(worker), entry.revision});
        commit.writes.push_back({table, rowKey(worker), drainRow(*entry.next)});
        entry.next.reset();
        entry.commit = std::move(commit);
    }
    m_platform.commit(*entry.commit, BootClock::now() + deadline,
                      [self = shared_from_this(), worker](absl::StatusOr<Revision> result) {
                          if (!self->m_isClosed)
                              self->written(worker, result);
                      });
}

void DrainStore::written(const WorkerId &worker, const absl::StatusOr<Revision> &result)
{
    Entry &entry = m_entries[worker];
    entry.isInFlight = false;
    if (result.ok()) {
        const bool isDeleted = entry.commit->writes.front().value.isNull();
        entry.revision = isDeleted ? Revision() : *result;
        entry.commit.reset();
        write(worker, entry);
    } else if (failureOf(result.status()) == Failure::Conflict) {
        readConflictingRow(worker);
    } else {
        // Retries with the same change id, so that the commit takes effect at most once.
        scheduleRetry();
    }
}

// Handles a late write of an earlier owner: takes over the row's revision and writes this owner's
// value, which is newer.
void DrainStore::readConflictingRow(const WorkerId &worker)
{
    m_entries[worker].isInFlight = true;
    m_platform.read({{.table = table, .key = rowKey(worker)}}, BootClock::now() + deadline,
                    [self = shared_from_this(),
                     worker](const absl::StatusOr<std::vector<std::vector<platform::Row>>> &rows) {
                        if (self->m_isClosed)
                            return;
                        Entry &entry = self->m_entries[worker];
                        entry.isInFlight = false;
                        if (rows.ok()) {
                            const auto &found = rows->front();
                            entry.revision = found.empty() ? Revision() : found.front().revision;
                            if (!entry.next)
                                entry.next = !entry.commit->writes.front().value.isNull();
                            entry.commit.reset();
                        }
                        self->scheduleRetry();
                    });
}

void DrainStore::scheduleRetry()
{
    if (m_isRetrying)
        return;
    m_isRetrying = true;
    m_retryTimer.expires_after(retryDelay);
    m_retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_isClosed)
            return;
        self->m_isRetrying = false;
        for (auto &[worker, entry] : self->m_entries)
            self->write(worker, entry);
    });
}

} // namespace cwl::scheduler
