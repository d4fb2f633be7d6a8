// Follows a table of the platform's store: all of its rows first, then each change.

#pragma once

#include "cell/ports.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cwl::cell {

struct FollowOptions
{
    std::string table;
    std::vector<std::string> parts = {""}; // read for the snapshot
    Duration wait = milliseconds(1000);    // of one poll for changes
    // After a poll that brought changes. A table that changes all the time would otherwise cost a
    // call for each change.
    Duration pause = {};
};

struct FollowEvents
{
    std::function<void(std::vector<Row>)> snapshot; // all rows, also after a gap in the history
    std::function<void(std::vector<Row>)> changed;  // in the order of their revisions
};

constexpr Duration followResponseMargin =
        milliseconds(1000); // beyond the wait; then the poll is sent again
constexpr Duration followRetryPause = milliseconds(150);

// Reads several parts of a table page by page. Calls `done` once: with all rows and the revision
// after which changes may be missing, or with the first failure.
void readParts(TableStore &store, const std::string &table, std::vector<std::string> parts,
               std::function<void(absl::StatusOr<Page>)> done);

class TableFollower
{
public:
    TableFollower(boost::asio::io_context &context, TableStore &store, FollowOptions options,
                  FollowEvents events);
    ~TableFollower();

    void start();
    // Polls at once if the poll in flight was sent before the store responded again.
    void expedite();

    TimePoint lastResponse() const { return m_lastResponse; } // of the store; zero: none yet
    // The store has passed on every change up to this time; zero: none yet.
    TimePoint confirmedAt() const { return m_confirmedAt; }

private:
    void readAll();
    void follow();
    void followAfterPause();
    void onFailure(const absl::Status &status);

    TableStore &m_store;
    const FollowOptions m_options;
    const FollowEvents m_events;
    boost::asio::basic_waitable_timer<BootClock> m_timer;
    Revision m_seenRevision = {};
    TimePoint m_lastResponse = {};
    TimePoint m_confirmedAt = {};
    bool m_isStoreUnreachable = false;
    uint64_t m_poll = 0; // number of the current one; responses to earlier ones are ignored
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
