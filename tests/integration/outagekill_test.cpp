// The owner of endpoint groups dies while the platform's store is down.

#include "integration/asserts.h"
#include "testseed.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::integration;

class OutageKillTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutageKillTest);
    CPPUNIT_TEST(entryKilledInAnOutageCausesNoSecondRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run, or a false "not-run", when an owner dies while the store is down
    // and its groups have no owner until the store returns.
    void entryKilledInAnOutageCausesNoSecondRun()
    {
        Cell cell({.serviceMs = 100});
        Callers callers(cell.entryAddresses(), {.threads = 12, .seed = tests::testSeed()});
        assertServes(cell, callers, 50);
        harness::Member &owner = cell.ownerOf("endpoint/draw/0");
        cell.platform("outage", true);
        cell.kill(owner);
        assertTries(cell, callers, 12);
        cell.start(owner);
        assertTries(cell, callers, 12);
        cell.platform("outage", false);
        assertReady(cell, owner);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwned("endpoint/", 4));
        assertServes(cell, callers, 100);
        assertKept(cell, callers);
    }

private:
    static void assertTries(const Cell &cell, const Callers &callers, size_t more)
    {
        const size_t target = callers.records().size() + more;
        const bool areTried = harness::waitUntil(
                harness::patience(), [&] { return callers.records().size() >= target; });
        CPPUNIT_ASSERT_MESSAGE(callers.summary() + cell.logs(), areTried);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageKillTest);

} // namespace
