#include "ownership/lease.h"

#include "ownership/constants.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace cwl::ownership {

void MemberLease::beginRenewal(const ChangeId &changeId, MemberSet witnesses, TimePoint now)
{
    m_pending = Renewal{changeId, m_revision, std::move(witnesses), now};
    m_attemptsInFlight = 1;
    m_mayBeWritten = false;
}

void MemberLease::addAttempt()
{
    ++m_attemptsInFlight;
}

void MemberLease::committed(Revision revision, TimePoint now)
{
    if (!m_pending || hasExpired(now))
        return;
    m_revision = revision;
    m_witnesses = std::move(m_pending->witnesses);
    m_renewedAt = m_pending->sentAt;
    m_pending.reset();
    m_promises.clear();
    const TimePoint until = m_renewedAt + shortenedByClockError(memberLease);
    // If the response to the registration arrives too late, the lease becomes valid only with the
    // next renewal.
    if (until > now)
        extend(until);
}

void MemberLease::rejected()
{
    end();
}

void MemberLease::attemptEnded(AttemptOutcome outcome)
{
    if (!m_pending)
        return;
    --m_attemptsInFlight;
    if (outcome == AttemptOutcome::Unknown)
        m_mayBeWritten = true;
    if (m_attemptsInFlight <= 0 && !m_mayBeWritten)
        m_pending.reset();
}

void MemberLease::promiseGranted(const MemberId &witness, Revision revision, TimePoint sentAt,
                                 TimePoint now)
{
    if (revision != m_revision)
        return;
    TimePoint &latest = m_promises[witness];
    latest = std::max(latest, sentAt);
    extendByPromises(now);
}

void MemberLease::end()
{
    m_ended = true;
    m_wasValid = true;
    m_pending.reset();
}

bool MemberLease::hasExpired(TimePoint now) const
{
    return m_wasValid && !isValid(now);
}

MemberSet MemberLease::promiseCandidates() const
{
    MemberSet candidates = m_witnesses;
    if (m_pending)
        candidates.insert(m_pending->witnesses.begin(), m_pending->witnesses.end());
    return candidates;
}

std::optional<TimePoint> MemberLease::majoritySentAt(const MemberSet &witnesses) const
{
    std::vector<TimePoint> times;
    for (const MemberId &witness : witnesses) {
        const auto found = m_promises.find(witness);
        if (found != m_promises.end())
            times.push_back(found->second);
    }
    const size_t needed = witnesses.size() / 2 + 1;
    if (times.size() < needed)
        return std::nullopt;
    // The majority with the latest promises decides; its earliest promise expires first.
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[needed - 1];
}

void MemberLease::extendByPromises(TimePoint now)
{
    if (!isValid(now))
        return;
    std::optional<TimePoint> sentAt = majoritySentAt(m_witnesses);
    if (!sentAt)
        return;
    if (m_pending) {
        const std::optional<TimePoint> other = majoritySentAt(m_pending->witnesses);
        if (!other)
            return;
        sentAt = std::min(*sentAt, *other);
    }
    const TimePoint limit = m_renewedAt + shortenedByClockError(maxStoreAbsence);
    extend(std::min(*sentAt + shortenedByClockError(promiseLease), limit));
}

void MemberLease::extend(TimePoint until)
{
    m_validUntil = std::max(m_validUntil, until);
    m_wasValid = true;
}

} // namespace cwl::ownership
