// Properties of endpoint groups over random schedules. RapidCheck prints the seed of a failure, and
// RC_PARAMS="seed=N" repeats it.

#include "base/error.h"
#include "requests/endpointgroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

namespace {

using namespace cwl;
using namespace cwl::requests;

constexpr int64_t unixBase = 1'700'000'000'000;
constexpr int64_t endpointCount = 2;
constexpr int64_t slots = 3;
constexpr int64_t idCount = 12;          // few, so that repeats are common
constexpr int64_t idSpacing = 1000;      // ms; ids near the clocks' differences are common
constexpr int64_t maxClockOffset = 2000; // ms; by which the clocks of two owners differ at most

// Draws from the whole range. Without the size, RapidCheck draws only near the minimum at first.
template <typename T>
T draw(T minimum, T end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(minimum, end));
}

// Two owners after one another, the endpoints they share, and callers that repeat ids.
class Schedule
{
public:
    Schedule() { takeOver(true); }

    void step()
    {
        switch (draw(0, 10)) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            submit();
            break;
        case 5:
        case 6:
            finishOne();
            break;
        case 7:
            pass(milliseconds(draw(1, 3000)));
            break;
        case 8:
            reportOne();
            break;
        default:
            if (draw(0, 3) == 0)
                takeOver(false);
            break;
        }
        dispatch();
    }

    void end()
    {
        pass(seconds(31));
        dispatch();
        pass(seconds(31));
        dispatch();
        RC_ASSERT(m_group->isIdle());
        RC_ASSERT(m_open.empty());
        RC_ASSERT(m_active.empty());
    }

private:
    // A request at an endpoint. It stays there after its owner stopped to listen.
    struct Active
    {
        Ticket ticket;
        EndpointId endpoint;
        int64_t owner; // 0 when nobody listens
        TimePoint sentAt;
        TimePoint deadline;
        std::optional<RequestId> id; // non-idempotent and not yet counted as run
    };

    UnixMilliseconds unixNow() const
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_now - TimePoint());
        return UnixMilliseconds(unixBase + elapsed.count() + m_clockOffset);
    }

    // The earlier owner's requests go on at the endpoints; their answers are lost.
    void takeOver(bool isFirst)
    {
        if (m_group) {
            m_group->abandon();
            collect();
        }
        ++m_owner;
        m_clockOffset = draw<int64_t>(0, maxClockOffset + 1);
        m_group = std::make_unique<EndpointGroup>(
                settings::ServiceSettings{.slotsPerEndpoint = slots, .maxQueued = 6},
                GroupStart{m_now, unixNow(), isFirst}, IdMemoryOptions{.maxIds = 8});
        m_group->setEndpoints(list(), m_now);
    }

    static std::vector<ListedEndpoint> list()
    {
        std::vector<ListedEndpoint> all;
        for (int64_t i = 0; i < endpointCount; ++i)
            all.push_back({EndpointId("e-" + std::to_string(i)), "127.0.0.1:1", false});
        return all;
    }

    void submit()
    {
        const int64_t number = draw<int64_t>(0, idCount);
        const int64_t time = unixBase + idSpacing * number;
        Submission submission;
        submission.isIdempotent = draw(0, 2) == 0;
        submission.id = *parseRequestId(std::to_string(time) + "-u");
        submission.urgency = static_cast<UrgencyClass>(draw(0, 3));
        submission.deadline = m_now + milliseconds(draw(0, 30000));
        const Admission admission = m_group->submit(submission, m_now, unixNow());
        if (admission.kind == Admission::Kind::Settled) {
            RC_ASSERT(admission.outcome != nullptr);
            if (admission.outcome->kind == OutcomeKind::NotRun && !submission.isIdempotent)
                assertNeverSent(submission.id->id);
            return;
        }
        const bool isNew = m_open.try_emplace(admission.ticket, submission).second;
        RC_ASSERT(isNew == (admission.kind == Admission::Kind::Accepted));
    }

    void dispatch()
    {
        for (const Send &send : m_group->dispatch(m_now)) {
            RC_ASSERT(send.deadline > m_now);
            const Submission &submission = m_open.at(send.ticket);
            std::optional<RequestId> id;
            if (!submission.isIdempotent)
                id = submission.id->id;
            m_active.push_back({send.ticket, send.endpoint, m_owner, m_now, send.deadline, id});
            RC_ASSERT(activeAt(send.endpoint) <= slots);
        }
        giveUp();
        collect();
    }

    void giveUp()
    {
        for (const GiveUp &one : m_group->takeGiveUps(m_now)) {
            RC_ASSERT(m_open.at(one.ticket).isIdempotent);
            const auto found =
                    std::find_if(m_active.begin(), m_active.end(), [&](const Active &active) {
                        return active.owner == m_owner && active.ticket == one.ticket;
                    });
            RC_ASSERT(found != m_active.end());
            RC_ASSERT(found->endpoint == one.endpoint);
            finish(static_cast<size_t>(found - m_active.begin()), SendResult::MayHaveRun);
        }
    }

    // A refusal as not-run is false for an id that ran, or is at an endpoint for any owner.
    void assertNeverSent(const RequestId &id) const
    {
        RC_ASSERT(m_runs.count(id) == 0);
        for (const Active &active : m_active)
            RC_ASSERT(active.id != id);
    }

    int64_t activeAt(const EndpointId &id) const
    {
        return std::count_if(m_active.begin(), m_active.end(),
                             [&](const Active &active) { return active.endpoint == id; });
    }

    void finishOne()
    {
        if (m_active.empty())
            return;
        const auto index = draw<size_t>(0, m_active.size());
        const auto result = *rc::gen::element(SendResult::NotSent, SendResult::MayHaveRun,
                                              SendResult::Answered, SendResult::AnsweredError);
        finish(index, result);
    }

    void finish(size_t index, SendResult result)
    {
        const Active active = m_active[index];
        const bool isHeard = active.owner == m_owner;
        if (!isHeard || result != SendResult::NotSent)
            countRun(m_active[index]);
        if (isHeard && result == SendResult::MayHaveRun)
            m_active[index].owner = 0;
        else
            m_active.erase(m_active.begin() + static_cast<ptrdiff_t>(index));
        if (!isHeard)
            return;
        Outcome outcome = Outcome::unknown(makeError(Failure::ConnectionLost, "lost"));
        if (result == SendResult::Answered || result == SendResult::AnsweredError)
            outcome = Outcome::answered(200, "", std::to_string(active.ticket));
        m_group->finished(active.ticket, result, std::move(outcome), m_now);
        collect();
    }

    void countRun(Active &active)
    {
        if (!active.id)
            return;
        RC_ASSERT(++m_runs[*active.id] == 1);
        RC_ASSERT(m_notRun.count(*active.id) == 0);
        active.id.reset();
    }

    // The HTTP client ends a send at its deadline, and no endpoint works for longer than the
    // longest deadline.
    void pass(Duration duration)
    {
        m_now += duration;
        for (size_t i = m_active.size(); i-- > 0;) {
            if (m_active[i].owner == m_owner && m_active[i].deadline <= m_now)
                finish(i, SendResult::MayHaveRun);
            if (m_active[i].owner != m_owner && m_active[i].sentAt + maxRequestDeadline <= m_now)
                finish(i, SendResult::Answered);
        }
    }

    void reportOne()
    {
        const EndpointId id("e-" + std::to_string(draw<int64_t>(0, endpointCount)));
        const int64_t active = activeAt(id);
        m_group->report(id, {.slots = slots, .active = active}, m_now);
    }

    void collect()
    {
        for (const Settlement &settlement : m_group->takeSettled()) {
            const auto found = m_open.find(settlement.ticket);
            RC_ASSERT(found != m_open.end()); // exactly once
            const Submission &submission = found->second;
            if (settlement.outcome->kind == OutcomeKind::Answered)
                RC_ASSERT(settlement.outcome->body == std::to_string(settlement.ticket));
            if (settlement.outcome->kind == OutcomeKind::NotRun && !submission.isIdempotent) {
                RC_ASSERT(m_runs.count(submission.id->id) == 0);
                m_notRun[submission.id->id] = true;
            }
            m_open.erase(found);
        }
    }

    TimePoint m_now{};
    int64_t m_owner = 0;
    int64_t m_clockOffset = 0; // ms; of the owner's clock
    std::unique_ptr<EndpointGroup> m_group;
    std::map<Ticket, Submission> m_open;
    std::vector<Active> m_active;
    std::map<RequestId, int> m_runs;
    std::map<RequestId, bool> m_notRun;
};

class RequestsProperties : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestsProperties);
    CPPUNIT_TEST(atMostOnceWithinSlotsAndOneOutcome);
    CPPUNIT_TEST(sharesHoldInAFloodOfAnyClass);
    CPPUNIT_TEST(admittedRequestsMeetTheirDeadlines);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a double run, a false not-run, an overloaded endpoint and a request without an
    // outcome, over schedules with takeovers by owners of other clocks, repeats, lost
    // answers and refused connections.
    void atMostOnceWithinSlotsAndOneOutcome()
    {
        CPPUNIT_ASSERT(rc::check("at most once, within the slots, one outcome", [] {
            Schedule schedule;
            const int steps = draw(10, 300);
            for (int i = 0; i < steps; ++i)
                schedule.step();
            schedule.end();
        }));
    }

    // Guards against a flood of one class that starves the others of their shares.
    void sharesHoldInAFloodOfAnyClass()
    {
        CPPUNIT_ASSERT(rc::check("shares hold in a flood", [] {
            const auto flood = static_cast<size_t>(draw(0, 3));
            const int64_t endpoints = draw(1, 6);
            PerClass<int64_t> served = serveFlood(flood, endpoints);
            const settings::ServiceSettings service;
            int64_t total = 0;
            for (const int64_t count : served)
                total += count;
            for (size_t i = 0; i < urgencyClassCount; ++i)
                RC_ASSERT(served[i] * 100 >= total * (service.classShares[i] - 5));
        }));
    }

    // Guards against admission that lets requests wait in vain: those admitted before an overload
    // is known aside, nearly all of them are answered in time.
    void admittedRequestsMeetTheirDeadlines()
    {
        CPPUNIT_ASSERT(rc::check("admitted requests are answered in time", [] {
            const int64_t perTick = draw<int64_t>(1, 12);
            EndpointGroup group({}, {.isFirstOwner = true});
            group.setEndpoints({{EndpointId("e-0"), "127.0.0.1:1", false}}, TimePoint());
            std::multimap<TimePoint, Ticket> running;
            TimePoint now{};
            for (int tick = 0; tick < 1000; ++tick, now += milliseconds(10)) {
                const Submission submission{
                        .method = "m", .isIdempotent = true, .deadline = now + milliseconds(500)};
                for (int64_t i = 0; i < perTick; ++i)
                    group.submit(submission, now, UnixMilliseconds(unixBase));
                while (!running.empty() && running.begin()->first <= now) {
                    group.finished(running.begin()->second, SendResult::Answered,
                                   Outcome::answered(200, "", ""), now);
                    running.erase(running.begin());
                }
                for (const Send &send : group.dispatch(now))
                    running.emplace(now + milliseconds(50), send.ticket);
            }
            const GroupCounters &counters = group.counters();
            RC_ASSERT(counters.notRun * 10 <= counters.answered);
            // 8 slots of 50 ms serve 160 a second.
            RC_ASSERT(counters.answered >= std::min<int64_t>(1000 * perTick, 1600) * 9 / 10);
        }));
    }

private:
    // Keeps every class queued, the flooding one tenfold, and counts what each gets.
    static PerClass<int64_t> serveFlood(size_t flood, int64_t endpoints)
    {
        EndpointGroup group({}, {.isFirstOwner = true});
        std::vector<ListedEndpoint> list;
        for (int64_t i = 0; i < endpoints; ++i)
            list.push_back({EndpointId("e-" + std::to_string(i)), "127.0.0.1:1", false});
        group.setEndpoints(list, TimePoint());
        std::map<Ticket, size_t> classes;
        std::multimap<TimePoint, Ticket> running;
        PerClass<int64_t> served = {};
        TimePoint now{};
        for (int tick = 0; tick < 150; ++tick, now += milliseconds(10)) {
            for (size_t i = 0; i < urgencyClassCount; ++i) {
                const int64_t count = (i == flood ? 30 : 4) * endpoints;
                for (int64_t k = 0; k < count; ++k) {
                    const Admission admission =
                            group.submit({.method = "m",
                                          .isIdempotent = true,
                                          .urgency = static_cast<UrgencyClass>(i),
                                          .deadline = now + seconds(20)},
                                         now, UnixMilliseconds(unixBase));
                    if (admission.kind == Admission::Kind::Accepted)
                        classes[admission.ticket] = i;
                }
            }
            while (!running.empty() && running.begin()->first <= now) {
                ++served[classes.at(running.begin()->second)];
                group.finished(running.begin()->second, SendResult::Answered,
                               Outcome::answered(200, "", ""), now);
                running.erase(running.begin());
            }
            for (const Send &send : group.dispatch(now))
                running.emplace(now + milliseconds(30), send.ticket);
        }
        return served;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestsProperties);

} // namespace
