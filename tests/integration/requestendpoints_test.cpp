// Requests while endpoints leave, go silent, or answer late or incompletely.

#include "integration/asserts.h"
#include "testseed.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::integration;

constexpr const char *leaver = "draw-endpoint-1";
constexpr int64_t fewSecondsMs = 5000; // 3 s of P6, and a slow machine

class RequestEndpointsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestEndpointsTest);
    CPPUNIT_TEST(endpointThatTheListReportsAsLeavingGetsNoWork);
    CPPUNIT_TEST(endpointThatReportsItsLeavingGetsNoWork);
    CPPUNIT_TEST(silentConnectionsAreReplaced);
    CPPUNIT_TEST(truncatedAnswersAreNotPassedOn);
    CPPUNIT_TEST(lateAnswersReachNoOtherCaller);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against work for an endpoint that the instance list shows as leaving. It has
    // requests in flight then; none of them may be cut.
    void endpointThatTheListReportsAsLeavingGetsNoWork()
    {
        Cell cell({.endpoints = 6, .endpointGroups = 2});
        Callers callers(cell.entryAddresses(), {.seed = tests::testSeed()});
        assertServes(cell, callers, 100);
        CPPUNIT_ASSERT(executedBy(cell, leaver) > 0);
        cell.listEndpoint(leaver, "leaving");
        const TimePoint end = BootClock::now() + milliseconds(fewSecondsMs);
        while (BootClock::now() < end)
            assertServes(cell, callers, 10);
        const int64_t executed = executedBy(cell, leaver);
        assertServes(cell, callers, 200);
        CPPUNIT_ASSERT_EQUAL(executed, executedBy(cell, leaver));
        cell.listEndpoint(leaver, "live");
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), harness::waitUntil(harness::patience(), [&] {
                                   return executedBy(cell, leaver) > executed;
                               }));
        assertAllAnswered(cell, callers);
    }

    // Guards against work for an endpoint whose own status says that it leaves, while the list
    // lags far behind.
    void endpointThatReportsItsLeavingGetsNoWork()
    {
        Cell cell({.endpoints = 6, .endpointGroups = 2});
        Callers callers(cell.entryAddresses(), {.seed = tests::testSeed()});
        assertServes(cell, callers, 100);
        CPPUNIT_ASSERT(executedBy(cell, leaver) > 0);
        cell.endpoint(leaver, "leaving", true);
        const TimePoint end = BootClock::now() + milliseconds(fewSecondsMs);
        while (BootClock::now() < end)
            assertServes(cell, callers, 10);
        assertServes(cell, callers, 200);
        const Json::Value seen = cell.executions()["endpoints"][leaver];
        CPPUNIT_ASSERT(seen["lastStartAfterLeavingMs"].asInt64() < fewSecondsMs);
        assertAllAnswered(cell, callers);
    }

    // Guards against requests that wait on connections which will never carry anything again, while
    // new connections to the same endpoints work.
    void silentConnectionsAreReplaced()
    {
        Cell cell({});
        Callers callers(cell.entryAddresses(), {.deadlineMs = 1500, .seed = tests::testSeed()});
        for (int round = 0; round < 2; ++round) {
            assertServes(cell, callers, 100);
            for (int i = 0; i < 4; ++i)
                cell.link("endpoint/draw-endpoint-" + std::to_string(i), "silenceOpen", true);
        }
        assertServes(cell, callers, 300);
        // Every endpoint serves again.
        const Json::Value before = cell.executions();
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), harness::waitUntil(harness::patience(), [&] {
                                   const Json::Value now = cell.executions();
                                   for (const std::string &id : now["endpoints"].getMemberNames()) {
                                       if (now["endpoints"][id]["executed"]
                                           == before["endpoints"][id]["executed"])
                                           return false;
                                   }
                                   return true;
                               }));
        assertKept(cell, callers);
        CPPUNIT_ASSERT_EQUAL(size_t(0), countOutcome(callers.records(), "lost"));
    }

    // Guards against an incomplete answer that a caller takes for a complete one.
    void truncatedAnswersAreNotPassedOn()
    {
        Cell cell({.endpoints = 6, .endpointGroups = 2});
        Callers callers(cell.entryAddresses(), {.bodyBytes = 20000, .seed = tests::testSeed()});
        assertServes(cell, callers, 50);
        cell.endpoint("draw-endpoint-0", "truncate", true);
        cell.endpoint(leaver, "loseNext", 5); // runs, but the connection closes without an answer
        assertServes(cell, callers, 200);
        // Whether a failure meets a non-idempotent request is chance, so it lasts until one was
        // met.
        CPPUNIT_ASSERT_MESSAGE(callers.summary(), harness::waitUntil(harness::patience(), [&] {
                                   return countOutcome(callers.records(), "unknown") > 0;
                               }));
        cell.endpoint("draw-endpoint-0", "truncate", false);
        assertServes(cell, callers, 100);
        assertKept(cell, callers);
        CPPUNIT_ASSERT_EQUAL(size_t(0), countOutcome(callers.records(), "lost"));
    }

    // Guards against an answer that arrives after its caller gave up and reaches the next request
    // on the same connection.
    void lateAnswersReachNoOtherCaller()
    {
        Cell cell({});
        Callers patient(cell.entryAddresses(),
                        {.deadlineMs = 8000, .pauseMs = 0, .seed = tests::testSeed()});
        Callers hasty(
                cell.entryAddresses(),
                {.maxAttempts = 3, .deadlineMs = 60, .pauseMs = 0, .seed = tests::testSeed() + 1});
        assertServes(cell, patient, 50);
        for (int round = 0; round < 3; ++round) {
            for (int i = 0; i < 4; ++i) {
                const std::string number = std::to_string(i);
                cell.endpoint("draw-endpoint-" + number, "serviceMs", 30 * (1 + (i + round) % 4));
                cell.link("endpoint/draw-endpoint-" + number, "delayMs", 10 * ((i * round) % 5));
            }
            assertServes(cell, patient, 60);
        }
        hasty.stop();
        assertKept(cell, hasty);
        assertKept(cell, patient);
        CPPUNIT_ASSERT(countOutcome(hasty.records(), "unknown") > 0);
    }

private:
    static int64_t executedBy(const Cell &cell, const std::string &endpoint)
    {
        return cell.executions()["endpoints"][endpoint]["executed"].asInt64();
    }

    static void assertAllAnswered(const Cell &cell, Callers &callers)
    {
        assertKept(cell, callers);
        const std::vector<RequestRecord> records = callers.records();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(callers.summary() + cell.logs(), records.size(),
                                     countOutcome(records, "answered"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestEndpointsTest);

} // namespace
