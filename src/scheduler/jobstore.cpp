#include "scheduler/jobstore.h"

#include "base/error.h"
#include "base/random.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace cwl::scheduler {

namespace {

constexpr const char *table = "jobs";
constexpr size_t maxCommitsInFlight = 8; // concurrent commits; platform::Client limits their rate
constexpr Duration commitTimeout = seconds(10);
constexpr Duration loadTimeout = seconds(10);
constexpr auto retryDelay = std::chrono::milliseconds(500);

// Tasks that are finished in either row stay finished, and a cancellation stays. For a gang only
// our row counts.
Json::Value mergedRow(const JobRecord &stored, JobRecord ours)
{
    if (ours.spec.kind != placement::JobKind::Gang) {
        ours.succeeded.addAll(stored.succeeded);
        ours.failed.addAll(stored.failed);
    }
    if (stored.state == JobState::Cancelled && ours.state == JobState::Accepted) {
        ours.state = JobState::Cancelled;
        ours.finishedAt = stored.finishedAt;
    }
    return toRow(ours);
}

} // namespace

JobStore::JobStore(boost::asio::io_context &control, platform::Client &platform,
                   const GroupId &group)
    : m_control(control)
    , m_platform(platform)
    , m_group(group)
    , m_retryTimer(control)
{
}

std::string JobStore::rowKey(const JobId &job) const
{
    return absl::StrCat(m_group.value(), "/", job.value());
}

void JobStore::close()
{
    m_isClosed = true;
    m_retryTimer.cancel();
}

void JobStore::load(LoadCallback loaded)
{
    const std::string prefix = m_group.value() + "/";
    m_platform.read(
            {{.table = table, .prefix = prefix}}, BootClock::now() + loadTimeout,
            [self = shared_from_this(), loaded = std::move(loaded)](
                    absl::StatusOr<std::vector<std::vector<platform::Row>>> rows) {
                if (self->m_isClosed)
                    return;
                if (!rows.ok()) {
                    loaded(rows.status());
                    return;
                }
                std::vector<JobRecord> records;
                for (const platform::Row &row : rows->front()) {
                    auto record = fromRow(row.value);
                    if (!record.ok())
                        continue; // only owners write this table: the row is of another version
                    self->m_entries[record->spec.id].revision = row.revision;
                    records.push_back(*std::move(record));
                }
                loaded(std::move(records));
            });
}

void JobStore::save(const JobRecord &record, SaveCallback saved)
{
    Entry &entry = m_entries[record.spec.id];
    entry.next = toRow(record);
    if (saved)
        entry.nextSaved.push_back(std::move(saved));
    queue(record.spec.id, entry);
    writePending();
}

void JobStore::remove(const std::vector<JobId> &jobs, SaveCallback removed)
{
    platform::Commit commit;
    commit.changeId = ChangeId(randomHexId());
    for (const JobId &job : jobs)
        commit.writes.push_back({table, rowKey(job), Json::Value()});
    m_platform.commit(std::move(commit), BootClock::now() + commitTimeout,
                      [self = shared_from_this(), jobs,
                       removed = std::move(removed)](const absl::StatusOr<Revision> &result) {
                          if (self->m_isClosed)
                              return;
                          for (const JobId &job : jobs) {
                              if (result.ok())
                                  self->m_entries.erase(job);
                          }
                          removed(result.status());
                      });
}

bool JobStore::isStored(const JobId &job) const
{
    const auto entry = m_entries.find(job);
    return entry != m_entries.end() && !entry->second.next && !entry->second.commit;
}

void JobStore::queue(const JobId &job, Entry &entry)
{
    if (entry.isQueued || entry.isInFlight)
        return;
    entry.isQueued = true;
    m_dirty.push_back(job);
}

void JobStore::writePending()
{
    while (!m_isClosed && !m_isRetrying && m_inFlight < maxCommitsInFlight && !m_dirty.empty()) {
        const JobId job = m_dirty.front();
        m_dirty.pop_front();
        write(job);
    }
}

void JobStore::write(const JobId &job)
{
    Entry &entry = m_entries[job];
    entry.isQueued = false;
    entry.isInFlight = true;
    ++m_inFlight;
    if (!entry.commit) {
        platform::Commit commit;
        commit.changeId = ChangeId(randomHexId());
        commit.conditions.push_back({table, rowKey(job), entry.revision});
        commit.writes.push_back({table, rowKey(job), *entry.next});
        entry.next.reset();
        entry.commitSaved = std::exchange(entry.nextSaved, {});
        entry.commit = std::move(commit);
    }
    m_platform.commit(*entry.commit, BootClock::now() + commitTimeout,
                      [self = shared_from_this(), job](absl::StatusOr<Revision> result) {
                          if (!self->m_isClosed)
                              self->written(job, result);
                      });
}

void JobStore::written(const JobId &job, const absl::StatusOr<Revision> &result)
{
    Entry &entry = m_entries[job];
    --m_inFlight;
    entry.isInFlight = false;
    if (result.ok()) {
        m_consecutiveFailures = 0;
        entry.revision = *result;
        entry.commit.reset();
        const std::vector<SaveCallback> saved = std::exchange(entry.commitSaved, {});
        if (entry.next)
            queue(job, entry);
        for (const SaveCallback &callback : saved)
            callback(absl::OkStatus());
    } else if (failureOf(result.status()) == Failure::Conflict) {
        readConflictingRow(job);
        return;
    } else {
        // Retries with the same change id, so that the commit takes effect at most once.
        ++m_consecutiveFailures;
        queue(job, entry);
        scheduleRetry();
        return;
    }
    writePending();
}

void JobStore::readConflictingRow(const JobId &job)
{
    Entry &entry = m_entries[job];
    entry.isInFlight = true;
    ++m_inFlight;
    m_platform.read({{.table = table, .key = rowKey(job)}}, BootClock::now() + loadTimeout,
                    [self = shared_from_this(),
                     job](absl::StatusOr<std::vector<std::vector<platform::Row>>> rows) {
                        if (self->m_isClosed)
                            return;
                        Entry &entry = self->m_entries[job];
                        --self->m_inFlight;
                        entry.isInFlight = false;
                        if (rows.ok()) {
                            const auto &found = rows->front();
                            self->merge(job, found.empty() ? platform::Row() : found.front());
                            self->writePending();
                        } else {
                            self->queue(job, entry);
                            self->scheduleRetry();
                        }
                    });
}

void JobStore::merge(const JobId &job, const platform::Row &row)
{
    Entry &entry = m_entries[job];
    entry.revision = row.revision;
    const Json::Value ours = entry.next ? *entry.next : entry.commit->writes.front().value;
    entry.commit.reset();
    const auto ourRecord = fromRow(ours);
    const auto stored = fromRow(row.value);
    std::vector<SaveCallback> saved = std::exchange(entry.commitSaved, {});
    if (stored.ok() && ourRecord.ok() && stored->submitted != ourRecord->submitted) {
        entry.next.reset();
        for (SaveCallback &callback : entry.nextSaved)
            saved.push_back(std::move(callback));
        entry.nextSaved.clear();
        for (const SaveCallback &callback : saved)
            callback(makeError(Failure::JobConflict, "the store holds another job with this id",
                               {.field = "jobId"}));
        return;
    }
    const bool isMerged = stored.ok() && ourRecord.ok();
    entry.next = isMerged ? mergedRow(*stored, *ourRecord) : ours;
    for (SaveCallback &callback : saved)
        entry.nextSaved.push_back(std::move(callback));
    queue(job, entry);
}

void JobStore::scheduleRetry()
{
    if (m_isRetrying)
        return;
    m_isRetrying = true;
    m_retryTimer.expires_after(retryDelay);
    m_retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_isClosed)
            return;
        self->m_isRetrying = false;
        self->writePending();
    });
}

} // namespace cwl::scheduler
