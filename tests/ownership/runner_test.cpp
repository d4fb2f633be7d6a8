// Tests of the runner against a simulated store and network, one failure at a time.

#include "ownership/constants.h"
#include "ownership/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace cwl;
using namespace cwl::ownership;

constexpr uint64_t seed = 7; // fixed schedules; runner_property.cpp uses random ones

class RunnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunnerTest);
    CPPUNIT_TEST(groupsAreTakenOverAfterProcessIsKilled);
    CPPUNIT_TEST(lastMemberTakesOverAlone);
    CPPUNIT_TEST(memberCutFromStoreRenewsThroughPeer);
    CPPUNIT_TEST(promisesPreventTakeover);
    CPPUNIT_TEST(promisesExtendLeaseDuringOutage);
    CPPUNIT_TEST(leaseSurvivesOutageSoonAfterStart);
    CPPUNIT_TEST(outageEndsWithoutAMajority);
    CPPUNIT_TEST(expiredWitnessesStillVote);
    CPPUNIT_TEST(pauseLosesGroupsBeforeNewRegistration);
    CPPUNIT_TEST(betterRankedMemberGetsGroupsByHandOver);
    CPPUNIT_TEST(noHandOverDuringAnOutage);
    CPPUNIT_TEST(memberThatIsNotReadyGetsNoGroups);
    CPPUNIT_TEST(shutDownHandsOverAndDeletesTheRow);
    CPPUNIT_TEST(shutDownWaitsForReleases);
    CPPUNIT_TEST(lostResponsesOfClaimsAndReleasesAreRecovered);
    CPPUNIT_TEST(claimDetectsOwnerRegisteredBetweenReads);
    CPPUNIT_TEST(processStartedDuringOutageLearnsTheOwners);
    CPPUNIT_TEST(storeUseIsBounded);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Simulation> settled(size_t processes, size_t groups)
    {
        auto simulation = std::make_unique<Simulation>(seed, processes, groups);
        for (size_t i = 0; i < processes; ++i)
            simulation->start(i);
        simulation->runFor(seconds(15));
        CPPUNIT_ASSERT(simulation->hasSettled());
        return simulation;
    }

public:
    // Guards against groups that stay without an owner after a process dies.
    void groupsAreTakenOverAfterProcessIsKilled()
    {
        const auto simulation = settled(4, 6);
        const size_t owner = simulation->validOwners(simulation->groups()[0]).at(0);
        simulation->stop(owner);
        simulation->runFor(seconds(9));
        CPPUNIT_ASSERT(simulation->hasSettled());
        CPPUNIT_ASSERT_EQUAL(size_t(3), simulation->memberRows());
    }

    // Guards against a last member that waits for votes of others: its own vote suffices.
    void lastMemberTakesOverAlone()
    {
        const auto simulation = settled(2, 4);
        simulation->stop(0);
        simulation->runFor(seconds(9));
        CPPUNIT_ASSERT(simulation->hasSettled());
    }

    // Guards against an owner that loses its lease because only its own path to the store is down.
    void memberCutFromStoreRenewsThroughPeer()
    {
        const auto simulation = settled(3, 6);
        const MemberId before = simulation->process(0).runner->self().id;
        simulation->process(0).isStoreUnreachable = true;
        simulation->runFor(seconds(120), [&] {
            CPPUNIT_ASSERT(before == simulation->process(0).runner->self().id);
            CPPUNIT_ASSERT(simulation->hasSettled());
        });
        CPPUNIT_ASSERT(simulation->process(0).runner->state()["lease"]["relayed"].asInt() > 60);
    }

    // Guards against a takeover without votes from an owner that is valid only by promises.
    void promisesPreventTakeover()
    {
        const auto simulation = settled(3, 6);
        const size_t owner = simulation->validOwners(simulation->groups()[0]).at(0);
        const MemberId before = simulation->process(owner).runner->self().id;
        simulation->process(owner).isStoreUnreachable = true;
        simulation->isRelayUnavailable = true;
        simulation->runFor(seconds(60), [&] { CPPUNIT_ASSERT(simulation->hasSettled()); });
        CPPUNIT_ASSERT(before == simulation->process(owner).runner->self().id);
    }

    // Guards against owners that stop work because the store is unavailable, and against a member
    // that stays valid past the time when others may take over without votes.
    void promisesExtendLeaseDuringOutage()
    {
        const auto simulation = settled(4, 6);
        const size_t owner = simulation->validOwners(simulation->groups()[0]).at(0);
        simulation->step = milliseconds(250);
        simulation->isOutage = true;
        simulation->runFor(maxStoreAbsence - seconds(10),
                           [&] { CPPUNIT_ASSERT(simulation->hasSettled()); });
        simulation->isOutage = false;
        simulation->runFor(seconds(9), [&] { CPPUNIT_ASSERT(simulation->hasSettled()); });
        simulation->isOutage = true;
        simulation->runFor(maxStoreAbsence + seconds(1));
        CPPUNIT_ASSERT(!simulation->hasSettled());
        CPPUNIT_ASSERT(simulation->process(owner).events.back().starts_with("lost"));
    }

    // Guards against leases that expire in an outage because the rows do not name the others yet.
    void leaseSurvivesOutageSoonAfterStart()
    {
        Simulation simulation(seed, 3, 6);
        for (size_t i = 0; i < 3; ++i)
            simulation.start(i);
        simulation.runFor(milliseconds(1500)); // one read after the registrations
        simulation.isOutage = true;
        std::vector<MemberId> before;
        for (size_t i = 0; i < 3; ++i)
            before.push_back(simulation.process(i).runner->self().id);
        simulation.runFor(seconds(30));
        for (size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(before[i] == simulation.process(i).runner->self().id);
    }

    // Guards against an extension by a minority of the witnesses.
    void outageEndsWithoutAMajority()
    {
        const auto simulation = settled(4, 6);
        simulation->isOutage = true;
        simulation->runFor(seconds(10));
        simulation->stop(0);
        simulation->runFor(seconds(10));
        CPPUNIT_ASSERT(!simulation->process(1).held.empty());
        simulation->stop(2);
        simulation->runFor(seconds(4));
        CPPUNIT_ASSERT(simulation->process(1).held.empty());
        CPPUNIT_ASSERT(simulation->process(3).held.empty());
    }

    // Guards against groups without an owner for maxStoreAbsence when the leases of a dead member's
    // witnesses expired in the same outage: their processes still have their promises.
    void expiredWitnessesStillVote()
    {
        const auto simulation = settled(3, 6);
        const size_t owner = simulation->validOwners(simulation->groups()[0]).at(0);
        simulation->isOutage = true;
        simulation->runFor(seconds(5));
        simulation->stop(owner);
        simulation->runFor(seconds(10));
        for (const size_t other : {(owner + 1) % 3, (owner + 2) % 3})
            CPPUNIT_ASSERT(simulation->process(other).held.empty());
        simulation->isOutage = false;
        simulation->runFor(seconds(20));
        CPPUNIT_ASSERT(simulation->hasSettled());
    }

    // Guards against work for a group after a pause of the process during which it was taken over.
    void pauseLosesGroupsBeforeNewRegistration()
    {
        const auto simulation = settled(3, 6);
        const size_t owner = simulation->validOwners(simulation->groups()[0]).at(0);
        SimulatedProcess &process = simulation->process(owner);
        const MemberId before = process.runner->self().id;
        process.isPaused = true;
        simulation->runFor(seconds(9));
        CPPUNIT_ASSERT(!process.runner->owns(simulation->groups()[0]));
        CPPUNIT_ASSERT(simulation->hasSettled());
        process.isPaused = false;
        simulation->runFor(milliseconds(50));
        CPPUNIT_ASSERT(process.held.empty());
        CPPUNIT_ASSERT_EQUAL("lost as " + before.value(), process.events.back());
        CPPUNIT_ASSERT(before != process.runner->self().id);
        simulation->runFor(seconds(2));
        CPPUNIT_ASSERT(simulation->hasMember(process.runner->self().id));
    }

    // Guards against groups that stay unbalanced, or that move before the ten seconds have passed.
    void betterRankedMemberGetsGroupsByHandOver()
    {
        const auto simulation = std::make_unique<Simulation>(seed, 2, 12);
        simulation->start(0);
        simulation->runFor(seconds(5));
        CPPUNIT_ASSERT(simulation->hasSettled());
        simulation->start(1);
        simulation->runFor(seconds(9));
        CPPUNIT_ASSERT(simulation->process(1).held.empty());
        simulation->runFor(seconds(9));
        CPPUNIT_ASSERT(simulation->hasSettled());
        CPPUNIT_ASSERT(!simulation->process(0).held.empty());
        CPPUNIT_ASSERT(!simulation->process(1).held.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("acquired 2"), simulation->process(1).events.front());
    }

    // Guards against a hand-over of a group while no member can claim it.
    void noHandOverDuringAnOutage()
    {
        const auto simulation = std::make_unique<Simulation>(seed, 2, 12);
        simulation->start(0);
        simulation->runFor(seconds(5));
        simulation->start(1);
        simulation->runFor(seconds(5));
        simulation->isOutage = true;
        simulation->runFor(seconds(60), [&] { CPPUNIT_ASSERT(simulation->hasSettled()); });
        CPPUNIT_ASSERT_EQUAL(size_t(12), simulation->process(0).held.size());
    }

    // Guards against groups that are assigned to a process which is not ready to serve them.
    void memberThatIsNotReadyGetsNoGroups()
    {
        const auto simulation = settled(2, 8);
        simulation->process(0).runner->setReady(false);
        simulation->runFor(seconds(20));
        CPPUNIT_ASSERT(simulation->process(0).held.empty());
        CPPUNIT_ASSERT(simulation->hasSettled());
    }

    // Guards against a planned shutdown that needs a takeover.
    void shutDownHandsOverAndDeletesTheRow()
    {
        const auto simulation = settled(3, 8);
        SimulatedProcess &process = simulation->process(0);
        const MemberId before = process.runner->self().id;
        bool isDone = false;
        process.runner->shutDown([&isDone] { isDone = true; });
        simulation->runFor(seconds(5));
        CPPUNIT_ASSERT(isDone);
        CPPUNIT_ASSERT(!simulation->hasMember(before));
        CPPUNIT_ASSERT(simulation->hasSettled());
        // The process continues to route for some seconds, so it must know the new owners.
        for (const GroupId &group : simulation->groups())
            CPPUNIT_ASSERT(process.runner->ownerOf(group).has_value());
    }

    // Guards against a shutdown that hands groups over while requests are in flight.
    void shutDownWaitsForReleases()
    {
        const auto simulation = settled(2, 8);
        SimulatedProcess &process = simulation->process(0);
        process.neverFinishesRelease = true;
        bool isDone = false;
        process.runner->shutDown([&isDone] { isDone = true; });
        simulation->runFor(seconds(30));
        CPPUNIT_ASSERT(!isDone);
        CPPUNIT_ASSERT(simulation->hasSettled());
        CPPUNIT_ASSERT(!process.held.empty());
    }

    // Guards against a group without an owner because the response to a claim or release
    // was lost.
    void lostResponsesOfClaimsAndReleasesAreRecovered()
    {
        Simulation simulation(seed, 2, 12);
        simulation.lostResponses = 40;
        simulation.start(0);
        simulation.runFor(seconds(20));
        simulation.start(1);
        simulation.runFor(seconds(60));
        simulation.lostResponses = 0;
        simulation.runFor(seconds(15));
        CPPUNIT_ASSERT(simulation.hasSettled());
    }

    // Guards against a claim from an owner that registered between the reads of the two tables.
    void claimDetectsOwnerRegisteredBetweenReads()
    {
        Simulation simulation(seed, 2, 6);
        simulation.start(0);
        bool isNested = false;
        // The second process reads the members when there are none, and the groups once the first
        // owns them all.
        simulation.beforeGroupsRead = [&] {
            if (isNested || !simulation.process(1).runner || simulation.hasSettled())
                return;
            isNested = true;
            simulation.runFor(seconds(2));
        };
        simulation.start(1);
        simulation.runFor(seconds(12), [&] { CPPUNIT_ASSERT(!simulation.hasTwoOwners()); });
        CPPUNIT_ASSERT(isNested);
    }

    // Guards against a new process that cannot route during an outage.
    void processStartedDuringOutageLearnsTheOwners()
    {
        const auto simulation = settled(3, 6);
        simulation->stop(2);
        simulation->runFor(seconds(20));
        simulation->isOutage = true;
        simulation->runFor(seconds(5));
        simulation->start(2);
        simulation->runFor(seconds(5));
        const Runner &runner = *simulation->process(2).runner;
        for (const GroupId &group : simulation->groups())
            CPPUNIT_ASSERT(runner.ownerOf(group).has_value());
        CPPUNIT_ASSERT_EQUAL(size_t(2), runner.liveMembers(Role::Scheduler).size());
        CPPUNIT_ASSERT(runner.validUntil() == TimePoint());
    }

    // Guards against a member that exceeds its share of the cell's rate limit at the store.
    void storeUseIsBounded()
    {
        const auto simulation = std::make_unique<Simulation>(seed, 6, 60);
        const auto use = [&](size_t process, const char *what) {
            return simulation->process(process).runner->state()["storeUse"][what].asInt64();
        };
        // The first one claims all groups, then hands most of them over.
        simulation->start(0);
        simulation->runFor(seconds(8));
        CPPUNIT_ASSERT(simulation->hasSettled());
        for (size_t i = 1; i < 6; ++i)
            simulation->start(i);
        simulation->runFor(seconds(30));
        CPPUNIT_ASSERT(simulation->hasSettled());
        const int64_t reads = use(0, "reads");
        const int64_t writes = use(0, "writes");
        simulation->runFor(seconds(100));
        CPPUNIT_ASSERT(use(0, "reads") - reads <= 2 * 101);
        CPPUNIT_ASSERT(use(0, "writes") - writes <= 101);
        simulation->stop(1);
        simulation->runFor(seconds(10));
        simulation->process(2).runner->shutDown([] {});
        simulation->runFor(seconds(10));
        for (const size_t i : {0, 2, 3, 4, 5}) {
            CPPUNIT_ASSERT(use(i, "maxWritesPerSecond") <= 25);
            CPPUNIT_ASSERT(use(i, "maxReadsPerSecond") <= 4);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerTest);

} // namespace
