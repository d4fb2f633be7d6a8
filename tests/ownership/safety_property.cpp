// Property: over random schedules, no takeover succeeds while the owner is valid. The owner, its
// witnesses and the candidates run the state machines against one row; renewals, responses,
// promises and votes are delayed, lost or repeated, witnesses restart, the owner pauses, and all
// clocks differ in rate.

#include "ownership/constants.h"
#include "ownership/lease.h"
#include "ownership/observation.h"
#include "ownership/witness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::ownership;

const MemberId owner("owner");

struct Peer
{
    MemberId id;
    Witness witness;
    Observation observation;
    bool reachesStore = true;
    bool reachesOwner = true;
};

class Schedule
{
public:
    explicit Schedule(uint64_t seed, size_t peerCount)
        : m_random(seed)
    {
        for (size_t i = 0; i < peerCount; ++i)
            m_peers.push_back(newPeer());
        // Each clock is fast or slow by half of the allowed difference.
        for (size_t i = 0; i <= peerCount; ++i)
            m_rates.push_back(1 + (chance(50) ? 1 : -1) * clockRateError / 2);
    }

    // Runs for `duration` of simulated time. Returns false if the row was deleted while the owner
    // was valid.
    bool run(milliseconds duration)
    {
        for (m_time = {}; m_time < duration; m_time += milliseconds(50)) {
            changeFaults();
            deliver();
            if (!m_isPaused)
                stepOwner();
            for (size_t i = 0; i < m_peers.size(); ++i)
                stepPeer(i);
            m_ownerWasExtended |= m_lease.isValid(ownerClock())
                    && m_time > m_outageSince + seconds(4) && m_isOutage;
            if (m_isDeleted && m_lease.isValid(ownerClock()))
                return false;
        }
        return true;
    }

    bool isDeleted() const { return m_isDeleted; }
    bool ownerWasExtended() const { return m_ownerWasExtended; }

private:
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    milliseconds delay() { return milliseconds(m_random() % (chance(20) ? 6000 : 200)); }
    TimePoint clock(size_t i) const
    {
        const double local = std::chrono::duration<double, std::nano>(m_time).count() * m_rates[i];
        return TimePoint(seconds(1000) + Duration(std::llround(local)));
    }
    TimePoint ownerClock() const { return clock(m_peers.size()); }
    Peer newPeer()
    {
        const MemberId id("p" + std::to_string(++m_ids));
        return Peer{id, Witness(id), Observation()};
    }
    void send(std::function<void()> action)
    {
        if (chance(10))
            return;
        m_messages.emplace(m_time + delay(), std::move(action));
    }
    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_time) {
            const std::function<void()> action = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            action();
        }
    }

    // Each fault starts and ends at random. A long outage of the owner's path to the store is the
    // most frequent.
    void changeFaults()
    {
        if (m_random() % 150 == 0) {
            m_isOutage = !m_isOutage;
            m_outageSince = m_time;
        }
        if (m_random() % 300 == 0)
            m_isPaused = !m_isPaused;
        for (Peer &peer : m_peers) {
            if (m_random() % 200 == 0)
                peer.reachesOwner = !peer.reachesOwner;
            if (m_random() % 200 == 0)
                peer.reachesStore = !peer.reachesStore;
            if (m_random() % 400 == 0)
                peer = newPeer();
        }
    }

    void stepOwner()
    {
        const TimePoint now = ownerClock();
        if (m_lease.hasExpired(now) || m_time < m_nextStep)
            return;
        m_nextStep = m_time + seconds(1);
        renew(now);
        for (const MemberId &witness : m_lease.promiseCandidates())
            requestPromise(witness, now);
    }

    void renew(TimePoint now)
    {
        if (m_lease.pending()) {
            m_lease.addAttempt();
        } else {
            MemberSet witnesses;
            for (const Peer &peer : m_peers) {
                if (chance(80))
                    witnesses.insert(peer.id);
            }
            m_lease.beginRenewal(ChangeId(std::to_string(++m_ids)), witnesses, now);
        }
        const Renewal renewal = *m_lease.pending();
        const bool isUnsent = m_isOutage && chance(50);
        if (isUnsent) {
            m_lease.attemptEnded(AttemptOutcome::NotWritten);
            return;
        }
        m_lease.attemptEnded(AttemptOutcome::Unknown);
        send([this, renewal] { commit(renewal); });
    }

    void commit(const Renewal &renewal)
    {
        if (!m_outcomes.contains(renewal.changeId)) {
            const bool matches = !m_isDeleted && m_row.revision == renewal.condition;
            if (matches)
                m_row = MemberRow{owner, Revision(++m_revision), renewal.witnesses};
            m_outcomes[renewal.changeId] = matches ? m_row.revision : Revision();
        }
        if (m_isOutage)
            return;
        const Revision outcome = m_outcomes[renewal.changeId];
        send([this, renewal, outcome] {
            atOwner([this, renewal, outcome] { handleRenewalResult(renewal, outcome); });
        });
    }

    void handleRenewalResult(const Renewal &renewal, Revision outcome)
    {
        const bool isCurrent = m_lease.pending() && m_lease.pending()->changeId == renewal.changeId;
        if (!isCurrent)
            return;
        if (outcome == Revision())
            m_lease.rejected();
        else
            m_lease.committed(outcome, ownerClock());
    }

    // Delays actions until the owner is no longer paused.
    void atOwner(const std::function<void()> &action)
    {
        if (m_isPaused)
            m_messages.emplace(m_time + milliseconds(50), [this, action] { atOwner(action); });
        else
            action();
    }

    void requestPromise(const MemberId &witness, TimePoint now)
    {
        for (size_t i = 0; i < m_peers.size(); ++i) {
            // A process keeps its address across restarts.
            const Revision revision = m_lease.revision();
            send([this, i, witness, revision, now] {
                Peer &peer = m_peers[i];
                if (!peer.reachesOwner || !peer.witness.promise(witness, owner, revision, clock(i)))
                    return;
                send([this, witness, revision, now] {
                    atOwner([this, witness, revision, now] {
                        m_lease.promiseGranted(witness, revision, now, ownerClock());
                    });
                });
            });
        }
    }

    void stepPeer(size_t i)
    {
        Peer &peer = m_peers[i];
        if (m_random() % 10 != 0 || !peer.reachesStore || m_isDeleted)
            return;
        if (m_row.revision != Revision()) {
            peer.observation.update({m_row}, clock(i));
            peer.witness.prune({{owner, m_row.revision}}, clock(i));
        }
        if (!peer.observation.mayBeginTakeover(owner))
            return;
        const Revision revision = peer.observation.revision(owner);
        if (peer.observation.fence(owner, clock(i))) {
            m_isDeleted = m_row.revision == revision;
            return;
        }
        for (const MemberId &witness : peer.observation.witnesses(owner))
            requestVote(i, witness, revision);
    }

    void requestVote(size_t i, const MemberId &witness, Revision revision)
    {
        const MemberId asking = m_peers[i].id;
        for (size_t j = 0; j < m_peers.size(); ++j) {
            send([this, i, j, asking, witness, revision] {
                if (!m_peers[j].witness.vote(witness, owner, revision, clock(j)))
                    return;
                send([this, i, asking, witness, revision] {
                    if (m_peers[i].id == asking)
                        m_peers[i].observation.voteGranted(witness, owner, revision);
                });
            });
        }
    }

    std::mt19937_64 m_random;
    std::vector<Peer> m_peers;
    std::vector<double> m_rates; // of the peers' clocks, then of the owner's
    std::multimap<Duration, std::function<void()>> m_messages;
    std::map<ChangeId, Revision> m_outcomes;
    MemberLease m_lease;
    MemberRow m_row{owner, Revision(), {}};
    Duration m_time = {};
    Duration m_nextStep = {};
    Duration m_outageSince = {};
    int64_t m_revision = 0;
    int m_ids = 0;
    bool m_isOutage = false;
    bool m_isPaused = false;
    bool m_isDeleted = false;
    bool m_ownerWasExtended = false;
};

class SafetyProperty : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SafetyProperty);
    CPPUNIT_TEST(noTakeoverFromAValidOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two valid owners when messages are lost or late and witnesses restart.
    void noTakeoverFromAValidOwner()
    {
        int takeovers = 0;
        int extensions = 0;
        const bool holds = rc::check("no takeover succeeds while the owner is valid", [&] {
            const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
            const size_t peers = *rc::gen::inRange<size_t>(1, 6);
            for (uint64_t i = 0; i < 20; ++i) {
                Schedule schedule(seed + i, peers);
                RC_ASSERT(schedule.run(seconds(90)));
                takeovers += schedule.isDeleted() ? 1 : 0;
                extensions += schedule.ownerWasExtended() ? 1 : 0;
            }
        });
        CPPUNIT_ASSERT(holds);
        // Ensures that the schedules exercise both takeovers and extensions.
        CPPUNIT_ASSERT(takeovers > 100);
        CPPUNIT_ASSERT(extensions > 20);
        std::cerr << " (" << takeovers << " takeovers, " << extensions << " extensions in 2000)";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SafetyProperty);

} // namespace
