// Tests of the candidate index and of the workers' health.

#include "placement/fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace {

using namespace cwl;
using namespace cwl::placement;

Resources sized(int64_t cores, int64_t memory, int64_t accelerators)
{
    return {Millicores(cores), Mebibytes(memory), Accelerators(accelerators)};
}

class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(indexFindsOnlyFittingWorkers);
    CPPUNIT_TEST(workerFailingThreeJobsIsQuarantinedThenOnTrial);
    CPPUNIT_TEST(failuresOfOneJobDoNotQuarantine);
    CPPUNIT_TEST(workerGetsNoTasksBeforeItsReport);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against candidates that do not fit, and against an empty result although a worker
    // fits.
    void indexFindsOnlyFittingWorkers()
    {
        const bool holds = rc::check("index", [] {
            CandidateIndex index;
            std::map<WorkerNumber, Resources> model;
            const auto steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step) {
                const auto worker = *rc::gen::inRange<WorkerNumber>(0, 20);
                if (*rc::gen::inRange(0, 4) == 0) {
                    index.remove(worker);
                    model.erase(worker);
                    continue;
                }
                const Resources free =
                        sized(*rc::gen::inRange(0, 200000), *rc::gen::inRange(0, 600000),
                              *rc::gen::inRange(0, 12));
                index.put(worker, free);
                model[worker] = free;
            }
            const Resources demand = sized(*rc::gen::inRange(1, 200000),
                                           *rc::gen::inRange(1, 600000), *rc::gen::inRange(0, 12));
            std::vector<WorkerNumber> found;
            index.collect({.demand = demand, .mostFreeFirst = *rc::gen::arbitrary<bool>()}, found);
            for (const WorkerNumber worker : found)
                RC_ASSERT(demand.fitsIn(model.at(worker)));
            const bool isAnyFitting =
                    std::any_of(model.begin(), model.end(),
                                [&](const auto &entry) { return demand.fitsIn(entry.second); });
            RC_ASSERT(found.empty() != isAnyFitting);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a broken worker that keeps getting tasks, and against one that gets full load
    // directly after its quarantine.
    void workerFailingThreeJobsIsQuarantinedThenOnTrial()
    {
        Fleet fleet;
        const WorkerNumber worker = addWorker(fleet);
        const TimePoint now = TimePoint(seconds(1000));
        CPPUNIT_ASSERT(!fleet.recordFailure(worker, 1, now));
        CPPUNIT_ASSERT(!fleet.recordFailure(worker, 2, now));
        CPPUNIT_ASSERT(fleet.recordFailure(worker, 3, now));
        CPPUNIT_ASSERT(!fleet.isUsable(worker));
        fleet.endQuarantine(worker, now + firstQuarantine - seconds(1));
        CPPUNIT_ASSERT(!fleet.isUsable(worker));
        fleet.endQuarantine(worker, now + firstQuarantine);
        CPPUNIT_ASSERT(fleet.isUsable(worker));
        fleet.reserve(worker, sized(1000, 1000, 0), 7);
        CPPUNIT_ASSERT(!fleet.isUsable(worker)); // one task on trial
        fleet.release(worker, sized(1000, 1000, 0), 7);
        CPPUNIT_ASSERT(fleet.recordFailure(worker, 4, now + firstQuarantine));
        fleet.endQuarantine(worker, now + firstQuarantine * 2);
        CPPUNIT_ASSERT(!fleet.isUsable(worker)); // the second quarantine is longer
        fleet.endQuarantine(worker, now + firstQuarantine * 3);
        fleet.recordSuccess(worker);
        fleet.reserve(worker, sized(1000, 1000, 0), 7);
        CPPUNIT_ASSERT(fleet.isUsable(worker));
    }

    // Guards against a quarantine caused by one bad job.
    void failuresOfOneJobDoNotQuarantine()
    {
        Fleet fleet;
        const WorkerNumber worker = addWorker(fleet);
        for (int failure = 0; failure < 20; ++failure)
            CPPUNIT_ASSERT(!fleet.recordFailure(worker, 1, TimePoint(seconds(failure))));
        CPPUNIT_ASSERT(fleet.isUsable(worker));
    }

    // Guards against a start on a worker that has not reported its running tasks yet.
    void workerGetsNoTasksBeforeItsReport()
    {
        Fleet fleet;
        const WorkerNumber worker =
                fleet.put({WorkerId("w"), DataCentreId("dc"), RackId("r"), sized(4000, 4000, 0)});
        std::vector<WorkerNumber> found;
        fleet.collect({.demand = sized(1, 1, 0)}, Fleet::anyDataCentre, {}, found);
        CPPUNIT_ASSERT(found.empty());
        fleet.setReported(worker, true);
        fleet.collect({.demand = sized(1, 1, 0)}, Fleet::anyDataCentre, {}, found);
        CPPUNIT_ASSERT_EQUAL(size_t(1), found.size());
    }

private:
    static WorkerNumber addWorker(Fleet &fleet)
    {
        const WorkerNumber worker =
                fleet.put({WorkerId("w"), DataCentreId("dc"), RackId("r"), sized(16000, 65536, 0)});
        fleet.setReported(worker, true);
        return worker;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace
