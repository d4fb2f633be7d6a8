// Tests of cwl-entry as real processes with stand-ins for the platform and the endpoints.

#include "base/clock.h"
#include "base/error.h"
#include "entry/entrycell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using Answer = absl::StatusOr<http::Response>;

std::string newId(const std::string &unique)
{
    return std::to_string(UnixMilliseconds::now().value()) + "-" + unique;
}

Answer post(const std::string &address, const std::string &method, const std::string &id = {},
            int64_t deadlineMs = 10000)
{
    http::Request request{.method = "POST", .path = "/v1/services/draw/" + method, .body = id};
    if (!id.empty())
        request.headers.set("Request-Id", id);
    request.headers.set("Request-Deadline-Ms", std::to_string(deadlineMs));
    return harness::call(address, request);
}

std::string outcomeOf(const Answer &answer)
{
    return answer.ok() ? answer->headers.value("Request-Outcome")
                       : std::string(answer.status().message());
}

class ProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessTest);
    CPPUNIT_TEST(requestsAreServedThroughEveryEntry);
    CPPUNIT_TEST(refusalsBeforeTheHandlerAreNotRun);
    CPPUNIT_TEST(plannedStopCutsNothing);
    CPPUNIT_TEST(stoppingEntryServesUntilTheBalancerNotices);
    CPPUNIT_TEST(killedOwnerCausesNoSecondRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry that serves only the groups it owns, and against lost or crossed
    // responses between entries.
    void requestsAreServedThroughEveryEntry()
    {
        tests::EntryCell cell({});
        for (int i = 0; i < 60; ++i) {
            const std::string entry = cell.entry(static_cast<size_t>(i) % 3).httpAddress();
            const std::string id = newId("a" + std::to_string(i));
            const bool isIdempotent = i % 2 == 0;
            const Answer answer = post(entry, isIdempotent ? "motions" : "pair", id);
            // The first owner of a group has no predecessor, so no id is too old for it.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.ok() ? answer->body : cell.logs(),
                                         std::string("answered"), outcomeOf(answer));
            CPPUNIT_ASSERT(answer->body.find("\"" + id + "\"") != std::string::npos);
            if (isIdempotent)
                continue;
            const Answer repeat = post(cell.entry(0).httpAddress(), "pair", id);
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), outcomeOf(repeat));
            CPPUNIT_ASSERT_EQUAL(answer->body, repeat->body);
        }
        assertOnceWithinLimits(cell);
    }

    // Guards against a refusal of the HTTP server itself that leaves the caller in doubt whether
    // the request ran.
    void refusalsBeforeTheHandlerAreNotRun()
    {
        tests::EntryCell cell({.entries = 1});
        const std::string entry = cell.entry(0).httpAddress();
        const http::Request large{.method = "POST",
                                  .path = "/v1/services/draw/motions",
                                  .body = std::string(5UL * 1024 * 1024, 'x')};
        assertNotRun(harness::call(entry, large), 413, Failure::BodyTooLarge);
        const http::Request unknownPath{.method = "POST", .path = "/v1/service/draw/motions"};
        assertNotRun(harness::call(entry, unknownPath), 404, Failure::UnknownMethod);
    }

    // Guards against a planned stop that cuts requests in flight.
    void plannedStopCutsNothing()
    {
        tests::EntryCell cell({.serviceMs = 2000});
        std::vector<std::future<Answer>> answers;
        for (int i = 0; i < 40; ++i) {
            answers.push_back(std::async(std::launch::async, [&cell, i] {
                return post(cell.entry(static_cast<size_t>(i) % 3).httpAddress(), "pair",
                            newId("s" + std::to_string(i)));
            }));
        }
        // A request that reaches its owner after the stop began may be refused, so all must be
        // there.
        const bool areAccepted = harness::waitUntil(harness::patience(), [&cell] {
            int64_t accepted = 0;
            for (const harness::Member &entry : cell.deployment().entries())
                accepted += acceptedAt(entry.httpAddress());
            return accepted == 40;
        });
        CPPUNIT_ASSERT(areAccepted);
        cell.entry(1).process->terminate();
        for (std::future<Answer> &answer : answers) {
            const Answer result = answer.get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.ok() ? result->body : cell.logs(),
                                         std::string("answered"), outcomeOf(result));
        }
        const auto code = cell.entry(1).process->waitForExit(BootClock::now() + seconds(60));
        CPPUNIT_ASSERT(code.ok());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), 0, *code);
        assertOnceWithinLimits(cell);
    }

    // Guards against requests that are lost because the load balancer sends to a stopping entry
    // until it has seen that the entry is not ready.
    void stoppingEntryServesUntilTheBalancerNotices()
    {
        tests::EntryCell cell({});
        const std::string address = cell.entry(1).httpAddress();
        cell.entry(1).process->terminate();
        const TimePoint end = BootClock::now() + seconds(2);
        for (int i = 0; BootClock::now() < end; ++i) {
            const Answer answer = post(address, "motions", newId("b" + std::to_string(i)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.ok() ? answer->body : cell.logs(),
                                         std::string("answered"), outcomeOf(answer));
        }
        const auto ready = harness::call(address, {.path = "/readyz"});
        CPPUNIT_ASSERT(ready.ok());
        CPPUNIT_ASSERT_EQUAL(503, ready->status);
        const auto code = cell.entry(1).process->waitForExit(BootClock::now() + seconds(60));
        CPPUNIT_ASSERT(code.ok());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), 0, *code);
    }

    // Guards against a second run when an owner dies with requests in flight and callers repeat
    // them elsewhere.
    void killedOwnerCausesNoSecondRun()
    {
        tests::EntryCell cell({.serviceMs = 300});
        std::vector<std::future<void>> callers;
        for (int i = 0; i < 24; ++i) {
            callers.push_back(std::async(std::launch::async, [&cell, i] {
                const std::string id = newId("k" + std::to_string(i));
                const TimePoint end = harness::patience();
                for (size_t round = 0; BootClock::now() < end; ++round) {
                    const size_t entry = (static_cast<size_t>(i) + round) % 3;
                    const Answer answer = post(cell.entry(entry).httpAddress(), "pair", id, 2000);
                    if (outcomeOf(answer) == "answered" || outcomeOf(answer) == "unknown")
                        return;
                    std::this_thread::sleep_for(milliseconds(200));
                }
            }));
        }
        harness::waitUntil(harness::patience(),
                           [&cell] { return cell.executions()["executions"].size() >= 8; });
        cell.deployment().kill(cell.entry(1));
        for (std::future<void> &caller : callers)
            caller.get();
        cell.waitUntilServing(cell.entry(0).httpAddress(), 4);
        const bool servesAgain = harness::waitUntil(harness::patience(), [&cell] {
            for (int i = 0; i < 8; ++i) {
                // GCC 12 reports a false overflow of "n" + std::to_string(i) in a release build.
                const std::string unique = std::string("n").append(std::to_string(i));
                const Answer answer =
                        post(cell.entry(0).httpAddress(), "pair", newId(unique), 2000);
                if (outcomeOf(answer) != "answered")
                    return false;
            }
            return true;
        });
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), servesAgain);
        assertOnceWithinLimits(cell);
    }

private:
    static void assertNotRun(const Answer &answer, int status, Failure failure)
    {
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcomeOf(answer));
        CPPUNIT_ASSERT_EQUAL(status, answer->status);
        const auto body = parseJson(answer->body);
        CPPUNIT_ASSERT(body.ok());
        CPPUNIT_ASSERT(failureOf(errorFromJson(*body)) == failure);
    }

    static int64_t acceptedAt(const std::string &address)
    {
        const auto state = harness::getJson(address, "/state");
        if (!state.ok())
            return 0;
        const Json::Value &whole = state->body;
        const Json::Value &groups =
                whole.isMember("sections") ? whole["sections"]["groups"] : whole["groups"];
        int64_t accepted = 0;
        for (const Json::Value &group : groups)
            accepted += group["accepted"].asInt64();
        return accepted;
    }

    static void assertOnceWithinLimits(const tests::EntryCell &cell)
    {
        const Json::Value executions = cell.executions();
        for (const std::string &id : executions["executions"].getMemberNames())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, executions["executions"][id].asInt());
        CPPUNIT_ASSERT_EQUAL(0, executions["slotOverloads"].asInt());
        CPPUNIT_ASSERT_EQUAL(0, executions["connectionOverloads"].asInt());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessTest);

} // namespace
