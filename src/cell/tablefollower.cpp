#include "cell/tablefollower.h"

#include "base/error.h"
#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::cell {

namespace {

constexpr Duration readTimeout = milliseconds(1500);

// Reads in flight at once: a table of many parts takes a few rounds, even if the store is slow.
constexpr size_t maxConcurrentReads = 6;

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

    void begin()
    {
        while (position < parts.size() && inFlight < maxConcurrentReads)
            read(parts[position++], "");
    }

    void read(const std::string &part, const std::string &from)
    {
        ++inFlight;
        store.read({.table = table, .part = part, .from = from}, BootClock::now() + readTimeout,
                   [self = shared_from_this(), part](absl::StatusOr<Page> page) {
                       self->onPage(part, std::move(page));
                   });
    }

    void onPage(const std::string &part, absl::StatusOr<Page> page)
    {
        --inFlight;
        if (hasFailed)
            return;
        if (!page.ok()) {
            hasFailed = true;
            done(page.status());
            return;
        }
        result.revision = isFirst ? page->revision : std::min(result.revision, page->revision);
        isFirst = false;
        const std::string last = page->rows.empty() ? std::string() : page->rows.back().key;
        std::move(page->rows.begin(), page->rows.end(), std::back_inserter(result.rows));
        if (page->hasMore && !last.empty())
            read(part, last + "\x01");
        else
            begin();
        if (inFlight == 0 && position == parts.size())
            done(std::move(result));
    }

    TableStore &store;
    const std::string table;
    const std::vector<std::string> parts;
    const std::function<void(absl::StatusOr<Page>)> done;
    size_t position = 0; // of the next part
    size_t inFlight = 0; // reads
    bool isFirst = true;
    bool hasFailed = false;
    Page result;
};

} // namespace

void readParts(TableStore &store, const std::string &table, std::vector<std::string> parts,
               std::function<void(absl::StatusOr<Page>)> done)
{
    std::make_shared<PartsReader>(store, table, std::move(parts), std::move(done))->begin();
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

void TableFollower::expedite()
{
    m_timer.cancel();
    if (m_seenRevision.value() > 0 && !m_isStoreUnreachable)
        follow();
    else
        readAll();
}

void TableFollower::readAll()
{
    readParts(m_store, m_options.table, m_options.parts,
              [this, alive = m_alive, poll = ++m_poll,
               sentAt = BootClock::now()](absl::StatusOr<Page> page) {
                  if (!*alive || poll != m_poll)
                      return;
                  if (!page.ok()) {
                      onFailure(page.status());
                      return;
                  }
                  m_lastResponse = BootClock::now();
                  m_confirmedAt = sentAt;
                  m_seenRevision = page->revision;
                  m_events.snapshot(std::move(page->rows));
                  if (*alive)
                      follow();
              });
}

void TableFollower::follow()
{
    const TimePoint sentAt = BootClock::now();
    const TimePoint deadline = sentAt + m_options.wait + followResponseMargin;
    m_store.changes(m_options.table, m_seenRevision, m_options.wait, deadline,
                    [this, alive = m_alive, poll = ++m_poll, sentAt](absl::StatusOr<Page> page) {
                        if (!*alive || poll != m_poll)
                            return;
                        if (!page.ok()) {
                            onFailure(page.status());
                            return;
                        }
                        if (std::exchange(m_isStoreUnreachable, false))
                            log::info("store_regained", {{"table", m_options.table}});
                        m_lastResponse = BootClock::now();
                        m_seenRevision = std::max(m_seenRevision, page->revision);
                        const bool hasChanges = !page->rows.empty();
                        // A poll without changes has waited for them all the time.
                        m_confirmedAt = hasChanges
                                ? sentAt
                                : std::min(m_lastResponse, sentAt + m_options.wait);
                        if (hasChanges)
                            m_events.changed(std::move(page->rows));
                        if (!*alive)
                            return;
                        if (hasChanges && m_options.pause > Duration::zero())
                            followAfterPause();
                        else
                            follow();
                    });
}

void TableFollower::followAfterPause()
{
    m_timer.expires_after(m_options.pause);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (!error && *alive)
            follow();
    });
}

void TableFollower::onFailure(const absl::Status &status)
{
    if (failureOf(status) == Failure::HistoryLost) {
        log::info("history_lost", {{"table", m_options.table}, {"after", m_seenRevision.value()}});
    } else if (!std::exchange(m_isStoreUnreachable, true)) {
        log::warn("store_lost", {{"table", m_options.table}, {"error", status}});
    }
    m_timer.expires_after(failureOf(status) == Failure::HistoryLost ? Duration::zero()
                                                                    : followRetryPause);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (error || !*alive)
            return;
        // The store may have dropped its history during the outage, so the table is read again.
        readAll();
    });
}

} // namespace cwl::cell
