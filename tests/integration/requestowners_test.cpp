// Requests while the entries that own them die, pause, stop and race each other.

#include "integration/asserts.h"
#include "testseed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace {

using namespace cwl;
using namespace cwl::integration;

constexpr const char *groupPrefix = "endpoint/";

class RequestOwnersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestOwnersTest);
    CPPUNIT_TEST(killedOwnersCauseNoSecondRun);
    CPPUNIT_TEST(pausedOwnerSendsNothingAfterItsLease);
    CPPUNIT_TEST(stopThatIsAskedForTwiceCutsNothing);
    CPPUNIT_TEST(racingClaimsLeaveOneOwner);
    CPPUNIT_TEST(silentConnectionsBetweenMembersAreReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run, or a false "not-run", when an owner is killed with requests in
    // flight, starts again, and another one is killed.
    void killedOwnersCauseNoSecondRun()
    {
        Cell cell({.serviceMs = 100});
        Callers callers(cell.entryAddresses(), {.threads = 12, .seed = tests::testSeed()});
        assertServes(cell, callers, 100);
        for (int round = 0; round < 2; ++round) {
            harness::Member &owner = cell.ownerOf("endpoint/draw/0");
            cell.kill(owner);
            CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwnsNothing(owner, groupPrefix));
            assertServes(cell, callers, 50);
            cell.start(owner);
            assertReady(cell, owner);
        }
        assertServes(cell, callers, 50);
        assertKept(cell, callers);
    }

    // Guards against an owner that wakes from a pause longer than its lease and goes on with groups
    // that others have taken over.
    void pausedOwnerSendsNothingAfterItsLease()
    {
        Cell cell({.serviceMs = 100});
        Callers callers(cell.entryAddresses(), {.threads = 12, .seed = tests::testSeed()});
        assertServes(cell, callers, 100);
        harness::Member &owner = cell.ownerOf("endpoint/draw/0");
        owner.process->pause();
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwnsNothing(owner, groupPrefix));
        assertServes(cell, callers, 50);
        owner.process->resume();
        assertReady(cell, owner);
        assertServes(cell, callers, 100);
        assertKept(cell, callers);
    }

    // Guards against a planned stop that cuts requests, and against a second SIGTERM that ends the
    // process early.
    void stopThatIsAskedForTwiceCutsNothing()
    {
        Cell cell({.serviceMs = 1000});
        const CallerOptions options{.deadlineMs = 20000};
        harness::Member &owner = cell.ownerOf("endpoint/draw/0");
        std::vector<std::future<RequestRecord>> requests;
        for (size_t i = 0; i < 24; ++i) {
            requests.push_back(std::async(std::launch::async, [&, i] {
                RequestRecord record{.id = newRequestId(), .method = i % 2 ? "pair" : "motions"};
                const std::string entry =
                        i % 3 == 0 ? owner.httpAddress() : cell.entry(i % 3).httpAddress();
                record.attempts.push_back(
                        send(entry, record.method, record.id, record.id, options));
                return record;
            }));
        }
        CPPUNIT_ASSERT(harness::waitUntil(
                harness::patience(), [&] { return cell.executions()["executions"].size() >= 16; }));
        owner.process->terminate();
        owner.process->terminate();
        std::vector<RequestRecord> records;
        for (auto &request : requests)
            records.push_back(request.get());
        // A request that no endpoint has yet may be refused as not run; all others are answered.
        const std::string message = summaryOf(records) + cell.logs();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size_t(0), countOutcome(records, "lost"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size_t(0), countOutcome(records, "unknown"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, size_t(cell.executions()["executions"].size()),
                                     countOutcome(records, "answered"));
        const auto code = owner.process->waitForExit(BootClock::now() + seconds(60));
        CPPUNIT_ASSERT(code.ok());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), 0, *code);
        CPPUNIT_ASSERT_EQUAL(std::string(), requestViolations(cell, records));
    }

    // Guards against two owners of one group when several members claim the groups of a dead one
    // at the same time, with store answers late enough that all of them see the groups as free.
    void racingClaimsLeaveOneOwner()
    {
        Cell cell({.instances = 5, .endpointGroups = 8});
        Callers callers(cell.entryAddresses(), {.threads = 8, .seed = tests::testSeed()});
        assertServes(cell, callers, 100);
        cell.platform("answerDelayMs", 200);
        harness::Member &first = cell.ownerOf("endpoint/draw/0");
        cell.kill(first);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwnsNothing(first, groupPrefix));
        harness::Member &second = cell.ownerOf("endpoint/draw/0");
        cell.kill(second);
        cell.start(first); // a new member claims too
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitUntilOwnsNothing(second, groupPrefix));
        cell.platform("answerDelayMs", 0);
        assertServes(cell, callers, 100);
        assertKept(cell, callers);
    }

    // Guards against forwarded requests, promises and votes that wait on connections which will
    // never carry anything again, and against answers that reach another request when calls
    // between members are late.
    void silentConnectionsBetweenMembersAreReplaced()
    {
        Cell cell({.proxyRpc = true});
        Callers callers(cell.entryAddresses(), {.threads = 12, .seed = tests::testSeed()});
        for (int round = 0; round < 2; ++round) {
            assertServes(cell, callers, 100);
            for (int i = 0; i < 3; ++i) {
                const std::string link = "rpc/entry-" + std::to_string(i);
                cell.link(link, "delayMs", 15 * i);
                cell.link(link, "silenceOpen", true);
            }
        }
        assertServes(cell, callers, 300);
        assertKept(cell, callers);
        CPPUNIT_ASSERT_EQUAL(size_t(0), countOutcome(callers.records(), "lost"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestOwnersTest);

} // namespace
