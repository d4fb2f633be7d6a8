// State machine for the lease of one member: renewals, renewals of unknown outcome and extension by
// promises; docs/design.md, section 5.1. It does no I/O. All times are arguments, on the member's
// own clock.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <set>

namespace cwl::ownership {

using MemberSet = std::set<MemberId>;

// One write of the member's row. Every attempt, direct or relayed, has the same change id,
// condition and content, so the store holds one of at most two possible rows.
struct Renewal
{
    ChangeId changeId;
    Revision condition;    // expected revision of the row; 0 for the registration
    MemberSet witnesses;   // named in the row
    TimePoint sentAt = {}; // send time of the first attempt
};

// What is known about one attempt to commit a renewal.
enum class AttemptOutcome {
    NotWritten, // this attempt definitely wrote nothing
    Unknown,    // this attempt may have taken effect, now or later
};

class MemberLease
{
public:
    // Starts a renewal, or the registration if nothing has been committed yet. Call only while
    // pending() is empty. `now` is the send time of the first attempt.
    void beginRenewal(const ChangeId &changeId, MemberSet witnesses, TimePoint now);

    // Records a further attempt. Call before each attempt after the first is sent.
    void addAttempt();

    // The pending renewal was committed at `revision`.
    void committed(Revision revision, TimePoint now);

    // The pending renewal failed with a conflict: the row was deleted. Ends the lease.
    void rejected();

    // An attempt ended, and the pending renewal is neither committed nor rejected by it.
    void attemptEnded(AttemptOutcome outcome);

    // `witness` granted the promise that was requested at `sentAt` for `revision`.
    void promiseGranted(const MemberId &witness, Revision revision, TimePoint sentAt,
                        TimePoint now);

    // Ends the lease permanently, for example on a graceful shutdown.
    void end();

    const std::optional<Renewal> &pending() const { return m_pending; }
    Revision revision() const { return m_revision; } // last known committed revision; 0 if none
    TimePoint validUntil() const { return m_validUntil; }
    bool isValid(TimePoint now) const { return !m_ended && now < m_validUntil; }

    // True if the lease was valid once and no longer is. It never becomes valid again.
    bool hasExpired(TimePoint now) const;

    // The witnesses whose promises could extend the lease: those named in any possible row.
    MemberSet promiseCandidates() const;

private:
    std::optional<TimePoint> majoritySentAt(const MemberSet &witnesses) const;
    void extendByPromises(TimePoint now);
    void extend(TimePoint until);

    std::optional<Renewal> m_pending;
    int m_attemptsInFlight = 0;  // attempts of m_pending without a result yet
    bool m_mayBeWritten = false; // an attempt of m_pending ended with an unknown outcome
    Revision m_revision;         // of the last committed renewal
    MemberSet m_witnesses;       // of the last committed renewal
    TimePoint m_renewedAt = {};  // send time of the last committed renewal
    TimePoint m_validUntil = {}; // zero before the first valid renewal
    bool m_wasValid = false;
    bool m_ended = false;
    std::map<MemberId, TimePoint> m_promises; // latest send time per witness, for m_revision
};

} // namespace cwl::ownership
