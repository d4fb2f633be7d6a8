// The member that owns the cell: loads stored state, reads and fences the workers, executes
// the dispatcher's commands, and stores the results. On members that do not own the cell it
// only follows the owner and the configuration. Runs on the control thread.

#pragma once

#include "cell/advicerouter.h"
#include "cell/memberlist.h"
#include "cell/ownerannouncer.h"
#include "cell/ownership.h"
#include "cell/ports.h"
#include "cell/tablefollower.h"
#include "cell/usedworkers.h"
#include "jobs/dispatcher.h"
#include "metrics/metrics.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cwl::cell {

// Section: limits

constexpr Duration tickInterval = milliseconds(50); // between decisions without events
constexpr Duration decisionDelay = milliseconds(2); // combines events into one decision
// Decisions take at most 1 / decisionTimeDivisor of the processor time.
constexpr int decisionTimeDivisor = 4;
constexpr Duration watchWait = milliseconds(1000);            // of one poll of a worker
constexpr Duration watchWaitWithoutStore = milliseconds(300); // responses then prove the ownership
constexpr Duration watchResponseMargin = milliseconds(900);   // beyond its wait
constexpr Duration watchRetryPause = milliseconds(400);       // after a failed poll
// Between polls that do not wait: workers without runs share connections when there are too few for
// all workers, then also those with runs.
constexpr Duration idlePollInterval = milliseconds(1000);
constexpr Duration sharedPollInterval = milliseconds(200);
constexpr Duration minLag = milliseconds(25); // of ticks, from which the owner counts as overloaded
constexpr double lagDecay = 0.8;              // of the largest lag, with each tick
constexpr Duration maxOverloadPause = milliseconds(200);    // between polls of a worker
constexpr Duration commitInterval = milliseconds(12);       // combines completions into one write
constexpr Duration maxAcknowledgeDelay = milliseconds(150); // of a poll, for a write
constexpr Duration ownerMembersInterval =
        seconds(2); // between reads of the members table, as owner
constexpr Duration memberMembersInterval = seconds(10); // as another member
constexpr Duration announceRetryPause = seconds(1);
constexpr Duration firstMembersDelay = milliseconds(1500); // instances of a new cell start together
// Between polls of the feeds of jobs and workers that brought changes: members notify the owner of
// jobs at once, and every worker's row changes with each of its heartbeats.
constexpr Duration feedPause = milliseconds(100);
constexpr size_t maxWorkerRowsPerWrite = 10;       // see UsedWorkers
constexpr Duration refusedWritePause = seconds(1); // after a write that the store refuses
constexpr size_t maxRemovalsPerWrite = 15;         // in one write, beside the other rows
constexpr Duration expiryInterval = seconds(5);    // between removals of old jobs
// Between removals of workers that have left. A later owner waits for those that are not removed.
constexpr Duration workerRemovalInterval = milliseconds(250);
constexpr Duration predecessorTimeout = milliseconds(500);
constexpr Duration predecessorInterval = milliseconds(300); // between queries to the last owner
constexpr double workerClockMargin = 1.03;                  // a worker's clock is up to 2% slow

struct OwnerOptions
{
    std::string member;                   // id of this process
    std::string name;                     // of the instance
    std::string address;                  // where it serves other members, "ip:port"
    Millicores cores = {};                // processor share of the instance
    size_t maxPollConnections = SIZE_MAX; // to workers; see ConnectionBudget::polls
    jobs::DispatcherSettings dispatcher = {};
};

class Owner
{
public:
    Owner(boost::asio::io_context &context, const OwnerOptions &options, TableStore &store,
          WorkerGateway &workers, AdviceService &advice, const RowReader &reader,
          metrics::Registry &metrics);
    ~Owner();

    void start();
    void setConfig(const jobs::CellConfig &config); // that comes into force
    void resign(std::function<void()> done);        // other members take over

    // Called with each change of the owner.
    std::function<void(const OwnerRow &owner)> ownerChanged;
    // Called with the addresses of the other members, and with each response of the store.
    std::function<void(const std::vector<std::string> &addresses)> membersChanged;
    std::function<void(TimePoint at)> storeResponded;
    std::function<void()> storeFailed; // it did not respond
    void onStoreRegained();            // it responds again

    // A job or a cancellation that a member has just stored; arrives before the store's feed
    // delivers it.
    void noteStored(const std::string &key, const std::string &value);

    // Section: queries, valid only while this member owns the cell and has loaded it

    bool isActive() const { return m_isActive; }
    std::optional<jobs::JobState> jobState(const JobId &id) const;
    CustomerId customerOf(const JobId &id) const; // empty: the job is unknown or has none
    Json::Value waitingByQueue() const;
    Json::Value explain(const JobId &id) const;
    Epoch heldEpoch() const; // 0: none
    // A member whose instance has `cores` has queried the ownership and could own the cell itself.
    void noteLargerMember(Millicores cores) { m_ownership.yieldTo(cores); }
    bool canReachStore(TimePoint now) const;
    bool hasConfig() const { return m_config.version > 0; }
    Json::Value state() const;

private:
    using Timer = boost::asio::basic_waitable_timer<BootClock>;
    struct Watch;

    // Section: becoming the owner (ownerload.cpp)
    void onOwnershipWon(Epoch epoch, const OwnerRow &previous);
    void onOwnershipLost(const char *reason);
    void load();
    Duration longestLease() const;
    void checkPredecessorsFenced();
    void boundPredecessors(TimePoint actionsEnd, TimePoint leasesStart);
    void probePredecessor(const OwnerRow &previous);
    void sendPredecessorProbe(Epoch epoch);
    void onPredecessorResponse(Epoch epoch, const absl::StatusOr<http::Response> &response);
    void probeOwner();
    void onProbeResponse(Epoch epoch, const absl::StatusOr<http::Response> &response);
    void onProgress(const Page &page);
    void onOwnerRows(const Page &page);
    void onJobsSnapshot(std::vector<Row> rows);
    void onJobsChanged(const std::vector<Row> &rows);
    void addJob(const std::string &row, const char *source);
    void followWorkers();
    void onWorkers(const std::vector<Row> &rows, bool isSnapshot);
    bool hasService(const std::string &service) const;
    void announceAddress();
    void withdrawAddress();
    void readMembers();
    void removeExpiredMembers();
    void retryLoad();

    // Section: running (owner.cpp)
    void scheduleDecision();
    void decide();
    void sendOrders(const jobs::Orders &orders);
    void sendStart(const jobs::StartOrder &order);
    void sendStop(const jobs::StopOrder &order);
    void sendPace(const jobs::PaceOrder &order);
    void sendQuery(const jobs::AdviceQuery &query);
    bool checkFenced(jobs::OrderAnswer answer);
    void storeChanges();
    void onStored(const jobs::Batch &batch);
    void removeWorkers();
    void removeExpired();
    void proveOwnership(TimePoint now);
    void tick();

    // Section: polls of workers (ownerwatch.cpp)
    void watch(const WorkerId &id);
    void sendWatch(const std::shared_ptr<Watch> &entry);
    void onWatched(const std::shared_ptr<Watch> &entry, const WatchResult &result);
    void resumeWatches();
    void expediteWatch(const WorkerId &id);
    Duration overloadPause() const;
    void takePollConnection(Watch &entry, bool hasRuns);

    void after(Timer &timer, Duration pause, std::function<void()> action);

    boost::asio::io_context &m_context;
    const OwnerOptions m_options;
    TableStore &m_store;
    WorkerGateway &m_gateway;
    const RowReader m_reader;
    Ownership m_ownership;
    jobs::Dispatcher m_dispatcher;
    AdviceRouter m_advice;
    OwnerAnnouncer m_announcer;
    jobs::CellConfig m_config;
    std::unique_ptr<TableFollower> m_jobsFollower;    // while owner
    std::unique_ptr<TableFollower> m_workersFollower; // while owner
    std::unordered_map<std::string, jobs::Progress> m_loadedProgress;
    std::unordered_map<std::string, std::shared_ptr<Watch>> m_watches;
    size_t m_pollConnections = 0; // of the watches
    bool m_arePollsExhausted = false;
    UsedWorkers m_usedWorkers;
    std::shared_ptr<http::Client> m_predecessor;
    std::shared_ptr<http::Client> m_probe; // to the owner
    std::string m_probeAddress;
    std::vector<Row> m_removals; // progress of jobs that can no longer be queried
    bool m_isActive = false;
    bool m_isDecisionDue = false;
    uint64_t m_term = 0; // rises with each change of the ownership; old callbacks compare it
    TimePoint m_termStart = {};
    TimePoint m_predecessorActionsEnd = {}; // no earlier owner sends orders or polls after
    bool m_arePredecessorsFenced = false;
    TimePoint m_lastStore = {};
    TimePoint m_storeNotBefore = {};
    TimePoint m_decideNotBefore = {}; // with a long backlog, decisions are made less often
    TimePoint m_nextExpiry = {};
    TimePoint m_nextWorkerRemoval = {};
    TimePoint m_nextTick = {};
    Duration m_lag = {}; // by which ticks come late, the largest of the last ones
    Timer m_decideTimer;
    Timer m_storeTimer;
    Timer m_tickTimer;
    Timer m_loadTimer;
    Timer m_membersTimer;
    Timer m_announceTimer;
    Timer m_probeTimer;
    Timer m_predecessorTimer;
    MemberList m_members;
    size_t m_otherMembers = 0; // as last read
    Revision m_announced = {}; // of the row with this member's address, as it last wrote it
    bool m_isLeaving = false;

    metrics::Counter &m_shortenedRows;
    metrics::Counter &m_startsSent;
    metrics::Counter &m_reportsSeen;
    metrics::Counter &m_identifications;
    metrics::Counter &m_takeovers;
    metrics::Histogram &m_decideTime;
    metrics::Histogram &m_commitTime;
    metrics::Histogram &m_orderTime;
    metrics::Histogram &m_lagTime;
    metrics::Histogram &m_recoveryTime;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
