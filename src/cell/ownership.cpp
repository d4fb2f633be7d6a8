#include "cell/ownership.h"

#include "base/error.h"
#include "base/random.h"
#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::cell {

// A write of the owner, resent unchanged until its outcome is known.
struct Ownership::Pending
{
    Transaction transaction;
    OwnerRow row;
    TimePoint sentAt = {};
    Committed committed;
    bool isResignation = false;
};

Ownership::Ownership(boost::asio::io_context &context, TableStore &store, OwnershipOptions options,
                     OwnershipEvents events)
    : m_store(store)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_followTimer(context)
    , m_takeoverTimer(context)
    , m_renewTimer(context)
    , m_sendTimer(context)
    , m_random(randomSeed())
    , m_leaseChangedAt(BootClock::now())
    , m_lastResponse(BootClock::now())
{
}

Ownership::~Ownership()
{
    *m_alive = false;
}

void Ownership::after(Timer &timer, Duration pause, std::function<void()> action)
{
    timer.expires_after(pause);
    timer.async_wait(
            [alive = m_alive, action = std::move(action)](boost::system::error_code error) {
                if (!error && *alive)
                    action();
            });
}

void Ownership::start()
{
    readLease();
}

bool Ownership::isValid(TimePoint now) const
{
    return m_isOwner && now - m_lastCommit < maxStoreOutage;
}

bool Ownership::mayAct(TimePoint now)
{
    if (m_isOwner && now - m_lastActive > maxProcessPause) {
        log::warn("process_paused",
                  {{"epoch", m_owner.epoch.value()}, {"time", now - m_lastActive}});
        m_confirmAfter = now;
        commit({}, {}, {});
    }
    m_lastActive = now;
    return isValid(now) && m_lastCommit >= m_confirmAfter && now - lastProof() < proofLifetime;
}

void Ownership::noteWitnessed(TimePoint sentAt)
{
    m_lastWitnessed = std::max(m_lastWitnessed, sentAt);
}

// Section: following the owner

void Ownership::readLease()
{
    m_store.read({.table = leaseTable, .part = ownerPart, .from = ownerKey},
                 BootClock::now() + storeCallTimeout,
                 [this, alive = m_alive, poll = ++m_poll](const absl::StatusOr<Page> &page) {
                     if (!*alive || poll != m_poll)
                         return;
                     if (!page.ok()) {
                         onFollowFailed(page.status());
                         return;
                     }
                     m_lastResponse = BootClock::now();
                     // The owner could not renew either while the store did not respond.
                     if (m_isStoreUnreachable)
                         m_leaseChangedAt = m_lastResponse;
                     if (!page->rows.empty())
                         onLease(page->rows.front());
                     m_leaseRevision = page->revision;
                     if (page->rows.empty() && !m_isOwner)
                         takeOver();
                     follow();
                 });
}

void Ownership::follow()
{
    const TimePoint now = BootClock::now();
    m_store.changes(leaseTable, m_leaseRevision, leasePollWait,
                    now + leasePollWait + leasePollMargin,
                    [this, alive = m_alive, poll = ++m_poll](const absl::StatusOr<Page> &page) {
                        if (!*alive || poll != m_poll)
                            return;
                        if (!page.ok()) {
                            onFollowFailed(page.status());
                            return;
                        }
                        if (std::exchange(m_isStoreUnreachable, false))
                            log::info("store_regained", {{"table", leaseTable}});
                        m_lastResponse = BootClock::now();
                        m_events.storeResponded(m_lastResponse);
                        for (const Row &row : page->rows)
                            onLease(row);
                        m_leaseRevision = std::max(m_leaseRevision, page->revision);
                        scheduleTakeover();
                        if (m_isOwner || isLargeEnough())
                            follow();
                        else
                            after(m_followTimer, smallMemberPollPause, [this] { follow(); });
                    });
}

void Ownership::expedite()
{
    if (m_pending && BootClock::now() - m_pending->sentAt > usualWriteTime) {
        m_sendTimer.cancel();
        sendPending();
    }
    m_followTimer.cancel();
    readLease();
}

void Ownership::onFollowFailed(const absl::Status &status)
{
    const bool isHistoryLost = failureOf(status) == Failure::HistoryLost;
    if (!isHistoryLost && !std::exchange(m_isStoreUnreachable, true))
        log::warn("store_lost", {{"table", leaseTable}, {"error", status}});
    if (!isHistoryLost && m_events.storeFailed)
        m_events.storeFailed();
    after(m_followTimer, isHistoryLost ? Duration::zero() : storeRetryPause,
          [this] { readLease(); });
}

void Ownership::onLease(const Row &row)
{
    if (row.key != ownerKey || row.isDeleted)
        return;
    const absl::StatusOr<OwnerRow> lease = decodeOwner(row.value);
    if (!lease.ok()) {
        log::warn("owner_row_unreadable", {{"error", lease.status()}});
        return;
    }
    if (lease->epoch < m_owner.epoch)
        return;
    if (*lease == m_owner)
        return;
    m_leaseChangedAt = BootClock::now();
    const bool isNew = lease->epoch != m_owner.epoch || lease->holder != m_owner.holder;
    if (m_isOwner && lease->epoch > m_owner.epoch)
        loseOwnership("newer owner in the store");
    if (m_isOwner)
        return;
    m_owner = *lease;
    if (!isNew)
        return;
    log::info("owner_seen",
              {{"epoch", m_owner.epoch.value()},
               {"holder", m_owner.holder},
               {"revision", row.revision.value()}});
    m_events.changed(m_owner);
}

// Section: takeover

// True if the last renewal is old enough: zero after a resignation, longer for small members.
bool Ownership::mayReplaceOwner() const
{
    const Duration sinceRenewal = BootClock::now() - m_leaseChangedAt;
    const bool isOwnerEnded = m_endedEpoch.value() > 0 && m_endedEpoch == m_owner.epoch;
    Duration limit = isOwnerEnded ? endedOwnerTimeout : renewalTimeout;
    if (m_owner.holder.empty())
        limit = Duration::zero();
    if (!isLargeEnough())
        limit += smallMemberDelay;
    return sinceRenewal >= limit;
}

bool Ownership::isLargeEnough() const
{
    return double(m_options.cores.value()) >= smallMemberRatio * double(m_owner.cores.value());
}

void Ownership::noteOwnerEnded(Epoch epoch)
{
    if (m_isOwner || epoch != m_owner.epoch)
        return;
    if (m_endedEpoch != epoch)
        log::info("owner_ended",
                  {{"epoch", epoch.value()},
                   {"holder", m_owner.holder},
                   {"since_renewal", BootClock::now() - m_leaseChangedAt}});
    m_endedEpoch = epoch;
    scheduleTakeover();
}

void Ownership::scheduleTakeover()
{
    if (m_isOwner || m_isTakingOver || m_isStopped || !mayReplaceOwner())
        return;
    m_isTakingOver = true;
    const bool isOwnerGone = m_owner.holder.empty() || m_endedEpoch == m_owner.epoch;
    const auto maxPause = isOwnerGone ? takeoverJitter / 5 : takeoverJitter;
    const Duration pause(int64_t(m_random() % uint64_t(maxPause.count())));
    after(m_takeoverTimer, pause, [this] {
        m_isTakingOver = false;
        if (!m_isOwner && mayReplaceOwner())
            takeOver();
    });
}

void Ownership::takeOver()
{
    if (m_isTakingOver || m_isOwner || m_isStopped)
        return;
    m_isTakingOver = true;
    const OwnerRow seen = m_owner;
    m_store.read({.table = ownerTable,
                  .part = ownerPart,
                  .from = ownerKey,
                  .until = std::string(ownerKey) + "!"},
                 BootClock::now() + storeCallTimeout,
                 [this, alive = m_alive, seen](const absl::StatusOr<Page> &page) {
                     if (!*alive)
                         return;
                     m_isTakingOver = false;
                     if (!page.ok()) {
                         log::warn("takeover_failed", {{"error", page.status()}});
                         return;
                     }
                     OwnerRow previous;
                     Revision revision;
                     if (!page->rows.empty()) {
                         const absl::StatusOr<OwnerRow> row = decodeOwner(page->rows[0].value);
                         if (!row.ok()) {
                             log::error("owner_row_unreadable", {{"error", row.status()}});
                             return;
                         }
                         previous = *row;
                         revision = page->rows[0].revision;
                         if (previous.epoch > seen.epoch && !previous.holder.empty()) {
                             noteNewOwner(previous); // another member took over first
                             return;
                         }
                     }
                     writeTakeover(previous, revision);
                 });
}

void Ownership::noteNewOwner(const OwnerRow &owner)
{
    if (owner.epoch <= m_owner.epoch)
        return; // its lease row has been read meanwhile
    m_owner = owner;
    m_leaseChangedAt = BootClock::now();
    m_events.changed(m_owner);
}

void Ownership::writeTakeover(const OwnerRow &previous, Revision revision)
{
    m_isTakingOver = true;
    const OwnerRow next = {previous.epoch + Epoch(1), m_options.member, m_options.address, 1,
                           m_options.cores};
    const std::string value = encodeOwner(next);
    Transaction transaction;
    transaction.expected = {{ownerTable, ownerPart, ownerKey, {}, revision}};
    transaction.writes = {{ownerTable, ownerPart, ownerKey, value},
                          {leaseTable, ownerPart, ownerKey, value}};
    const TimePoint sentAt = BootClock::now();
    m_store.commit(transaction, sentAt + storeCallTimeout,
                   [this, alive = m_alive, previous, next, sentAt,
                    revision](const absl::StatusOr<TransactionResult> &result) {
                       if (!*alive)
                           return;
                       m_isTakingOver = false;
                       if (!result.ok()) {
                           log::warn("takeover_failed",
                                     {{"epoch", next.epoch.value()}, {"error", result.status()}});
                           if (failureOf(result.status()) == Failure::StoreOutcomeUnknown
                               && BootClock::now() - m_lastResponse < seconds(2))
                               writeTakeover(previous, revision);
                           return;
                       }
                       if (result->isCommitted) {
                           m_lastCommit = sentAt;
                           m_owner = next;
                           becomeOwner(previous, result->revision);
                           return;
                       }
                       // An earlier attempt whose response was lost may have taken effect.
                       for (const Row &row : result->current) {
                           const absl::StatusOr<OwnerRow> current = decodeOwner(row.value);
                           if (row.table == ownerTable && current.ok() && *current == next) {
                               m_lastCommit = sentAt;
                               m_owner = next;
                               becomeOwner(previous, row.revision);
                               return;
                           }
                       }
                       log::info("takeover_lost", {{"epoch", next.epoch.value()}});
                   });
}

void Ownership::becomeOwner(const OwnerRow &previous, Revision revision)
{
    m_isOwner = true;
    m_isSole = previous.epoch.value() == 0;
    m_lastWitnessed = {};
    m_revision = revision;
    m_leaseChangedAt = BootClock::now();
    m_termStart = m_leaseChangedAt;
    m_lastActive = m_leaseChangedAt;
    m_confirmAfter = {};
    m_lastRenewal = m_lastCommit;
    log::info("ownership_won",
              {{"epoch", m_owner.epoch.value()},
               {"previous_holder", previous.holder},
               {"revision", revision.value()}});
    m_events.changed(m_owner);
    m_events.won(m_owner.epoch, previous);
    after(m_renewTimer, renewInterval, [this] { renew(); });
}

// Section: the owner's writes

void Ownership::renew()
{
    if (!m_isOwner)
        return;
    const TimePoint now = BootClock::now();
    if (!isValid(now)) {
        loseOwnership("the store has been unreachable for too long");
        return;
    }
    if (!m_pending && now - m_lastRenewal >= renewInterval)
        commit({}, {}, {});
    const Duration left = renewInterval - (BootClock::now() - m_lastRenewal);
    after(m_renewTimer, std::max<Duration>(left, milliseconds(20)), [this] { renew(); });
}

bool Ownership::commit(std::vector<Row> writes, std::vector<Row> removals, Committed committed)
{
    if (!m_isOwner || m_pending || m_isResigning)
        return false;
    auto pending = std::make_shared<Pending>();
    pending->row = m_owner;
    pending->row.isSole = m_isSole;
    ++pending->row.number;
    pending->transaction.expected = {{ownerTable, ownerPart, ownerKey, {}, m_revision}};
    pending->transaction.writes = std::move(writes);
    pending->transaction.removals = std::move(removals);
    const std::string value = encodeOwner(pending->row);
    pending->transaction.writes.push_back({ownerTable, ownerPart, ownerKey, value});
    const TimePoint now = BootClock::now();
    if (now - m_lastRenewal >= renewInterval) {
        m_lastRenewal = now;
        pending->transaction.writes.push_back({leaseTable, ownerPart, ownerKey, value});
    }
    pending->committed = std::move(committed);
    m_pending = std::move(pending);
    sendPending();
    return true;
}

void Ownership::sendPending()
{
    const std::shared_ptr<Pending> pending = m_pending;
    if (!pending || !m_isOwner)
        return;
    pending->sentAt = BootClock::now();
    m_store.commit(
            pending->transaction, pending->sentAt + storeCallTimeout,
            [this, alive = m_alive, pending](const absl::StatusOr<TransactionResult> &result) {
                if (*alive && m_pending == pending)
                    onWriteResult(pending, result);
            });
}

void Ownership::onWriteResult(const std::shared_ptr<Pending> &pending,
                              const absl::StatusOr<TransactionResult> &result)
{
    if (!result.ok()) {
        log::info("owner_write_failed",
                  {{"number", pending->row.number},
                   {"rows", pending->transaction.writes.size()},
                   {"error", result.status()}});
        if (m_events.storeFailed)
            m_events.storeFailed();
        if (failureOf(result.status()) == Failure::ProtocolError)
            withdrawRows(*pending);
        after(m_sendTimer, storeRetryPause, [this] { sendPending(); });
        return;
    }
    if (result->isCommitted) {
        onCommitted(pending, result->revision);
        return;
    }
    for (const Row &row : result->current) {
        const absl::StatusOr<OwnerRow> current = decodeOwner(row.value);
        if (row.table == ownerTable && current.ok() && *current == pending->row) {
            onCommitted(pending, row.revision); // an earlier response was lost
            return;
        }
    }
    loseOwnership("another member has written the owner's row");
}

void Ownership::onCommitted(const std::shared_ptr<Pending> &pending, Revision revision)
{
    m_pending.reset();
    m_owner = pending->row;
    m_revision = revision;
    m_lastCommit = pending->sentAt;
    m_events.confirmed(m_lastCommit);
    if (pending->isResignation)
        loseOwnership("resigned");
    if (pending->committed)
        pending->committed(true);
}

// The store refuses a write for its content, for instance a row that is too large. Sent unchanged
// it would fail again until the ownership ends, so only the renewal is sent.
void Ownership::withdrawRows(Pending &pending)
{
    if (pending.isResignation || !pending.committed)
        return;
    log::error("owner_write_refused",
               {{"number", pending.row.number},
                {"rows", pending.transaction.writes.size()},
                {"removals", pending.transaction.removals.size()}});
    std::erase_if(pending.transaction.writes, [](const Row &row) {
        return row.key != ownerKey || (row.table != ownerTable && row.table != leaseTable);
    });
    pending.transaction.removals.clear();
    const Committed committed = std::exchange(pending.committed, nullptr);
    committed(false);
}

void Ownership::resign(std::function<void()> done)
{
    m_isStopped = true;
    if (!m_isOwner) {
        done();
        return;
    }
    if (m_pending) {
        after(m_takeoverTimer, milliseconds(20), [this, done = std::move(done)] { resign(done); });
        return;
    }
    writeResignation(m_options.cores, std::move(done));
}

void Ownership::yieldTo(Millicores cores)
{
    const bool isLarger =
            smallMemberRatio * double(cores.value()) > double(m_options.cores.value());
    if (!m_isOwner || m_pending || m_isResigning || !isLarger
        || BootClock::now() - m_termStart < minTerm)
        return;
    log::info("ownership_yielded",
              {{"epoch", m_owner.epoch.value()},
               {"cores", m_options.cores.value()},
               {"successor_cores", cores.value()}});
    writeResignation(cores, {});
}

// `cores` is the processor share of the instance that should take over.
void Ownership::writeResignation(Millicores cores, std::function<void()> done)
{
    m_isResigning = true;
    auto pending = std::make_shared<Pending>();
    pending->row = m_owner;
    ++pending->row.number;
    pending->row.isSole = m_isSole;
    pending->row.holder.clear();
    pending->row.cores = cores;
    pending->isResignation = true;
    pending->committed = [done = std::move(done)](bool) {
        if (done)
            done();
    };
    const std::string value = encodeOwner(pending->row);
    pending->transaction.expected = {{ownerTable, ownerPart, ownerKey, {}, m_revision}};
    pending->transaction.writes = {{ownerTable, ownerPart, ownerKey, value},
                                   {leaseTable, ownerPart, ownerKey, value}};
    m_pending = std::move(pending);
    sendPending();
}

void Ownership::supersede(const char *reason)
{
    if (m_isOwner)
        loseOwnership(reason);
}

void Ownership::loseOwnership(const char *reason)
{
    if (!std::exchange(m_isOwner, false))
        return;
    const std::shared_ptr<Pending> pending = std::exchange(m_pending, nullptr);
    log::warn("ownership_lost", {{"epoch", m_owner.epoch.value()}, {"reason", reason}});
    m_leaseChangedAt = BootClock::now();
    m_events.lost(reason);
    m_isResigning = false;
    if (pending && pending->isResignation && pending->committed)
        pending->committed(true);
}

} // namespace cwl::cell
