// Which member owns the cell, agreed through one row of the platform's store.
//
// The row names the epoch and its holder. Each write of the holder is conditional on the row's
// revision and renews it, so that the holder's writes follow one another and a superseded holder
// writes nothing. A write whose response was lost is sent again unchanged: the row's number tells
// whether it took effect. All members follow a second row that the holder writes at least every
// `renewInterval`; when it stays the same for `renewalTimeout` while the store responds, any member
// may write the next epoch. Workers keep the highest epoch that they have seen and reject orders
// of lower ones.
//
// What an owner and its successor may assume of each other follows from one rule: an owner grants
// and concludes no more than its last proof of ownership covers.
//  - Proofs are a write that took effect and, while the store does not respond, responses of more
//    than half of the used workers to this owner's epoch. A proof counts from when the write or the
//    polls were sent, since a successor may exist from then on.
//  - Grants: an owner sends orders until `proofLifetime` after its last proof, and no lease ends
//    later than one lease after it.
//  - Conclusions: that a run has ended because its lease has expired follows only from a write that
//    was sent after the end of the lease; a successor may have renewed it before.
// So a successor that has fenced half of the used workers knows that no proof of an earlier owner
// is younger, and waits one lease from then on for the workers that it cannot read. The used
// workers in the store stay as they are until earlier owners can no longer act, so that both count
// the same.
//
// Owning the cell takes far more processor time than being a member, so the size of an instance
// matters: a member that is much smaller than the last owner delays its takeover in favour of
// larger ones, and an owner resigns when a much larger member queries it.

#pragma once

#include "base/clock.h"
#include "cell/ports.h"
#include "cell/tables.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cwl::cell {

// Section: limits

constexpr Duration renewInterval = milliseconds(250);
constexpr Duration renewalTimeout = milliseconds(1000); // four renewals
constexpr Duration takeoverJitter = milliseconds(250);  // so that members do not all write at once
// An owner whose address refuses connections, or is answered by another process, has ended. It is
// replaced after a shorter time without renewals. An owner that is only cut off from this member
// goes on renewing and is not replaced.
constexpr Duration endedOwnerTimeout = milliseconds(420);
// Extra wait of a member whose instance is much smaller than the last owner's.
constexpr Duration smallMemberDelay = milliseconds(900);
constexpr double smallMemberRatio = 0.67; // share of another instance's processor share
// An owner does not resign for a larger member earlier: each change requires a recovery.
constexpr Duration minTerm = seconds(3);
constexpr Duration probeInterval = milliseconds(200); // between queries to the owner
// In larger cells the interval grows, so that the owner gets no more queries than from so many.
constexpr size_t membersPerProbeInterval = 32;
constexpr Duration probeTimeout = milliseconds(250);
constexpr Duration leasePollWait = milliseconds(400);    // of one poll of the renewals
constexpr Duration leasePollMargin = milliseconds(1200); // beyond its wait
// Between the polls of a small member, which delays its takeover. Pause and poll together
// stay below the time after which the store is treated as unresponsive.
constexpr Duration smallMemberPollPause = milliseconds(300);
constexpr Duration storeCallTimeout = milliseconds(1500);
constexpr Duration storeRetryPause = milliseconds(150);
constexpr Duration usualWriteTime = milliseconds(300); // a write older than this may be lost
// An owner that has not reached the store for this long ends its term. Longer than the outages that
// running work must survive.
constexpr Duration maxStoreOutage = seconds(12);
// Orders are sent for so long after a proof of ownership: longer than it takes to poll all workers
// while the store does not respond.
constexpr Duration proofLifetime = seconds(2);
// Without a write for longer, the owner asks the workers for proofs.
constexpr Duration recentWrite = milliseconds(500);
// A process that did not run for longer may have been replaced meanwhile.
constexpr Duration maxProcessPause = renewalTimeout - renewInterval - milliseconds(50);

struct OwnershipOptions
{
    std::string member;    // id of this process
    std::string address;   // where it serves other members, "ip:port"
    Millicores cores = {}; // processor share of its instance; 0: not known
};

struct OwnershipEvents
{
    // This member owns the cell from now on. `previous` is the row that it replaced.
    std::function<void(Epoch epoch, const OwnerRow &previous)> won;
    std::function<void(const char *reason)> lost;
    std::function<void(const OwnerRow &owner)> changed; // the holder, as far as is known
    std::function<void(TimePoint sentAt)> confirmed;    // a write of this owner took effect
    std::function<void(TimePoint at)> storeResponded;   // the store responded to a poll
    std::function<void()> storeFailed;                  // it did not respond to a poll or a write
};

class Ownership
{
public:
    using Timer = boost::asio::basic_waitable_timer<BootClock>;
    using Committed = std::function<void(bool isStored)>;

    Ownership(boost::asio::io_context &context, TableStore &store, OwnershipOptions options,
              OwnershipEvents events);
    ~Ownership();

    void start();

    bool isOwner() const { return m_isOwner; }
    Epoch epoch() const { return m_owner.epoch; }
    const OwnerRow &owner() const { return m_owner; }
    // False once the owner has not reached the store for `maxStoreOutage`.
    bool isValid(TimePoint now) const;
    // True if the owner may send orders: its last proof is younger than `proofLifetime`. Called at
    // least every few 10 ms: after a longer pause of the process another member may own the cell,
    // so a write has to take effect first.
    bool mayAct(TimePoint now);
    TimePoint lastWrite() const { return m_lastCommit; } // send time of the last that took effect
    // None is younger than the end of the term without the store.
    TimePoint lastProof() const
    {
        return std::clamp(m_lastWitnessed, m_lastCommit, m_lastCommit + maxStoreOutage);
    }
    // More than half of the used workers have responded to polls of this epoch sent at `sentAt` or
    // later.
    void noteWitnessed(TimePoint sentAt);
    // No earlier owner can act any more; stored with the next write. Set for the first owner.
    void setSole() { m_isSole = true; }
    bool isSole() const { return m_isSole; }
    TimePoint lastResponse() const { return m_lastResponse; } // of the store, to the follower

    // Writes rows of the owner's part under the owner's condition. `committed` is called once they
    // are stored, or with false if the store refuses them for what they are; never if the ownership
    // is lost before. One write at a time; returns false while one is in flight.
    bool commit(std::vector<Row> writes, std::vector<Row> removals, Committed committed);
    bool isCommitting() const { return m_pending != nullptr; }

    // Ends the ownership with a last write that records it, so that others take over at once.
    void resign(std::function<void()> done);

    // A member whose instance has `cores` could own the cell in place of this one. Resigns if that
    // instance is much larger and this term has lasted for `minTerm`.
    void yieldTo(Millicores cores);
    // True if this member is large enough to take over without `smallMemberDelay`.
    bool isLargeEnough() const;

    // A worker or a member has seen a newer owner.
    void supersede(const char *reason);

    // The store responds again: sends a write and a poll again that were sent before.
    void expedite();

    // The process that held `epoch` no longer runs.
    void noteOwnerEnded(Epoch epoch);

private:
    struct Pending;

    void follow();
    void readLease();
    void onLease(const Row &row);
    void onFollowFailed(const absl::Status &status);
    bool mayReplaceOwner() const;
    void scheduleTakeover();
    void takeOver();
    void noteNewOwner(const OwnerRow &owner);
    void writeTakeover(const OwnerRow &previous, Revision revision);
    void becomeOwner(const OwnerRow &previous, Revision revision);
    void renew();
    void sendPending();
    void onWriteResult(const std::shared_ptr<Pending> &pending,
                       const absl::StatusOr<TransactionResult> &result);
    static void withdrawRows(Pending &pending);
    void onCommitted(const std::shared_ptr<Pending> &pending, Revision revision);
    void writeResignation(Millicores cores, std::function<void()> done);
    void loseOwnership(const char *reason);
    void after(Timer &timer, Duration pause, std::function<void()> action);

    TableStore &m_store;
    const OwnershipOptions m_options;
    const OwnershipEvents m_events;
    Timer m_followTimer;
    Timer m_takeoverTimer;
    Timer m_renewTimer;
    Timer m_sendTimer;
    std::mt19937_64 m_random;
    OwnerRow m_owner = {};         // as last seen
    Revision m_revision = {};      // of the owner's row, while this member owns
    Revision m_leaseRevision = {}; // revision of the followed row
    TimePoint m_leaseChangedAt;    // when the followed row was last seen to change
    Epoch m_endedEpoch = {};       // whose process is known to have ended
    TimePoint m_lastResponse;
    TimePoint m_lastCommit = {};    // send time of the last write that took effect
    TimePoint m_lastWitnessed = {}; // last proof by the workers
    TimePoint m_lastActive = {};    // last call of mayAct()
    TimePoint m_confirmAfter = {};  // end of the last pause; a later write allows orders again
    TimePoint m_lastRenewal = {};
    TimePoint m_termStart = {};
    bool m_isOwner = false;
    bool m_isSole = false;
    bool m_isTakingOver = false;
    bool m_isResigning = false;
    bool m_isStoreUnreachable = false;
    bool m_isStopped = false;
    uint64_t m_poll = 0; // number of the current one; responses to earlier ones are ignored
    std::shared_ptr<Pending> m_pending;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cwl::cell
