// Tests that every fault of the proxy is one that a client notices as that fault, and ends with it.

#include "standins/testsupport.h"

#include "base/error.h"
#include "http/client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <future>
#include <thread>

namespace {

using namespace standinstest;
using cwl::Failure;
using cwl::harness::Harness;

class ProxyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProxyTest);
    CPPUNIT_TEST(passesRequestsOn);
    CPPUNIT_TEST(delaysEveryRequest);
    CPPUNIT_TEST(refusesNewConnectionsOnThePortItKeeps);
    CPPUNIT_TEST(silencesOpenConnectionsForGood);
    CPPUNIT_TEST(frozenRequestArrivesLate);
    CPPUNIT_TEST(cutOfAnswersLetsRequestsThrough);
    CPPUNIT_TEST(cutOfBothLetsNothingThrough);
    CPPUNIT_TEST(closesOpenConnections);
    CPPUNIT_TEST_SUITE_END();

    Harness m_harness;
    std::string m_control;
    std::string m_link;
    std::string m_endpoints;

    // A client whose connections are kept between requests.
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard =
            boost::asio::make_work_guard(m_context);
    std::thread m_thread;
    std::unique_ptr<cwl::http::Client> m_client;

    Failure send(const std::string &id, cwl::Duration patienceOfCaller = seconds(30))
    {
        cwl::http::Request request{.method = "POST", .path = "/m", .body = "b"};
        request.headers.set("Request-Id", id);
        std::promise<Failure> promise;
        m_client->send(request, BootClock::now() + patienceOfCaller,
                       [&promise](const absl::StatusOr<cwl::http::Response> &response) {
                           promise.set_value(cwl::failureOf(response.status()));
                       });
        return promise.get_future().get();
    }

    void command(const char *body) { post(m_control, "/control", body); }

    int executions(const std::string &id)
    {
        return get(m_endpoints, "/control/executions")["executions"].get(id, 0).asInt();
    }

public:
    void setUp() override
    {
        std::vector<uint16_t> ports;
        const Json::Value endpoints = json(R"({"endpoints": [{"id": "e1", "serviceMs": 0}]})");
        m_harness.startReady("endpoints", "standin-endpoints",
                             {"--settings", m_harness.writeFile("endpoints.json", endpoints)},
                             ports);
        m_endpoints = loopback(ports.at(0));
        Json::Value links;
        links["links"][0]["name"] = "l";
        links["links"][0]["target"] = loopback(ports.at(1));
        m_harness.startReady("proxy", "fault-proxy",
                             {"--settings", m_harness.writeFile("proxy.json", links)}, ports);
        m_control = loopback(ports.at(0));
        m_link = loopback(ports.at(1));
        m_client = *cwl::http::Client::create(m_context, {.address = m_link, .maxConnections = 1});
        m_thread = std::thread([this] { m_context.run(); });
    }

    void tearDown() override
    {
        m_client.reset();
        m_context.stop();
        m_thread.join();
    }

    void passesRequestsOn()
    {
        CPPUNIT_ASSERT(send("1-a") == Failure::None);
        CPPUNIT_ASSERT(send("1-b") == Failure::None);
        const Json::Value link = get(m_control, "/control/links")["links"]["l"];
        CPPUNIT_ASSERT_EQUAL(1, link["accepted"].asInt());
        CPPUNIT_ASSERT(link["bytesToClient"].asInt() > 0);
        post(m_control, "/control", R"({"link": "unknown"})", 404);
        post(m_control, "/control", R"({"link": "l", "cut": "some"})", 400);
    }

    void delaysEveryRequest()
    {
        command(R"({"link": "l", "delayMs": 100})");
        const cwl::TimePoint start = BootClock::now();
        CPPUNIT_ASSERT(send("1-a") == Failure::None);
        CPPUNIT_ASSERT(BootClock::now() - start >= milliseconds(200));
    }

    void refusesNewConnectionsOnThePortItKeeps()
    {
        CPPUNIT_ASSERT(send("1-a") == Failure::None);
        command(R"({"link": "l", "refuse": true})");
        CPPUNIT_ASSERT(send("1-b") == Failure::None); // the open connection goes on
        command(R"({"link": "l", "closeOpen": true})");
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return m_client->openConnections() == 0; }));
        CPPUNIT_ASSERT(send("1-c") == Failure::ConnectionRefused);
        command(R"({"link": "*", "refuse": false})");
        CPPUNIT_ASSERT(send("1-c") == Failure::None);
        CPPUNIT_ASSERT_EQUAL(1, executions("1-c"));
    }

    void silencesOpenConnectionsForGood()
    {
        CPPUNIT_ASSERT(send("1-a") == Failure::None);
        command(R"({"link": "l", "silenceOpen": true})");
        CPPUNIT_ASSERT(send("1-b", milliseconds(500)) == Failure::Timeout);
        CPPUNIT_ASSERT_EQUAL(0, executions("1-b"));
        CPPUNIT_ASSERT(send("1-c") == Failure::None); // on a new connection
        CPPUNIT_ASSERT_EQUAL(1, executions("1-c"));
    }

    // Guards against a fault that drops what it should deliver late.
    void frozenRequestArrivesLate()
    {
        CPPUNIT_ASSERT(send("1-a") == Failure::None);
        command(R"({"link": "l", "freeze": "toTarget"})");
        std::future<Failure> answer =
                std::async(std::launch::async, [this] { return send("1-b"); });
        std::this_thread::sleep_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(0, executions("1-b"));
        command(R"({"link": "l", "freeze": "none"})");
        CPPUNIT_ASSERT(answer.get() == Failure::None);
        CPPUNIT_ASSERT_EQUAL(1, executions("1-b"));
    }

    void cutOfAnswersLetsRequestsThrough()
    {
        command(R"({"link": "l", "cut": "toClient"})");
        CPPUNIT_ASSERT(send("1-a", milliseconds(500)) == Failure::Timeout);
        CPPUNIT_ASSERT_EQUAL(1, executions("1-a"));
        command(R"({"link": "l", "cut": "none"})");
        CPPUNIT_ASSERT(send("1-b") == Failure::None);
    }

    void cutOfBothLetsNothingThrough()
    {
        CPPUNIT_ASSERT(send("1-a") == Failure::None);
        command(R"({"link": "l", "cut": "both"})");
        CPPUNIT_ASSERT(send("1-b", milliseconds(500)) == Failure::Timeout); // kept connection
        CPPUNIT_ASSERT(send("1-c", milliseconds(500)) == Failure::Timeout); // new connection
        command(R"({"link": "l", "cut": "none"})");
        CPPUNIT_ASSERT(send("1-d") == Failure::None);
        CPPUNIT_ASSERT_EQUAL(0, executions("1-b"));
        CPPUNIT_ASSERT_EQUAL(0, executions("1-c"));
    }

    void closesOpenConnections()
    {
        command(R"({"link": "l", "freeze": "toTarget"})");
        std::future<Failure> answer =
                std::async(std::launch::async, [this] { return send("1-a"); });
        CPPUNIT_ASSERT(waitUntil(patience(), [&] {
            return get(m_control, "/control/links")["links"]["l"]["open"].asInt() == 1;
        }));
        std::this_thread::sleep_for(milliseconds(50));
        command(R"({"link": "l", "closeOpen": true})");
        CPPUNIT_ASSERT(answer.get() == Failure::ConnectionLost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyTest);

} // namespace
