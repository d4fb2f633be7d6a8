// Which caller of the advice service gets which query, and when.

#include "cell/advicequeue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::cell;

constexpr Duration shortTime = milliseconds(40);
constexpr Duration longTime = milliseconds(600);

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

class AdviceQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdviceQueueTest);
    CPPUNIT_TEST(memberGetsQueriesOnceItResponds);
    CPPUNIT_TEST(failedMemberIsNoCallerUntilItResponds);
    CPPUNIT_TEST(longQueriesLeaveCallersForShortOnes);
    CPPUNIT_TEST(longQueryGetsItsTurnAtTheOnlyCaller);
    CPPUNIT_TEST(oneCallerIsKeptForLongQueries);
    CPPUNIT_TEST(longQueryWaitsBehindUrgentShortOnes);
    CPPUNIT_TEST(overdueQueryGoesFirst);
    CPPUNIT_TEST(overdueQueriesGoOneAtATime);
    CPPUNIT_TEST(failedQueryGoesToAnotherCaller);
    CPPUNIT_TEST(waitingQueryTimesOut);
    CPPUNIT_TEST(removedMemberTakesNoPlace);
    CPPUNIT_TEST_SUITE_END();

    AdviceQueue m_queue;

    AdviceQueue::Number addShort(int64_t ms, int64_t priority = 0)
    {
        return m_queue.add({priority, shortTime, at(ms)}, at(ms));
    }
    AdviceQueue::Number addLong(int64_t ms, int64_t priority = -1, int64_t wantedSinceMs = -1)
    {
        return m_queue.add({priority, longTime, at(wantedSinceMs < 0 ? ms : wantedSinceMs)},
                           at(ms));
    }

    // Members that respond to their probes, as many as there are addresses.
    void respond(const std::vector<std::string> &addresses)
    {
        for (const std::string &address : addresses)
            m_queue.onProbed(address, true, at(0));
    }

    // The callers of the queries that are sent now, with "local" for this process.
    std::vector<std::string> callers(int64_t ms)
    {
        std::vector<std::string> result;
        for (const AdviceQueue::Assignment &assignment : m_queue.assign(at(ms)))
            result.push_back(assignment.caller.empty() ? "local" : assignment.caller);
        return result;
    }

    std::vector<AdviceQueue::Number> sent(int64_t ms)
    {
        std::vector<AdviceQueue::Number> result;
        for (const AdviceQueue::Assignment &assignment : m_queue.assign(at(ms)))
            result.push_back(assignment.query);
        return result;
    }

    using Names = std::vector<std::string>;
    using Numbers = std::vector<AdviceQueue::Number>;

public:
    // Guards against queries that are lost at a member whose row is left in the store.
    void memberGetsQueriesOnceItResponds()
    {
        m_queue.setMembers({"a", "gone"});
        CPPUNIT_ASSERT(m_queue.takeProbes(at(0)).empty()); // nothing to ask
        addLong(0);
        addLong(0);
        CPPUNIT_ASSERT(callers(0) == Names{"local"});
        CPPUNIT_ASSERT((m_queue.takeProbes(at(0)) == Names{"a", "gone"}));
        CPPUNIT_ASSERT(m_queue.takeProbes(at(100)).empty()); // one at a time
        m_queue.onProbed("a", true, at(100));
        m_queue.onProbed("gone", false, at(100));
        CPPUNIT_ASSERT_EQUAL(size_t(2), m_queue.counts(at(100)).responsive);
        CPPUNIT_ASSERT(m_queue.takeProbes(at(500)).empty());
        CPPUNIT_ASSERT(m_queue.takeProbes(at(600)) == Names{"gone"});
    }

    // Guards against queries that go to a lost member again once its pause is over.
    void failedMemberIsNoCallerUntilItResponds()
    {
        m_queue.setMembers({"a"});
        respond({"a"});
        const auto local = addLong(0);
        CPPUNIT_ASSERT(callers(0) == Names{"a"} || callers(0).empty());
        m_queue.onFailed(local, at(100));
        CPPUNIT_ASSERT(m_queue.takeProbes(at(100)).size() <= 1);
        m_queue.onProbed("a", false, at(400));
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_queue.counts(at(5000)).responsive);
        m_queue.onProbed("a", true, at(5000));
        CPPUNIT_ASSERT_EQUAL(size_t(2), m_queue.counts(at(5000)).responsive);
    }

    // Guards against short queries that wait for the end of a long one.
    void longQueriesLeaveCallersForShortOnes()
    {
        m_queue.setMembers({"a", "b", "c", "gone"});
        respond({"a", "b", "c"});
        for (int number = 0; number < 4; ++number)
            addLong(0);
        CPPUNIT_ASSERT_EQUAL(size_t(2), callers(0).size()); // of four callers
        m_queue.setMembers({"a"});
        CPPUNIT_ASSERT_EQUAL(size_t(2), m_queue.counts(at(0)).responsive);
    }

    // Guards against long queries that never go because a short one is always under way.
    void longQueryGetsItsTurnAtTheOnlyCaller()
    {
        const auto first = addShort(0);
        const auto second = addShort(0);
        CPPUNIT_ASSERT((sent(0) == Numbers{first, second}));
        const auto wanted = addLong(10);
        const auto third = addShort(20);
        m_queue.onAnswered(first);
        CPPUNIT_ASSERT(sent(40).empty()); // the place is kept
        m_queue.onAnswered(second);
        CPPUNIT_ASSERT((sent(80) == Numbers{wanted}));
        m_queue.onAnswered(wanted);
        CPPUNIT_ASSERT((sent(680) == Numbers{third}));
    }

    // Guards against long queries that take the callers of short ones in a burst.
    void oneCallerIsKeptForLongQueries()
    {
        m_queue.setMembers({"a", "b"});
        respond({"a", "b"});
        for (int number = 0; number < 6; ++number)
            addShort(0);
        const Numbers first = sent(0);
        CPPUNIT_ASSERT_EQUAL(size_t(6), first.size());
        addLong(10);
        addLong(10);
        for (int number = 0; number < 3; ++number)
            addShort(20);
        for (size_t number = 0; number < 3; ++number) // one of each caller
            m_queue.onAnswered(first[number]);
        CPPUNIT_ASSERT_EQUAL(size_t(2), sent(40).size()); // the third caller is kept
        for (size_t number = 3; number < 6; ++number)
            m_queue.onAnswered(first[number]);
        CPPUNIT_ASSERT_EQUAL(size_t(2), sent(60).size()); // a long query and the last short one
        addShort(70);
        CPPUNIT_ASSERT_EQUAL(size_t(1), sent(70).size()); // no other caller is kept
    }

    // Guards against long queries that delay short ones of a more urgent queue.
    void longQueryWaitsBehindUrgentShortOnes()
    {
        const auto first = addShort(0);
        const auto second = addShort(0);
        CPPUNIT_ASSERT((sent(0) == Numbers{first, second}));
        addLong(10, 3);
        const auto third = addShort(20);
        m_queue.onAnswered(first);
        CPPUNIT_ASSERT((sent(40) == Numbers{third}));
    }

    // Guards against a query of low priority that never goes: each time that it has waited for long
    // it fails, and the next one for its step is behind the others again.
    void overdueQueryGoesFirst()
    {
        const auto first = addShort(2000);
        const auto second = addShort(2000);
        CPPUNIT_ASSERT((sent(2000) == Numbers{first, second}));
        const auto overdue = addLong(2010, 3, 500);
        addShort(2020);
        m_queue.onAnswered(first);
        CPPUNIT_ASSERT(sent(2040).empty());
        m_queue.onAnswered(second);
        CPPUNIT_ASSERT((sent(2080) == Numbers{overdue}));
    }

    // Guards against overdue queries that take all callers from urgent ones.
    void overdueQueriesGoOneAtATime()
    {
        m_queue.setMembers({"a", "b", "c"});
        respond({"a", "b", "c"});
        const auto older = addLong(5000, 3, 100);
        const auto newer = addLong(5000, 3, 200);
        CPPUNIT_ASSERT(
                (sent(5000) == Numbers{older, newer})); // both in turn while callers are idle
        m_queue.onAnswered(newer);
        addLong(5100, 3, 200);
        const auto urgent = addLong(5200, 0);
        CPPUNIT_ASSERT((sent(5200) == Numbers{urgent}));
    }

    // Guards against a query that fails with its caller while another one is free.
    void failedQueryGoesToAnotherCaller()
    {
        m_queue.setMembers({"a"});
        respond({"a"});
        const auto query = addLong(0);
        const Names first = callers(0);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.size());
        CPPUNIT_ASSERT(m_queue.onFailed(query, at(10)));
        const Names second = callers(10);
        CPPUNIT_ASSERT_EQUAL(size_t(1), second.size());
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT(!m_queue.onFailed(query, at(20))); // both have failed
    }

    // Guards against queries that wait for ever while all callers are busy.
    void waitingQueryTimesOut()
    {
        const auto first = addLong(0);
        const auto second = addLong(0);
        CPPUNIT_ASSERT((sent(0) == Numbers{first}));
        CPPUNIT_ASSERT(m_queue.takeTimedOut(at(1199)).empty());
        CPPUNIT_ASSERT((m_queue.takeTimedOut(at(1200)) == Numbers{second}));
        m_queue.onAnswered(first);
        CPPUNIT_ASSERT(sent(1300).empty());
    }

    // Guards against an answer that arrives after its caller has been removed and listed again.
    void removedMemberTakesNoPlace()
    {
        m_queue.setMembers({"a"});
        respond({"a"});
        const auto first = addLong(0);
        const auto second = addShort(0);
        CPPUNIT_ASSERT_EQUAL(size_t(2), callers(0).size());
        m_queue.setMembers({});
        m_queue.setMembers({"a"});
        m_queue.onAnswered(first);
        m_queue.onAnswered(second);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_queue.counts(at(0)).responsive);
        CPPUNIT_ASSERT_EQUAL(size_t(0), m_queue.counts(at(0)).withLong);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceQueueTest);

} // namespace
