#include "cell/configfollower.h"

#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::cell {

ConfigFollower::ConfigFollower(boost::asio::io_context &context, TableStore &store,
                               RowReader reader, Changed changed)
    : m_store(store)
    , m_reader(std::move(reader))
    , m_changed(std::move(changed))
    , m_follower(context, store, {.table = m_reader.configTable, .wait = configPollWait},
                 {.snapshot = [this](const std::vector<Row> &rows) { onRows(rows); },
                  .changed = [this](const std::vector<Row> &rows) { onRows(rows); }})
{
}

ConfigFollower::~ConfigFollower()
{
    *m_alive = false;
}

void ConfigFollower::start()
{
    m_follower.start();
}

const jobs::Queue *ConfigFollower::findQueue(const std::string &host, const std::string &path) const
{
    return m_queues ? m_queues->find(host, path) : nullptr;
}

const jobs::Customer *ConfigFollower::findCustomer(const std::string &key) const
{
    return m_customers ? m_customers->find(key) : nullptr;
}

void ConfigFollower::onRows(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        if (row.key != m_reader.configKey || row.isDeleted)
            continue;
        m_revision = std::max(m_revision, row.revision);
        const absl::StatusOr<jobs::CellConfig> config = m_reader.config(row.value);
        if (!config.ok()) {
            log::error("config_unreadable",
                       {{"revision", row.revision.value()}, {"error", config.status()}});
            continue;
        }
        const int64_t previous = m_config ? m_config->version : 0;
        if (config->version <= previous)
            continue;
        log::info("config_in_force",
                  {{"version", config->version},
                   {"previous", previous},
                   {"queues", config->queues.size()},
                   {"customers", config->customers ? config->customers->size() : 0},
                   {"revision", row.revision.value()}});
        m_config = std::make_shared<const jobs::CellConfig>(*config);
        m_queues = std::make_unique<jobs::QueueIndex>(m_config);
        m_customers = std::make_unique<jobs::CustomerIndex>(m_config);
        if (m_changed)
            m_changed(m_config);
    }
}

// Section: confirmation

bool ConfigFollower::isFresh(TimePoint now) const
{
    return now - std::max(m_confirmedAt, m_follower.confirmedAt()) <= maxConfigAge;
}

void ConfigFollower::confirm(TimePoint deadline, std::function<void(bool)> callback)
{
    const TimePoint now = BootClock::now();
    if (isFresh(now) || now < m_noConfirmationBefore) {
        callback(isFresh(now));
        return;
    }
    m_waiting.push_back(std::move(callback));
    if (m_waiting.size() == 1)
        sendConfirmation(std::min(deadline, now + confirmTimeout));
}

void ConfigFollower::sendConfirmation(TimePoint deadline)
{
    m_store.changes(
            m_reader.configTable, m_revision, Duration::zero(), deadline,
            [this, alive = m_alive, sentAt = BootClock::now()](const absl::StatusOr<Page> &page) {
                if (*alive)
                    onConfirmation(sentAt, page);
            });
}

void ConfigFollower::onConfirmation(TimePoint sentAt, const absl::StatusOr<Page> &page)
{
    const TimePoint now = BootClock::now();
    if (page.ok()) {
        onRows(page->rows);
        m_confirmedAt = sentAt;
    } else {
        m_noConfirmationBefore = now + confirmRetryPause;
    }
    log::info("config_confirmed",
              {{"version", m_config ? m_config->version : 0},
               {"age", now - m_follower.confirmedAt()},
               {"requests", m_waiting.size()},
               {"error", page.status()}});
    for (const auto &callback : std::exchange(m_waiting, {}))
        callback(page.ok());
}

} // namespace cwl::cell
