// Jobs while workers are cut off, die, lose answers or fail what they start.

#include "base/json.h"
#include "integration/jobs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::integration;

constexpr const char *badWorker = "draw-worker-1";
constexpr const char *badLink = "worker/draw-worker-1";

class JobWorkersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobWorkersTest);
    CPPUNIT_TEST(workerThatIsCutOffKeepsItsTasks);
    CPPUNIT_TEST(deadWorkerThatLeavesTheListIsReplaced);
    CPPUNIT_TEST(lostAnswersOfStartsDoubleNothing);
    CPPUNIT_TEST(waveOfCancellationsLeavesRoom);
    CPPUNIT_TEST(gangIsWholeOrNotAtAll);
    CPPUNIT_TEST(workerThatFailsEverythingStopsNoJob);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks of an unreachable worker being started elsewhere while they still run.
    void workerThatIsCutOffKeepsItsTasks()
    {
        Cell cell(options());
        assertAccepted(cell, makeJob("long", "batch", 16, 12000));
        assertAccepted(cell, makeJob("queue", "batch", 40, 300));
        assertRunning(cell, "long", 16);
        for (int round = 0; round < 2; ++round) {
            cell.link(badLink, "cut", "both");
            assertAccepted(cell, makeJob("cut-" + std::to_string(round), "batch", 4, 100));
            const TimePoint end = BootClock::now() + seconds(4); // longer than a command's deadline
            while (BootClock::now() < end)
                assertRunning(cell, "long", 0);
            cell.link(badLink, "cut", "none");
        }
        for (const char *id : {"long", "queue", "cut-0", "cut-1"})
            assertDone(cell, id);
        assertPlacementsKept(cell, 64);
    }

    // Guards against a job that never ends because a worker died for good.
    void deadWorkerThatLeavesTheListIsReplaced()
    {
        Cell cell(options());
        assertAccepted(cell, makeJob("long", "batch", 16, 5000));
        assertRunning(cell, "long", 16);
        // Shown as running from the decision on; the worker must have got them before it dies.
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), harness::waitUntil(harness::patience(), [&] {
                                   return cell.judgements()["starts"].asInt64() >= 16;
                               }));
        cell.worker(badWorker, "dead", true);
        cell.platform("removeInstance", badWorker);
        assertDone(cell, "long");
        assertPlacementsKept(cell, 17);
    }

    // Guards against a second start of tasks whose first start took effect although its answer was
    // lost.
    void lostAnswersOfStartsDoubleNothing()
    {
        Cell cell(options());
        for (int round = 0; round < 3; ++round) {
            const std::string id = "round-" + std::to_string(round);
            const int64_t starts = cell.judgements()["starts"].asInt64();
            cell.link(badLink, "cut", "toClient");
            assertAccepted(cell, makeJob(id, "batch", 24, 800));
            CPPUNIT_ASSERT_MESSAGE(cell.logs(), harness::waitUntil(harness::patience(), [&] {
                                       return cell.judgements()["starts"].asInt64() >= starts + 12;
                                   }));
            cell.link(badLink, "cut", "none");
        }
        for (int round = 0; round < 3; ++round)
            assertDone(cell, "round-" + std::to_string(round));
        assertPlacementsKept(cell, 72);
    }

    // Guards against tasks of cancelled jobs that run on or start later, and against room that
    // they keep.
    void waveOfCancellationsLeavesRoom()
    {
        Cell cell(options());
        for (int i = 0; i < 40; ++i)
            assertAccepted(cell, makeJob("wave-" + std::to_string(i), "batch", 10, 600000),
                           size_t(i));
        assertRunning(cell, "wave-0", 1);
        for (int i = 0; i < 40; ++i) {
            const std::string path = "/v1/jobs/wave-" + std::to_string(i);
            const auto answer = callSchedulers(cell, "DELETE", path, {}, size_t(i));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(writeJson(answer.body), 200, answer.status);
        }
        assertAccepted(cell, makeJob("next", "batch", 32, 500));
        assertDone(cell, "next");
        for (int i = 0; i < 40; ++i) {
            const bool isCancelled = waitForJob(
                    cell, "wave-" + std::to_string(i),
                    [](const Json::Value &job) {
                        return job["state"] == "cancelled" && job["running"].asInt() == 0;
                    },
                    seconds(30));
            CPPUNIT_ASSERT_MESSAGE(cell.logs(), isCancelled);
        }
        assertPlacementsKept(cell, 32);
    }

    // Guards against a gang of which a part runs: one worker fails its starts, then one is cut off
    // in the middle of the start.
    void gangIsWholeOrNotAtAll()
    {
        Cell cell(options());
        Json::Value gang = makeJob("gang", "gang", 4, 1000);
        gang["cores"] = 3000; // one task a worker, so that all workers are needed
        cell.expectGang("gang", 4);
        cell.worker(badWorker, "failStarts", true);
        assertAccepted(cell, gang);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), harness::waitUntil(harness::patience(), [&] {
                                   return cell.judgements()["starts"].asInt64() >= 3;
                               }));
        cell.worker(badWorker, "failStarts", false);
        assertDone(cell, "gang");
        cell.expectGang("gang-2", 4);
        gang["jobId"] = "gang-2";
        const int64_t starts = cell.judgements()["starts"].asInt64();
        cell.link(badLink, "freeze", "toTarget");
        assertAccepted(cell, gang);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), harness::waitUntil(harness::patience(), [&] {
                                   return cell.judgements()["starts"].asInt64() >= starts + 3;
                               }));
        cell.link(badLink, "freeze", "none");
        assertDone(cell, "gang-2");
        assertPlacementsKept(cell, 8);
    }

    // Guards against jobs that fail because one worker fails everything.
    void workerThatFailsEverythingStopsNoJob()
    {
        Cell cell(options());
        cell.worker(badWorker, "failRuns", true);
        for (int i = 0; i < 6; ++i)
            assertAccepted(cell, makeJob("job-" + std::to_string(i), "batch", 8, 400));
        for (int i = 0; i < 6; ++i)
            assertDone(cell, "job-" + std::to_string(i));
        cell.worker(badWorker, "failRuns", false);
        assertPlacementsKept(cell, 48);
    }

private:
    static CellOptions options() { return {.entries = false, .schedulers = true, .workers = 4}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobWorkersTest);

} // namespace
