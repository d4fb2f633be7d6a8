// The bounds of the connections that a member opens and accepts.

#include "cell/connectionbudget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl::cell;

class ConnectionBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
    CPPUNIT_TEST(sharesLeaveRoomForMembers);
    CPPUNIT_TEST(unknownLimitBoundsNothing);
    CPPUNIT_TEST(callersMemoryIsAQuarter);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an owner whose polls and orders take all descriptors, so that it can neither
    // accept members nor callers: at 298 instances it held 4,021 connections and served nobody.
    void sharesLeaveRoomForMembers()
    {
        for (const int64_t descriptors : {1024, 4100, 8192}) {
            const ConnectionBudget budget = connectionBudget(descriptors);
            const size_t sockets = size_t(descriptors) - 200;
            CPPUNIT_ASSERT(budget.polls + budget.orders + budget.callers <= sockets * 8 / 10 + 1);
            CPPUNIT_ASSERT(budget.polls > 0 && budget.orders > 0 && budget.callers > 0);
        }
    }

    // Guards against a limit of zero where the settings name none.
    void unknownLimitBoundsNothing() { CPPUNIT_ASSERT_EQUAL(SIZE_MAX, connectionBudget(0).polls); }

    // Guards against callers that take the memory of the smallest machine, or
    // none where it is not known.
    void callersMemoryIsAQuarter()
    {
        constexpr size_t megabyte = 1024UL * 1024;
        CPPUNIT_ASSERT_EQUAL(30 * megabyte, callersMemoryBytes(120));
        CPPUNIT_ASSERT_EQUAL(128 * megabyte, callersMemoryBytes(512));
        CPPUNIT_ASSERT_EQUAL(64 * megabyte, callersMemoryBytes(0));
        CPPUNIT_ASSERT_EQUAL(8 * megabyte, callersMemoryBytes(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

} // namespace
