// The memory budget of a listener, without a network.

#include "http/memorybudget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace {

using cwl::http::MemoryBudget;
using cwl::http::MemoryCharge;

constexpr size_t block = MemoryCharge::blockBytes;

class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(limitHolds);
    CPPUNIT_TEST(chargesAreGivenBack);
    CPPUNIT_TEST(forcedChargeExceedsTheLimit);
    CPPUNIT_TEST(threadsShareTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a refused charge that stays in the sum, or changes what is
    // held.
    void limitHolds()
    {
        MemoryBudget budget(3 * block);
        MemoryCharge first(budget);
        MemoryCharge second(budget);
        CPPUNIT_ASSERT(first.tryHold(block + 1));
        CPPUNIT_ASSERT_EQUAL(2 * block, budget.used());
        CPPUNIT_ASSERT(!second.tryHold(block + 1));
        CPPUNIT_ASSERT_EQUAL(size_t(0), second.held());
        CPPUNIT_ASSERT_EQUAL(2 * block, budget.used());
        CPPUNIT_ASSERT(second.tryHold(block));
        CPPUNIT_ASSERT(!budget.isExceeded());
    }

    void chargesAreGivenBack()
    {
        MemoryBudget budget(10 * block);
        {
            MemoryCharge charge(budget);
            CPPUNIT_ASSERT(charge.tryHold(5 * block));
            CPPUNIT_ASSERT(charge.tryHold(2 * block));
            CPPUNIT_ASSERT_EQUAL(2 * block, budget.used());
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), budget.used());
    }

    // Guards against memory that exists and is not counted.
    void forcedChargeExceedsTheLimit()
    {
        MemoryBudget budget(block);
        MemoryCharge charge(budget);
        charge.hold(3 * block);
        CPPUNIT_ASSERT(budget.isExceeded());
        CPPUNIT_ASSERT(charge.tryHold(2 * block)); // less than before
        charge.hold(0);
        CPPUNIT_ASSERT_EQUAL(size_t(0), budget.used());
    }

    // Guards against charges of several threads that are lost or exceed the limit
    // together.
    void threadsShareTheLimit()
    {
        MemoryBudget budget(8 * block);
        std::vector<std::thread> threads;
        for (int thread = 0; thread < 4; ++thread)
            threads.emplace_back([&budget] {
                MemoryCharge charge(budget);
                for (size_t round = 0; round < 20000; ++round)
                    charge.tryHold(round % 5 * block);
            });
        for (std::thread &thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(size_t(0), budget.used());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace
