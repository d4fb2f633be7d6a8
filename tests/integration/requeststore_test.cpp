// Requests while the platform's store is down, slow, loses answers or cannot be reached by one
// entry.

#include "integration/asserts.h"
#include "testseed.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::integration;

// Keeps a failure up for this long while requests go on.
void keepFor(Duration length, const Cell &cell, const Callers &callers)
{
    const TimePoint end = BootClock::now() + length;
    while (BootClock::now() < end)
        assertServes(cell, callers, 20);
}

// Waits until each entry answers new non-idempotent requests of every group. For maxClockSkew after
// a hand-over, the new owner answers "unknown" to them.
void waitUntilSettled(Cell &cell)
{
    constexpr int enoughForAllGroups = 40;
    const bool isSettled = harness::waitUntil(harness::patience(), [&] {
        for (int i = 0; i < enoughForAllGroups; ++i) {
            const std::string id = newRequestId();
            if (send(cell.entry(size_t(i) % 3).httpAddress(), "pair", id, id, {}).outcome
                != "answered")
                return false;
        }
        return true;
    });
    CPPUNIT_ASSERT_MESSAGE(cell.logs(), isSettled);
}

class RequestStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestStoreTest);
    CPPUNIT_TEST(outageOfTheStoreDisturbsNoRequest);
    CPPUNIT_TEST(lostAnswersAndSlowStoreDisturbNoRequest);
    CPPUNIT_TEST(lostAnswersAloneEndNoLease);
    CPPUNIT_TEST(entryCutOffFromTheStoreGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against owners that stop, or lose their groups, because they cannot renew.
    void outageOfTheStoreDisturbsNoRequest()
    {
        Cell cell({.settleAssignment = true});
        waitUntilSettled(cell);
        Callers callers(cell.entryAddresses(), {.seed = tests::testSeed()});
        assertServes(cell, callers, 50);
        cell.platform("outage", true);
        keepFor(seconds(20), cell, callers);
        cell.platform("outage", false);
        assertServes(cell, callers, 100);
        assertUndisturbed(cell, callers);
    }

    // Guards against a renewal whose answer is lost or late being taken for a failed one, or for a
    // successful one that it was not.
    void lostAnswersAndSlowStoreDisturbNoRequest()
    {
        Cell cell({.settleAssignment = true});
        waitUntilSettled(cell);
        Callers callers(cell.entryAddresses(), {.seed = tests::testSeed()});
        cell.platform("loseAnswers", true);
        keepFor(seconds(6), cell, callers);
        cell.platform("delayMs", 800);
        keepFor(seconds(6), cell, callers);
        cell.platform("loseAnswers", false);
        cell.platform("answerDelayMs", 3500); // later than a lease
        keepFor(seconds(6), cell, callers);
        cell.platform("answerDelayMs", 0);
        cell.platform("delayMs", 0);
        assertServes(cell, callers, 100);
        assertUndisturbed(cell, callers);
    }

    // Guards against a member that takes a renewal for failed because its answer was lost, though
    // the store tells its outcome. It has no peers that could help.
    void lostAnswersAloneEndNoLease()
    {
        Cell cell({.instances = 1});
        Callers callers(cell.entryAddresses(), {.seed = tests::testSeed()});
        cell.platform("loseAnswers", true);
        keepFor(seconds(8), cell, callers);
        cell.platform("loseAnswers", false);
        assertServes(cell, callers, 50);
        assertUndisturbed(cell, callers);
    }

    // Guards against an owner that loses its groups though its peers can renew for it, and against
    // harm when the store hangs instead of refusing.
    void entryCutOffFromTheStoreGoesOn()
    {
        Cell cell({.settleAssignment = true});
        waitUntilSettled(cell);
        Callers callers(cell.entryAddresses(), {.seed = tests::testSeed()});
        assertServes(cell, callers, 50);
        cell.link("platform/entry-0", "cut", "both");
        keepFor(seconds(7), cell, callers);
        cell.platform("silent", true);
        keepFor(seconds(7), cell, callers);
        cell.platform("silent", false);
        cell.link("platform/entry-0", "cut", "none");
        assertServes(cell, callers, 100);
        assertUndisturbed(cell, callers);
    }

private:
    // No member fails and no group changes its owner in these tests, so each request is answered
    // at the first attempt.
    static void assertUndisturbed(const Cell &cell, Callers &callers)
    {
        assertKept(cell, callers);
        const std::vector<RequestRecord> records = callers.records();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(callers.summary() + cell.logs(), records.size(),
                                     countOutcome(records, "answered"));
        for (const RequestRecord &record : records)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(callers.summary() + cell.logs(), size_t(1),
                                         record.attempts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestStoreTest);

} // namespace
