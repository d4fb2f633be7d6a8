#include "cell/owner.h"
#include "cell/watch.h"

#include "base/error.h"
#include "base/json.h"
#include "node/log.h"

#include <algorithm>
#include <utility>

namespace cwl::cell {

Owner::Owner(boost::asio::io_context &context, const OwnerOptions &options, TableStore &store,
             WorkerGateway &workers, AdviceService &advice, const RowReader &reader,
             metrics::Registry &metrics)
    : m_context(context)
    , m_options(options)
    , m_store(store)
    , m_gateway(workers)
    , m_reader(reader)
    , m_ownership(context, store, {options.member, options.address, options.cores},
                  {.won = [this](Epoch epoch,
                                 const OwnerRow &previous) { onOwnershipWon(epoch, previous); },
                   .lost = [this](const char *reason) { onOwnershipLost(reason); },
                   .changed =
                           [this](const OwnerRow &owner) {
                               if (ownerChanged)
                                   ownerChanged(owner);
                           },
                   .confirmed =
                           [this](TimePoint sentAt) {
                               if (m_dispatcher.awaitsConfirmation())
                                   scheduleDecision();
                               m_dispatcher.confirmOwnership(sentAt);
                           },
                   .storeResponded =
                           [this](TimePoint at) {
                               if (storeResponded)
                                   storeResponded(at);
                           },
                   .storeFailed =
                           [this] {
                               if (storeFailed)
                                   storeFailed();
                           }})
    , m_dispatcher(options.dispatcher)
    , m_advice(context, advice)
    , m_announcer(context)
    , m_decideTimer(context)
    , m_storeTimer(context)
    , m_tickTimer(context)
    , m_loadTimer(context)
    , m_membersTimer(context)
    , m_announceTimer(context)
    , m_probeTimer(context)
    , m_predecessorTimer(context)
    , m_shortenedRows(metrics.counter("cwl_cell_progress_shortened_total",
                                      "Rows of progress stored without checkpoints because they "
                                      "would have been too large."))
    , m_startsSent(metrics.counter("cwl_cell_starts_total", "Start orders sent to workers."))
    , m_reportsSeen(metrics.counter("cwl_cell_reports_total", "Reports received from workers."))
    , m_identifications(metrics.counter("cwl_cell_identifications_total",
                                        "Polls on new connections, which only ask which process "
                                        "of a worker answers."))
    , m_takeovers(metrics.counter("cwl_cell_takeovers_total", "Times this member became owner."))
    , m_decideTime(metrics.histogram("cwl_cell_decide_seconds", "Time of one decision."))
    , m_commitTime(metrics.histogram("cwl_cell_store_write_seconds",
                                     "Duration of a write by the owner."))
    , m_orderTime(metrics.histogram("cwl_cell_start_answer_seconds",
                                    "Time from a start order to its response."))
    , m_lagTime(metrics.histogram("cwl_cell_owner_lag_seconds",
                                  "Time by which the owner's timer fires late: its load."))
    , m_recoveryTime(metrics.histogram("cwl_cell_recovery_seconds",
                                       "Time from the takeover until jobs can start."))
{
}

Owner::~Owner()
{
    *m_alive = false;
}

void Owner::after(Timer &timer, Duration pause, std::function<void()> action)
{
    timer.expires_after(pause);
    timer.async_wait(
            [alive = m_alive, action = std::move(action)](boost::system::error_code error) {
                if (!error && *alive)
                    action();
            });
}

void Owner::start()
{
    m_ownership.start();
    announceAddress();
    after(m_membersTimer, firstMembersDelay, [this] { readMembers(); });
    probeOwner();
}

void Owner::resign(std::function<void()> done)
{
    withdrawAddress();
    m_ownership.resign(std::move(done));
}

void Owner::onStoreRegained()
{
    m_ownership.expedite();
    for (const std::unique_ptr<TableFollower> *follower : {&m_jobsFollower, &m_workersFollower}) {
        if (*follower)
            (*follower)->expedite();
    }
}

// Section: queries

std::optional<jobs::JobState> Owner::jobState(const JobId &id) const
{
    return m_dispatcher.jobState(id);
}

CustomerId Owner::customerOf(const JobId &id) const
{
    return m_dispatcher.customerOf(id);
}

Json::Value Owner::waitingByQueue() const
{
    Json::Value value(Json::objectValue);
    for (const auto &[queue, count] : m_dispatcher.waitingByQueue())
        value[queue] = Json::Int64(count);
    return value;
}

Json::Value Owner::explain(const JobId &id) const
{
    return m_dispatcher.explain(id, BootClock::now());
}

Epoch Owner::heldEpoch() const
{
    return m_ownership.isOwner() ? m_ownership.epoch() : Epoch();
}

bool Owner::canReachStore(TimePoint now) const
{
    return now - m_ownership.lastResponse() < leasePollWait + leasePollMargin + milliseconds(300);
}

Json::Value Owner::state() const
{
    const TimePoint now = BootClock::now();
    Json::Value value;
    value["member"] = m_options.member;
    value["owner"] = m_ownership.owner().holder;
    value["epoch"] = Json::Int64(m_ownership.epoch().value());
    value["isOwner"] = m_ownership.isOwner();
    value["isActive"] = m_isActive;
    value["configVersion"] = Json::Int64(m_config.version);
    value["otherMembers"] = Json::UInt64(m_otherMembers);
    value["storeReachable"] = canReachStore(now);
    const AdviceQueue::Counts advice = m_advice.counts();
    value["advice"]["callers"] = Json::UInt64(advice.known);
    value["advice"]["responsive"] = Json::UInt64(advice.responsive);
    value["advice"]["withLongQuery"] = Json::UInt64(advice.withLong);
    value["advice"]["waiting"] = Json::UInt64(advice.waiting);
    if (m_isActive)
        value["dispatcher"] = m_dispatcher.state(now);
    return value;
}

// Section: configuration and members

void Owner::setConfig(const jobs::CellConfig &config)
{
    const bool haveServicesChanged = config.services != m_config.services;
    m_config = config;
    m_dispatcher.setConfig(m_config);
    if (haveServicesChanged && m_workersFollower)
        followWorkers(); // entries that named no service before may name one now
    scheduleDecision();
}

// Stores the address of this member for the other members, and again after `announceInterval`;
// retries until it succeeds.
void Owner::announceAddress()
{
    if (m_isLeaving)
        return;
    Transaction transaction;
    transaction.writes = {{membersTable, ownerPart, m_options.name, m_options.address}};
    m_store.commit(transaction, BootClock::now() + storeCallTimeout,
                   [this, alive = m_alive](const absl::StatusOr<TransactionResult> &result) {
                       if (!*alive)
                           return;
                       if (result.ok())
                           m_announced = result->revision;
                       else
                           log::info("announce_failed", {{"error", result.status()}});
                       if (m_isLeaving)
                           withdrawAddress();
                       else
                           after(m_announceTimer,
                                 result.ok() ? announceInterval : announceRetryPause,
                                 [this] { announceAddress(); });
                   });
}

// Members call this one as long as its row is there. A row that the next process of this instance
// has written is left.
void Owner::withdrawAddress()
{
    m_isLeaving = true;
    m_announceTimer.cancel();
    if (m_announced.value() == 0)
        return;
    const Row row = {membersTable, ownerPart, m_options.name, {}, m_announced};
    m_announced = {};
    Transaction transaction;
    transaction.expected = {row};
    transaction.removals = {row};
    m_store.commit(transaction, BootClock::now() + storeCallTimeout,
                   [](const absl::StatusOr<TransactionResult> &result) {
                       log::info("address_withdrawn", {{"error", result.status()}});
                   });
}

void Owner::readMembers()
{
    readParts(m_store, membersTable, {ownerPart},
              [this, alive = m_alive](const absl::StatusOr<Page> &page) {
                  if (!*alive)
                      return;
                  if (page.ok()) {
                      m_members.update(page->rows, BootClock::now());
                      if (m_isActive)
                          removeExpiredMembers();
                      const std::vector<std::string> addresses =
                              m_members.othersThan(m_options.address);
                      m_otherMembers = addresses.size();
                      m_advice.setMembers(addresses);
                      m_announcer.addMembers(addresses);
                      if (membersChanged)
                          membersChanged(addresses);
                  }
                  after(m_membersTimer,
                        m_ownership.isOwner() ? ownerMembersInterval : memberMembersInterval,
                        [this] { readMembers(); });
              });
}

// A member that has written its row meanwhile keeps it: the removal names the revision.
void Owner::removeExpiredMembers()
{
    for (const Row &row : m_members.expired(BootClock::now())) {
        Transaction transaction;
        transaction.expected = {{row.table, row.part, row.key, {}, row.revision}};
        transaction.removals = {{row.table, row.part, row.key}};
        m_store.commit(
                transaction, BootClock::now() + storeCallTimeout,
                [key = row.key](const absl::StatusOr<TransactionResult> &result) {
                    log::info("member_expired", {{"instance", key}, {"error", result.status()}});
                });
    }
}

// Section: running

void Owner::tick()
{
    if (!m_isActive)
        return;
    const TimePoint now = BootClock::now();
    const Duration lag = m_nextTick == TimePoint() ? Duration::zero() : now - m_nextTick;
    m_lag = std::max(lag, Duration(int64_t(lagDecay * double(m_lag.count()))));
    m_lagTime.observe(lag);
    proveOwnership(now);
    decide();
    m_nextTick = BootClock::now() + tickInterval;
    after(m_tickTimer, tickInterval, [this] { tick(); });
}

// Updates what follows from the time that has passed: the proofs of this owner, and the end of what
// earlier ones may do.
void Owner::proveOwnership(TimePoint now)
{
    if (!m_ownership.isSole() && now > m_predecessorActionsEnd)
        m_ownership.setSole();
    if (now - m_ownership.lastWrite() > recentWrite) {
        const std::optional<TimePoint> witnessed =
                m_dispatcher.respondedSince(m_usedWorkers.storedAtMost() / 2 + 1);
        if (witnessed)
            m_ownership.noteWitnessed(*witnessed);
    }
    m_dispatcher.proveOwnership(m_ownership.lastProof());
}

void Owner::scheduleDecision()
{
    if (!m_isActive || std::exchange(m_isDecisionDue, true))
        return;
    const Duration gap = std::max(decisionDelay, m_decideNotBefore - BootClock::now());
    after(m_decideTimer, gap, [this] { decide(); });
}

void Owner::decide()
{
    m_isDecisionDue = false;
    if (!m_isActive)
        return;
    const TimePoint now = BootClock::now();
    if (!m_ownership.mayAct(now))
        return;
    const jobs::Orders orders = m_dispatcher.decide(now, UnixMilliseconds::now());
    const TimePoint decided = BootClock::now();
    m_decideTime.observe(decided - now);
    m_decideNotBefore = decided + (decisionTimeDivisor - 1) * (decided - now);
    sendOrders(orders);
    m_advice.dispatchWaiting();
    storeChanges();
    if (now >= m_nextWorkerRemoval)
        removeWorkers();
    if (now >= m_nextExpiry)
        removeExpired();
}

void Owner::sendOrders(const jobs::Orders &orders)
{
    for (const jobs::StartOrder &order : orders.starts)
        sendStart(order);
    for (const jobs::StopOrder &order : orders.stops)
        sendStop(order);
    for (const jobs::PaceOrder &order : orders.paces)
        sendPace(order);
    for (const jobs::AdviceQuery &query : orders.queries)
        sendQuery(query);
}

bool Owner::checkFenced(jobs::OrderAnswer answer)
{
    if (answer != jobs::OrderAnswer::Fenced)
        return false;
    m_ownership.supersede("a worker has seen a newer owner");
    return true;
}

void Owner::sendStart(const jobs::StartOrder &order)
{
    m_startsSent.add();
    const TimePoint sentAt = BootClock::now();
    m_gateway.start(
            order, m_ownership.epoch(), sentAt + jobs::orderTimeout,
            [this, alive = m_alive, term = m_term, order, sentAt](jobs::OrderAnswer answer) {
                if (!*alive || term != m_term || checkFenced(answer))
                    return;
                const TimePoint now = BootClock::now();
                m_orderTime.observe(now - sentAt);
                m_dispatcher.onStartAnswered(order, answer, now);
                if (answer == jobs::OrderAnswer::Accepted)
                    expediteWatch(order.worker);
                else
                    scheduleDecision();
            });
}

void Owner::sendStop(const jobs::StopOrder &order)
{
    m_gateway.stop(order, m_ownership.epoch(), BootClock::now() + jobs::orderTimeout,
                   [this, alive = m_alive, term = m_term, order](jobs::OrderAnswer answer) {
                       if (!*alive || term != m_term || checkFenced(answer))
                           return;
                       m_dispatcher.onStopAnswered(order, answer, BootClock::now());
                   });
}

void Owner::sendPace(const jobs::PaceOrder &order)
{
    m_gateway.pace(order, m_ownership.epoch(), BootClock::now() + jobs::orderTimeout,
                   [this, alive = m_alive, term = m_term, order](jobs::OrderAnswer answer) {
                       if (!*alive || term != m_term || checkFenced(answer))
                           return;
                       if (answer != jobs::OrderAnswer::Accepted)
                           log::info("pace_failed",
                                     {{"task", order.task}, {"answer", orderAnswerName(answer)}});
                   });
}

void Owner::sendQuery(const jobs::AdviceQuery &query)
{
    m_advice.query(query,
                   [this, alive = m_alive, term = m_term,
                    query](const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed) {
                       if (!*alive || term != m_term)
                           return;
                       if (!allowed.ok()) {
                           log::info(
                                   "advice_failed",
                                   {{"step", query.step.stepText()}, {"error", allowed.status()}});
                           m_dispatcher.onAdviceFailed(query, BootClock::now());
                           return;
                       }
                       m_dispatcher.onAdvice(query, *allowed, BootClock::now());
                       scheduleDecision();
                   });
}

// Section: storing

void Owner::storeChanges()
{
    const TimePoint now = BootClock::now();
    if (!m_isActive || m_ownership.isCommitting() || now < m_storeNotBefore
        || (!m_dispatcher.hasUnstored() && m_removals.empty()
            && !(m_ownership.isSole() && m_usedWorkers.hasChanges())
            && !m_dispatcher.awaitsConfirmation()))
        return;
    if (now - m_lastStore < commitInterval) {
        after(m_storeTimer, commitInterval - (now - m_lastStore), [this] { storeChanges(); });
        return;
    }
    jobs::Batch batch = m_dispatcher.collect();
    std::vector<Row> writes;
    writes.reserve(batch.rows.size() + 2);
    for (const jobs::Batch::JobRow &row : batch.rows) {
        writes.push_back({progressTable, ownerPart, row.id.value(), row.progress});
        m_shortenedRows.add(row.isShortened ? 1 : 0);
    }
    // An earlier owner that can still act counts the used workers as they were.
    std::vector<Row> workerRows;
    std::vector<Row> removals;
    if (m_ownership.isSole()) {
        workerRows = m_usedWorkers.takeChanges(maxWorkerRowsPerWrite);
        writes.insert(writes.end(), workerRows.begin(), workerRows.end());
        removals = m_usedWorkers.takeRemovals();
    }
    while (!m_removals.empty() && removals.size() < maxRemovalsPerWrite) {
        removals.push_back(std::move(m_removals.back()));
        m_removals.pop_back();
    }
    m_lastStore = now;
    if (writes.empty() && removals.empty()
        && !m_dispatcher.awaitsConfirmation()) { // the completions changed no stored state
        onStored(batch);
        return;
    }
    const bool isSent = m_ownership.commit(
            std::move(writes), std::move(removals),
            [this, alive = m_alive, term = m_term, batch = std::move(batch), workerRows,
             now](bool isStored) {
                if (!*alive || term != m_term)
                    return;
                if (!isStored) {
                    // The rows are sent again; meanwhile the renewals keep the ownership.
                    m_usedWorkers.restoreChanges(workerRows);
                    m_storeNotBefore = BootClock::now() + refusedWritePause;
                    return;
                }
                m_commitTime.observe(BootClock::now() - now);
                for (const std::string &id : m_usedWorkers.confirmChanges(workerRows))
                    m_dispatcher.noteRecorded(WorkerId(id));
                onStored(batch);
            });
    if (!isSent) {
        m_usedWorkers.restoreChanges(workerRows);
        log::debug("store_postponed", {});
    }
}

void Owner::onStored(const jobs::Batch &batch)
{
    m_dispatcher.committed(batch);
    resumeWatches();
    if (m_dispatcher.hasUnstored())
        scheduleDecision();
}

void Owner::removeWorkers()
{
    m_nextWorkerRemoval = BootClock::now() + workerRemovalInterval;
    for (const WorkerId &id : m_dispatcher.takeEmptiedWorkers()) {
        m_usedWorkers.erase(id.value());
        log::info("worker_emptied", {{"worker", id.value()}});
    }
    for (const WorkerId &id : m_dispatcher.removableWorkers()) {
        const auto entry = m_watches.find(id.value());
        if (entry != m_watches.end()) {
            m_gateway.closeConnections(entry->second->target);
            m_pollConnections -= entry->second->keepsConnection ? 1 : 0;
            m_watches.erase(entry);
        }
        m_dispatcher.forgetWorker(id);
        m_usedWorkers.erase(id.value());
        log::info("worker_removed", {{"worker", id.value()}});
    }
}

void Owner::removeExpired()
{
    const TimePoint now = BootClock::now();
    m_nextExpiry = now + expiryInterval;
    for (const JobId &id : m_dispatcher.takeExpired(now)) {
        m_removals.push_back({progressTable, ownerPart, id.value()});
        Transaction transaction;
        transaction.removals = {{jobsTable, jobPart(id), id.value()},
                                {jobsTable, jobPart(id), id.value() + cancelSuffix}};
        m_store.commit(transaction, now + storeCallTimeout,
                       [id](const absl::StatusOr<TransactionResult> &result) {
                           if (!result.ok())
                               log::info("job_removal_failed",
                                         {{"job", id.value()}, {"error", result.status()}});
                       });
    }
}

} // namespace cwl::cell
