// Tests of the retry policy for calls to a group's owner.

#include "base/error.h"
#include "scheduler/ownerretry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::scheduler;

TimePoint at(int64_t ms)
{
    return TimePoint(milliseconds(1'000'000 + ms));
}

absl::Status failed(Failure failure)
{
    return makeError(failure, "failed in a test");
}

class OwnerRetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnerRetryTest);
    CPPUNIT_TEST(missingOwnerIsRetriedUntilTheDeadline);
    CPPUNIT_TEST(ownerErrorIsNotRetried);
    CPPUNIT_TEST(lostResponseIsNotReportedAsNoOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an operator's call that fails during a failover.
    void missingOwnerIsRetriedUntilTheDeadline()
    {
        OwnerRetry retry(at(1000));
        for (const Failure failure :
             {Failure::ConnectionRefused, Failure::NoOwner, Failure::NotOwner, Failure::NotReady}) {
            CPPUNIT_ASSERT(OwnerRetry::isRetryable(failed(failure)));
            CPPUNIT_ASSERT(retry.nextAttempt(failed(failure), at(0)) == at(0) + ownerRetryDelay);
        }
        CPPUNIT_ASSERT(!retry.nextAttempt(failed(Failure::NoOwner), at(1000) - ownerRetryDelay));
        const absl::Status last = retry.finalError(GroupId("worker/a"));
        CPPUNIT_ASSERT(failureOf(last) == Failure::NoOwner);
        CPPUNIT_ASSERT(detailOf(last).retryAfterMs.has_value());
    }

    // Guards against an owner's error that is retried instead of being returned.
    void ownerErrorIsNotRetried()
    {
        for (const Failure failure :
             {Failure::JobConflict, Failure::UnknownJob, Failure::QueueFull, Failure::InvalidValue})
            CPPUNIT_ASSERT(!OwnerRetry::isRetryable(failed(failure)));
    }

    // Guards against the error NoOwner for a call that the owner may have executed.
    void lostResponseIsNotReportedAsNoOwner()
    {
        OwnerRetry retry(at(1000));
        CPPUNIT_ASSERT(OwnerRetry::isRetryable(failed(Failure::ConnectionLost)));
        CPPUNIT_ASSERT(retry.nextAttempt(failed(Failure::ConnectionLost), at(0)).has_value());
        CPPUNIT_ASSERT(!retry.nextAttempt(failed(Failure::NoOwner), at(1000)));
        const absl::Status last = retry.finalError(GroupId("worker/a"));
        CPPUNIT_ASSERT(failureOf(last) == Failure::ConnectionLost);
        CPPUNIT_ASSERT(detailOf(last).retryAfterMs.has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerRetryTest);

} // namespace
