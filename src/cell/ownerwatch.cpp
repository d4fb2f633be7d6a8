// The owner's looks at the workers: they renew leases, bring reports and acknowledge ends.

#include "cell/owner.h"
#include "cell/watch.h"

#include "node/log.h"

#include <utility>

namespace cwl::cell {

// Section: looks at workers

void Owner::watch(const WorkerId &id)
{
    const jobs::Worker *const worker = m_dispatcher.findWorker(id);
    std::shared_ptr<Watch> &entry = m_watches[id.value()];
    if (entry) {
        if (entry->target.address != worker->entry.address) {
            m_gateway.forget(entry->target);
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
    if (!m_isActive || !m_ownership.isValid(now) || !m_dispatcher.findWorker(entry->id))
        return;
    entry->isWaitingForStore = false;
    const jobs::Worker &worker = *m_dispatcher.findWorker(entry->id);
    const jobs::WatchOrder order = m_dispatcher.watchOrder(entry->id, now);
    // The first look fences the worker and must not wait; ends that are not acknowledged yet would
    // end the wait at once.
    const bool waits = worker.isRead && worker.endsProcessed == worker.endsAcknowledged;
    const Duration wait = waits ? watchWait : Duration::zero();
    m_gateway.watch(entry->target, order, m_ownership.epoch(), wait, now + wait + watchAnswerLimit,
                    [this, alive = m_alive, term = m_term, entry, now](const WatchResult &result) {
                        if (!*alive || term != m_term || isFenced(result.answer))
                            return;
                        onWatched(entry, now, result);
                    });
}

void Owner::onWatched(const std::shared_ptr<Watch> &entry, TimePoint sentAt,
                      const WatchResult &result)
{
    const TimePoint now = BootClock::now();
    const jobs::Worker *const worker = m_dispatcher.findWorker(entry->id);
    if (!worker)
        return;
    if (result.answer != jobs::OrderAnswer::Accepted) {
        m_dispatcher.onLookFailed(entry->id);
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
    m_endsSeen.add();
    m_dispatcher.onReport(entry->id, result.report, sentAt, now);
    scheduleDecision();
    if (worker->endsProcessed == worker->endsAcknowledged) {
        sendWatch(entry);
        return;
    }
    entry->isWaitingForStore = true;
    entry->waitingSince = now;
    after(entry->timer, acknowledgeLimit, [this, entry] {
        if (entry->isWaitingForStore)
            sendWatch(entry);
    });
}

void Owner::resumeWatches()
{
    std::vector<std::shared_ptr<Watch>> ready;
    for (const auto &[id, entry] : m_watches) {
        const jobs::Worker *const worker = m_dispatcher.findWorker(entry->id);
        if (entry->isWaitingForStore && worker && worker->endsProcessed == worker->endsAcknowledged)
            ready.push_back(entry);
    }
    for (const std::shared_ptr<Watch> &entry : ready) {
        entry->timer.cancel();
        sendWatch(entry);
    }
}

} // namespace cwl::cell
