// Tests of an owner that serves callers over real connections on loopback: callers' HTTP, router,
// executor and endpoints of the test's own. Only the membership is replaced.

#include "base/error.h"
#include "base/json.h"
#include "entry/callersapi.h"
#include "entry/executor.h"
#include "entry/router.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using namespace cwl;
using namespace cwl::entry;

using Answer = absl::StatusOr<http::Response>;

const GroupId group("endpoint/draw/0");

TimePoint soon()
{
    return BootClock::now() + seconds(20);
}

template <typename Condition>
bool waitUntil(Condition condition)
{
    const TimePoint deadline = soon();
    while (!condition()) {
        if (BootClock::now() > deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

// An endpoint that answers with the request's body, after a delay or never.
class Endpoint
{
public:
    explicit Endpoint(asio::io_context &context)
        : m_context(context)
    {
        auto server = http::Server::create(
                context, {}, [this](const http::Request &request, const http::Responder &respond) {
                    handle(request, respond);
                });
        CPPUNIT_ASSERT(server.ok());
        m_server = *std::move(server);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }
    int64_t runsOf(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }

    std::atomic<int64_t> serviceMs = 1;
    std::atomic<bool> isSilent = false; // runs requests and never answers them
    std::atomic<bool> isLeaving = false;
    std::atomic<int64_t> active = 0;
    std::atomic<int64_t> mostActive = 0;
    std::atomic<int64_t> runs = 0;
    std::atomic<int64_t> statusAsked = 0;
    std::atomic<int64_t> unanswered = 0; // requests kept without an answer

private:
    void handle(const http::Request &request, const http::Responder &respond)
    {
        if (request.path == "/status") {
            Json::Value status;
            status["slots"] = 8;
            status["connections"] = 1;
            status["active"] = Json::Int64(active);
            status["leaving"] = isLeaving.load();
            ++statusAsked;
            respond({.body = writeJson(status)});
            return;
        }
        ++runs;
        const int64_t now = ++active;
        int64_t most = mostActive;
        while (now > most && !mostActive.compare_exchange_weak(most, now)) {
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[request.headers.value("Request-Id")];
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_context, milliseconds(serviceMs));
        timer->async_wait([this, timer, request, respond](const boost::system::error_code &) {
            --active;
            if (isSilent) {
                m_unanswered.push_back(respond);
                ++unanswered;
                return;
            }
            respond({.body = request.path + request.body});
        });
    }

    asio::io_context &m_context;
    mutable std::mutex m_mutex;
    std::map<std::string, int64_t> m_runs;
    std::vector<http::Responder> m_unanswered; // one thread runs the endpoints
    std::unique_ptr<http::Server> m_server;
};

class ExecutorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutorTest);
    CPPUNIT_TEST(eachCallerGetsItsOwnResponse);
    CPPUNIT_TEST(slotsHoldUnderLoad);
    CPPUNIT_TEST(lostResponseIsUnknownAndRunsOnce);
    CPPUNIT_TEST(silentEndpointHoldsNoIdempotentRequest);
    CPPUNIT_TEST(silentConnectionIsReplacedByANewOne);
    CPPUNIT_TEST(repeatWaitsForTheFirstNoLongerThanItsDeadline);
    CPPUNIT_TEST(leavingEndpointGetsNothingNew);
    CPPUNIT_TEST(unreachableEndpointIsNotRun);
    CPPUNIT_TEST(lostGroupEndsEverything);
    CPPUNIT_TEST(repeatWithoutOwnerIsUnknown);
    CPPUNIT_TEST(olderEpochSendsNothing);
    CPPUNIT_TEST(releaseWaitsForRequestsUnderWay);
    CPPUNIT_TEST(takeoverAsksForStatusFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (auto *context : {&m_context, &m_context, &m_endpointContext}) {
            m_guards.push_back(asio::make_work_guard(*context));
            m_threads.emplace_back([context] { context->run(); });
        }
        m_endpoint = std::make_unique<Endpoint>(m_endpointContext);
        settings::CellSettings cell;
        cell.cell.services["draw"].endpointGroups = 1;
        cell.cell.services["draw"].methods = {{"motions", {.idempotent = true}}, {"pair", {}}};
        m_settings = std::make_shared<const settings::CellSettings>(cell);
        m_executor = Executor::create(m_context, [this](const GroupId &) -> std::optional<Epoch> {
            return m_epoch == 0 ? std::nullopt : std::optional(Epoch(m_epoch));
        });
        m_router = Router::create(ports(), 1);
        m_api = std::make_unique<CallersApi>(
                [this] { return m_settings; },
                [this](ExecuteRequest request, Router::Callback callback) {
                    m_router->route(std::move(request), std::move(callback));
                },
                m_limits, m_metrics);
        auto server = http::Server::create(
                m_context, {}, [this](http::Request request, http::Responder respond) {
                    m_api->handle(std::move(request), std::move(respond));
                });
        m_server = *std::move(server);
        auto client =
                http::Client::create(m_context,
                                     {.address = "127.0.0.1:" + std::to_string(m_server->port()),
                                      .maxConnections = 200});
        m_client = *std::move(client);
        m_executor->setSettings(m_settings);
        m_executor->setEndpoints(
                {{ServiceId("draw"), {{EndpointId("e-0"), m_endpoint->address()}}}});
    }

    void tearDown() override
    {
        m_guards.clear();
        m_context.stop();
        m_endpointContext.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    // Guards against crossed or incomplete responses on shared connections.
    void eachCallerGetsItsOwnResponse()
    {
        acquire(1);
        std::vector<std::future<Answer>> answers;
        for (int i = 0; i < 300; ++i)
            answers.push_back(post("motions", "", std::to_string(i)));
        for (int i = 0; i < 300; ++i) {
            const Answer answer = answers[static_cast<size_t>(i)].get();
            assertOutcome(answer, 200, "answered");
            CPPUNIT_ASSERT_EQUAL("/motions" + std::to_string(i), answer->body);
        }
    }

    // Guards against more requests on an endpoint than it has slots.
    void slotsHoldUnderLoad()
    {
        acquire(1);
        m_endpoint->serviceMs = 5;
        std::vector<std::future<Answer>> answers;
        for (int i = 0; i < 150; ++i)
            answers.push_back(post("motions"));
        for (std::future<Answer> &answer : answers)
            assertOutcome(answer.get(), 200, "answered");
        CPPUNIT_ASSERT_EQUAL(int64_t(8), m_endpoint->mostActive.load());
    }

    // Guards against a second run of a non-idempotent request whose response was lost.
    void lostResponseIsUnknownAndRunsOnce()
    {
        acquire(1);
        m_endpoint->isSilent = true;
        const std::string id = newId("a");
        assertOutcome(post("pair", id, "", milliseconds(300)).get(), 504, "unknown");
        m_endpoint->isSilent = false;
        assertOutcome(post("pair", id).get(), 504, "unknown");
        CPPUNIT_ASSERT_EQUAL(int64_t(1), m_endpoint->runsOf(id));
    }

    // Guards against an idempotent request that waits for its deadline at a silent endpoint while
    // another endpoint is free, and against a second run of one that is not idempotent.
    void silentEndpointHoldsNoIdempotentRequest()
    {
        Endpoint other(m_endpointContext);
        m_executor->setEndpoints({{ServiceId("draw"),
                                   {{EndpointId("e-0"), m_endpoint->address()},
                                    {EndpointId("e-1"), other.address()}}}});
        acquire(1);
        for (int i = 0; i < 40; ++i)
            assertOutcome(post("motions").get(), 200, "answered");
        m_endpoint->isSilent = true;
        CPPUNIT_ASSERT(waitUntil([&] {
            assertOutcome(post("motions").get(), 200, "answered");
            return m_endpoint->unanswered > 0;
        }));
        other.isSilent = true;
        const std::string id = newId("a");
        assertOutcome(post("pair", id, "", milliseconds(1500)).get(), 504, "unknown");
        CPPUNIT_ASSERT_EQUAL(int64_t(1), m_endpoint->runsOf(id) + other.runsOf(id));
    }

    // Guards against a request that is lost with a connection although a new one would work.
    void silentConnectionIsReplacedByANewOne()
    {
        acquire(1);
        for (int i = 0; i < 20; ++i)
            assertOutcome(post("motions").get(), 200, "answered");
        m_endpoint->isSilent = true;
        std::future<Answer> answer = post("motions", "", "x");
        CPPUNIT_ASSERT(waitUntil([&] { return m_endpoint->unanswered == 1; }));
        m_endpoint->isSilent = false;
        assertOutcome(answer.get(), 200, "answered");
    }

    // Guards against a repeat that runs again, or that outlives its own caller.
    void repeatWaitsForTheFirstNoLongerThanItsDeadline()
    {
        acquire(1);
        m_endpoint->serviceMs = 1000;
        const std::string id = newId("a");
        std::future<Answer> first = post("pair", id, "x");
        CPPUNIT_ASSERT(waitUntil([&] { return m_endpoint->runsOf(id) == 1; }));
        std::future<Answer> same = post("pair", id, "x");
        assertOutcome(post("pair", id, "x", milliseconds(100)).get(), 504, "unknown");
        assertOutcome(first.get(), 200, "answered");
        assertOutcome(same.get(), 200, "answered");
        CPPUNIT_ASSERT_EQUAL(int64_t(1), m_endpoint->runsOf(id));
    }

    // Guards against new work on an endpoint that says by itself that it leaves.
    void leavingEndpointGetsNothingNew()
    {
        acquire(1);
        assertOutcome(post("motions").get(), 200, "answered");
        m_endpoint->isLeaving = true;
        const int64_t asked = m_endpoint->statusAsked;
        CPPUNIT_ASSERT(waitUntil([&] { return m_endpoint->statusAsked > asked + 1; }));
        const int64_t runs = m_endpoint->runs;
        assertOutcome(post("motions", "", "", milliseconds(300)).get(), 503, "not-run");
        CPPUNIT_ASSERT_EQUAL(runs, m_endpoint->runs.load());
    }

    // Guards against "unknown" where it is certain that nothing ran.
    void unreachableEndpointIsNotRun()
    {
        m_executor->setEndpoints({{ServiceId("draw"), {{EndpointId("e-0"), "127.0.0.1:1"}}}});
        acquire(1);
        assertOutcome(post("pair", newId("a"), "", milliseconds(500)).get(), 503, "not-run");
    }

    // Guards against an owner that goes on after its validity lapsed.
    void lostGroupEndsEverything()
    {
        acquire(1);
        m_endpoint->serviceMs = 3000;
        std::future<Answer> answer = post("pair", newId("a"));
        CPPUNIT_ASSERT(waitUntil([&] { return m_endpoint->active == 1; }));
        m_epoch = 0;
        m_executor->lose(group);
        assertOutcome(answer.get(), 502, "unknown");
        assertOutcome(post("pair", newId("b")).get(), 503, "not-run");
    }

    // Guards against "not run" for an id that ran at an owner which has since been lost.
    void repeatWithoutOwnerIsUnknown()
    {
        acquire(1);
        const std::string id = newId("a");
        assertOutcome(post("pair", id).get(), 200, "answered");
        m_epoch = 0;
        m_executor->lose(group);
        m_attempt = 2;
        assertOutcome(post("pair", id).get(), 502, "unknown");
    }

    // Guards against sends for a tenure that ended, when the same process got the group again.
    void olderEpochSendsNothing()
    {
        acquire(1);
        m_epoch = 2; // the listener has not yet been told
        assertOutcome(post("pair", newId("a"), "", milliseconds(300)).get(), 503, "not-run");
        CPPUNIT_ASSERT_EQUAL(int64_t(0), m_endpoint->runs.load());
        acquire(2);
        assertOutcome(post("pair", newId("b")).get(), 200, "answered");
    }

    // Guards against a planned stop that cuts a request in flight.
    void releaseWaitsForRequestsUnderWay()
    {
        acquire(1);
        m_endpoint->serviceMs = 300;
        std::vector<std::future<Answer>> answers;
        for (int i = 0; i < 20; ++i)
            answers.push_back(post("motions"));
        CPPUNIT_ASSERT(waitUntil([&] { return m_endpoint->active == 8; }));
        CPPUNIT_ASSERT(waitUntil([&] { return m_limits.requests() == 20; }));
        std::promise<void> released;
        m_executor->release(group, [&released] { released.set_value(); });
        released.get_future().get();
        CPPUNIT_ASSERT_EQUAL(int64_t(20), m_endpoint->runs.load());
        for (std::future<Answer> &answer : answers)
            assertOutcome(answer.get(), 200, "answered");
        assertOutcome(post("pair", newId("b")).get(), 503, "not-run");
    }

    // Guards against a new owner that fills slots which the earlier owner's requests occupy.
    void takeoverAsksForStatusFirst()
    {
        m_endpoint->active = 6; // of the earlier owner
        acquire(2, false);
        m_endpoint->serviceMs = 100;
        std::vector<std::future<Answer>> answers;
        for (int i = 0; i < 20; ++i)
            answers.push_back(post("motions"));
        for (std::future<Answer> &answer : answers)
            assertOutcome(answer.get(), 200, "answered");
        CPPUNIT_ASSERT_EQUAL(int64_t(8), m_endpoint->mostActive.load());
    }

private:
    RouterPorts ports()
    {
        RouterPorts ports;
        ports.groups = [](const ServiceId &) { return 1; };
        ports.ownsGroup = [this](const GroupId &) { return m_epoch != 0; };
        ports.ownerAddress = [](const GroupId &) { return std::nullopt; };
        ports.call = [](const std::string &, const rpc::Message &, TimePoint,
                        const rpc::CallCallback &callback) {
            callback(makeError(Failure::ConnectionRefused, "no network between entries here"));
        };
        ports.executeHere = [this](ExecuteRequest request, ExecuteCallback callback) {
            m_executor->execute(std::move(request), std::move(callback));
        };
        ports.after = [this](Duration pause, std::function<void()> function) {
            const auto timer = std::make_shared<asio::steady_timer>(m_context, pause);
            timer->async_wait([timer, function = std::move(function)](
                                      const boost::system::error_code &) { function(); });
        };
        return ports;
    }

    void acquire(int64_t epoch, bool isFirstOwner = true)
    {
        m_epoch = epoch;
        m_executor->acquire({.group = group,
                             .epoch = Epoch(epoch),
                             .isFirstOwner = isFirstOwner,
                             .acquiredAt = BootClock::now(),
                             .acquiredAtUnix = UnixMilliseconds::now()});
    }

    static std::string newId(const std::string &unique)
    {
        return std::to_string(UnixMilliseconds::now().value()) + "-" + unique;
    }

    std::future<Answer> post(const std::string &method, const std::string &id = {},
                             const std::string &body = {}, milliseconds timeout = seconds(10))
    {
        http::Request request{
                .method = "POST", .path = "/v1/services/draw/" + method, .body = body};
        if (!id.empty())
            request.headers.set("Request-Id", id);
        request.headers.set("Request-Attempt", std::to_string(m_attempt));
        request.headers.set("Request-Deadline-Ms", std::to_string(timeout.count()));
        const auto promise = std::make_shared<std::promise<Answer>>();
        m_client->send(std::move(request), soon(),
                       [promise](Answer answer) { promise->set_value(std::move(answer)); });
        return promise->get_future();
    }

    static void assertOutcome(const Answer &answer, int status, const std::string &outcome)
    {
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, outcome,
                                     answer->headers.value("Request-Outcome"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, status, answer->status);
    }

    asio::io_context m_context;
    asio::io_context m_endpointContext;
    std::vector<asio::executor_work_guard<asio::io_context::executor_type>> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<int64_t> m_epoch = 0; // 0 while the group is not owned
    std::shared_ptr<const settings::CellSettings> m_settings;
    std::unique_ptr<Endpoint> m_endpoint;
    LoadLimits m_limits;
    metrics::Registry m_metrics;
    std::shared_ptr<Executor> m_executor;
    int m_attempt = 1; // that callers name
    std::shared_ptr<Router> m_router;
    std::unique_ptr<CallersApi> m_api;
    std::unique_ptr<http::Server> m_server;
    std::unique_ptr<http::Client> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorTest);

} // namespace
