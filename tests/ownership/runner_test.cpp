// Tests of the runner against a simulated store and network, one failure at a time.

#include "ownership/constants.h"
#include "ownership/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace cwl;
using namespace cwl::ownership;

constexpr uint64_t seed = 7; // schedules here are fixed; runner_property.cpp draws them

class RunnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunnerTest);
    CPPUNIT_TEST(groupsAreTakenOverAfterAKill);
    CPPUNIT_TEST(lastMemberTakesOverAlone);
    CPPUNIT_TEST(memberCutFromStoreRenewsThroughPeer);
    CPPUNIT_TEST(promisesHoldOffATakeover);
    CPPUNIT_TEST(outageIsBridgedByPromises);
    CPPUNIT_TEST(outageSoonAfterTheStartIsBridged);
    CPPUNIT_TEST(outageEndsWithoutAMajority);
    CPPUNIT_TEST(lapsedWitnessesStillVote);
    CPPUNIT_TEST(pauseLosesGroupsBeforeNewRegistration);
    CPPUNIT_TEST(betterRankedMemberGetsGroupsByHandOver);
    CPPUNIT_TEST(noHandOverDuringAnOutage);
    CPPUNIT_TEST(memberThatIsNotReadyGetsNoGroups);
    CPPUNIT_TEST(shutDownHandsOverAndDeletesTheRow);
    CPPUNIT_TEST(shutDownWaitsForReleases);
    CPPUNIT_TEST(lostAnswersOfClaimsAndReleasesAreTakenIn);
    CPPUNIT_TEST(claimDoesNotTrustTwoReadsAtDifferentInstants);
    CPPUNIT_TEST(startDuringAnOutageLearnsTheOwners);
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
    void groupsAreTakenOverAfterAKill()
    {
        const auto simulation = settled(4, 6);
        const size_t owner = simulation->validOwners(simulation->groups()[0]).at(0);
        simulation->stop(owner);
        simulation->runFor(seconds(9));
        CPPUNIT_ASSERT(simulation->hasSettled());
        CPPUNIT_ASSERT_EQUAL(size_t(3), simulation->memberRows());
    }

    // Guards against a last member that needs votes which nobody can give: its own one suffices.
    void lastMemberTakesOverAlone()
    {
        const auto simulation = settled(2, 4);
        simulation->stop(0);
        simulation->runFor(seconds(9));
        CPPUNIT_ASSERT(simulation->hasSettled());
    }

    // Guards against an owner that is lost because its own path to the store is down.
    void memberCutFromStoreRenewsThroughPeer()
    {
        const auto simulation = settled(3, 6);
        const MemberId before = simulation->process(0).runner->self().id;
        simulation->process(0).isCutFromStore = true;
        simulation->runFor(seconds(120), [&] {
            CPPUNIT_ASSERT(before == simulation->process(0).runner->self().id);
            CPPUNIT_ASSERT(simulation->hasSettled());
        });
        CPPUNIT_ASSERT(simulation->process(0).runner->state()["lease"]["relayed"].asInt() > 60);
    }

    // Guards against a takeover without votes from an owner that lives on promises only.
    void promisesHoldOffATakeover()
    {
        const auto simulation = settled(3, 6);
        const size_t owner = simulation->validOwners(simulation->groups()[0]).at(0);
        const MemberId before = simulation->process(owner).runner->self().id;
        simulation->process(owner).isCutFromStore = true;
        simulation->isRelayOut = true;
        simulation->runFor(seconds(60), [&] { CPPUNIT_ASSERT(simulation->hasSettled()); });
        CPPUNIT_ASSERT(before == simulation->process(owner).runner->self().id);
    }

    // Guards against owners that stop work because the store is down, and against a member that
    // goes on past the time at which others may take over without votes.
    void outageIsBridgedByPromises()
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

    // Guards against members that lapse in an outage because their rows do not name the others yet.
    void outageSoonAfterTheStartIsBridged()
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

    // Guards against groups without an owner for maxStoreAbsence when the witnesses of a dead
    // member lapsed in the same outage: their processes still know what they promised.
    void lapsedWitnessesStillVote()
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

    // Guards against work for a group after a pause in which it was taken over.
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

    // Guards against a group that is given up while nobody can claim it.
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

    // Guards against groups that are given to a process which cannot serve them.
    void memberThatIsNotReadyGetsNoGroups()
    {
        const auto simulation = settled(2, 8);
        simulation->process(0).runner->setReady(false);
        simulation->runFor(seconds(20));
        CPPUNIT_ASSERT(simulation->process(0).held.empty());
        CPPUNIT_ASSERT(simulation->hasSettled());
    }

    // Guards against a planned stop that costs a takeover.
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
        // The process goes on routing for some seconds, so it must know the new owners.
        for (const GroupId &group : simulation->groups())
            CPPUNIT_ASSERT(process.runner->ownerOf(group).has_value());
    }

    // Guards against a shutdown that gives groups away while requests are in flight.
    void shutDownWaitsForReleases()
    {
        const auto simulation = settled(2, 8);
        SimulatedProcess &process = simulation->process(0);
        process.isStuck = true;
        bool isDone = false;
        process.runner->shutDown([&isDone] { isDone = true; });
        simulation->runFor(seconds(30));
        CPPUNIT_ASSERT(!isDone);
        CPPUNIT_ASSERT(simulation->hasSettled());
        CPPUNIT_ASSERT(!process.held.empty());
    }

    // Guards against a group without an owner because the claim's or release's answer was lost.
    void lostAnswersOfClaimsAndReleasesAreTakenIn()
    {
        Simulation simulation(seed, 2, 12);
        simulation.lostAnswers = 40;
        simulation.start(0);
        simulation.runFor(seconds(20));
        simulation.start(1);
        simulation.runFor(seconds(60));
        simulation.lostAnswers = 0;
        simulation.runFor(seconds(15));
        CPPUNIT_ASSERT(simulation.hasSettled());
    }

    // Guards against a claim from an owner that registered between the reads of the two tables.
    void claimDoesNotTrustTwoReadsAtDifferentInstants()
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
    void startDuringAnOutageLearnsTheOwners()
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

    // Guards against a member that spends the cell's budget of the store.
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
