// The advice router with members that are gone. The advice service handles one query at a time for
// each calling instance.

#include "cell/advicerouter.h"
#include "http/server.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::cell;

constexpr Duration shortTime = milliseconds(20);
constexpr Duration longTime = milliseconds(100);
constexpr Duration generous = seconds(12);        // for anything that is waited for
constexpr const char *lostMember = "127.0.0.1:1"; // refuses connections

using Timer = boost::asio::basic_waitable_timer<BootClock>;

// The advice service as one calling instance sees it: it handles one query after the other.
class Service : public AdviceService
{
public:
    explicit Service(boost::asio::io_context &context)
        : m_timer(context)
    {
    }

    void ask(const std::string &step, const std::vector<WorkerId> &workers, TimePoint,
             Callback callback) override
    {
        m_calls.push_back({step, workers, std::move(callback)});
        if (m_calls.size() == 1)
            handleNext();
    }

private:
    struct Call
    {
        std::string step;
        std::vector<WorkerId> workers;
        Callback callback;
    };

    void handleNext()
    {
        m_timer.expires_after(m_calls.front().step[0] == 's' ? shortTime : longTime);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            const Call call = std::move(m_calls.front());
            m_calls.pop_front();
            if (!m_calls.empty())
                handleNext();
            std::vector<jobs::AllowedWorker> allowed;
            for (const WorkerId &worker : call.workers)
                allowed.push_back({worker, "ticket"});
            call.callback(allowed);
        });
    }

    std::deque<Call> m_calls;
    Timer m_timer;
};

class AdviceRouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdviceRouterTest);
    CPPUNIT_TEST(lostMemberWithholdsNoLongQueries);
    CPPUNIT_TEST(queryOfALostMemberIsAnsweredByAnother);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context{1};
    const boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
            m_context.get_executor()};
    Service m_local{m_context};
    Service m_remote{m_context};
    std::unique_ptr<http::Server> m_member;
    std::unique_ptr<AdviceRouter> m_router;

    // Another member, which sends queries to the service on behalf of the router.
    std::string openMember()
    {
        auto server = http::Server::create(
                m_context, {},
                [this](const http::Request &request, const http::Responder &respond) {
                    if (request.path != "/cell/advise") {
                        http::Response response;
                        response.body = R"({"epoch":0})";
                        respond(response);
                        return;
                    }
                    const auto query = decodeAdviceRequest(request.body);
                    m_remote.ask(query->first, query->second, {}, [respond](const auto &allowed) {
                        http::Response response;
                        response.body = encodeAdviceResponse(*allowed);
                        respond(response);
                    });
                });
        CPPUNIT_ASSERT(server.ok());
        m_member = *std::move(server);
        return absl::StrCat("127.0.0.1:", m_member->port());
    }

    static jobs::AdviceQuery queryFor(const std::string &job, int64_t priority, Duration expected)
    {
        jobs::AdviceQuery query;
        query.step.job = JobId(job);
        query.workers = {WorkerId("a")};
        query.priority = priority;
        query.expected = expected;
        return query;
    }

    // Keeps one more short query under way from now on.
    void addShortQueries()
    {
        m_router->query(queryFor("short", 0, shortTime), [this](const auto &) {
            boost::asio::post(m_context, [this] {
                if (m_router)
                    addShortQueries();
            });
        });
    }

    // Queries again after each failure, as the dispatcher does.
    void queryLong(const std::function<void()> &answered)
    {
        m_router->query(queryFor("long", -1, longTime), [this, answered](const auto &allowed) {
            if (allowed.ok()) {
                answered();
                return;
            }
            const auto timer = std::make_shared<Timer>(m_context, milliseconds(100));
            timer->async_wait([this, answered, timer](boost::system::error_code) {
                if (m_router)
                    queryLong(answered);
            });
        });
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const TimePoint limit = BootClock::now() + generous;
        while (!condition() && BootClock::now() < limit) {
            m_context.run_one_for(milliseconds(20));
            m_router->dispatchWaiting();
        }
        return condition();
    }

public:
    void setUp() override { m_router = std::make_unique<AdviceRouter>(m_context, m_local); }

    void tearDown() override
    {
        m_router.reset();
        m_member.reset();
    }

    // Guards against the fault of review/9: while one of three members was gone, its row counted as
    // a free caller, and long queries went to it or to none.
    void lostMemberWithholdsNoLongQueries()
    {
        m_router->setMembers({openMember(), lostMember});
        for (int number = 0; number < 6; ++number)
            addShortQueries();
        for (int number = 0; number < 4; ++number) {
            bool isAnswered = false;
            queryLong([&] { isAnswered = true; });
            CPPUNIT_ASSERT(runUntil([&] { return isAnswered; }));
        }
    }

    // Guards against a query that fails because the member that it was sent to is gone, while
    // others are free.
    void queryOfALostMemberIsAnsweredByAnother()
    {
        m_router->setMembers({openMember()});
        std::optional<bool> isAnswered;
        const auto query = [&] {
            isAnswered.reset();
            // Two long queries occupy this process and the other member.
            m_router->query(queryFor("long", 0, longTime), [](const auto &) {});
            m_router->query(queryFor("long", 0, longTime),
                            [&](const auto &allowed) { isAnswered = allowed.ok(); });
            CPPUNIT_ASSERT(runUntil([&] { return isAnswered.has_value(); }));
        };
        query();
        CPPUNIT_ASSERT(*isAnswered);
        m_member.reset();
        query();
        CPPUNIT_ASSERT(*isAnswered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceRouterTest);

} // namespace
