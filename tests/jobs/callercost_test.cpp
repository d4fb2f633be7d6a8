// Tests of the order in which pending work starts.

#include "jobs/callercost.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace cwl;
using namespace cwl::jobs;

TimePoint at(int64_t ms)
{
    return TimePoint(milliseconds(ms));
}

// The order before customers existed: one number, the smallest first.
int64_t rankWithoutCustomers(const PendingWork &work)
{
    constexpr int64_t outlookUnit = int64_t(1) << 52;
    constexpr int64_t priorityUnit = int64_t(1) << 44;
    constexpr int64_t lateUnit = int64_t(1) << 42;
    const int64_t targetMs =
            std::chrono::duration_cast<milliseconds>(work.targetTime.time_since_epoch()).count();
    if (work.isLongRunning)
        return targetMs - priorityUnit;
    const bool isUrgent = work.priority == mostUrgentPriority;
    const int64_t group = isUrgent && work.outlook == DeadlineOutlook::Late
            ? 0
            : int64_t(work.outlook) * outlookUnit;
    const int64_t lateness = work.outlook == DeadlineOutlook::InTime ? 0 : lateUnit;
    return group + work.priority * priorityUnit + lateness + targetMs;
}

class CallerCostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerCostTest);
    CPPUNIT_TEST(withoutCustomersTheOrderIsUnchanged);
    CPPUNIT_TEST(workBeyondTheRateYields);
    CPPUNIT_TEST(smallerShareComesFirstBeyondTheRate);
    CPPUNIT_TEST(outlookFollowsTheTimeThatIsLeft);
    CPPUNIT_TEST_SUITE_END();

    static PendingWork drawWork()
    {
        PendingWork work;
        work.priority = *rc::gen::inRange<int64_t>(0, 5);
        work.isLongRunning = *rc::gen::inRange(0, 5) == 0;
        work.outlook = DeadlineOutlook(*rc::gen::inRange(0, 3));
        work.targetTime = at(*rc::gen::inRange<int64_t>(0, 1000000));
        return work;
    }

public:
    // Guards against another order in deployments without customers.
    void withoutCustomersTheOrderIsUnchanged()
    {
        CPPUNIT_ASSERT(rc::check("order of work without customers", [] {
            const PendingWork a = drawWork();
            const PendingWork b = drawWork();
            RC_ASSERT((orderKey(a) < orderKey(b))
                      == (rankWithoutCustomers(a) < rankWithoutCustomers(b)));
        }));
    }

    // Guards against a flood of one customer that delays what is due to others.
    void workBeyondTheRateYields()
    {
        PendingWork beyond;
        beyond.isWithinRate = false;
        PendingWork due;
        due.priority = 5;
        due.outlook = DeadlineOutlook::Late;
        CPPUNIT_ASSERT(orderKey(due) < orderKey(beyond));
        beyond.isLongRunning = true;
        CPPUNIT_ASSERT(orderKey(due) < orderKey(beyond));
        CPPUNIT_ASSERT(effectivePriority(5, true) < effectivePriority(0, false));
    }

    void smallerShareComesFirstBeyondTheRate()
    {
        PendingWork large;
        large.isWithinRate = false;
        large.weightedShare = 3;
        large.targetTime = at(0);
        PendingWork small = large;
        small.weightedShare = 0.5;
        small.targetTime = at(5000);
        CPPUNIT_ASSERT(orderKey(small) < orderKey(large));
    }

    void outlookFollowsTheTimeThatIsLeft()
    {
        const auto outlook = [](int64_t now, int64_t least) {
            return deadlineOutlook(at(now), milliseconds(least), at(1000), at(3000));
        };
        CPPUNIT_ASSERT(outlook(0, 1000) == DeadlineOutlook::InTime);
        CPPUNIT_ASSERT(outlook(0, 1001) == DeadlineOutlook::Late);
        CPPUNIT_ASSERT(outlook(3000, 0) == DeadlineOutlook::Late);
        CPPUNIT_ASSERT(outlook(3001, 0) == DeadlineOutlook::NoValue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerCostTest);

} // namespace
