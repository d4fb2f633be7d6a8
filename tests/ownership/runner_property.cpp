// Property: over random faults, no two processes own one group at the same instant, and once the
// faults have ended every group has an owner again.

#include "ownership/constants.h"
#include "ownership/simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace cwl;
using namespace cwl::ownership;

// Starts or ends faults at random. Each fault lasts some seconds.
void changeFaults(Simulation &simulation)
{
    const auto oneIn = [&simulation](uint64_t every) { return simulation.random() % every == 0; };
    if (oneIn(300))
        simulation.isOutage = !simulation.isOutage;
    for (size_t i = 0; i < simulation.processCount(); ++i) {
        SimulatedProcess &process = simulation.process(i);
        if (oneIn(300))
            process.isPaused = !process.isPaused;
        if (oneIn(300))
            process.isStoreUnreachable = !process.isStoreUnreachable;
        if (oneIn(600))
            process.runner ? simulation.stop(i) : simulation.start(i);
        if (oneIn(600) && process.runner)
            process.runner->setReady(simulation.chance(50));
        const size_t other = simulation.random() % simulation.processCount();
        if (oneIn(200) && process.unreachable.erase(other) == 0)
            process.unreachable.insert(other);
    }
}

void endFaults(Simulation &simulation)
{
    simulation.isOutage = false;
    simulation.lostResponses = 0;
    simulation.lostCalls = 0;
    simulation.hasSlowMessages = false;
    for (size_t i = 0; i < simulation.processCount(); ++i) {
        SimulatedProcess &process = simulation.process(i);
        process.isPaused = false;
        process.isStoreUnreachable = false;
        process.unreachable.clear();
        if (!process.runner)
            simulation.start(i);
        process.runner->setReady(true);
    }
}

class RunnerProperty : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunnerProperty);
    CPPUNIT_TEST(neverTwoValidOwners);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two owners of one group, and against groups that stay without one.
    void neverTwoValidOwners()
    {
        const bool holds = rc::check("never two valid owners of one group", [] {
            const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
            const size_t processes = *rc::gen::inRange<size_t>(2, 6);
            Simulation simulation(seed, processes, 3);
            simulation.lostResponses = *rc::gen::inRange(0, 20);
            simulation.lostCalls = *rc::gen::inRange(0, 20);
            simulation.hasSlowMessages = *rc::gen::arbitrary<bool>();
            for (size_t i = 0; i < processes; ++i)
                simulation.start(i);
            bool hadTwoOwners = false;
            simulation.runFor(seconds(120), [&] {
                changeFaults(simulation);
                hadTwoOwners |= simulation.hasTwoOwners();
            });
            RC_ASSERT(!hadTwoOwners);
            endFaults(simulation);
            simulation.runFor(seconds(40), [&] { hadTwoOwners |= simulation.hasTwoOwners(); });
            // A takeover from a member most of whose witnesses were restarted waits for
            // maxStoreAbsence. Only a quarter of the schedules simulate this, because it is slow.
            simulation.step = milliseconds(500);
            const bool isWaitSimulated = seed % 4 == 0;
            if (!simulation.hasSettled() && isWaitSimulated)
                simulation.runFor(maxStoreAbsence + seconds(20),
                                  [&] { hadTwoOwners |= simulation.hasTwoOwners(); });
            RC_ASSERT(!hadTwoOwners);
            RC_ASSERT(simulation.hasSettled() || !isWaitSimulated);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerProperty);

} // namespace
