// Jobs while the scheduler that owns them dies, pauses, stops or is without the store.

#include "base/json.h"
#include "integration/jobs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::integration;

constexpr const char *groupPrefix = "worker/";

class JobOwnersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobOwnersTest);
    CPPUNIT_TEST(killedOwnersLoseAndDoubleNoTask);
    CPPUNIT_TEST(pausedOwnerStartsNothingAfterItsLease);
    CPPUNIT_TEST(plannedStopDisturbsNoTask);
    CPPUNIT_TEST(jobsAreAcceptedInAnOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that run twice, or on a full worker, or are lost, when owners die one
    // after the other with tasks running and waiting.
    void killedOwnersLoseAndDoubleNoTask()
    {
        Cell cell(options());
        assertAccepted(cell, makeJob("first", "batch", 60, 2000));
        assertRunning(cell, "first", 10);
        for (const char *next : {"second", "third"}) {
            harness::Member &owner = cell.ownerOf(workerGroup);
            cell.kill(owner);
            CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwnsNothing(owner, groupPrefix));
            cell.start(owner);
            assertAccepted(cell, makeJob(next, "batch", 30, 1000));
            CPPUNIT_ASSERT(harness::waitForReady(owner.httpAddress(), harness::patience()));
        }
        for (const char *id : {"first", "second", "third"})
            assertDone(cell, id);
        assertPlacementsKept(cell, 120);
    }

    // Guards against an owner that wakes from a pause longer than its lease and starts, stops or
    // acknowledges tasks that another owner has taken over.
    void pausedOwnerStartsNothingAfterItsLease()
    {
        Cell cell(options());
        assertAccepted(cell, makeJob("first", "batch", 80, 1500));
        assertRunning(cell, "first", 10);
        harness::Member &owner = cell.ownerOf(workerGroup);
        owner.process->pause();
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwnsNothing(owner, groupPrefix));
        assertAccepted(cell, makeJob("second", "batch", 40, 500));
        const int64_t starts = cell.judgements()["starts"].asInt64();
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), harness::waitUntil(harness::patience(), [&] {
                                   return cell.judgements()["starts"].asInt64() > starts;
                               }));
        owner.process->resume();
        CPPUNIT_ASSERT(harness::waitForReady(owner.httpAddress(), harness::patience()));
        assertDone(cell, "first");
        assertDone(cell, "second");
        assertPlacementsKept(cell, 120);
    }

    // Guards against a planned stop that ends or repeats a task, and against a second SIGTERM that
    // ends the process early.
    void plannedStopDisturbsNoTask()
    {
        Cell cell(options());
        assertAccepted(cell, makeJob("first", "batch", 60, 1500));
        assertRunning(cell, "first", 10);
        harness::Member &owner = cell.ownerOf(workerGroup);
        owner.process->terminate();
        owner.process->terminate();
        const auto code = owner.process->waitForExit(BootClock::now() + seconds(60));
        CPPUNIT_ASSERT(code.ok());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), 0, *code);
        assertDone(cell, "first");
        assertPlacementsKept(cell, 60);
        // Nothing failed, so nothing was started again.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), int64_t(60),
                                     cell.judgements()["starts"].asInt64());
    }

    // Guards against refused or lost jobs while the store is down, against a false "durable", and
    // against a repeat of a submission that makes another job.
    void jobsAreAcceptedInAnOutage()
    {
        Cell cell(options());
        assertAccepted(cell, makeJob("before", "batch", 30, 1000));
        cell.platform("outage", true);
        for (int i = 0; i < 5; ++i) {
            const Json::Value job = makeJob("during-" + std::to_string(i), "batch", 10, 500);
            const harness::JsonAnswer answer = submit(cell, job, size_t(i));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(writeJson(answer.body) + cell.logs(), 200, answer.status);
            CPPUNIT_ASSERT(!answer.body["durable"].asBool());
            const harness::JsonAnswer repeat = submit(cell, job, size_t(i) + 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(writeJson(repeat.body), 200, repeat.status);
        }
        CPPUNIT_ASSERT_EQUAL(409, submit(cell, makeJob("during-0", "batch", 11, 500)).status);
        for (int i = 0; i < 5; ++i)
            assertDone(cell, "during-" + std::to_string(i));
        cell.platform("outage", false);
        for (int i = 0; i < 5; ++i) {
            const bool isDurable = waitForJob(
                    cell, "during-" + std::to_string(i),
                    [](const Json::Value &job) { return job["durable"].asBool(); }, seconds(60));
            CPPUNIT_ASSERT_MESSAGE(cell.logs(), isDurable);
        }
        // What is durable outlives its owner.
        harness::Member &owner = cell.ownerOf(workerGroup);
        cell.kill(owner);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwnsNothing(owner, groupPrefix));
        for (int i = 0; i < 5; ++i)
            assertDone(cell, "during-" + std::to_string(i));
        assertDone(cell, "before");
        assertPlacementsKept(cell, 80);
    }

private:
    static CellOptions options() { return {.entries = false, .schedulers = true, .workers = 4}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobOwnersTest);

} // namespace
