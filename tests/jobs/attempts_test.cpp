// Numbers of the starts of a task.

#include "jobs/attempts.h"
#include "jobs/progress.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace {

using namespace cwl;
using namespace cwl::jobs;

class AttemptsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptsTest);
    CPPUNIT_TEST(numbersRiseAndTellTheFailures);
    CPPUNIT_TEST(numbersOfTheEarlierVersionTellNothing);
    CPPUNIT_TEST(failuresCountOnceInAnyOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a start that a worker rejects because its number is not above the last one.
    void numbersRiseAndTellTheFailures()
    {
        rc::check([] {
            int64_t last = 0;
            int64_t epoch = *rc::gen::inRange<int64_t>(1, 1000);
            for (int number = 0; number < 50; ++number) {
                epoch += *rc::gen::inRange<int64_t>(0, 3);
                const auto failures = *rc::gen::inRange<uint32_t>(0, maxCountedFailures + 1);
                const int64_t attempt = nextAttempt(last, Epoch(epoch), failures);
                RC_ASSERT(attempt > last);
                RC_ASSERT(failuresBefore(attempt) == failures);
                last = *rc::gen::inRange(0, 5) == 0 ? 0 : attempt; // the next owner may not know it
                if (last == 0)
                    ++epoch;
            }
        });
    }

    // Guards against counts read from numbers that an owner of the earlier version chose: it
    // counted up by one from the last number or from (epoch - 1) * 1000.
    void numbersOfTheEarlierVersionTellNothing()
    {
        for (const int64_t attempt : {0, 1, 1001, 16, 3000016, 900000 * 1000})
            CPPUNIT_ASSERT(!failuresBefore(attempt));
        const int64_t last = nextAttempt(0, Epoch(3), 1);
        for (int64_t more = 1; more <= 15; ++more)
            CPPUNIT_ASSERT(!failuresBefore(last + more));
    }

    // Guards against a failed run that counts twice or not at all: an owner may read the ends of a
    // task in any order, and its successor reads those again that are not acknowledged. Neither may
    // know the numbers of the earlier runs.
    void failuresCountOnceInAnyOrder()
    {
        rc::check([] {
            std::vector<int64_t> failed;
            for (uint32_t number = 0; number < *rc::gen::inRange<uint32_t>(1, 8); ++number)
                failed.push_back(nextAttempt(failed.empty() ? 0 : failed.back(), Epoch(1), number));
            std::vector<int64_t> read = failed;
            read.insert(read.end(), failed.begin(), failed.end());
            std::shuffle(read.begin(), read.end(), std::mt19937(*rc::gen::arbitrary<uint32_t>()));
            TaskProgress progress;
            for (const int64_t attempt : read) {
                progress.addFailure(attempt);
                if (*rc::gen::arbitrary<bool>())
                    progress.failedAttempts.clear(); // as in a shortened row
            }
            RC_ASSERT(progress.failures == failed.size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptsTest);

} // namespace
