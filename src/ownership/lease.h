// The lease of one member: renewals, renewals of unknown outcome and extension by promises;
// docs/design.md, section 5.1. Pure: the time is an argument, on the member's own clock.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <set>

namespace cwl::ownership {

using MemberSet = std::set<MemberId>;

// One write of the member's row. Every attempt, direct or relayed, carries the same change id,
// condition and content, so that there are never more than two possible rows.
struct Renewal
{
    ChangeId changeId;
    Revision condition;    // the row must have it; 0 for the registration
    MemberSet witnesses;   // named in the row
    TimePoint sentAt = {}; // of the first attempt
};

// What is known about one attempt to commit a renewal.
enum class AttemptOutcome {
    NotWritten, // this attempt certainly wrote nothing
    Unknown,    // this attempt may have taken effect, now or later
};

class MemberLease
{
public:
    // Starts a renewal, or the registration when nothing was committed yet. Call only while
    // pending() is empty. The first attempt counts as sent at `now`.
    void beginRenewal(const ChangeId &changeId, MemberSet witnesses, TimePoint now);

    // Call for each attempt after the first, before it is sent.
    void addAttempt();

    // The pending renewal was committed at `revision`.
    void committed(Revision revision, TimePoint now);

    // The pending renewal met another revision: the row was deleted, the lease is over.
    void refused();

    // An attempt of the pending renewal ended without a definite answer to the renewal.
    void attemptEnded(AttemptOutcome outcome);

    // A witness granted the promise that was requested at `sentAt` for `revision`.
    void promised(const MemberId &witness, Revision revision, TimePoint sentAt, TimePoint now);

    // Ends the lease for good, for example on a graceful shutdown.
    void end();

    const std::optional<Renewal> &pending() const { return m_pending; }
    Revision revision() const { return m_revision; } // last one known to be committed; 0 for none
    TimePoint validUntil() const { return m_validUntil; }
    bool isValid(TimePoint now) const { return !m_ended && now < m_validUntil; }

    // True once the lease was valid and is not any more; it never becomes valid again.
    bool hasLapsed(TimePoint now) const;

    // Witnesses whose promises could extend the lease: those of every possible row.
    MemberSet promiseCandidates() const;

private:
    std::optional<TimePoint> majoritySentAt(const MemberSet &witnesses) const;
    void extendByPromises(TimePoint now);
    void extend(TimePoint until);

    std::optional<Renewal> m_pending;
    int m_openAttempts = 0;      // attempts of m_pending without an answer yet
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
