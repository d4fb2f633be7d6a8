#include "cell/tablefollower.h"

#include "base/error.h"
#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::cell {

namespace {

constexpr Duration readTimeout = milliseconds(1500);

// Reads part after part; one call at a time keeps the store's load even.
struct PartsReader : std::enable_shared_from_this<PartsReader>
{
    PartsReader(TableStore &tableStore, std::string tableName, std::vector<std::string> partNames,
                std::function<void(absl::StatusOr<Page>)> doneCallback)
        : store(tableStore)
        , table(std::move(tableName))
        , parts(std::move(partNames))
        , done(std::move(doneCallback))
    {
    }

    void next(const std::string &from)
    {
        store.read({.table = table, .part = parts[position], .from = from},
                   BootClock::now() + readTimeout,
                   [self = shared_from_this()](absl::StatusOr<Page> page) {
                       self->onPage(std::move(page));
                   });
    }

    void onPage(absl::StatusOr<Page> page)
    {
        if (!page.ok()) {
            done(page.status());
            return;
        }
        all.revision = isFirst ? page->revision : std::min(all.revision, page->revision);
        isFirst = false;
        std::move(page->rows.begin(), page->rows.end(), std::back_inserter(all.rows));
        if (page->hasMore && !page->rows.empty()) {
            next(all.rows.back().key + "\x01");
            return;
        }
        if (++position == parts.size())
            done(std::move(all));
        else
            next("");
    }

    TableStore &store;
    const std::string table;
    const std::vector<std::string> parts;
    const std::function<void(absl::StatusOr<Page>)> done;
    size_t position = 0;
    bool isFirst = true;
    Page all;
};

} // namespace

void readParts(TableStore &store, const std::string &table, std::vector<std::string> parts,
               std::function<void(absl::StatusOr<Page>)> done)
{
    std::make_shared<PartsReader>(store, table, std::move(parts), std::move(done))->next("");
}

TableFollower::TableFollower(boost::asio::io_context &context, TableStore &store,
                             FollowOptions options, FollowEvents events)
    : m_store(store)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_timer(context)
{
}

TableFollower::~TableFollower()
{
    *m_alive = false;
}

void TableFollower::start()
{
    readAll();
}

void TableFollower::readAll()
{
    readParts(m_store, m_options.table, m_options.parts,
              [this, alive = m_alive](absl::StatusOr<Page> page) {
                  if (!*alive)
                      return;
                  if (!page.ok()) {
                      onFailure(page.status());
                      return;
                  }
                  m_lastAnswer = BootClock::now();
                  m_seen = page->revision;
                  m_events.snapshot(std::move(page->rows));
                  if (*alive)
                      follow();
              });
}

void TableFollower::follow()
{
    const TimePoint deadline = BootClock::now() + m_options.wait + followAnswerLimit;
    m_store.changes(m_options.table, m_seen, m_options.wait, deadline,
                    [this, alive = m_alive](absl::StatusOr<Page> page) {
                        if (!*alive)
                            return;
                        if (!page.ok()) {
                            onFailure(page.status());
                            return;
                        }
                        if (std::exchange(m_isLost, false))
                            log::info("store_regained", {{"table", m_options.table}});
                        m_lastAnswer = BootClock::now();
                        m_seen = std::max(m_seen, page->revision);
                        if (!page->rows.empty())
                            m_events.changed(std::move(page->rows));
                        if (*alive)
                            follow();
                    });
}

void TableFollower::onFailure(const absl::Status &status)
{
    if (failureOf(status) == Failure::HistoryLost) {
        log::info("history_lost", {{"table", m_options.table}, {"after", m_seen.value()}});
    } else if (!std::exchange(m_isLost, true)) {
        log::warn("store_lost", {{"table", m_options.table}, {"error", status}});
    }
    m_timer.expires_after(failureOf(status) == Failure::HistoryLost ? Duration::zero()
                                                                    : followRetryPause);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (error || !*alive)
            return;
        // An outage may hide that the history was dropped, so the table is read anew after it.
        readAll();
    });
}

} // namespace cwl::cell
