// Tests of request ids, the at-most-once memory, the retry budget and the choice of groups.

#include "base/error.h"
#include "requests/idmemory.h"
#include "requests/retrybudget.h"
#include "requests/routing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>

namespace {

using namespace cwl;
using namespace cwl::requests;

constexpr int64_t base = 1'700'000'000'000;
using Verdict = IdMemory::Verdict;

ParsedRequestId idAt(int64_t time, const std::string &unique = "a")
{
    return *parseRequestId(std::to_string(time) + "-" + unique);
}

SharedOutcome answer(const std::string &body)
{
    return std::make_shared<const Outcome>(Outcome::answered(200, "text/plain", body));
}

Failure failureOf(const IdMemory::Check &check)
{
    return cwl::failureOf(check.outcome->error);
}

class IdMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdMemoryTest);
    CPPUNIT_TEST(malformedIdsAreRefusedByHeaderName);
    CPPUNIT_TEST(repeatGetsTheRememberedOutcome);
    CPPUNIT_TEST(idsBeforeTheTakeoverAreUnknown);
    CPPUNIT_TEST(idsOfAnEarlierOwnerWithAFastClockAreUnknown);
    CPPUNIT_TEST(idsFromTheFutureAreUnknownRightAfterATakeover);
    CPPUNIT_TEST(firstOwnerHasNoPredecessor);
    CPPUNIT_TEST(idsFarAheadAreNotRun);
    CPPUNIT_TEST(idIsKeptUntilItsOwnTimeIsOld);
    CPPUNIT_TEST(clockThatStepsBackRevivesNoId);
    CPPUNIT_TEST(fullMemoryRefusesAndEvictsNothing);
    CPPUNIT_TEST(answerTooLargeToKeepIsUnknown);
    CPPUNIT_TEST(retriesStayWithinTenPercent);
    CPPUNIT_TEST(numberedEndpointsAreSpreadEvenly);
    CPPUNIT_TEST(lowerLoadOfTwoGroupsIsChosen);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an id whose time cannot be judged being run.
    void malformedIdsAreRefusedByHeaderName()
    {
        for (const char *text : {"", "-", "12", "12-", "-a", "012-a", "1x-a", "1-a b", "1-a/b",
                                 "1234567890123456-a"}) {
            const auto parsed = parseRequestId(text);
            CPPUNIT_ASSERT_MESSAGE(text, !parsed.ok());
            CPPUNIT_ASSERT_EQUAL(std::string("Request-Id"), detailOf(parsed.status()).field);
        }
        CPPUNIT_ASSERT(!parseRequestId("1-" + std::string(maxRequestIdBytes, 'a')).ok());
        CPPUNIT_ASSERT_EQUAL(base, parseRequestId(std::to_string(base) + "-a-b_c.D")->time.value());
    }

    // Guards against a second run of an id that is under way or answered.
    void repeatGetsTheRememberedOutcome()
    {
        IdMemory memory{{}};
        const UnixMilliseconds now(base);
        CPPUNIT_ASSERT(memory.check(idAt(base), now).verdict == Verdict::New);
        memory.accept(idAt(base), 7);
        const IdMemory::Check running = memory.check(idAt(base), now);
        CPPUNIT_ASSERT(running.verdict == Verdict::Running && running.ticket == 7);
        memory.settle(idAt(base), answer("x"));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), memory.check(idAt(base), now).outcome->body);
    }

    // Guards against a second run by a new owner that cannot know what an earlier owner ran.
    void idsBeforeTheTakeoverAreUnknown()
    {
        IdMemory memory{{.takeover = UnixMilliseconds(base)}};
        const UnixMilliseconds now(base + 1000);
        for (const int64_t time : {base - 1, base, base + 2000, base + 4000}) {
            const IdMemory::Check check = memory.check(idAt(time), now);
            CPPUNIT_ASSERT(failureOf(check) == Failure::IdPredatesOwner);
            CPPUNIT_ASSERT(check.outcome->kind == OutcomeKind::Unknown);
        }
        CPPUNIT_ASSERT(memory.check(idAt(base + 4001), UnixMilliseconds(base + 4001)).verdict
                       == Verdict::New);
    }

    // Guards against a second run, and a false not-run, of an id that an earlier owner ran whose
    // clock was 2 s ahead.
    void idsOfAnEarlierOwnerWithAFastClockAreUnknown()
    {
        constexpr int64_t lead = 2000;
        IdMemory earlier{{}};
        const ParsedRequestId id = idAt(base + lead + 2000);
        CPPUNIT_ASSERT(earlier.check(id, UnixMilliseconds(base + lead)).verdict == Verdict::New);
        IdMemory later{{.takeover = UnixMilliseconds(base)}};
        for (const int64_t wait : {0, 1000, 1999, 2000, 4000, 5000}) {
            const IdMemory::Check check = later.check(id, UnixMilliseconds(base + wait));
            CPPUNIT_ASSERT(check.verdict == Verdict::Settled);
            CPPUNIT_ASSERT(check.outcome->kind == OutcomeKind::Unknown);
        }
    }

    // Guards against not-run right after a takeover, when no lead of an id is certain to be one
    // that no earlier owner accepted.
    void idsFromTheFutureAreUnknownRightAfterATakeover()
    {
        IdMemory memory{{.takeover = UnixMilliseconds(base)}};
        const ParsedRequestId id = idAt(base + 60000);
        CPPUNIT_ASSERT(memory.check(id, UnixMilliseconds(base + 4000)).outcome->kind
                       == OutcomeKind::Unknown);
        CPPUNIT_ASSERT(memory.check(id, UnixMilliseconds(base + 4001)).outcome->kind
                       == OutcomeKind::NotRun);
    }

    // Guards against a cell that answers unknown for its first seconds without any cause.
    void firstOwnerHasNoPredecessor()
    {
        IdMemory memory{{}};
        CPPUNIT_ASSERT(memory.check(idAt(base - 5000), UnixMilliseconds(base)).verdict
                       == Verdict::New);
    }

    // Guards against ids from a fast clock, which would outlive the memory of a later owner.
    void idsFarAheadAreNotRun()
    {
        IdMemory memory{{}};
        const UnixMilliseconds now(base);
        const IdMemory::Check check = memory.check(idAt(base + 2001), now);
        CPPUNIT_ASSERT(failureOf(check) == Failure::IdFromFuture);
        CPPUNIT_ASSERT(check.outcome->kind == OutcomeKind::NotRun);
        CPPUNIT_ASSERT(memory.check(idAt(base + 2000), now).verdict == Verdict::New);
    }

    // Guards against an id that is forgotten while a repeat could still be accepted.
    void idIsKeptUntilItsOwnTimeIsOld()
    {
        IdMemory memory{{}};
        memory.accept(idAt(base + 1500), 1);
        memory.settle(idAt(base + 1500), answer("x"));
        const int64_t limit = base + 1500 + 600'000;
        CPPUNIT_ASSERT(memory.check(idAt(base + 1500), UnixMilliseconds(limit)).outcome->kind
                       == OutcomeKind::Answered);
        const IdMemory::Check after = memory.check(idAt(base + 1500), UnixMilliseconds(limit + 1));
        CPPUNIT_ASSERT(failureOf(after) == Failure::IdPredatesOwner);
        CPPUNIT_ASSERT_EQUAL(size_t(0), memory.size());
    }

    // Guards against a second run when the owner's time of day is set back after an id left.
    void clockThatStepsBackRevivesNoId()
    {
        IdMemory memory{{}};
        memory.accept(idAt(base), 1);
        memory.settle(idAt(base), answer("x"));
        memory.check(idAt(base + 700'000), UnixMilliseconds(base + 700'000));
        CPPUNIT_ASSERT_EQUAL(size_t(0), memory.size());
        const IdMemory::Check check = memory.check(idAt(base), UnixMilliseconds(base + 1));
        CPPUNIT_ASSERT(failureOf(check) == Failure::IdPredatesOwner);
    }

    // Guards against a flood of ids that pushes out ids whose repeats may still come.
    void fullMemoryRefusesAndEvictsNothing()
    {
        IdMemory memory{{.maxIds = 2}};
        const UnixMilliseconds now(base);
        for (const char *unique : {"a", "b"}) {
            memory.accept(idAt(base, unique), 1);
            memory.settle(idAt(base, unique), answer(unique));
        }
        CPPUNIT_ASSERT(failureOf(memory.check(idAt(base, "c"), now)) == Failure::QueueFull);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), memory.check(idAt(base, "a"), now).outcome->body);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), memory.check(idAt(base, "b"), now).outcome->body);
    }

    // Guards against large responses filling the process's memory, and against a second run.
    void answerTooLargeToKeepIsUnknown()
    {
        IdMemory memory{{.maxAnswerBytes = 10}};
        memory.accept(idAt(base), 1);
        memory.settle(idAt(base), answer(std::string(11, 'x')));
        CPPUNIT_ASSERT(memory.check(idAt(base), UnixMilliseconds(base)).outcome->kind
                       == OutcomeKind::Unknown);
        CPPUNIT_ASSERT_EQUAL(size_t(0), memory.answerBytes());
    }

    // Guards against retries that multiply an overload.
    void retriesStayWithinTenPercent()
    {
        RetryBudget budget;
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.requestAccepted();
            retries += budget.takeRetry() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries >= 100 && retries <= 101);
    }

    // Guards against an endpoint group without endpoints where there are enough for all.
    void numberedEndpointsAreSpreadEvenly()
    {
        std::set<int64_t> groups;
        for (int i = 0; i < 13; ++i)
            groups.insert(groupOfEndpoint(EndpointId("analysis-" + std::to_string(i)), 6));
        CPPUNIT_ASSERT_EQUAL(size_t(6), groups.size());
        CPPUNIT_ASSERT(groupOfEndpoint(EndpointId("no-number"), 6) < 6);
    }

    // Guards against idempotent requests that pile up at one owner.
    void lowerLoadOfTwoGroupsIsChosen()
    {
        Generator generator(1);
        for (int i = 0; i < 100; ++i) {
            const int64_t chosen =
                    chooseGroup(2, generator, [](int64_t group) { return group == 0 ? 0.9 : 0.1; });
            CPPUNIT_ASSERT_EQUAL(int64_t(1), chosen);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdMemoryTest);

} // namespace
