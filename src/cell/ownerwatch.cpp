// The owner's polls of the workers: they renew leases, fetch reports and acknowledge completions.

#include "cell/owner.h"
#include "cell/watch.h"

#include "node/log.h"

#include <utility>

namespace cwl::cell {

// Section: polls of workers

void Owner::watch(const WorkerId &id)
{
    const jobs::Worker *const worker = m_dispatcher.findWorker(id);
    std::shared_ptr<Watch> &entry = m_watches[id.value()];
    if (entry) {
        if (entry->target.address != worker->entry.address) {
            m_gateway.closeConnections(entry->target);
            entry->target.address = worker->entry.address;
        }
        return;
    }
    entry = std::make_shared<Watch>(m_context, id);
    entry->target = {id, worker->entry.address};
    sendWatch(entry);
}

void Owner::sendWatch(const std::shared_ptr<Watch> &entry)
{
    const TimePoint now = BootClock::now();
    if (!m_isActive || !m_dispatcher.findWorker(entry->id))
        return;
    entry->isWaitingForWrite = false;
    entry->isPaused = false;
    const jobs::Worker &worker = *m_dispatcher.findWorker(entry->id);
    const jobs::WatchOrder order = m_dispatcher.watchOrder(entry->id);
    // The first poll fences the worker and must not wait; completions that are not acknowledged yet
    // would end the wait at once.
    takePollConnection(*entry, !worker.runs.empty());
    const bool waits = entry->keepsConnection && worker.hasReported
            && worker.completionsProcessed == worker.completionsAcknowledged;
    const bool isStoreSlow = now - m_ownership.lastWrite() > recentWrite;
    const Duration longest = isStoreSlow ? watchWaitWithoutStore : watchWait;
    const Duration wait = waits ? longest : Duration::zero();
    m_gateway.watch(entry->target, order, m_ownership.epoch(), wait, entry->keepsConnection,
                    now + wait + watchResponseMargin,
                    [this, alive = m_alive, term = m_term, entry,
                     address = entry->target.address](const WatchResult &result) {
                        if (!*alive || term != m_term || checkFenced(result.answer))
                            return;
                        if (result.answer == jobs::OrderAnswer::WrongWorker
                            && address == entry->target.address)
                            m_dispatcher.onWorkerReplaced(entry->id, BootClock::now());
                        onWatched(entry, result);
                    });
}

void Owner::onWatched(const std::shared_ptr<Watch> &entry, const WatchResult &result)
{
    const TimePoint now = BootClock::now();
    const jobs::Worker *const worker = m_dispatcher.findWorker(entry->id);
    if (!worker)
        return;
    if (result.answer != jobs::OrderAnswer::Accepted) {
        m_dispatcher.onPollFailed(entry->id);
        if (!std::exchange(entry->isUnreachable, true))
            log::info("worker_unreachable",
                      {{"worker", entry->id.value()},
                       {"answer", orderAnswerName(result.answer)},
                       {"report_age", now - worker->lastReport},
                       {"runs", worker->runs.size()}});
        after(entry->timer, watchRetryPause, [this, entry] { sendWatch(entry); });
        return;
    }
    if (std::exchange(entry->isUnreachable, false))
        log::info("worker_reachable", {{"worker", entry->id.value()}});
    m_reportsSeen.add();
    if (result.isIdentification)
        m_identifications.add();
    m_dispatcher.onReport(entry->id, result.report, result.sentAt, now);
    checkPredecessorsFenced();
    scheduleDecision();
    // The lease and the acknowledgements follow an identification at once. Where every poll needs a
    // new connection the pause still applies, so that such a worker is not polled without rest.
    const bool wasIdentification = std::exchange(entry->wasIdentification, result.isIdentification);
    if (worker->completionsProcessed == worker->completionsAcknowledged) {
        if (result.isIdentification && !wasIdentification
            && (!worker->runs.empty() || !result.report.ended.empty())) {
            sendWatch(entry);
            return;
        }
        const Duration pause = !entry->keepsConnection
                ? (worker->runs.empty() ? idlePollInterval : sharedPollInterval)
                : overloadPause();
        if (pause == Duration::zero()) {
            sendWatch(entry);
            return;
        }
        entry->isPaused = true;
        after(entry->timer, pause, [this, entry] { sendWatch(entry); });
        return;
    }
    entry->isWaitingForWrite = true;
    entry->waitingSince = now;
    after(entry->timer, maxAcknowledgeDelay, [this, entry] {
        if (entry->isWaitingForWrite)
            sendWatch(entry);
    });
}

// Gives the worker's polls a connection of their own, or takes it back. Where there are fewer
// connections than workers, those with runs go first: their completions are waited for.
void Owner::takePollConnection(Watch &entry, bool hasRuns)
{
    const bool isScarce = m_watches.size() > m_options.maxPollConnections;
    if (entry.keepsConnection && isScarce && !hasRuns) {
        entry.keepsConnection = false;
        --m_pollConnections;
    } else if (!entry.keepsConnection && (hasRuns || !isScarce)
               && m_pollConnections < m_options.maxPollConnections) {
        entry.keepsConnection = true;
        ++m_pollConnections;
    }
    const bool isExhausted = hasRuns && !entry.keepsConnection;
    if (isExhausted && !std::exchange(m_arePollsExhausted, true))
        log::warn("poll_connections_exhausted",
                  {{"limit", m_options.maxPollConnections}, {"workers", m_watches.size()}});
    else if (m_pollConnections < m_options.maxPollConnections)
        m_arePollsExhausted = false;
}

// An owner that falls behind polls less often: each report then brings more completions.
Duration Owner::overloadPause() const
{
    return m_lag < minLag ? Duration::zero() : std::min<Duration>(2 * m_lag, maxOverloadPause);
}

// A start makes completions of this worker likely, so it is polled without the pause.
void Owner::expediteWatch(const WorkerId &id)
{
    const auto found = m_watches.find(id.value());
    if (found == m_watches.end() || !found->second->isPaused || found->second->keepsConnection)
        return;
    found->second->timer.cancel();
    sendWatch(found->second);
}

void Owner::resumeWatches()
{
    std::vector<std::shared_ptr<Watch>> ready;
    for (const auto &[id, entry] : m_watches) {
        const jobs::Worker *const worker = m_dispatcher.findWorker(entry->id);
        if (entry->isWaitingForWrite && worker
            && worker->completionsProcessed == worker->completionsAcknowledged)
            ready.push_back(entry);
    }
    for (const std::shared_ptr<Watch> &entry : ready) {
        entry->timer.cancel();
        sendWatch(entry);
    }
}

} // namespace cwl::cell
