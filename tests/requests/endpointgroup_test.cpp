// Tests of admission, slots, shares, ejection and outcomes of one endpoint group.

#include "base/error.h"
#include "requests/endpointgroup.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace {

using namespace cwl;
using namespace cwl::requests;

constexpr int64_t unixBase = 1'700'000'000'000;
const TimePoint start{seconds(1000)};
const EndpointId endpointA("e-0");
const EndpointId endpointB("e-1");

std::vector<ListedEndpoint> listed(int count)
{
    std::vector<ListedEndpoint> all;
    for (int i = 0; i < count; ++i)
        all.push_back({EndpointId("e-" + std::to_string(i)), "127.0.0.1:1", false});
    return all;
}

Submission idempotent(UrgencyClass urgency = UrgencyClass::Normal, Duration timeout = seconds(10))
{
    return {.method = "m", .isIdempotent = true, .urgency = urgency, .deadline = start + timeout};
}

Submission once(const std::string &unique)
{
    return {.id = *parseRequestId(std::to_string(unixBase) + "-" + unique),
            .method = "m",
            .deadline = start + seconds(10)};
}

Outcome good()
{
    return Outcome::answered(200, "text/plain", "ok");
}

Outcome lost()
{
    return Outcome::unknown(makeError(Failure::ConnectionLost, "lost"));
}

EndpointGroup groupWith(int endpoints, bool isFirstOwner = true,
                        const settings::ServiceSettings &service = {})
{
    EndpointGroup group(service,
                        {.acquiredAt = start,
                         .acquiredAtUnix = UnixMilliseconds(unixBase - 60'000),
                         .isFirstOwner = isFirstOwner});
    group.setEndpoints(listed(endpoints), start);
    return group;
}

Admission submit(EndpointGroup &group, const Submission &submission, TimePoint now = start)
{
    return group.submit(submission, now, UnixMilliseconds(unixBase));
}

void submitMany(EndpointGroup &group, int count, UrgencyClass urgency)
{
    for (int i = 0; i < count; ++i)
        submit(group, idempotent(urgency, seconds(25)));
}

// Lets the group see that requests are answered at once.
void observe(EndpointGroup &group, int count)
{
    for (int i = 0; i < count; ++i) {
        submit(group, idempotent());
        for (const Send &send : group.dispatch(start))
            group.finished(send.ticket, SendResult::Answered, good(), start);
    }
    group.takeSettled();
}

Failure reasonOf(const Admission &admission)
{
    CPPUNIT_ASSERT(admission.kind == Admission::Kind::Settled);
    return failureOf(admission.outcome->error);
}

class EndpointGroupTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointGroupTest);
    CPPUNIT_TEST(slotsAreNeverPassed);
    CPPUNIT_TEST(slotsOfAnEarlierOwnerCountUntilReportedFree);
    CPPUNIT_TEST(slotsOfAnEarlierOwnerAreFreeAfterTheLongestDeadline);
    CPPUNIT_TEST(slotOfALostRequestStaysInUse);
    CPPUNIT_TEST(relistedEndpointKeepsItsSuspectSlots);
    CPPUNIT_TEST(unreachableDeadlineIsRefusedAtOnce);
    CPPUNIT_TEST(expiredInQueueIsNotRun);
    CPPUNIT_TEST(fullQueueOfOneClassLeavesOthersOpen);
    CPPUNIT_TEST(classBelowItsShareGetsTheNextSlot);
    CPPUNIT_TEST(leavingEndpointGetsNothingNew);
    CPPUNIT_TEST(failingEndpointIsEjectedAndReturnsCarefully);
    CPPUNIT_TEST(slowEndpointGetsLessConcurrency);
    CPPUNIT_TEST(lostNonIdempotentIsUnknownAndNotRetried);
    CPPUNIT_TEST(unsentRequestIsRetriedElsewhere);
    CPPUNIT_TEST(slowTryIsDroppedWhenItCanBeRetried);
    CPPUNIT_TEST(slowTryGoesOnWithoutBudget);
    CPPUNIT_TEST(nonIdempotentTryIsNeverDropped);
    CPPUNIT_TEST(releaseFinishesWhatWasAccepted);
    CPPUNIT_TEST(abandonTellsQueuedFromSent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more requests on an endpoint than it has slots.
    void slotsAreNeverPassed()
    {
        EndpointGroup group = groupWith(2);
        submitMany(group, 50, UrgencyClass::Normal);
        CPPUNIT_ASSERT_EQUAL(size_t(16), group.dispatch(start).size());
        CPPUNIT_ASSERT_EQUAL(size_t(0), group.dispatch(start).size());
        CPPUNIT_ASSERT_EQUAL(int64_t(9), group.connectionsPerEndpoint());
    }

    // Guards against filling slots that the earlier owner's requests still occupy.
    void slotsOfAnEarlierOwnerCountUntilReportedFree()
    {
        EndpointGroup group = groupWith(1, false);
        submitMany(group, 20, UrgencyClass::Normal);
        CPPUNIT_ASSERT_EQUAL(size_t(0), group.dispatch(start).size());
        group.report(endpointA, {.slots = 8, .active = 3}, start - seconds(1));
        CPPUNIT_ASSERT_EQUAL(size_t(0), group.dispatch(start).size()); // asked before the takeover
        group.report(endpointA, {.slots = 8, .active = 3}, start);
        CPPUNIT_ASSERT_EQUAL(size_t(5), group.dispatch(start).size());
        group.report(endpointA, {.slots = 8, .active = 5}, start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(size_t(0), group.dispatch(start + seconds(1)).size());
    }

    // Guards against a silent endpoint that keeps its slots for ever after a takeover.
    void slotsOfAnEarlierOwnerAreFreeAfterTheLongestDeadline()
    {
        EndpointGroup group = groupWith(1, false);
        const TimePoint later = start + seconds(30);
        Submission submission = idempotent();
        submission.deadline = later + seconds(5);
        submit(group, submission);
        CPPUNIT_ASSERT_EQUAL(size_t(0), group.dispatch(later - milliseconds(1)).size());
        CPPUNIT_ASSERT_EQUAL(size_t(1), group.dispatch(later).size());
    }

    // Guards against reusing the slot of a request that the endpoint may still be running.
    void slotOfALostRequestStaysInUse()
    {
        EndpointGroup group = groupWith(1);
        submit(group, once("a"));
        const Send send = group.dispatch(start).at(0);
        group.finished(send.ticket, SendResult::MayHaveRun, lost(), start);
        submitMany(group, 20, UrgencyClass::Normal);
        CPPUNIT_ASSERT_EQUAL(size_t(7), group.dispatch(start).size());
        group.report(endpointA, {.slots = 8, .active = 0}, start + milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(size_t(1), group.dispatch(start + milliseconds(1)).size());
    }

    // Guards against an instance list that omits an endpoint once and so frees its slots.
    void relistedEndpointKeepsItsSuspectSlots()
    {
        EndpointGroup group = groupWith(1, false);
        group.setEndpoints({}, start);
        group.setEndpoints(listed(1), start + seconds(1));
        submit(group, idempotent());
        CPPUNIT_ASSERT_EQUAL(size_t(0), group.dispatch(start + seconds(1)).size());
    }

    // Guards against callers that wait for an answer that cannot come in time.
    void unreachableDeadlineIsRefusedAtOnce()
    {
        EndpointGroup group = groupWith(1);
        submit(group, idempotent());
        const Send send = group.dispatch(start).at(0);
        const TimePoint now = start + seconds(1);
        group.finished(send.ticket, SendResult::Answered, good(), now); // 1 s of service
        const Admission late = submit(group, idempotent(UrgencyClass::Normal, seconds(1)), now);
        CPPUNIT_ASSERT(reasonOf(late) == Failure::DeadlinePassed);
        const Admission tight =
                submit(group, idempotent(UrgencyClass::Normal, milliseconds(1900)), now);
        CPPUNIT_ASSERT(reasonOf(tight) == Failure::DeadlineUnreachable);
        CPPUNIT_ASSERT_EQUAL(std::string("900 ms"), detailOf(tight.outcome->error).limit);
        submitMany(group, 24, UrgencyClass::Normal); // three full rounds of 8 slots
        const Admission queued = submit(group, idempotent(UrgencyClass::Normal, seconds(4)), now);
        CPPUNIT_ASSERT(reasonOf(queued) == Failure::DeadlineUnreachable);
        CPPUNIT_ASSERT(submit(group, idempotent(UrgencyClass::Normal, seconds(8)), now).kind
                       == Admission::Kind::Accepted);
    }

    // Guards against a queued request that is sent, or stays silent, after its deadline.
    void expiredInQueueIsNotRun()
    {
        EndpointGroup group = groupWith(1, false);
        submit(group, once("a"));
        CPPUNIT_ASSERT(group.dispatch(start + seconds(10)).empty());
        const std::vector<Settlement> settled = group.takeSettled();
        CPPUNIT_ASSERT_EQUAL(size_t(1), settled.size());
        CPPUNIT_ASSERT(settled[0].outcome->kind == OutcomeKind::NotRun);
        CPPUNIT_ASSERT(failureOf(settled[0].outcome->error) == Failure::DeadlinePassed);
        const Admission repeat = submit(group, once("a"), start + seconds(10));
        CPPUNIT_ASSERT(repeat.outcome == settled[0].outcome);
    }

    // Guards against a flood of one class that closes the queue for the others.
    void fullQueueOfOneClassLeavesOthersOpen()
    {
        EndpointGroup group = groupWith(1, true, {.maxQueued = 5});
        submitMany(group, 5, UrgencyClass::Deferred);
        const Admission full = submit(group, idempotent(UrgencyClass::Deferred));
        CPPUNIT_ASSERT(reasonOf(full) == Failure::QueueFull);
        CPPUNIT_ASSERT_EQUAL(std::string("Request-Class"), detailOf(full.outcome->error).field);
        CPPUNIT_ASSERT(submit(group, idempotent(UrgencyClass::Urgent)).kind
                       == Admission::Kind::Accepted);
    }

    // Guards against borrowed slots that are not given back when their class needs them.
    void classBelowItsShareGetsTheNextSlot()
    {
        EndpointGroup group = groupWith(1);
        submitMany(group, 30, UrgencyClass::Urgent);
        const std::vector<Send> sends = group.dispatch(start);
        CPPUNIT_ASSERT_EQUAL(size_t(8), sends.size()); // the idle slots are lent
        const Ticket deferred = submit(group, idempotent(UrgencyClass::Deferred)).ticket;
        const Ticket normal = submit(group, idempotent(UrgencyClass::Normal)).ticket;
        std::set<Ticket> next;
        for (size_t i = 0; i < 2; ++i) {
            group.finished(sends[i].ticket, SendResult::Answered, good(), start);
            next.insert(group.dispatch(start).at(0).ticket);
        }
        CPPUNIT_ASSERT(next == std::set<Ticket>({deferred, normal}));
    }

    // Guards against new work on an endpoint that leaves, by the list or by its own report.
    void leavingEndpointGetsNothingNew()
    {
        EndpointGroup group = groupWith(2);
        group.report(endpointA, {.slots = 8, .active = 0, .isLeaving = true}, start);
        submitMany(group, 20, UrgencyClass::Normal);
        for (const Send &send : group.dispatch(start))
            CPPUNIT_ASSERT_EQUAL(endpointB, send.endpoint);
        group.setEndpoints({{endpointB, "127.0.0.1:1", true}}, start);
        CPPUNIT_ASSERT(reasonOf(submit(group, idempotent())) == Failure::NotReady);
        CPPUNIT_ASSERT_EQUAL(int64_t(8), group.underWay());
    }

    // Guards against a failing endpoint that keeps failing requests, or that never returns.
    void failingEndpointIsEjectedAndReturnsCarefully()
    {
        EndpointGroup group = groupWith(1);
        submitMany(group, 12, UrgencyClass::Normal);
        for (const Send &send : group.dispatch(start)) {
            const Outcome refused =
                    Outcome::unknown(makeError(Failure::ConnectionRefused, "refused"));
            group.finished(send.ticket, SendResult::NotSent, refused, start);
        }
        CPPUNIT_ASSERT(group.dispatch(start).empty());
        const TimePoint back = start + seconds(1);
        const std::vector<Send> probe = group.dispatch(back);
        CPPUNIT_ASSERT_EQUAL(size_t(1), probe.size());
        group.finished(probe[0].ticket, SendResult::Answered, good(), back);
        CPPUNIT_ASSERT_EQUAL(size_t(2), group.dispatch(back).size());
    }

    // Guards against a slow endpoint that holds as many requests as a fast one.
    void slowEndpointGetsLessConcurrency()
    {
        EndpointGroup group = groupWith(3);
        TimePoint now = start;
        int64_t most = 0;
        std::deque<std::pair<TimePoint, Ticket>> running[2];
        for (int round = 0; round < 2000; ++round, now += milliseconds(10)) {
            Submission submission = idempotent();
            submission.deadline = now + seconds(20);
            for (int i = 0; i < 30; ++i)
                group.submit(submission, now, UnixMilliseconds(unixBase));
            for (const Send &send : group.dispatch(now)) {
                const bool isSlow = send.endpoint == endpointA;
                running[isSlow].emplace_back(now + milliseconds(isSlow ? 150 : 30), send.ticket);
            }
            for (auto &queue : running) {
                while (!queue.empty() && queue.front().first <= now) {
                    group.finished(queue.front().second, SendResult::Answered, good(), now);
                    queue.pop_front();
                }
            }
            if (round > 1000)
                most = std::max<int64_t>(most, static_cast<int64_t>(running[1].size()));
        }
        CPPUNIT_ASSERT(most <= 2);
    }

    // Guards against a second run, and against an unfounded claim that the request was not run.
    void lostNonIdempotentIsUnknownAndNotRetried()
    {
        EndpointGroup group = groupWith(2);
        submit(group, once("a"));
        const Send send = group.dispatch(start).at(0);
        CPPUNIT_ASSERT(submit(group, once("a")).kind == Admission::Kind::Joined);
        group.finished(send.ticket, SendResult::MayHaveRun, lost(), start);
        CPPUNIT_ASSERT(group.takeSettled().at(0).outcome->kind == OutcomeKind::Unknown);
        CPPUNIT_ASSERT(group.dispatch(start).empty());
        CPPUNIT_ASSERT(submit(group, once("a")).outcome->kind == OutcomeKind::Unknown);
    }

    // Guards against failing a request that another endpoint can serve.
    void unsentRequestIsRetriedElsewhere()
    {
        EndpointGroup group = groupWith(2);
        submit(group, once("a"));
        const Send first = group.dispatch(start).at(0);
        group.finished(first.ticket, SendResult::NotSent, lost(), start);
        const Send second = group.dispatch(start).at(0);
        CPPUNIT_ASSERT(first.endpoint != second.endpoint);
        group.finished(second.ticket, SendResult::NotSent, lost(), start); // the budget is spent
        CPPUNIT_ASSERT(group.takeSettled().at(0).outcome->kind == OutcomeKind::NotRun);
    }

    // Guards against a planned stop that cuts requests, or that accepts further ones.
    void releaseFinishesWhatWasAccepted()
    {
        EndpointGroup group = groupWith(1);
        submitMany(group, 9, UrgencyClass::Normal);
        const std::vector<Send> sends = group.dispatch(start);
        group.beginRelease();
        CPPUNIT_ASSERT(reasonOf(submit(group, once("a"))) == Failure::NotOwner);
        for (const Send &send : sends)
            group.finished(send.ticket, SendResult::Answered, good(), start);
        const Send last = group.dispatch(start).at(0);
        CPPUNIT_ASSERT(!group.isIdle());
        group.finished(last.ticket, SendResult::Answered, good(), start);
        CPPUNIT_ASSERT(group.isIdle());
    }

    // Guards against a silent connection that holds an idempotent request, and against a retry
    // that is sent into a slot which the dropped try may occupy.
    void slowTryIsDroppedWhenItCanBeRetried()
    {
        EndpointGroup group = groupWith(2);
        observe(group, 20);
        const Ticket ticket = submit(group, idempotent()).ticket;
        const Send first = group.dispatch(start).at(0);
        CPPUNIT_ASSERT(group.takeGiveUps(start + milliseconds(499)).empty());
        const TimePoint limit = start + milliseconds(500);
        const GiveUp dropped = group.takeGiveUps(limit).at(0);
        CPPUNIT_ASSERT(dropped.ticket == ticket && dropped.endpoint == first.endpoint);
        CPPUNIT_ASSERT(group.takeGiveUps(limit).empty());
        group.finished(ticket, SendResult::MayHaveRun, lost(), limit);
        CPPUNIT_ASSERT(group.hasSuspectSlots(first.endpoint));
        const Send second = group.dispatch(limit).at(0);
        CPPUNIT_ASSERT(second.ticket == ticket && second.endpoint != first.endpoint);
        group.finished(ticket, SendResult::Answered, good(), limit);
        CPPUNIT_ASSERT(group.takeSettled().at(0).outcome->kind == OutcomeKind::Answered);
    }

    // Guards against a service that became slower and whose requests are then all dropped.
    void slowTryGoesOnWithoutBudget()
    {
        EndpointGroup group = groupWith(4);
        observe(group, 20);
        for (int i = 0; i < 16; ++i)
            submit(group, idempotent());
        const size_t sent = group.dispatch(start).size();
        CPPUNIT_ASSERT_EQUAL(size_t(16), sent);
        size_t dropped = 0;
        for (Duration wait = milliseconds(500); wait < seconds(9); wait += milliseconds(100))
            dropped += group.takeGiveUps(start + wait).size();
        CPPUNIT_ASSERT(dropped >= 1 && dropped <= 5);
    }

    // Guards against an early end of a request that must not be sent again.
    void nonIdempotentTryIsNeverDropped()
    {
        EndpointGroup group = groupWith(2);
        observe(group, 20);
        submit(group, once("a"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), group.dispatch(start).size());
        CPPUNIT_ASSERT(group.takeGiveUps(start + seconds(9)).empty());
    }

    // Guards against a lapsed owner that claims a sent request was not run.
    void abandonTellsQueuedFromSent()
    {
        EndpointGroup group = groupWith(1);
        submitMany(group, 9, UrgencyClass::Normal);
        group.dispatch(start);
        group.abandon();
        int64_t unknown = 0;
        for (const Settlement &settlement : group.takeSettled())
            unknown += settlement.outcome->kind == OutcomeKind::Unknown ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(int64_t(8), unknown);
        CPPUNIT_ASSERT_EQUAL(int64_t(1), group.counters().notRun);
        CPPUNIT_ASSERT(group.isIdle() && group.dispatch(start).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointGroupTest);

} // namespace
