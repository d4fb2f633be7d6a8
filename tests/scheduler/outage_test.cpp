// Test of cwl-scheduler with real processes while the store is down.

#include "cell.h"

namespace {

using namespace cwl;
using namespace cwl::scheduler::test;

class SchedulerOutageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerOutageTest);
    CPPUNIT_TEST(jobAcceptedInAStoreOutageRunsAndIsStoredLater);
    CPPUNIT_TEST(jobOfExpiredOwnerReachesNextOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job reported as durable before it is stored, and against tasks that stop
    // during a store outage.
    void jobAcceptedInAStoreOutageRunsAndIsStoredLater()
    {
        Cell cell(3);
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("before", "batch", 1, 100)).status);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("before"));
        setOutage(cell, true);
        const JsonAnswer accepted = cell.submit(job("during", "batch", 6, 200));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), 200, accepted.status);
        CPPUNIT_ASSERT(!accepted.body["durable"].asBool());
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("during"));
        setOutage(cell, false);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForJob("during", [](const Json::Value &body) {
            return body["durable"].asBool();
        }));
        cell.checkNoViolations(7);
    }

    // Guards against a job that is lost when its owner's lease expires, and against a second run of
    // its tasks by the next owner. A single scheduler has no witnesses, so its lease expires in a
    // store outage.
    void jobOfExpiredOwnerReachesNextOwner()
    {
        Cell cell(1);
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("before", "batch", 1, 100)).status);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("before"));
        setOutage(cell, true);
        const JsonAnswer accepted = cell.submit(job("during", "batch", 6, 4000));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), 200, accepted.status);
        CPPUNIT_ASSERT(!accepted.body["durable"].asBool());
        const std::string address = cell.deployment().scheduler(0).httpAddress();
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), waitUntil(patience(), [&address] {
                                   const auto answer = getJson(address, "/v1/workers");
                                   return answer.ok() && answer->body["workers"].empty();
                               }));
        setOutage(cell, false);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForJob("during", [](const Json::Value &body) {
            return body["durable"].asBool() && body["state"] == "done";
        }));
        cell.checkNoViolations(7);
    }

private:
    static void setOutage(const Cell &cell, bool isOut)
    {
        Json::Value control;
        control["outage"] = isOut;
        const auto set = postJson(cell.standins().platform, "/control", control);
        CPPUNIT_ASSERT(set.ok() && set->status == 200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerOutageTest);

} // namespace
