// Tests of routing between entries with the network replaced by functions.

#include "base/error.h"
#include "entry/router.h"
#include "requests/routing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <set>

namespace {

using namespace cwl;
using namespace cwl::entry;
using requests::Outcome;
using requests::OutcomeKind;

constexpr int64_t groupCount = 4;

ExecuteRequest requestFor(bool isIdempotent, Duration timeout = seconds(10))
{
    ExecuteRequest request;
    request.service = ServiceId("draw");
    request.method = "pair";
    request.id = *requests::parseRequestId("1700000000000-a");
    request.isIdempotent = isIdempotent;
    request.deadline = BootClock::now() + timeout;
    return request;
}

rpc::Message resultOf(const Outcome &outcome)
{
    return encodeResult({std::make_shared<const Outcome>(outcome), 0});
}

class RouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(ownGroupIsServedHere);
    CPPUNIT_TEST(nonIdempotentGoesToTheGroupOfItsId);
    CPPUNIT_TEST(idempotentIsSpreadOverGroups);
    CPPUNIT_TEST(lostNonIdempotentIsUnknown);
    CPPUNIT_TEST(lostIdempotentIsRetriedWithinTheBudget);
    CPPUNIT_TEST(notRunAfterALossIsUnknown);
    CPPUNIT_TEST(refusedConnectionIsTriedAgain);
    CPPUNIT_TEST(staleOwnerIsTriedAgainAndEndsAsNotRun);
    CPPUNIT_TEST(garbledResultIsUnknown);
    CPPUNIT_TEST(forwardedRequestMakesAtMostTwoHops);
    CPPUNIT_TEST_SUITE_END();

    struct Call
    {
        std::string address;
        rpc::Message message;
        TimePoint deadline;
        rpc::CallCallback callback;
    };

    std::set<GroupId> m_owned;
    std::map<GroupId, std::string> m_owners;
    std::deque<Call> m_calls;
    std::deque<std::function<void()>> m_timers;
    int m_executedHere = 0;
    std::vector<requests::SharedOutcome> m_outcomes;
    std::shared_ptr<Router> m_router;

public:
    void setUp() override
    {
        for (int64_t i = 0; i < groupCount; ++i)
            m_owners[requests::endpointGroupId(ServiceId("draw"), i)] =
                    "owner-" + std::to_string(i);
        RouterPorts ports;
        ports.groups = [](const ServiceId &) { return groupCount; };
        ports.ownsGroup = [this](const GroupId &group) { return m_owned.contains(group); };
        ports.ownerAddress = [this](const GroupId &group) {
            const auto found = m_owners.find(group);
            return found == m_owners.end() ? std::nullopt : std::optional(found->second);
        };
        ports.call = [this](const std::string &address, rpc::Message message, TimePoint deadline,
                            rpc::CallCallback callback) {
            m_calls.push_back({address, std::move(message), deadline, std::move(callback)});
        };
        ports.executeHere = [this](const ExecuteRequest &, const ExecuteCallback &callback) {
            ++m_executedHere;
            callback({std::make_shared<const Outcome>(Outcome::answered(200, "", "here"))});
        };
        ports.after = [this](Duration, std::function<void()> function) {
            m_timers.push_back(std::move(function));
        };
        m_router = Router::create(ports, 1);
    }

    // Guards against a needless hop, which costs time and a second failure point.
    void ownGroupIsServedHere()
    {
        for (const auto &[group, address] : m_owners)
            m_owned.insert(group);
        route(requestFor(false));
        CPPUNIT_ASSERT_EQUAL(1, m_executedHere);
        CPPUNIT_ASSERT_EQUAL(std::string("here"), m_outcomes.at(0)->body);
        CPPUNIT_ASSERT(m_calls.empty());
    }

    // Guards against a repeat of an id that reaches another owner than the first try.
    void nonIdempotentGoesToTheGroupOfItsId()
    {
        for (int i = 0; i < 20; ++i) {
            route(requestFor(false));
            CPPUNIT_ASSERT_EQUAL(m_calls.front().address, m_calls.back().address);
        }
        CPPUNIT_ASSERT(m_calls.front().deadline > BootClock::now());
        const Json::Value &content = m_calls.front().message.content;
        CPPUNIT_ASSERT_EQUAL(Json::Int64(1), content["hops"].asInt64());
        CPPUNIT_ASSERT(content["remainingMs"].asInt64() <= 9950);
    }

    // Guards against one owner that gets all idempotent requests.
    void idempotentIsSpreadOverGroups()
    {
        std::set<std::string> addresses;
        for (int i = 0; i < 100; ++i) {
            route(requestFor(true));
            addresses.insert(m_calls.back().address);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(groupCount), addresses.size());
    }

    // Guards against a second run, and against the claim that it was not run.
    void lostNonIdempotentIsUnknown()
    {
        for (const Failure failure : {Failure::ConnectionLost, Failure::Timeout}) {
            route(requestFor(false));
            answer(makeError(failure, "lost"));
            CPPUNIT_ASSERT(m_outcomes.back()->kind == OutcomeKind::Unknown);
            CPPUNIT_ASSERT(m_timers.empty());
        }
    }

    // Guards against losing an idempotent request that can run again, and against endless retries.
    void lostIdempotentIsRetriedWithinTheBudget()
    {
        route(requestFor(true));
        answer(makeError(Failure::ConnectionLost, "lost"));
        CPPUNIT_ASSERT(m_outcomes.empty());
        runTimers();
        answer(resultOf(Outcome::answered(200, "", "late")));
        CPPUNIT_ASSERT_EQUAL(std::string("late"), m_outcomes.at(0)->body);
        route(requestFor(true));
        answer(makeError(Failure::ConnectionLost, "lost")); // 2 requests do not pay for 2 retries
        CPPUNIT_ASSERT(m_outcomes.at(1)->kind == OutcomeKind::Unknown);
    }

    // Guards against "not run" for a request whose earlier try may have run.
    void notRunAfterALossIsUnknown()
    {
        route(requestFor(true));
        answer(makeError(Failure::ConnectionLost, "lost"));
        runTimers();
        answer(resultOf(Outcome::notRun(makeError(Failure::QueueFull, "full"))));
        CPPUNIT_ASSERT(m_outcomes.at(0)->kind == OutcomeKind::Unknown);
    }

    // Guards against failing a request that provably reached nobody.
    void refusedConnectionIsTriedAgain()
    {
        route(requestFor(false));
        answer(makeError(Failure::ConnectionRefused, "refused"));
        CPPUNIT_ASSERT(m_outcomes.empty());
        runTimers();
        answer(resultOf(Outcome::answered(200, "", "ok")));
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), m_outcomes.at(0)->body);
    }

    // Guards against a request that is tried for ever while its group has no owner.
    void staleOwnerIsTriedAgainAndEndsAsNotRun()
    {
        route(requestFor(false, milliseconds(100)));
        int tries = 0;
        while (m_outcomes.empty() && tries < 100) {
            ++tries;
            answer(resultOf(Outcome::notRun(makeError(Failure::NotOwner, "not mine"))));
            runTimers();
        }
        CPPUNIT_ASSERT(m_outcomes.at(0)->kind == OutcomeKind::NotRun);
        CPPUNIT_ASSERT(failureOf(m_outcomes.at(0)->error) == Failure::NotOwner);
        m_owners.clear();
        route(requestFor(true, milliseconds(10)));
        CPPUNIT_ASSERT(failureOf(m_outcomes.at(1)->error) == Failure::NoOwner);
    }

    // Guards against an answer that was not understood being taken for "not run".
    void garbledResultIsUnknown()
    {
        route(requestFor(false));
        answer(rpc::Message{});
        CPPUNIT_ASSERT(m_outcomes.at(0)->kind == OutcomeKind::Unknown);
    }

    // Guards against entries that forward a request to each other in a circle.
    void forwardedRequestMakesAtMostTwoHops()
    {
        ExecuteRequest request = requestFor(false);
        request.hops = 1;
        std::vector<requests::SharedOutcome> outcomes;
        const auto callback = [&outcomes](const ExecuteResult &result) {
            outcomes.push_back(result.outcome);
        };
        m_router->serve(request, callback);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_calls.size());
        CPPUNIT_ASSERT_EQUAL(Json::Int64(2), m_calls.at(0).message.content["hops"].asInt64());
        answer(makeError(Failure::ConnectionLost, "lost"));
        CPPUNIT_ASSERT(outcomes.at(0)->kind == OutcomeKind::Unknown);
        request.hops = maxHops;
        m_router->serve(request, callback); // settled here, as not run unless this entry owns it
        CPPUNIT_ASSERT_EQUAL(1, m_executedHere);
    }

private:
    void route(const ExecuteRequest &request)
    {
        m_router->route(request, [this](const requests::SharedOutcome &outcome) {
            m_outcomes.push_back(outcome);
        });
    }

    void answer(absl::StatusOr<rpc::Message> result)
    {
        CPPUNIT_ASSERT(!m_calls.empty());
        const Call call = m_calls.front();
        m_calls.pop_front();
        call.callback(std::move(result));
    }

    void runTimers()
    {
        const auto timers = std::exchange(m_timers, {});
        for (const auto &timer : timers)
            timer();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace
