// Tests of the planner's scheduling rules on small fleets.

#include "harness.h"

#include "base/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace cwl;
using namespace cwl::placement;
using namespace cwl::placement::test;

const Resources ampleQuota = sized(100000000, 100000000, 100000);

class PlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannerTest);
    CPPUNIT_TEST(impossibleJobIsRejectedWithNearestFit);
    CPPUNIT_TEST(waitingTasksAreBounded);
    CPPUNIT_TEST(replicasSpreadOverDataCentresAndRacks);
    CPPUNIT_TEST(tasksWithoutAcceleratorsPreferPlainWorkers);
    CPPUNIT_TEST(waitingAcceleratorTasksKeepTheirCapacity);
    CPPUNIT_TEST(acceleratorReservationExpires);
    CPPUNIT_TEST(longJobStartsBeforeShortOnes);
    CPPUNIT_TEST(teamsShareByWeight);
    CPPUNIT_TEST(backfillDoesNotDelayAWaitingGang);
    CPPUNIT_TEST(failedGangTaskRestartsTheWholeGang);
    CPPUNIT_TEST(deferredFloodKeepsOtherGuarantees);
    CPPUNIT_TEST(urgentFloodKeepsOtherGuarantees);
    CPPUNIT_TEST(idleCapacityIsBorrowed);
    CPPUNIT_TEST(agedJobOvertakesYoungerMoreUrgentOnes);
    CPPUNIT_TEST(failedTaskBacksOffWithoutDelayingOthers);
    CPPUNIT_TEST(badJobDoesNotQuarantineWorkers);
    CPPUNIT_TEST(badWorkerIsQuarantined);
    CPPUNIT_TEST(cancelledJobReleasesItsCapacity);
    CPPUNIT_TEST(everyWaitingTaskHasItsReason);
    CPPUNIT_TEST(restoredJobStartsOnlyUnfinishedTasks);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job that waits forever because it can never run, and against a rejection
    // that does not state which size would fit.
    void impossibleJobIsRejectedWithNearestFit()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        harness.addTeam("small", sized(2000, 4096));
        harness.addWorker("w1", sized(16000, 65536));
        harness.addWorker("w2", sized(8000, 262144));
        const auto submit = [&](const JobSpec &spec) {
            return harness.planner.submit(spec, harness.now);
        };
        absl::Status status = submit(harness.job("j", "a", 1, sized(15000, 70000)));
        CPPUNIT_ASSERT(failureOf(status) == Failure::JobTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::string("memoryMiB"), detailOf(status).field);
        CPPUNIT_ASSERT_EQUAL(std::string("15000 millicores, 65536 MiB, 0 accelerators"),
                             detailOf(status).limit);
        JobSpec gang = harness.job("g", "a", 30, sized(1000, 1024));
        gang.kind = JobKind::Gang;
        status = submit(gang);
        CPPUNIT_ASSERT(failureOf(status) == Failure::JobTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::string("24 tasks of this size"), detailOf(status).limit);
        status = submit(harness.job("j", "small", 1, sized(3000, 1024)));
        CPPUNIT_ASSERT(failureOf(status) == Failure::QuotaImpossible);
        status = submit(harness.job("j", "nobody", 1, sized(3000, 1024)));
        CPPUNIT_ASSERT(failureOf(status) == Failure::UnknownTeam);
        CPPUNIT_ASSERT(submit(harness.job("j", "a", 1, sized(15000, 60000))).ok());
        status = submit(harness.job("j", "a", 1, sized(15000, 60000)));
        CPPUNIT_ASSERT(failureOf(status) == Failure::JobConflict);
    }

    // Guards against unbounded memory use when too many jobs are submitted.
    void waitingTasksAreBounded()
    {
        Harness harness({.maxWaitingTasks = 100});
        harness.addTeam("a", ampleQuota);
        harness.addWorker("w1", sized(1000, 1024));
        CPPUNIT_ASSERT(submit(harness, "one", 100, sized(1000, 1024)).ok());
        const absl::Status status = submit(harness, "two", 1, sized(1000, 1024));
        CPPUNIT_ASSERT(failureOf(status) == Failure::QueueFull);
        CPPUNIT_ASSERT(detailOf(status).retryAfterMs.has_value());
    }

    // Guards against a service whose replicas all fail with one rack or data centre.
    void replicasSpreadOverDataCentresAndRacks()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        for (int worker = 0; worker < 12; ++worker) {
            harness.addWorker("w" + std::to_string(worker), sized(16000, 65536),
                              "dc" + std::to_string(worker % 3), "r" + std::to_string(worker / 6));
        }
        JobSpec service = harness.job("s", "a", 6, sized(1000, 1024));
        service.kind = JobKind::Service;
        CPPUNIT_ASSERT(harness.planner.submit(service, harness.now).ok());
        std::map<std::string, int> perRack;
        std::set<WorkerNumber> workers;
        for (const Assignment &task : harness.decideAll()) {
            const WorkerSpec &spec = harness.planner.fleet().worker(task.worker).spec;
            ++perRack[spec.dataCentre.value() + "/" + spec.rack.value()];
            workers.insert(task.worker);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(6), workers.size());
        CPPUNIT_ASSERT_EQUAL(size_t(6), perRack.size());
    }

    // Guards against idle accelerators on workers that are full of tasks without accelerators.
    void tasksWithoutAcceleratorsPreferPlainWorkers()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        const WorkerNumber plain = harness.addWorker("plain", sized(4000, 8192));
        const WorkerNumber gpu = harness.addWorker("gpu", sized(4000, 8192, 8));
        CPPUNIT_ASSERT(submit(harness, "j", 4, sized(1000, 1024)).ok());
        for (const Assignment &task : harness.decideAll())
            CPPUNIT_ASSERT_EQUAL(plain, task.worker);
        CPPUNIT_ASSERT(submit(harness, "more", 1, sized(1000, 1024)).ok());
        CPPUNIT_ASSERT_EQUAL(gpu, harness.decideAll().at(0).worker);
    }

    // Guards against tasks without accelerators that keep taking the cores next to free
    // accelerators, so that tasks that need both run last, on an otherwise idle fleet.
    void waitingAcceleratorTasksKeepTheirCapacity()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        harness.addWorker("plain", sized(4000, 8192));
        const WorkerNumber gpu = harness.addWorker("gpu", sized(8000, 8192, 4));
        CPPUNIT_ASSERT(submit(harness, "fill", 12, sized(1000, 512)).ok());
        const std::vector<Assignment> backfill = harness.decideAll();
        CPPUNIT_ASSERT_EQUAL(size_t(12), backfill.size());
        CPPUNIT_ASSERT(submit(harness, "wide", 1, sized(8000, 8192, 4)).ok());
        CPPUNIT_ASSERT(submit(harness, "more", 8, sized(1000, 512)).ok());
        for (const Assignment &task : backfill) {
            if (task.worker != gpu)
                continue;
            harness.end(task.task, Outcome::Succeeded);
            harness.decideAll();
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), harness.runningOf("wide"));
        CPPUNIT_ASSERT_EQUAL(size_t(0), harness.runningOf("more"));
    }

    // Guards against capacity that stays idle because it is reserved for an accelerator task that
    // never fits.
    void acceleratorReservationExpires()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        harness.addWorker("plain", sized(4000, 8192));
        const WorkerNumber gpu = harness.addWorker("gpu", sized(8000, 8192, 4));
        JobSpec resident = harness.job("staying", "a", 1, sized(5000, 512));
        resident.kind = JobKind::Service;
        CPPUNIT_ASSERT(harness.planner.submit(resident, harness.now).ok());
        CPPUNIT_ASSERT(submit(harness, "fill", 4, sized(1000, 512)).ok());
        CPPUNIT_ASSERT_EQUAL(size_t(5), harness.decideAll().size());
        CPPUNIT_ASSERT(submit(harness, "wide", 1, sized(8000, 8192, 4)).ok());
        CPPUNIT_ASSERT(submit(harness, "more", 1, sized(1000, 512)).ok());
        CPPUNIT_ASSERT_EQUAL(size_t(0), harness.decideAll().size());
        harness.now += maxAcceleratorReservation + seconds(1);
        CPPUNIT_ASSERT(harness.planner.nextTimer().value() < harness.now);
        CPPUNIT_ASSERT_EQUAL(gpu, harness.decideAll().at(0).worker);
    }

    // Guards against long jobs that start last and run on an otherwise idle fleet, and against
    // short jobs that are delayed indefinitely by newer long jobs.
    void longJobStartsBeforeShortOnes()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        const auto add = [&](const std::string &id, Duration run) {
            JobSpec spec = harness.job(id, "a", 1, sized(1000, 512));
            spec.run = run;
            CPPUNIT_ASSERT(harness.planner.submit(spec, harness.now).ok());
        };
        const WorkerNumber worker = harness.addWorker("w", sized(1000, 512));
        harness.planner.setDraining(worker, true);
        add("short", seconds(20));
        add("long", seconds(500));
        harness.now += seconds(600);
        add("later", seconds(500));
        harness.planner.setDraining(worker, false);
        for (const std::string expected : {"long", "short", "later"}) {
            const std::vector<Assignment> started = harness.decideAll();
            CPPUNIT_ASSERT_EQUAL(size_t(1), started.size());
            CPPUNIT_ASSERT_EQUAL(size_t(1), harness.runningOf(expected));
            harness.end(started[0].task, Outcome::Succeeded);
        }
    }

    // Guards against a team that uses the share of another team.
    void teamsShareByWeight()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota, 1);
        harness.addTeam("b", ampleQuota, 3);
        harness.addWorker("w", sized(40000, 400000));
        CPPUNIT_ASSERT(submit(harness, "ja", 100, sized(1000, 1024), "a").ok());
        CPPUNIT_ASSERT(submit(harness, "jb", 100, sized(1000, 1024), "b").ok());
        harness.decideAll();
        CPPUNIT_ASSERT_EQUAL(size_t(10), harness.runningOf("ja"));
        CPPUNIT_ASSERT_EQUAL(size_t(30), harness.runningOf("jb"));
    }

    // Guards against small tasks that prevent a gang from ever starting, and against a fleet that
    // stays idle while a gang waits.
    void backfillDoesNotDelayAWaitingGang()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        for (int worker = 0; worker < 4; ++worker)
            harness.addWorker("w" + std::to_string(worker), sized(4000, 8192));
        CPPUNIT_ASSERT(submit(harness, "first", 4, sized(3000, 1024)).ok());
        CPPUNIT_ASSERT_EQUAL(size_t(4), harness.decideAll().size());
        JobSpec gang = harness.job("gang", "a", 2, sized(4000, 4096));
        gang.kind = JobKind::Gang;
        CPPUNIT_ASSERT(harness.planner.submit(gang, harness.now).ok());
        CPPUNIT_ASSERT_EQUAL(size_t(0), harness.decideAll().size());
        CPPUNIT_ASSERT(submit(harness, "flood", 100, sized(1000, 1024)).ok());
        harness.decideAll();
        CPPUNIT_ASSERT_EQUAL(size_t(2), harness.runningOf("flood"));
        while (harness.runningOf("first") > 0) {
            const JobNumber first = harness.planner.find(JobId("first"));
            for (const Assignment &task : harness.running) {
                if (task.task.job == first) {
                    harness.end(task.task, Outcome::Succeeded);
                    break;
                }
            }
            harness.decideAll();
        }
        CPPUNIT_ASSERT_EQUAL(size_t(2), harness.runningOf("gang"));
    }

    // Guards against a gang that continues with only some of its tasks.
    void failedGangTaskRestartsTheWholeGang()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        harness.addWorker("w", sized(8000, 8192));
        JobSpec gang = harness.job("gang", "a", 4, sized(2000, 1024));
        gang.kind = JobKind::Gang;
        CPPUNIT_ASSERT(harness.planner.submit(gang, harness.now).ok());
        const std::vector<Assignment> started = harness.decideAll();
        CPPUNIT_ASSERT_EQUAL(size_t(4), started.size());
        harness.end(started[0].task, Outcome::Succeeded);
        const Finished finished = harness.end(started[1].task, Outcome::Failed);
        CPPUNIT_ASSERT_EQUAL(size_t(2), finished.stop.size());
        CPPUNIT_ASSERT_EQUAL(size_t(0), harness.decideAll().size());
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), harness.planner.counts(JobId("gang"))->waiting);
        harness.now += firstBackoff;
        const std::vector<Assignment> again = harness.decideAll();
        CPPUNIT_ASSERT_EQUAL(size_t(4), again.size());
        for (const Assignment &task : again)
            CPPUNIT_ASSERT_EQUAL(int64_t(2), task.attempt.value());
    }

    // Guards against starvation of other classes by a flood of jobs.
    void deferredFloodKeepsOtherGuarantees() { flood(UrgencyClass::Deferred); }
    void urgentFloodKeepsOtherGuarantees() { flood(UrgencyClass::Urgent); }

    // Guards against capacity that stays idle because the class that it is guaranteed to has no
    // jobs.
    void idleCapacityIsBorrowed()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        harness.addWorker("w", sized(10000, 102400));
        CPPUNIT_ASSERT(
                submit(harness, "d", 50, sized(1000, 1024), "a", UrgencyClass::Deferred).ok());
        CPPUNIT_ASSERT_EQUAL(size_t(10), harness.decideAll().size());
    }

    // Guards against deferred jobs that never run because urgent jobs keep arriving.
    void agedJobOvertakesYoungerMoreUrgentOnes()
    {
        Harness harness({.classShares = {0, 0, 0}});
        harness.addTeam("a", ampleQuota);
        harness.addWorker("w", sized(1000, 1024));
        CPPUNIT_ASSERT(
                submit(harness, "old", 1, sized(1000, 1024), "a", UrgencyClass::Deferred).ok());
        harness.now += agingPerClass * 2 + seconds(1);
        CPPUNIT_ASSERT(
                submit(harness, "new", 1, sized(1000, 1024), "a", UrgencyClass::Urgent).ok());
        harness.decideAll();
        CPPUNIT_ASSERT_EQUAL(size_t(1), harness.runningOf("old"));
    }

    // Guards against a failing task that restarts without backoff or delays the rest of its job.
    void failedTaskBacksOffWithoutDelayingOthers()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        harness.addWorker("w", sized(1000, 1024));
        CPPUNIT_ASSERT(submit(harness, "j", 2, sized(1000, 1024)).ok());
        const Assignment first = harness.decideAll().at(0);
        harness.end(first.task, Outcome::Failed);
        const auto explanation = harness.planner.explain(JobId("j"), first.task.index, harness.now);
        CPPUNIT_ASSERT(explanation->reason == WaitReason::Backoff);
        const Assignment second = harness.decideAll().at(0);
        CPPUNIT_ASSERT(second.task.index != first.task.index);
        harness.end(second.task, Outcome::Succeeded);
        CPPUNIT_ASSERT(harness.decideAll().empty());
        harness.now = *harness.planner.nextTimer();
        const Assignment again = harness.decideAll().at(0);
        CPPUNIT_ASSERT_EQUAL(int64_t(2), again.attempt.value());
        CPPUNIT_ASSERT(harness.end(again.task, Outcome::Succeeded).isJobOver);
    }

    // Guards against failing jobs that cause healthy workers to be quarantined.
    void badJobDoesNotQuarantineWorkers()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        for (int worker = 0; worker < 6; ++worker)
            harness.addWorker("w" + std::to_string(worker), sized(1000, 1024));
        for (int job = 0; job < 2; ++job)
            CPPUNIT_ASSERT(
                    submit(harness, "bad" + std::to_string(job), 50, sized(1000, 1024)).ok());
        for (int round = 0; round < 50; ++round) {
            for (const Assignment &task : harness.decideAll())
                CPPUNIT_ASSERT(!harness.end(task.task, Outcome::Failed).isWorkerQuarantined);
            harness.now += maxBackoff;
        }
    }

    // Guards against a broken worker that gets most of the tasks because it fails each one at once.
    void badWorkerIsQuarantined()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        const WorkerNumber bad = harness.addWorker("bad", sized(1000, 1024));
        bool isQuarantined = false;
        for (int job = 0; job < 3; ++job) {
            const std::string id = "j" + std::to_string(job);
            CPPUNIT_ASSERT(submit(harness, id, 1, sized(1000, 1024)).ok());
            const Assignment task = harness.decideAll().at(0);
            isQuarantined = harness.end(task.task, Outcome::Failed).isWorkerQuarantined;
        }
        CPPUNIT_ASSERT(isQuarantined);
        CPPUNIT_ASSERT(!harness.planner.fleet().isUsable(bad));
        const WorkerNumber good = harness.addWorker("good", sized(3000, 3072));
        harness.now += firstBackoff * 2;
        for (const Assignment &task : harness.decideAll())
            CPPUNIT_ASSERT_EQUAL(good, task.worker);
    }

    // Guards against tasks of a cancelled job that still start, and capacity that stays reserved.
    void cancelledJobReleasesItsCapacity()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        harness.addWorker("w", sized(4000, 8192));
        CPPUNIT_ASSERT(submit(harness, "j", 100, sized(1000, 1024)).ok());
        harness.decideAll();
        const auto stop = harness.planner.cancel(JobId("j"));
        CPPUNIT_ASSERT_EQUAL(size_t(4), stop->size());
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), harness.planner.waitingTasks());
        // The tasks count as running until the worker reports their end.
        CPPUNIT_ASSERT(submit(harness, "next", 1, sized(1000, 1024)).ok());
        CPPUNIT_ASSERT(harness.decideAll().empty());
        for (const Assignment &task : *stop)
            harness.end(task.task, Outcome::Stopped);
        CPPUNIT_ASSERT(harness.planner.find(JobId("j")) == noNumber);
        CPPUNIT_ASSERT_EQUAL(size_t(1), harness.decideAll().size());
        CPPUNIT_ASSERT(failureOf(harness.planner.cancel(JobId("j")).status())
                       == Failure::UnknownJob);
    }

    // Guards against waiting tasks with a missing or wrong reason.
    void everyWaitingTaskHasItsReason()
    {
        Harness harness;
        harness.addTeam("a", sized(3000, 102400));
        harness.addTeam("b", ampleQuota);
        const WorkerNumber worker = harness.addWorker("w", sized(4000, 8192));
        CPPUNIT_ASSERT(submit(harness, "quota", 4, sized(1000, 1024), "a").ok());
        harness.decideAll();
        CPPUNIT_ASSERT(reason(harness, "quota", 3) == WaitReason::Quota);
        CPPUNIT_ASSERT(reason(harness, "quota", 0) == WaitReason::NotWaiting);
        CPPUNIT_ASSERT(submit(harness, "room", 1, sized(2000, 1024), "b").ok());
        CPPUNIT_ASSERT(reason(harness, "room", 0) == WaitReason::Turn);
        harness.decideAll();
        CPPUNIT_ASSERT(reason(harness, "room", 0) == WaitReason::NoCapacity);
        harness.planner.setReported(worker, false);
        CPPUNIT_ASSERT(reason(harness, "room", 0) == WaitReason::NoWorkerReady);
    }

    // Guards against a new owner that restarts completed or running tasks.
    void restoredJobStartsOnlyUnfinishedTasks()
    {
        Harness harness;
        harness.addTeam("a", ampleQuota);
        const WorkerNumber worker = harness.addWorker("w", sized(16000, 65536));
        Planner::Restored restored{.spec = harness.job("j", "a", 6, sized(1000, 1024)),
                                   .succeeded = {0, 4}};
        CPPUNIT_ASSERT(harness.planner.restore(restored, harness.now).ok());
        CPPUNIT_ASSERT(harness.decideAll().empty());
        CPPUNIT_ASSERT(harness.planner.adopt(JobId("j"), 1, worker, Attempt(3), harness.now));
        CPPUNIT_ASSERT(harness.planner.adopt(JobId("j"), 5, worker, Attempt(1), harness.now));
        CPPUNIT_ASSERT(!harness.planner.adopt(JobId("j"), 5, worker, Attempt(1), harness.now));
        CPPUNIT_ASSERT(!harness.planner.adopt(JobId("j"), 0, worker, Attempt(1), harness.now));
        harness.planner.resume(JobId("j"));
        std::set<uint32_t> started;
        for (const Assignment &task : harness.decideAll())
            started.insert(task.task.index);
        CPPUNIT_ASSERT((started == std::set<uint32_t>{2, 3}));
        CPPUNIT_ASSERT(harness.planner.fleet().worker(worker).used == sized(4000, 4096));
    }

private:
    static absl::Status submit(Harness &harness, const std::string &id, uint32_t count,
                               const Resources &each, const std::string &team = "a",
                               UrgencyClass urgency = UrgencyClass::Normal)
    {
        JobSpec spec = harness.job(id, team, count, each);
        spec.urgency = urgency;
        return harness.planner.submit(spec, harness.now);
    }

    static WaitReason reason(const Harness &harness, const std::string &id, uint32_t index)
    {
        return harness.planner.explain(JobId(id), index, harness.now)->reason;
    }

    // One class floods a full fleet; the others arrive later and get their share by preemption.
    static void flood(UrgencyClass flooding)
    {
        Harness harness;
        for (const std::string team : {"a", "b", "c"})
            harness.addTeam(team, ampleQuota);
        for (int worker = 0; worker < 10; ++worker)
            harness.addWorker("w" + std::to_string(worker), sized(10000, 102400));
        const Resources each = sized(1000, 1024);
        CPPUNIT_ASSERT(submit(harness, "flood", 1000, each, "a", flooding).ok());
        harness.decideAll();
        CPPUNIT_ASSERT_EQUAL(size_t(100), harness.runningOf("flood"));
        const int64_t shares[] = {40, 30, 10};
        const std::string names[] = {"urgent", "normal", "deferred"};
        for (size_t index = 0; index < 3; ++index) {
            if (static_cast<UrgencyClass>(index) != flooding)
                CPPUNIT_ASSERT(submit(harness, names[index], 1000, each, "b",
                                      static_cast<UrgencyClass>(index))
                                       .ok());
        }
        for (int round = 0; round < 100; ++round) {
            harness.now += seconds(1);
            harness.decideAll();
        }
        for (size_t index = 0; index < 3; ++index) {
            if (static_cast<UrgencyClass>(index) != flooding)
                CPPUNIT_ASSERT(harness.runningOf(names[index]) >= size_t(shares[index]));
        }
        CPPUNIT_ASSERT(harness.preemptions > 0);
        CPPUNIT_ASSERT_EQUAL(size_t(100), harness.running.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannerTest);

} // namespace
