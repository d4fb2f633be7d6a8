#include "http/connectiontable.h"

#include "http/session.h"

#include <utility>

namespace cwl::http {

namespace {

// A connection that was chosen keeps its descriptor until its thread has closed it. This many may
// be open beyond the limit.
constexpr size_t maxEnding = 64;

} // namespace

size_t ConnectionTable::count() const
{
    size_t count = 0;
    for (const auto &connections : m_lists)
        count += connections.size();
    return count;
}

size_t ConnectionTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return count();
}

std::vector<std::shared_ptr<Session>> ConnectionTable::sessions() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<Session>> sessions;
    for (const auto &connections : m_lists) {
        for (const Connection &connection : connections)
            sessions.push_back(connection.session);
    }
    return sessions;
}

bool ConnectionTable::add(const std::shared_ptr<Session> &session)
{
    const std::lock_guard lock(m_mutex);
    if (count() - list(Stage::Ending).size() >= m_limit) {
        if (list(Stage::Ending).size() >= maxEnding)
            return false;
        const Stage from = !list(Stage::Idle).empty() ? Stage::Idle : Stage::Active;
        if (list(from).empty())
            return false;
        list(from).front().session->evict(Limit::Connections);
        end(list(from).begin());
    }
    auto &idle = list(Stage::Idle);
    session->setEntry(idle.insert(idle.end(), {session, Stage::Idle}));
    return true;
}

void ConnectionTable::remove(Entry entry)
{
    // Destroyed after the lock, because it may be the last reference to the session.
    std::list<Connection> removed;
    const std::lock_guard lock(m_mutex);
    removed.splice(removed.end(), list(entry->stage), entry);
}

void ConnectionTable::move(Entry entry, Stage stage)
{
    const std::lock_guard lock(m_mutex);
    if (entry->stage == stage || (entry->stage == Stage::Ending && stage != Stage::Owed))
        return;
    list(stage).splice(list(stage).end(), list(entry->stage), entry);
    entry->stage = stage;
}

void ConnectionTable::end(Entry entry)
{
    list(Stage::Ending).splice(list(Stage::Ending).end(), list(entry->stage), entry);
    entry->stage = Stage::Ending;
}

Relief ConnectionTable::relieve(Entry entry)
{
    const std::lock_guard lock(m_mutex);
    if (entry->stage == Stage::Ending)
        return Relief::Self;
    if (!list(Stage::Ending).empty())
        return Relief::Coming;
    auto &active = list(Stage::Active);
    if (active.size() > 1 && active.begin() == entry)
        return Relief::Self;
    auto &from = active.size() > 1 ? active : list(Stage::Idle);
    if (from.empty())
        return Relief::None;
    from.front().session->evict(Limit::Memory);
    end(from.begin());
    return Relief::Coming;
}

void ConnectionTable::relieveOthers(Entry entry)
{
    const std::lock_guard lock(m_mutex);
    if (!list(Stage::Ending).empty())
        return;
    auto &active = list(Stage::Active);
    Entry victim = active.begin();
    if (victim != active.end() && victim == entry)
        ++victim;
    if (victim == active.end())
        return;
    victim->session->evict(Limit::Memory);
    end(victim);
}

void ConnectionTable::relieveRest()
{
    const std::lock_guard lock(m_mutex);
    auto &active = list(Stage::Active);
    if (!list(Stage::Ending).empty() || active.size() < 2)
        return;
    active.front().session->evict(Limit::Memory);
    end(active.begin());
}

bool ConnectionTable::closeIdle()
{
    const std::lock_guard lock(m_mutex);
    auto &idle = list(Stage::Idle);
    if (idle.empty() || !list(Stage::Ending).empty())
        return false;
    idle.front().session->evict(Limit::Connections);
    end(idle.begin());
    return true;
}

} // namespace cwl::http
