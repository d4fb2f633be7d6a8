// Tests of the calls to workers against a server that is replaced by another at the same address,
// as a worker that crashes and starts again under its id.

#include "base/json.h"
#include "http/server.h"
#include "platform/workergateway.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::platform_adapter;

constexpr Duration generous = seconds(20); // for anything that is waited for
constexpr int64_t cursor = 10;
constexpr int64_t lease = 486000;

class WorkerGatewayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerGatewayTest);
    CPPUNIT_TEST(keptPollsTellAnotherProcessNothing);
    CPPUNIT_TEST(sharedPollsTellAnotherProcessNothing);
    CPPUNIT_TEST(startMeetsNoOtherProcess);
    CPPUNIT_TEST(startReachesTheProcessThatReported);
    CPPUNIT_TEST_SUITE_END();

    struct Received
    {
        int64_t born = 0; // of the process that got the call
        std::string path;
        Json::Value body;
    };

    boost::asio::io_context m_context{1};
    std::unique_ptr<http::Server> m_server;
    uint16_t m_port = 0;
    int64_t m_born = 0;
    std::vector<Received> m_received;
    std::unique_ptr<WorkerGatewayClient> m_gateway;

    void startProcess()
    {
        http::ServerOptions options;
        options.port = m_port;
        ++m_born;
        auto server = http::Server::create(
                m_context, options,
                [this, born = m_born](const http::Request &request,
                                      const http::Responder &respond) {
                    m_received.push_back({born, request.path, *parseJson(request.body)});
                    respond({.status = 200,
                             .body = absl::StrCat("{\"clockMs\":1000,\"born\":", born,
                                                  ",\"running\":[],\"finished\":[]}")});
                });
        CPPUNIT_ASSERT(server.ok());
        m_server = *std::move(server);
        m_port = m_server->port();
    }

    // The connections of the old process end; no call is under way that could fail.
    void restart()
    {
        m_server.reset();
        m_context.restart();
        m_context.run_for(milliseconds(20));
        startProcess();
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const TimePoint deadline = BootClock::now() + generous;
        while (!condition()) {
            CPPUNIT_ASSERT(BootClock::now() < deadline);
            m_context.restart();
            m_context.run_for(milliseconds(5));
        }
    }

    std::string address() const { return absl::StrCat("127.0.0.1:", m_port); }

    cell::WatchResult watch(const jobs::WatchOrder &order, bool keepsConnection)
    {
        std::optional<cell::WatchResult> result;
        m_gateway->watch({WorkerId("i-1"), address()}, order, Epoch(2), milliseconds(100),
                         keepsConnection, BootClock::now() + seconds(2),
                         [&](const cell::WatchResult &got) { result = got; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    jobs::OrderAnswer start(const jobs::Incarnation &incarnation)
    {
        jobs::StartOrder order;
        order.worker = WorkerId("i-1");
        order.address = address();
        order.task = "j.0.0.0";
        order.attempt = 1;
        order.leaseUntilMs = lease;
        order.incarnation = incarnation;
        std::optional<jobs::OrderAnswer> answer;
        m_gateway->start(order, Epoch(2), BootClock::now() + seconds(2),
                         [&](jobs::OrderAnswer got) { answer = got; });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }

    size_t startsReceivedBy(int64_t born) const
    {
        return size_t(std::count_if(m_received.begin(), m_received.end(), [&](const auto &call) {
            return call.born == born && call.path == "/v1/run-start";
        }));
    }

    void checkPolls(bool keepsConnection)
    {
        const cell::WatchResult first = watch({}, keepsConnection);
        CPPUNIT_ASSERT(first.answer == jobs::OrderAnswer::Accepted);
        jobs::WatchOrder order;
        order.acknowledged = cursor;
        order.leaseUntilMs = lease;
        order.incarnation = {first.report.born, first.sentAt};
        // The process that has reported gets everything.
        const cell::WatchResult known = watch(order, keepsConnection);
        CPPUNIT_ASSERT(!known.isIdentification);
        CPPUNIT_ASSERT_EQUAL(cursor, m_received.back().body["ackCursor"].asInt64());
        CPPUNIT_ASSERT_EQUAL(lease, m_received.back().body["deadlineMs"].asInt64());
        order.incarnation.confirmedAt = known.sentAt;
        restart();
        const cell::WatchResult met = watch(order, keepsConnection);
        CPPUNIT_ASSERT(met.isIdentification);
        CPPUNIT_ASSERT_EQUAL(int64_t(2), met.report.born);
        for (const Received &received : m_received) {
            if (received.born == 1)
                continue;
            CPPUNIT_ASSERT_EQUAL(int64_t(0), received.body["ackCursor"].asInt64());
            CPPUNIT_ASSERT(!received.body.isMember("deadlineMs"));
            CPPUNIT_ASSERT(!received.body.isMember("waitMs"));
        }
        order.incarnation = {met.report.born, met.sentAt};
        CPPUNIT_ASSERT(!watch(order, keepsConnection).isIdentification);
        CPPUNIT_ASSERT_EQUAL(cursor, m_received.back().body["ackCursor"].asInt64());
    }

public:
    void setUp() override
    {
        m_gateway = std::make_unique<WorkerGatewayClient>(m_context, 100);
        startProcess();
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_server.reset();
        m_context.restart();
        m_context.run_for(milliseconds(20));
    }

    // Guards against the fault of review/2 where no poll fails: a worker restarts between two
    // polls, and the next one carries the cursor and the lease of its earlier process.
    void keptPollsTellAnotherProcessNothing() { checkPolls(true); }

    // The same where polls share the connections of the orders.
    void sharedPollsTellAnotherProcessNothing() { checkPolls(false); }

    // Guards against the fault of review/4: a start, with its lease on the clock of the process
    // that reported, is carried out by one that has started since.
    void startMeetsNoOtherProcess()
    {
        const cell::WatchResult first = watch({}, true);
        const jobs::Incarnation known = {first.report.born, first.sentAt};
        restart();
        CPPUNIT_ASSERT(start(known) == jobs::OrderAnswer::NotSent);
        CPPUNIT_ASSERT_EQUAL(size_t(0), startsReceivedBy(2));
    }

    // Guards against starts that are withheld from a worker that has not restarted, on the
    // connection that the first one opens and on the ones after it.
    void startReachesTheProcessThatReported()
    {
        const cell::WatchResult first = watch({}, true);
        const jobs::Incarnation known = {first.report.born, first.sentAt};
        CPPUNIT_ASSERT(start(known) == jobs::OrderAnswer::Accepted);
        CPPUNIT_ASSERT_EQUAL(size_t(3), m_received.size()); // with an identification
        CPPUNIT_ASSERT(start(known) == jobs::OrderAnswer::Accepted);
        CPPUNIT_ASSERT_EQUAL(size_t(4), m_received.size()); // one is enough for a connection
        const cell::WatchResult second = watch({0, {}, known}, true);
        const size_t calls = m_received.size();
        CPPUNIT_ASSERT(start({second.report.born, second.sentAt}) == jobs::OrderAnswer::Accepted);
        CPPUNIT_ASSERT_EQUAL(calls + 1, m_received.size()); // without an identification
        CPPUNIT_ASSERT_EQUAL(size_t(3), startsReceivedBy(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerGatewayTest);

} // namespace
