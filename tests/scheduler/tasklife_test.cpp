// Tests of when a task has certainly ended, and of the wait of a new owner.

#include "scheduler/reconciliation.h"
#include "scheduler/tasklife.h"
#include "scheduler/workerclock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace cwl;
using namespace cwl::scheduler;

TimePoint at(int64_t ms)
{
    return TimePoint(milliseconds(1'000'000 + ms));
}

class TaskLifecycleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TaskLifecycleTest);
    CPPUNIT_TEST(unansweredStartEndsWithItsLease);
    CPPUNIT_TEST(reportFromBeforeTheStartDoesNotEndTheTask);
    CPPUNIT_TEST(taskOnUnreachableWorkerEndsWithItsLease);
    CPPUNIT_TEST(endedTaskStaysEnded);
    CPPUNIT_TEST(newOwnerWaitsForAllReportsOrLeaseExpiry);
    CPPUNIT_TEST(renewalInFlightExpiresWithinTheWait);
    CPPUNIT_TEST(firstOwnerDoesNotWait);
    CPPUNIT_TEST(workerDeadlineIsNeverLate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second start of a task whose first start is still in flight.
    void unansweredStartEndsWithItsLease()
    {
        TaskLifecycle life = TaskLifecycle::sent(at(0), at(3000));
        life.startUnanswered(at(1000));
        life.reported(false, at(1500), at(1600));
        life.checkLeaseExpiry(at(3000));
        CPPUNIT_ASSERT(!life.isOver());
        life.checkLeaseExpiry(at(3001));
        CPPUNIT_ASSERT(life.isOver());
        CPPUNIT_ASSERT(life.cause() == TaskCause::LeaseExpired);
    }

    // Guards against a long-polled report that was requested before the start took effect.
    void reportFromBeforeTheStartDoesNotEndTheTask()
    {
        TaskLifecycle life = TaskLifecycle::sent(at(100), at(3000));
        life.startAcknowledged(at(200));
        life.renewalSent(at(60000));
        life.reported(false, at(150), at(300));
        CPPUNIT_ASSERT(life.phase() == TaskPhase::Running);
        life.reported(false, at(201), at(400));
        CPPUNIT_ASSERT(life.cause() == TaskCause::MissingInReport);
    }

    // Guards against a task that is started elsewhere while its worker is only unreachable.
    void taskOnUnreachableWorkerEndsWithItsLease()
    {
        TaskLifecycle life = TaskLifecycle::sent(at(0), at(3000));
        life.startAcknowledged(at(100));
        life.renewalSent(at(60000));
        life.renewalSent(at(50000)); // an older renewal does not shorten it
        life.checkLeaseExpiry(at(59999));
        CPPUNIT_ASSERT(!life.isOver());
        life.checkLeaseExpiry(at(60001));
        CPPUNIT_ASSERT(life.isOver());
    }

    // Guards against a late response that revives a task whose capacity is already free.
    void endedTaskStaysEnded()
    {
        TaskLifecycle life = TaskLifecycle::sent(at(0), at(3000));
        life.workerGone(at(10));
        life.startAcknowledged(at(20));
        life.reported(true, at(15), at(30));
        CPPUNIT_ASSERT(life.isOver());
        CPPUNIT_ASSERT(life.cause() == TaskCause::WorkerGone);
    }

    // Guards against a restart of a task that still runs on a worker that has not reported.
    void newOwnerWaitsForAllReportsOrLeaseExpiry()
    {
        Reconciliation waits(false, at(0));
        CPPUNIT_ASSERT(!waits.isComplete(at(1)));
        waits.setWorkers({WorkerId("a"), WorkerId("b")});
        waits.reported(WorkerId("a"), at(1));
        CPPUNIT_ASSERT(!waits.isComplete(at(2)));
        waits.reported(WorkerId("b"), at(-1)); // requested before the takeover
        CPPUNIT_ASSERT(!waits.isComplete(at(2)));
        Reconciliation gone = waits;
        gone.setWorkers({WorkerId("a")});
        CPPUNIT_ASSERT(gone.isComplete(at(3)));
        Reconciliation late = waits;
        CPPUNIT_ASSERT(!late.isComplete(at(60120)));
        CPPUNIT_ASSERT(late.isComplete(at(60121)));
        waits.reported(WorkerId("b"), at(3));
        CPPUNIT_ASSERT(waits.isComplete(at(4)));
    }

    // Guards against a second start of a task whose lease a renewal of the earlier owner extends
    // after the new owner has its report. Time is that of the new owner's clock.
    void renewalInFlightExpiresWithinTheWait()
    {
        const bool holds = rc::check("renewal in transit", [] {
            const double ownerRate = 1 + *rc::gen::inRange(-999, 1000) / 1e6;
            const double workerRate = 1 + *rc::gen::inRange(-999, 1000) / 1e6;
            const int64_t offset = *rc::gen::inRange<int64_t>(0, 1'000'000'000);
            const int64_t takeover = *rc::gen::inRange(10000, 20000);
            const int64_t sent = *rc::gen::inRange<int64_t>(5000, takeover + 1);
            const int64_t report = takeover + *rc::gen::inRange(0, 70000);
            const auto ownerTime = [&](int64_t ms) {
                return at(static_cast<int64_t>(static_cast<double>(ms) * ownerRate));
            };
            WorkerClock clock; // as the earlier owner knows it
            clock.reported(offset, ownerTime(0));
            const int64_t deadline = *clock.toWorkerDeadlineMs(ownerTime(sent) + taskLease);
            const auto leaseEnd =
                    static_cast<int64_t>(static_cast<double>(deadline - offset) / workerRate);

            // Adopted: the new owner treats the task as running as long as it may run on the
            // worker.
            TaskLifecycle kept = TaskLifecycle::adopted(
                    at(report), at(report) + lengthenedByClockError(taskLease));
            kept.checkLeaseExpiry(at(leaseEnd));
            RC_ASSERT(!kept.isOver());
            // Not reported: no task of an earlier epoch is restarted by then.
            Reconciliation wait(false, at(takeover));
            wait.setWorkers({WorkerId("a")});
            RC_ASSERT(!wait.isComplete(at(leaseEnd)));
            RC_ASSERT(wait.deadline() == at(takeover) + lengthenedByClockError(taskLease));
            // A report that no longer lists the task ends it.
            kept.reported(false, at(report + 1), at(report + 2));
            RC_ASSERT(kept.cause() == TaskCause::MissingInReport);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a new cell that waits a minute before its first start.
    void firstOwnerDoesNotWait()
    {
        Reconciliation waits(true, at(0));
        CPPUNIT_ASSERT(waits.isComplete(at(0)));
    }

    // Guards against a lease that ends after the sender's validity on a fast or slow worker clock.
    void workerDeadlineIsNeverLate()
    {
        const bool holds = rc::check("worker clock", [] {
            // The worker's clock runs at a rate within the error and shows any time.
            const int64_t offset = *rc::gen::inRange<int64_t>(-1'000'000, 1'000'000'000);
            const double rate = 1 + *rc::gen::inRange(-1998, 1999) / 1e6;
            const auto workerTime = [&](int64_t localMs) {
                return offset + static_cast<int64_t>(static_cast<double>(localMs) * rate);
            };
            const int64_t written = *rc::gen::inRange(0, 100000);
            const int64_t received = written + *rc::gen::inRange(0, 5000);
            const int64_t end = received + *rc::gen::inRange(0, 60000);
            WorkerClock clock;
            clock.reported(workerTime(written), at(received));
            RC_ASSERT(*clock.toWorkerDeadlineMs(at(end)) <= workerTime(end));
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskLifecycleTest);

} // namespace
