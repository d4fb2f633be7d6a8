// Tests of the retention of finished jobs.

#include "scheduler/finishedjobs.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace cwl;
using namespace cwl::scheduler;

class FinishedJobsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FinishedJobsTest);
    CPPUNIT_TEST(jobIsKeptForAnHour);
    CPPUNIT_TEST(oldestJobsAreDeletedAboveTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job that is deleted early, and against one that is never deleted.
    void jobIsKeptForAnHour()
    {
        FinishedJobs jobs;
        jobs.add(JobId("late"), UnixMilliseconds(2000));
        jobs.add(JobId("early"), UnixMilliseconds(1000));
        CPPUNIT_ASSERT(jobs.takeDue(UnixMilliseconds(1000 + finishedJobMs - 1), 10).empty());
        const auto due = jobs.takeDue(UnixMilliseconds(1000 + finishedJobMs), 10);
        CPPUNIT_ASSERT(due == std::vector<JobId>{JobId("early")});
        CPPUNIT_ASSERT_EQUAL(size_t(1), jobs.size());
    }

    // Guards against memory that grows without limit with many short jobs, and against large
    // batches.
    void oldestJobsAreDeletedAboveTheLimit()
    {
        FinishedJobs jobs;
        for (size_t i = 0; i < maxFinishedJobs + 3; ++i)
            jobs.add(JobId(std::to_string(i)), UnixMilliseconds(static_cast<int64_t>(i)));
        const UnixMilliseconds now(static_cast<int64_t>(maxFinishedJobs));
        const std::vector<JobId> first{JobId("0"), JobId("1")};
        CPPUNIT_ASSERT(jobs.takeDue(now, 2) == first);
        CPPUNIT_ASSERT(jobs.takeDue(now, 2) == std::vector<JobId>{JobId("2")});
        CPPUNIT_ASSERT(jobs.takeDue(now, 2).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FinishedJobsTest);

} // namespace
