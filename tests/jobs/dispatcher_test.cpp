// Tests of single decisions of the dispatcher.

#include "jobs/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::jobs;

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

JobSpec makeJob(const std::string &id, uint32_t count, int64_t cores)
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.queue = {.name = "queue", .service = "service", .maxAttempts = 3, .maxSlowdown = 2};
    Step step;
    step.count = count;
    step.each = {Millicores(cores), Mebibytes(100), {}};
    step.estimate = milliseconds(500);
    spec.steps = {step};
    return spec;
}

class DispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(failedAttemptsCountInAnyOrder);
    CPPUNIT_TEST(unansweredStartHoldsResourcesUntilStopped);
    CPPUNIT_TEST(completionsAreAcknowledgedOnceStored);
    CPPUNIT_TEST(completedIsReportedOnceStored);
    CPPUNIT_TEST(restoredJobWaitsForUnresponsiveWorkers);
    CPPUNIT_TEST(failedPollsRenewNoLease);
    CPPUNIT_TEST(restartedWorkerGetsNoStartBeforeAStoreWrite);
    CPPUNIT_TEST(newJobWaitsForALaterStoreWrite);
    CPPUNIT_TEST(longRunningTaskMayUseUrgentReserve);
    CPPUNIT_TEST(reservedWorkerAcceptsEquallyUrgentWork);
    CPPUNIT_TEST(lateJobYieldsToJobsInTime);
    CPPUNIT_TEST(drainingWorkerGetsNoStart);
    CPPUNIT_TEST(gangStartsOnlyAsAWhole);
    CPPUNIT_TEST(stepWithAdviceStartsOnlyWithTicket);
    CPPUNIT_TEST(cancelledJobStopsItsRuns);
    CPPUNIT_TEST(replacedWorkerDelaysNoRestoredJob);
    CPPUNIT_TEST(longRunIsNotTakenForAStalledOne);
    CPPUNIT_TEST(stalledRunIsStopped);
    CPPUNIT_TEST(workerOfAnEarlierOwnerGetsNoStart);
    CPPUNIT_TEST(stepStartsAfterItsPredecessors);
    CPPUNIT_TEST(runBeyondTheListedEndsIsNotLost);
    CPPUNIT_TEST(stoppedRunBeyondTheListedEndsIsNotLost);
    CPPUNIT_TEST(restoredJobWaitsForEndsBeyondTheList);
    CPPUNIT_TEST(restartedWorkerGetsNoStartBeforeItsEntryIsRead);
    CPPUNIT_TEST(restartedWorkerGetsNoStartBeforeItsReportIsRead);
    CPPUNIT_TEST(expiredLeaseNeedsALaterStoreWrite);
    CPPUNIT_TEST(replacedWorkersRunNeedsALaterStoreWrite);
    CPPUNIT_TEST(runMissingAfterARestartNeedsALaterStoreWrite);
    CPPUNIT_TEST(leaseEndsOneLeaseAfterTheLastProof);
    CPPUNIT_TEST(firstSeenProcessNeedsALaterStoreWrite);
    CPPUNIT_TEST(workerGetsNoStartBeforeItIsRecorded);
    CPPUNIT_TEST(responsesOfUnprovenProcessesDoNotCount);
    CPPUNIT_TEST(newWorkerDelaysNoRestoredJob);
    CPPUNIT_TEST(emptiedWorkerIsLookedAtNoMore);
    CPPUNIT_TEST(drainingWorkerWithEndsIsStillLookedAt);
    CPPUNIT_TEST(jobWhoseStartsWereRefusedIsPending);
    CPPUNIT_TEST(refusedStartLeavesAStartedJobRunning);
    CPPUNIT_TEST(unansweredStartCountsAsStarted);
    CPPUNIT_TEST(lateUnansweredStartCountsAsStarted);
    CPPUNIT_TEST(reportedRunCountsAsStarted);
    CPPUNIT_TEST(adoptedRunCountsAsStarted);
    CPPUNIT_TEST(endOfAnEarlierOwnersRunCountsAsStarted);
    CPPUNIT_TEST_SUITE_END();

    Dispatcher m_dispatcher{DispatcherSettings{}};
    int64_t m_attempt = 0; // of the run that startOnOneOfTwo() started

    void putWorker(const std::string &id, int64_t cores, bool isDraining = false, int64_t born = 0)
    {
        WorkerEntry entry;
        entry.id = WorkerId(id);
        entry.address = id;
        entry.service = "service";
        entry.capacity = {Millicores(cores), Mebibytes(10000), {}};
        entry.isDraining = isDraining;
        entry.born = born;
        if (!m_dispatcher.findWorker(entry.id))
            m_dispatcher.restoreWorker(entry.id, entry.address, at(0));
        m_dispatcher.putWorker(entry, at(0));
    }

    // A listed worker that no owner has used yet.
    void putUnrecordedWorker(const std::string &id)
    {
        WorkerEntry entry;
        entry.id = WorkerId(id);
        entry.address = id;
        entry.service = "service";
        entry.capacity = {Millicores(1000), Mebibytes(10000), {}};
        m_dispatcher.putWorker(entry, at(0));
    }

    // Starts a task on worker a, which then falls silent; worker b has room for it too.
    void startOnOneOfTwo()
    {
        m_dispatcher.begin(Epoch(2), at(0));
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders orders = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        m_attempt = orders.starts[0].attempt;
        m_dispatcher.onStartAnswered(orders.starts[0], OrderAnswer::Accepted, at(25));
        putWorker("b", 1000);
        report("b", 30);
        m_dispatcher.confirmOwnership(at(40));
    }

    void report(const std::string &id, int64_t ms, const std::vector<RunningTask> &running = {},
                const std::vector<EndedTask> &ended = {}, int64_t born = 1)
    {
        WorkerReport workerReport;
        workerReport.clockMs = ms + 5000;
        workerReport.born = born;
        workerReport.running = running;
        workerReport.ended = ended;
        m_dispatcher.onReport(WorkerId(id), workerReport, at(ms - 2), at(ms));
    }

    // A report whose list of ends has reached its limit.
    void reportCutList(const std::string &id, int64_t ms, const std::vector<EndedTask> &ended)
    {
        WorkerReport workerReport;
        workerReport.clockMs = ms + 5000;
        workerReport.born = 1;
        workerReport.ended = ended;
        workerReport.hasMoreEnds = true;
        m_dispatcher.onReport(WorkerId(id), workerReport, at(ms - 2), at(ms));
    }

    // Starts both tasks of a job and reports the first one as done; the end of the second one is
    // not listed yet.
    Orders startTwoAndListOne()
    {
        putWorker("a", 2000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 2, 1000), at(10));
        const Orders orders = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(2), orders.starts.size());
        for (const StartOrder &order : orders.starts)
            m_dispatcher.onStartAnswered(order, OrderAnswer::Accepted, at(25));
        reportCutList("a", 500, {{1, "j.0.0.0", orders.starts[0].attempt, EndKind::Done, ""}});
        return orders;
    }

    // Jobs of the queue that count as not started.
    int64_t pending() const
    {
        const auto waiting = m_dispatcher.waitingByQueue();
        const auto count = waiting.find("queue");
        return count == waiting.end() ? 0 : count->second;
    }

    void assertQueued() const
    {
        CPPUNIT_ASSERT(m_dispatcher.jobState(JobId("j")) == JobState::Queued);
        CPPUNIT_ASSERT_EQUAL(int64_t(1), pending());
    }

    void assertRunning() const
    {
        CPPUNIT_ASSERT(m_dispatcher.jobState(JobId("j")) == JobState::Running);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), pending());
    }

    Orders decideUnconfirmed(int64_t ms)
    {
        return m_dispatcher.decide(at(ms), UnixMilliseconds(0));
    }

    // Decides right after a store write of the owner took effect.
    Orders decide(int64_t ms)
    {
        m_dispatcher.confirmOwnership(at(ms));
        return decideUnconfirmed(ms);
    }

public:
    void setUp() override { m_dispatcher.begin(Epoch(2), at(8000)); }

    // Guards against the fault of hunt-81be-11: the failure of attempt 1 was not counted when it
    // was read after that of attempt 2, and the task was started once too often.
    void failedAttemptsCountInAnyOrder()
    {
        putWorker("a", 1000);
        putWorker("b", 1000);
        JobSpec job = makeJob("j", 1, 1000);
        job.queue.maxAttempts = 2;
        m_dispatcher.restoreJob(job, std::nullopt, false, at(0), UnixMilliseconds(0));
        report("a", 10, {}, {{1, "j.0.0.0", 2, EndKind::Failed, ""}});
        report("b", 11, {}, {{1, "j.0.0.0", 1, EndKind::Failed, ""}});
        CPPUNIT_ASSERT(decide(12).starts.empty());
        m_dispatcher.committed(m_dispatcher.collect());
        CPPUNIT_ASSERT(m_dispatcher.jobState(JobId("j")) == JobState::Failed);
    }

    // Guards against reassigning resources while a delayed start order may still claim them.
    void unansweredStartHoldsResourcesUntilStopped()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders first = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.starts.size());
        m_dispatcher.onStartAnswered(first.starts[0], OrderAnswer::Unknown, at(720));
        report("a", 730);
        const Orders second = decide(740);
        CPPUNIT_ASSERT(second.starts.empty());
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.stops.size());
        m_dispatcher.onStopAnswered(second.stops[0], OrderAnswer::Accepted, at(745));
        report("a", 746); // polled before the response to the stop order
        CPPUNIT_ASSERT(decide(747).starts.empty());
        report("a", 760);
        const Orders third = decide(770);
        CPPUNIT_ASSERT_EQUAL(size_t(1), third.starts.size());
        CPPUNIT_ASSERT(third.starts[0].attempt > first.starts[0].attempt);
    }

    // Guards against acknowledging a completion, which the worker then discards, before its effect
    // is stored.
    void completionsAreAcknowledgedOnceStored()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders orders = decide(20);
        report("a", 500, {}, {{1, "j.0.0.0", orders.starts[0].attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT_EQUAL(int64_t(0), m_dispatcher.watchOrder(WorkerId("a")).acknowledged);
        m_dispatcher.committed(m_dispatcher.collect());
        CPPUNIT_ASSERT_EQUAL(int64_t(1), m_dispatcher.watchOrder(WorkerId("a")).acknowledged);
    }

    void completedIsReportedOnceStored()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders orders = decide(20);
        report("a", 500, {}, {{1, "j.0.0.0", orders.starts[0].attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT(m_dispatcher.jobState(JobId("j")) == JobState::Running);
        m_dispatcher.committed(m_dispatcher.collect());
        CPPUNIT_ASSERT(m_dispatcher.jobState(JobId("j")) == JobState::Completed);
    }

    // Guards against a second run of a task that an earlier owner started on a worker that is now
    // unreachable.
    void restoredJobWaitsForUnresponsiveWorkers()
    {
        putWorker("a", 1000);
        putWorker("b", 1000);
        m_dispatcher.restoreJob(makeJob("j", 1, 1000), std::nullopt, false, at(0),
                                UnixMilliseconds(0));
        report("a", 10);
        CPPUNIT_ASSERT(decide(20).starts.empty());
        report("a", 7990);
        CPPUNIT_ASSERT(decide(7995).starts.empty());
        report("a", 8010); // leases granted by the earlier owner have expired
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(8020).starts.size());
    }

    // Guards against the fault of ycwat-ledge mix 302418633294: each poll of a crashed worker
    // counted as a renewal of its lease, so that its tasks were never started elsewhere.
    void failedPollsRenewNoLease()
    {
        putWorker("a", 1000);
        putWorker("b", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders first = decide(20);
        m_dispatcher.onStartAnswered(first.starts[0], OrderAnswer::Accepted, at(25));
        for (int64_t ms = 100; ms < 8000; ms += 500) {
            report("b", ms);
            m_dispatcher.watchOrder(WorkerId("a"));
            m_dispatcher.onPollFailed(WorkerId("a"));
        }
        const Orders second = decide(8010);
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), second.starts[0].worker.value());
    }

    // Guards against the mutation RESTARTED_WORKER_IS_TRUSTED of model/cell.pml: an owner that has
    // been superseded without noticing starts a task on a worker that has restarted and so lost the
    // fencing token of the newer owner.
    void restartedWorkerGetsNoStartBeforeAStoreWrite()
    {
        putWorker("a", 1000);
        report("a", 10);
        WorkerReport restarted;
        restarted.born = 2;
        m_dispatcher.onReport(WorkerId("a"), restarted, at(18), at(20));
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(20));
        m_dispatcher.confirmOwnership(at(15));
        CPPUNIT_ASSERT(decideUnconfirmed(30).starts.empty());
        m_dispatcher.confirmOwnership(at(25));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decideUnconfirmed(40).starts.size());
    }

    // Guards against the fault of mdp-caraway-grown trouble-1: an owner whose requests the store
    // rejected, and that had been superseded without noticing, learned of a new job from the member
    // that had stored it, and started the job. The new owner read the job from the store after its
    // takeover and started it too.
    void newJobWaitsForALaterStoreWrite()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.confirmOwnership(at(15));
        JobSpec job = makeJob("j", 1, 1000);
        job.queue.advice = AdvicePolicy{milliseconds(13), milliseconds(1), seconds(2)};
        m_dispatcher.addJob(job, at(20));
        const Orders asked = decideUnconfirmed(30);
        CPPUNIT_ASSERT_EQUAL(size_t(1), asked.queries.size()); // an advice query starts nothing
        m_dispatcher.onAdvice(asked.queries[0], {{WorkerId("a"), "ticket"}}, at(40));
        CPPUNIT_ASSERT(decideUnconfirmed(50).starts.empty());
        CPPUNIT_ASSERT(m_dispatcher.awaitsConfirmation());
        m_dispatcher.confirmOwnership(at(45));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decideUnconfirmed(60).starts.size());
    }

    // Guards against the fault of ycwat-ledge scale-2 659307132717: a long-running task waited as
    // long as its service had no more free capacity than the reserve for urgent queues.
    void longRunningTaskMayUseUrgentReserve()
    {
        putWorker("a", 10000);
        report("a", 10);
        CellConfig config;
        config.version = 1;
        config.queues = {{.name = "urgent", .service = "service", .priority = 0},
                         {.name = "bulk", .service = "service", .priority = 2}};
        m_dispatcher.setConfig(config);
        JobSpec filling = makeJob("filling", 1, 9300);
        filling.queue.name = "urgent";
        m_dispatcher.addJob(filling, at(10));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(20).starts.size());
        JobSpec bulk = makeJob("bulk", 1, 500);
        bulk.queue.name = "bulk";
        m_dispatcher.addJob(bulk, at(20));
        CPPUNIT_ASSERT(decide(30).starts.empty());
        JobSpec longRunning = makeJob("lasting", 1, 500);
        longRunning.queue.name = "bulk";
        longRunning.steps[0].longRunning = true;
        m_dispatcher.addJob(longRunning, at(30));
        const Orders orders = decide(40);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("lasting.0.0.0"), orders.starts[0].task);
    }

    // Guards against restored jobs that wait 16 s for the lease of a worker that has left, although
    // another worker answers at its address.
    void replacedWorkerDelaysNoRestoredJob()
    {
        m_dispatcher.begin(Epoch(2), at(16000));
        putWorker("left", 10000);
        putWorker("stays", 10000);
        report("stays", 10);
        m_dispatcher.restoreJob(makeJob("job", 1, 1000), std::nullopt, false, at(20),
                                UnixMilliseconds(0));
        CPPUNIT_ASSERT(decide(30).starts.empty());
        m_dispatcher.onWorkerReplaced(WorkerId("left"), at(40));
        const Orders orders = decide(50);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("stays"), orders.starts[0].worker.value());
        const std::vector<WorkerId> removable = m_dispatcher.removableWorkers();
        CPPUNIT_ASSERT_EQUAL(size_t(1), removable.size());
        CPPUNIT_ASSERT_EQUAL(std::string("left"), removable[0].value());
    }

    // Guards against tasks of many minutes that are stopped over and over, since a percent of them
    // takes longer than the time after which a short task counts as stalled.
    void longRunIsNotTakenForAStalledOne()
    {
        putWorker("a", 10000);
        report("a", 10);
        JobSpec job = makeJob("long", 1, 1000);
        job.steps[0].estimate = std::chrono::minutes(10);
        m_dispatcher.addJob(job, at(20));
        const Orders orders = decide(30);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        m_dispatcher.onStartAnswered(orders.starts[0], OrderAnswer::Accepted, at(35));
        report("a", 1000, {{orders.starts[0].task, orders.starts[0].attempt, "", 0, 1000}});
        report("a", 7000, {{orders.starts[0].task, orders.starts[0].attempt, "", 1, 1000}});
        report("a", 12000, {{orders.starts[0].task, orders.starts[0].attempt, "", 1, 1000}});
        CPPUNIT_ASSERT(decide(12010).stops.empty());
    }

    // Guards against a task that stands still and holds its worker until the job's deadline.
    void stalledRunIsStopped()
    {
        putWorker("a", 10000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("short", 1, 1000), at(20));
        const Orders orders = decide(30);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        m_dispatcher.onStartAnswered(orders.starts[0], OrderAnswer::Accepted, at(35));
        report("a", 1000, {{orders.starts[0].task, orders.starts[0].attempt, "", 20, 1000}});
        report("a", 3000, {{orders.starts[0].task, orders.starts[0].attempt, "", 20, 1000}});
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(3010).stops.size());
    }

    // Guards against a worker that has left and gets tasks again after a change of the owner,
    // because its row is read back to look for runs that it may still have.
    void workerOfAnEarlierOwnerGetsNoStart()
    {
        putWorker("left", 10000);
        m_dispatcher.unlistWorker(WorkerId("left"), at(5));
        report("left", 10);
        m_dispatcher.addJob(makeJob("job", 1, 1000), at(20));
        CPPUNIT_ASSERT(decide(30).starts.empty());
        putWorker("left", 10000); // listed again
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(40).starts.size());
    }

    // Guards against urgent work that waits despite free capacity because a larger task of its own
    // queue waits for the same worker. Less urgent work does wait.
    void reservedWorkerAcceptsEquallyUrgentWork()
    {
        putWorker("a", 10000);
        report("a", 10);
        JobSpec running = makeJob("running", 1, 6000);
        m_dispatcher.addJob(running, at(10));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(20).starts.size());
        m_dispatcher.addJob(makeJob("large", 1, 8000), at(30)); // waits for most of the capacity
        JobSpec less = makeJob("less", 1, 1000);
        less.queue.priority = 2;
        m_dispatcher.addJob(less, at(30));
        CPPUNIT_ASSERT(decide(40).starts.empty());
        m_dispatcher.addJob(makeJob("small", 1, 1000), at(41));
        const Orders orders = decide(50);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("small.0.0.0"), orders.starts[0].task);
    }

    // Guards against a backlog in which every job is late: the job with the nearest target
    // completion time went first, even if it could no longer meet that target.
    void lateJobYieldsToJobsInTime()
    {
        putWorker("a", 1000);
        m_dispatcher.addJob(makeJob("late", 1, 1000), at(10)); // 500 ms of work, due 1 s later
        m_dispatcher.addJob(makeJob("soon", 1, 1000), at(600));
        report("a", 800);
        const Orders orders = decide(810);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("soon.0.0.0"), orders.starts[0].task);
    }

    void drainingWorkerGetsNoStart()
    {
        putWorker("a", 1000, true);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        CPPUNIT_ASSERT(decide(20).starts.empty());
    }

    // Guards against gang members that start alone and wait for members that lack resources.
    void gangStartsOnlyAsAWhole()
    {
        putWorker("a", 1000);
        report("a", 10);
        JobSpec job = makeJob("j", 2, 1000);
        job.steps[0].gang = true;
        m_dispatcher.addJob(job, at(10));
        CPPUNIT_ASSERT(decide(20).starts.empty());
        putWorker("b", 1000);
        report("b", 30);
        const Orders orders = decide(40);
        CPPUNIT_ASSERT_EQUAL(size_t(2), orders.starts.size());
        CPPUNIT_ASSERT_EQUAL(orders.starts[0].attempt, orders.starts[1].attempt);
    }

    void stepWithAdviceStartsOnlyWithTicket()
    {
        putWorker("a", 1000);
        report("a", 10);
        JobSpec job = makeJob("j", 1, 1000);
        job.queue.advice = AdvicePolicy{milliseconds(13), milliseconds(1), seconds(2)};
        m_dispatcher.addJob(job, at(10));
        const Orders asked = decide(20);
        CPPUNIT_ASSERT(asked.starts.empty());
        CPPUNIT_ASSERT_EQUAL(size_t(1), asked.queries.size());
        m_dispatcher.onAdvice(asked.queries[0], {{WorkerId("a"), "ticket"}}, at(40));
        const Orders started = decide(50);
        CPPUNIT_ASSERT_EQUAL(size_t(1), started.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"), started.starts[0].ticket);
    }

    void cancelledJobStopsItsRuns()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders started = decide(20);
        m_dispatcher.onStartAnswered(started.starts[0], OrderAnswer::Accepted, at(25));
        m_dispatcher.cancelJob(JobId("j"), at(30));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(40).stops.size());
    }

    void stepStartsAfterItsPredecessors()
    {
        putWorker("a", 4000);
        report("a", 10);
        JobSpec job = makeJob("j", 2, 1000);
        job.steps.push_back(job.steps[0]);
        job.steps[1].after = {0};
        m_dispatcher.addJob(job, at(10));
        const Orders first = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(2), first.starts.size());
        report("a", 500, {}, {{1, "j.0.0.0", first.starts[0].attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT(decide(510).starts.empty());
        report("a", 600, {},
               {{1, "j.0.0.0", first.starts[0].attempt, EndKind::Done, ""},
                {2, "j.0.0.1", first.starts[1].attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT_EQUAL(size_t(2), decide(610).starts.size());
    }

    // Guards against the fault of review/1: a worker lists a limited number of ends at a time, and
    // a run whose end came after them counted as lost.
    void runBeyondTheListedEndsIsNotLost()
    {
        const Orders orders = startTwoAndListOne();
        CPPUNIT_ASSERT(decide(510).starts.empty());
        // Nor does it count as stalled, however long the list stays as it is.
        reportCutList("a", 4000, {{1, "j.0.0.0", orders.starts[0].attempt, EndKind::Done, ""}});
        const Orders later = decide(4010);
        CPPUNIT_ASSERT(later.starts.empty());
        CPPUNIT_ASSERT(later.stops.empty());
        report("a", 4100, {}, {{2, "j.0.0.1", orders.starts[1].attempt, EndKind::Done, ""}});
        m_dispatcher.committed(m_dispatcher.collect());
        CPPUNIT_ASSERT(m_dispatcher.jobState(JobId("j")) == JobState::Completed);
    }

    // The same for a run that had ended when its stop arrived.
    void stoppedRunBeyondTheListedEndsIsNotLost()
    {
        const Orders orders = startTwoAndListOne();
        m_dispatcher.onStartAnswered(orders.starts[1], OrderAnswer::Unknown, at(505));
        const Orders stops = decide(510);
        CPPUNIT_ASSERT_EQUAL(size_t(1), stops.stops.size());
        m_dispatcher.onStopAnswered(stops.stops[0], OrderAnswer::Accepted, at(515));
        reportCutList("a", 600, {{1, "j.0.0.0", orders.starts[0].attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT(decide(610).starts.empty());
    }

    // The same after a hand-over: the new owner does not know of a run whose end it has not read.
    void restoredJobWaitsForEndsBeyondTheList()
    {
        putWorker("a", 2000);
        m_dispatcher.restoreJob(makeJob("j", 2, 1000), std::nullopt, false, at(0),
                                UnixMilliseconds(0));
        reportCutList("a", 10, {{1, "j.0.0.0", 1, EndKind::Done, ""}});
        CPPUNIT_ASSERT(decide(20).starts.empty());
        report("a", 30, {}, {{2, "j.0.0.1", 1, EndKind::Done, ""}});
        CPPUNIT_ASSERT(decide(40).starts.empty());
        m_dispatcher.committed(m_dispatcher.collect());
        CPPUNIT_ASSERT(m_dispatcher.jobState(JobId("j")) == JobState::Completed);
    }

    // Guards against starts that follow the room and the labels of an earlier process: a worker may
    // come back as a smaller one.
    void restartedWorkerGetsNoStartBeforeItsEntryIsRead()
    {
        putWorker("a", 2000, false, 1);
        report("a", 10);
        report("a", 20, {}, {}, 2);
        m_dispatcher.addJob(makeJob("j", 1, 2000), at(30));
        CPPUNIT_ASSERT(decide(40).starts.empty());
        putWorker("a", 1000, false, 2);
        CPPUNIT_ASSERT(decide(50).starts.empty()); // has no room for the task
        putWorker("a", 2000, false, 2);
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(60).starts.size());
    }

    // The same where the new entry is read first: the clock and the runs are those of a process
    // that has ended.
    void restartedWorkerGetsNoStartBeforeItsReportIsRead()
    {
        putWorker("a", 2000, false, 1);
        report("a", 10);
        putWorker("a", 2000, false, 2);
        m_dispatcher.addJob(makeJob("j", 1, 2000), at(30));
        CPPUNIT_ASSERT(decide(40).starts.empty());
        report("a", 50, {}, {}, 2);
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(60).starts.size());
    }

    // Guards against two runs of one task: an owner without the store took a lease for expired that
    // its successor had renewed, and started the task on a worker that the successor had not
    // reached.
    void expiredLeaseNeedsALaterStoreWrite()
    {
        startOnOneOfTwo();
        report("b", 5990);
        CPPUNIT_ASSERT(decideUnconfirmed(6000).starts.empty());
        m_dispatcher.confirmOwnership(at(4000)); // sent before the end of the lease
        CPPUNIT_ASSERT(decideUnconfirmed(6010).starts.empty());
        m_dispatcher.confirmOwnership(at(6005));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decideUnconfirmed(6020).starts.size());
    }

    // The same where another worker responds at the address: a newer owner may have started the
    // task again since.
    void replacedWorkersRunNeedsALaterStoreWrite()
    {
        startOnOneOfTwo();
        m_dispatcher.onWorkerReplaced(WorkerId("a"), at(100));
        CPPUNIT_ASSERT(decideUnconfirmed(110).starts.empty());
        m_dispatcher.confirmOwnership(at(120));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decideUnconfirmed(130).starts.size());
    }

    // The same where the worker has restarted: it has lost the fencing token of a newer owner,
    // which may have started the task again since.
    void runMissingAfterARestartNeedsALaterStoreWrite()
    {
        startOnOneOfTwo();
        report("a", 100, {}, {}, 2);
        report("a", 120, {}, {}, 2);
        CPPUNIT_ASSERT(decideUnconfirmed(130).starts.empty());
        m_dispatcher.confirmOwnership(at(140));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decideUnconfirmed(150).starts.size());
    }

    // Guards against the mutation LEASE_OUTLASTS_PROOF of model/cell.pml: a successor counts the
    // leases of an earlier owner from its last proof of ownership.
    void leaseEndsOneLeaseAfterTheLastProof()
    {
        putWorker("a", 1000);
        m_dispatcher.confirmOwnership(at(20));
        report("a", 3000);
        const int64_t clockAhead = 5000;
        CPPUNIT_ASSERT_EQUAL(int64_t(20 + 4500) + clockAhead,
                             *m_dispatcher.watchOrder(WorkerId("a")).leaseUntilMs);
        m_dispatcher.proveOwnership(at(2000)); // by the workers
        CPPUNIT_ASSERT_EQUAL(int64_t(2000 + 4500) + clockAhead,
                             *m_dispatcher.watchOrder(WorkerId("a")).leaseUntilMs);
    }

    // Guards against the mutation RESTARTED_WORKER_IS_TRUSTED of model/cell.pml for a worker that
    // the owner sees for the first time: it may have restarted since a newer owner fenced it.
    void firstSeenProcessNeedsALaterStoreWrite()
    {
        putWorker("a", 1000);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(0));
        m_dispatcher.confirmOwnership(at(5));
        report("a", 10);
        CPPUNIT_ASSERT(decideUnconfirmed(20).starts.empty());
        CPPUNIT_ASSERT(m_dispatcher.awaitsConfirmation());
        m_dispatcher.confirmOwnership(at(25));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decideUnconfirmed(30).starts.size());
    }

    // Guards against runs that a later owner does not look for: one on a worker that was listed
    // only for a moment, and that the store did not name as used yet.
    void workerGetsNoStartBeforeItIsRecorded()
    {
        putUnrecordedWorker("a");
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        CPPUNIT_ASSERT(decide(20).starts.empty());
        m_dispatcher.noteRecorded(WorkerId("a"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(30).starts.size());
    }

    // Guards against an owner that takes the response of a restarted worker, which may have been
    // fenced before, for a proof that there is no newer owner.
    void responsesOfUnprovenProcessesDoNotCount()
    {
        for (const char *id : {"a", "b", "c"}) {
            putWorker(id, 1000);
            report(id, 10);
        }
        m_dispatcher.confirmOwnership(at(20));
        report("a", 100);
        report("b", 200);
        CPPUNIT_ASSERT(at(98) == *m_dispatcher.respondedSince(2));
        CPPUNIT_ASSERT(at(8) == *m_dispatcher.respondedSince(3));
        report("b", 300, {}, {}, 2);
        CPPUNIT_ASSERT(at(8) == *m_dispatcher.respondedSince(2));
        CPPUNIT_ASSERT(!m_dispatcher.respondedSince(3));
    }

    // Guards against restored jobs that wait for a worker that has never been used.
    void newWorkerDelaysNoRestoredJob()
    {
        putWorker("a", 1000);
        putUnrecordedWorker("silent");
        m_dispatcher.restoreJob(makeJob("j", 1, 1000), std::nullopt, false, at(0),
                                UnixMilliseconds(0));
        report("a", 10);
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(20).starts.size());
    }

    // Guards against the fault of review/3: a worker that had drained and left, as planned, held
    // back all restored jobs of the next owner, since it stayed among the used workers.
    void emptiedWorkerIsLookedAtNoMore()
    {
        putWorker("a", 1000);
        report("a", 10);
        CPPUNIT_ASSERT(m_dispatcher.takeEmptiedWorkers().empty());
        putWorker("a", 1000, true);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_dispatcher.takeEmptiedWorkers().size());
        CPPUNIT_ASSERT(m_dispatcher.takeEmptiedWorkers().empty());
        CPPUNIT_ASSERT(m_dispatcher.removableWorkers().empty()); // still listed
        m_dispatcher.unlistWorker(WorkerId("a"), at(20));
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_dispatcher.removableWorkers().size());
    }

    // Guards against a draining worker that is dropped too early: it has a run, or an end whose
    // effect is not stored yet.
    void drainingWorkerWithEndsIsStillLookedAt()
    {
        startOnOneOfTwo();
        putWorker("a", 1000, true);
        CPPUNIT_ASSERT(m_dispatcher.takeEmptiedWorkers().empty());
        report("a", 500, {}, {{1, "j.0.0.0", m_attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT(m_dispatcher.takeEmptiedWorkers().empty());
        m_dispatcher.committed(m_dispatcher.collect());
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_dispatcher.takeEmptiedWorkers().size());
    }

    // Guards against the fault of review/5: a job counted as running from the order of its first
    // start, so callers were told 0 pending jobs while a worker refused all starts.
    void jobWhoseStartsWereRefusedIsPending()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        int64_t ms = 20;
        for (const OrderAnswer answer :
             {OrderAnswer::Superseded, OrderAnswer::Late, OrderAnswer::NoRoom, OrderAnswer::Invalid,
              OrderAnswer::Unhealthy, OrderAnswer::WrongWorker, OrderAnswer::NotSent}) {
            const Orders orders = decide(ms);
            CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
            assertQueued();
            m_dispatcher.onStartAnswered(orders.starts[0], answer, at(ms + 5));
            assertQueued();
            ms += 2000; // longer than a worker that refused is left out
            report("a", ms - 10);
        }
        const Orders orders = decide(ms);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        m_dispatcher.onStartAnswered(orders.starts[0], OrderAnswer::Accepted, at(ms + 5));
        assertRunning();
    }

    // Guards against a job that goes back to queued while one of its tasks runs.
    void refusedStartLeavesAStartedJobRunning()
    {
        putWorker("a", 2000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 2, 1000), at(10));
        const Orders orders = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(2), orders.starts.size());
        m_dispatcher.onStartAnswered(orders.starts[0], OrderAnswer::Accepted, at(25));
        m_dispatcher.onStartAnswered(orders.starts[1], OrderAnswer::Unhealthy, at(25));
        assertRunning();
    }

    // Guards against a job that counts as not started although a worker may have run its task.
    void unansweredStartCountsAsStarted()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders first = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.starts.size());
        assertQueued();
        m_dispatcher.onStartAnswered(first.starts[0], OrderAnswer::Unknown, at(720));
        assertRunning();
        report("a", 730);
        const Orders second = decide(740);
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.stops.size());
        m_dispatcher.onStopAnswered(second.stops[0], OrderAnswer::Accepted, at(745));
        report("a", 760);
        const Orders third = decide(770);
        CPPUNIT_ASSERT_EQUAL(size_t(1), third.starts.size());
        m_dispatcher.onStartAnswered(third.starts[0], OrderAnswer::Unhealthy, at(775));
        assertRunning();
    }

    // Guards against the same where the run is no longer known when the start times out, because
    // the worker has been replaced in the meantime.
    void lateUnansweredStartCountsAsStarted()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders orders = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        m_dispatcher.onWorkerReplaced(WorkerId("a"), at(30));
        decide(40);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), m_dispatcher.statistics().lost);
        m_dispatcher.onStartAnswered(orders.starts[0], OrderAnswer::Unknown, at(720));
        assertRunning();
    }

    // A report may list a run before the response to its start has arrived.
    void reportedRunCountsAsStarted()
    {
        putWorker("a", 1000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", 1, 1000), at(10));
        const Orders orders = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
        assertQueued();
        report("a", 30, {{.task = "j.0.0.0", .attempt = orders.starts[0].attempt}});
        assertRunning();
    }

    void adoptedRunCountsAsStarted()
    {
        putWorker("a", 1000);
        m_dispatcher.restoreJob(makeJob("j", 1, 1000), std::nullopt, false, at(0),
                                UnixMilliseconds(0));
        assertQueued();
        report("a", 10, {{.task = "j.0.0.0", .attempt = 1}});
        assertRunning();
    }

    // Guards against a restored job that counts as not started, and is stored as such, although a
    // failure of its task was read.
    void endOfAnEarlierOwnersRunCountsAsStarted()
    {
        putWorker("a", 1000);
        m_dispatcher.restoreJob(makeJob("j", 1, 1000), std::nullopt, false, at(0),
                                UnixMilliseconds(0));
        report("a", 10, {}, {{1, "j.0.0.0", 1, EndKind::Failed, ""}});
        assertRunning();
        const Batch batch = m_dispatcher.collect();
        CPPUNIT_ASSERT_EQUAL(size_t(1), batch.rows.size());
        CPPUNIT_ASSERT(batch.rows[0].state == JobState::Running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace
