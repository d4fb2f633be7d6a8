// Rows of the table `drains` of one worker group: the workers drained by operators. Read at
// takeover, written in the background.

#pragma once

#include "base/strongid.h"
#include "platform/platform.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cwl::scheduler {

// All calls and callbacks are on the control thread.
class DrainStore : public std::enable_shared_from_this<DrainStore>
{
public:
    using LoadCallback = std::function<void(absl::StatusOr<std::set<WorkerId>>)>;

    DrainStore(boost::asio::io_context &control, platform::Client &platform, const GroupId &group);

    void load(LoadCallback loaded);
    // Retries until the store has accepted the change. A later call for the same worker replaces
    // it.
    void save(const WorkerId &worker, bool isDraining);
    void close(); // no callback comes after it

    size_t pending() const; // number of workers whose last change is not stored

private:
    struct Entry
    {
        Revision revision;                           // last known revision of the row
        std::optional<bool> next = {};               // value to write next
        std::optional<platform::Commit> commit = {}; // in flight, or with an unknown outcome
        bool isInFlight = false;
    };

    std::string rowKey(const WorkerId &worker) const;
    void write(const WorkerId &worker, Entry &entry);
    void written(const WorkerId &worker, const absl::StatusOr<Revision> &result);
    void readConflictingRow(const WorkerId &worker);
    void scheduleRetry();

    platform::Client &m_platform;
    GroupId m_group;
    std::map<WorkerId, Entry> m_entries;
    boost::asio::steady_timer m_retryTimer;
    bool m_isRetrying = false;
    bool m_isClosed = false;
};

} // namespace cwl::scheduler
