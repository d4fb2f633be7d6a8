// Rows of the table `jobs` of one worker group: read at takeover, written in the background.
//
// Changes of a job are coalesced while an earlier write of it is in flight. A write is retried
// until the store has accepted it. Writes are conditional on the row's revision, so that a late
// write of an earlier owner is detected and merged.

#pragma once

#include "platform/platform.h"
#include "scheduler/jobrecord.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cwl::scheduler {

// All calls and callbacks are on the control thread.
class JobStore : public std::enable_shared_from_this<JobStore>
{
public:
    using LoadCallback = std::function<void(absl::StatusOr<std::vector<JobRecord>>)>;
    // OK once this or a later row of the job is in the store. Error: JobConflict if the store holds
    // another job of the same id.
    using SaveCallback = std::function<void(absl::Status)>;

    JobStore(boost::asio::io_context &control, platform::Client &platform, const GroupId &group);

    void load(LoadCallback loaded);
    void save(const JobRecord &record, SaveCallback saved);
    // Deletes rows in one unconditional commit, without retry. Only for finished jobs whose last
    // change is stored: no owner writes their rows any more.
    void remove(const std::vector<JobId> &jobs, SaveCallback removed);
    void close(); // no callback comes after it

    bool isStored(const JobId &job) const; // whether the store has the job's last change
    size_t pending() const { return m_dirty.size() + m_inFlight; }
    bool isHealthy() const { return m_consecutiveFailures == 0 && m_platform.isAvailable(); }

private:
    struct Entry
    {
        Revision revision;                    // last known revision of the row
        std::optional<Json::Value> next = {}; // row to write next
        std::vector<SaveCallback> nextSaved = {};
        std::optional<platform::Commit> commit = {}; // in flight, or with an unknown outcome
        std::vector<SaveCallback> commitSaved = {};
        bool isInFlight = false;
        bool isQueued = false;
    };

    std::string rowKey(const JobId &job) const;
    void queue(const JobId &job, Entry &entry);
    void writePending();
    void write(const JobId &job);
    void written(const JobId &job, const absl::StatusOr<Revision> &result);
    void readConflictingRow(const JobId &job);
    void merge(const JobId &job, const platform::Row &row);
    void scheduleRetry();

    boost::asio::io_context &m_control;
    platform::Client &m_platform;
    GroupId m_group;
    std::map<JobId, Entry> m_entries;
    std::deque<JobId> m_dirty;
    boost::asio::steady_timer m_retryTimer;
    size_t m_inFlight = 0;
    size_t m_consecutiveFailures = 0;
    bool m_isRetrying = false;
    bool m_isClosed = false;
};

} // namespace cwl::scheduler
