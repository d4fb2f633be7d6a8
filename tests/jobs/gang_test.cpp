// Tests of the decisions for gangs: which workers they query advice for, and which runs they may
// preempt.

#include "jobs/dispatcher.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace cwl;
using namespace cwl::jobs;

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

JobSpec makeJob(const std::string &id, uint32_t count, int64_t priority)
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.queue = {.name = "queue",
                  .service = "service",
                  .priority = priority,
                  .maxAttempts = 3,
                  .maxSlowdown = 4};
    Step step;
    step.count = count;
    step.each = {Millicores(1000), Mebibytes(100), {}};
    step.estimate = seconds(4);
    spec.steps = {step};
    return spec;
}

JobSpec makeGang(const std::string &id, uint32_t count)
{
    JobSpec spec = makeJob(id, count, 1);
    spec.steps[0].gang = true;
    return spec;
}

class GangTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GangTest);
    CPPUNIT_TEST(gangsQueryDifferentWorkers);
    CPPUNIT_TEST(gangQueriesAgainBeforeItsTicketsExpire);
    CPPUNIT_TEST(lastingTaskQueriesAgainAtOnceIfNoWorkerIsAllowed);
    CPPUNIT_TEST(gangPreemptsLessUrgentRuns);
    CPPUNIT_TEST(gangPreemptsNoRunThatWouldBeLate);
    CPPUNIT_TEST(gangPreemptsNothingUnlessAllMembersFit);
    CPPUNIT_TEST_SUITE_END();

    Dispatcher m_dispatcher{DispatcherSettings{}};

    void addWorkers(int count, int64_t cores)
    {
        for (int number = 0; number < count; ++number) {
            WorkerEntry entry;
            entry.id = WorkerId(absl::StrCat("w", number));
            entry.address = entry.id.value();
            entry.service = "service";
            entry.capacity = {Millicores(cores), Mebibytes(10000), {}};
            m_dispatcher.putWorker(entry, at(0));
            m_dispatcher.noteRecorded(entry.id);
            report(entry.id.value(), 10, {});
        }
    }

    void report(const std::string &id, int64_t ms, const std::vector<RunningTask> &running)
    {
        WorkerReport workerReport;
        workerReport.clockMs = ms + 5000;
        workerReport.born = 1;
        workerReport.running = running;
        m_dispatcher.onReport(WorkerId(id), workerReport, at(ms - 2), at(ms));
    }

    Orders decide(int64_t ms)
    {
        m_dispatcher.confirmOwnership(at(ms));
        return m_dispatcher.decide(at(ms), UnixMilliseconds(0));
    }

    // Occupies every worker with one run of a less urgent job.
    void occupyWorkers(int workers, bool checkpoints)
    {
        JobSpec less = makeJob("less", uint32_t(workers), 2);
        less.steps[0].checkpoints = checkpoints;
        m_dispatcher.addJob(less, at(10));
        const Orders orders = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(workers), orders.starts.size());
        for (const StartOrder &order : orders.starts) {
            m_dispatcher.onStartAnswered(order, OrderAnswer::Accepted, at(25));
            report(order.worker.value(), 500, {{order.task, order.attempt, "saved", 10, 1000}});
        }
    }

public:
    void setUp() override { m_dispatcher.begin(Epoch(1), at(0)); }

    // Guards against gangs that wait despite free capacity: all queried advice for the same
    // workers, and the first gang to start took the capacity from the others, which held tickets
    // for no other workers.
    void gangsQueryDifferentWorkers()
    {
        addWorkers(60, 1000);
        for (const char *id : {"first", "second"}) {
            JobSpec gang = makeGang(id, 3);
            gang.queue.advice = AdvicePolicy{milliseconds(700), milliseconds(10), seconds(2)};
            m_dispatcher.addJob(gang, at(10));
        }
        Orders orders = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(2), orders.queries.size());
        for (AdviceQuery &query : orders.queries) {
            CPPUNIT_ASSERT(query.workers.size() > 6); // more than the gang could need
            std::sort(query.workers.begin(), query.workers.end());
        }
        CPPUNIT_ASSERT(orders.queries[0].workers != orders.queries[1].workers);
    }

    // Guards against a gang that holds no valid ticket for most of the time that it waits: it
    // queried again only after three times the duration of a query.
    void gangQueriesAgainBeforeItsTicketsExpire()
    {
        addWorkers(2, 1000);
        JobSpec gang = makeGang("gang", 2);
        gang.queue.advice = AdvicePolicy{milliseconds(700), milliseconds(10), seconds(2)};
        m_dispatcher.addJob(gang, at(10));
        const Orders asked = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(1), asked.queries.size());
        m_dispatcher.onAdvice(asked.queries[0], {{WorkerId("w0"), "ticket"}}, at(740));
        addWorkers(4, 1000);
        for (int number = 0; number < 4; ++number)
            report(absl::StrCat("w", number), 2400, {});
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(2410).queries.size());
    }

    // Guards against a lasting task that stays down for 9 to 17 s, as at 298 instances: each query
    // whose workers were not allowed, or full by then, was followed by a pause of three times its
    // duration.
    void lastingTaskQueriesAgainAtOnceIfNoWorkerIsAllowed()
    {
        addWorkers(60, 1000);
        JobSpec job = makeJob("lasting", 1, 1);
        job.queue.advice = AdvicePolicy{milliseconds(700), milliseconds(10), seconds(2)};
        job.steps[0].longRunning = true;
        m_dispatcher.addJob(job, at(20));
        const Orders first = decide(30);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.queries.size());
        m_dispatcher.onAdvice(first.queries[0], {}, at(900));
        const Orders second = decide(910);
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.queries.size());
        CPPUNIT_ASSERT(first.queries[0].workers[0] != second.queries[0].workers[0]);
    }

    // Guards against gangs that wait until completions happen to free enough workers at once, while
    // work that has time to spare occupies them again.
    void gangPreemptsLessUrgentRuns()
    {
        addWorkers(3, 1000);
        occupyWorkers(3, true);
        m_dispatcher.addJob(makeGang("gang", 2), at(600));
        CPPUNIT_ASSERT_EQUAL(size_t(2), decide(610).stops.size());
    }

    // Guards against preemption that only shifts the delay from one late job to another.
    void gangPreemptsNoRunThatWouldBeLate()
    {
        addWorkers(3, 1000);
        occupyWorkers(3, true);
        for (int number = 0; number < 3; ++number)
            report(absl::StrCat("w", number), 14000,
                   {{absl::StrCat("less.0.0.", number), 1, "saved", 20, 1000}});
        m_dispatcher.addJob(makeGang("gang", 2), at(14010));
        CPPUNIT_ASSERT(decide(14020).stops.empty());
    }

    // Guards against runs that are stopped for a gang that still cannot start.
    void gangPreemptsNothingUnlessAllMembersFit()
    {
        addWorkers(3, 1000);
        occupyWorkers(3, true);
        m_dispatcher.addJob(makeGang("gang", 4), at(600));
        CPPUNIT_ASSERT(decide(610).stops.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangTest);

} // namespace
