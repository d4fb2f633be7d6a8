// Tests that the endpoint stand-in records what an entry must never do, and fails as told.

#include "standins/testsupport.h"

#include "base/error.h"

#include <future>

namespace {

using namespace standinstest;
using cwl::Failure;
using cwl::harness::Harness;

class EndpointTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointTest);
    CPPUNIT_TEST(secondExecutionIsRecorded);
    CPPUNIT_TEST(slotOverloadIsRecorded);
    CPPUNIT_TEST(connectionOverloadIsRecorded);
    CPPUNIT_TEST(closedConnectionsOfASilentEndpointDoNotCount);
    CPPUNIT_TEST(startWhileLeavingIsRecorded);
    CPPUNIT_TEST(truncatedAnswerIsNeverWhole);
    CPPUNIT_TEST(lostAnswerWasExecuted);
    CPPUNIT_TEST_SUITE_END();

    Harness m_harness;
    std::string m_control;
    std::string m_first;
    std::string m_second;

    absl::StatusOr<cwl::http::Response> execute(const std::string &address, const std::string &id,
                                                cwl::TimePoint deadline = patience())
    {
        cwl::http::Request request{.method = "POST", .path = "/draw", .body = "round 1"};
        request.headers.set("Request-Id", id);
        return cwl::harness::call(address, request, deadline);
    }

    Json::Value executions() { return get(m_control, "/control/executions"); }

public:
    void setUp() override
    {
        const Json::Value settings = json(R"({"endpoints": [
            {"id": "e1", "slots": 2, "connections": 3}, {"id": "e2", "slots": 2}]})");
        std::vector<uint16_t> ports;
        m_harness.startReady("endpoints", "standin-endpoints",
                             {"--settings", m_harness.writeFile("endpoints.json", settings)},
                             ports);
        m_control = loopback(ports.at(0));
        m_first = loopback(ports.at(1));
        m_second = loopback(ports.at(2));
    }

    void secondExecutionIsRecorded()
    {
        const auto answer = execute(m_first, "1-a");
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("1-a"), json(answer->body)["requestId"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("round 1"), json(answer->body)["body"].asString());
        CPPUNIT_ASSERT_EQUAL(1, executions()["executions"]["1-a"].asInt());
        CPPUNIT_ASSERT(execute(m_second, "1-a").ok());
        CPPUNIT_ASSERT_EQUAL(2, executions()["executions"]["1-a"].asInt());
        CPPUNIT_ASSERT_EQUAL(0, executions()["slotOverloads"].asInt());
        CPPUNIT_ASSERT_EQUAL(0, executions()["connectionOverloads"].asInt());
    }

    void slotOverloadIsRecorded()
    {
        post(m_control, "/control", R"({"endpoint": "e1", "serviceMs": 1000})");
        std::vector<std::future<bool>> running;
        for (const char *id : {"1-a", "1-b", "1-c"})
            running.push_back(std::async(std::launch::async,
                                         [this, id] { return execute(m_first, id).ok(); }));
        for (std::future<bool> &one : running)
            CPPUNIT_ASSERT(one.get());
        CPPUNIT_ASSERT_EQUAL(1, executions()["slotOverloads"].asInt());
        CPPUNIT_ASSERT_EQUAL(3, executions()["endpoints"]["e1"]["mostActive"].asInt());
        CPPUNIT_ASSERT_EQUAL(0, get(m_first, "/status")["active"].asInt());
    }

    void connectionOverloadIsRecorded()
    {
        post(m_control, "/control", R"({"endpoint": "e1", "serviceMs": 1000})");
        std::vector<std::future<bool>> running;
        for (int i = 0; i < 4; ++i)
            running.push_back(std::async(std::launch::async, [this, i] {
                return execute(m_first, "1-" + std::to_string(i)).ok();
            }));
        for (std::future<bool> &one : running)
            CPPUNIT_ASSERT(one.get());
        CPPUNIT_ASSERT_EQUAL(1, executions()["connectionOverloads"].asInt());
        CPPUNIT_ASSERT_EQUAL(4, executions()["endpoints"]["e1"]["mostConnections"].asInt());
    }

    // Guards against a false verdict on an entry that gave up on silent connections and closed
    // them.
    void closedConnectionsOfASilentEndpointDoNotCount()
    {
        post(m_control, "/control", R"({"endpoint": "e1", "silent": true})");
        for (int i = 0; i < 5; ++i) {
            const auto answer = execute(m_first, "1-" + std::to_string(i),
                                        BootClock::now() + milliseconds(300));
            CPPUNIT_ASSERT(cwl::failureOf(answer.status()) == Failure::Timeout);
        }
        CPPUNIT_ASSERT_EQUAL(0, executions()["connectionOverloads"].asInt());
        CPPUNIT_ASSERT_EQUAL(1, executions()["executions"]["1-4"].asInt());
    }

    void startWhileLeavingIsRecorded()
    {
        CPPUNIT_ASSERT(execute(m_first, "1-a").ok());
        post(m_control, "/control", R"({"endpoint": "e1", "leaving": true})");
        CPPUNIT_ASSERT(get(m_first, "/status")["leaving"].asBool());
        CPPUNIT_ASSERT_EQUAL(-1,
                             executions()["endpoints"]["e1"]["lastStartAfterLeavingMs"].asInt());
        CPPUNIT_ASSERT(execute(m_first, "1-b").ok());
        CPPUNIT_ASSERT(executions()["endpoints"]["e1"]["lastStartAfterLeavingMs"].asInt() >= 0);
    }

    void truncatedAnswerIsNeverWhole()
    {
        post(m_control, "/control",
             R"({"endpoint": "e1", "truncate": true, "answerBytes": 100000})");
        const auto answer = execute(m_first, "1-a");
        CPPUNIT_ASSERT(cwl::failureOf(answer.status()) == Failure::AnswerTruncated);
    }

    void lostAnswerWasExecuted()
    {
        post(m_control, "/control", R"({"endpoint": "*", "loseNext": 1})");
        const auto answer = execute(m_first, "1-a");
        CPPUNIT_ASSERT(cwl::failureOf(answer.status()) == Failure::ConnectionLost);
        CPPUNIT_ASSERT_EQUAL(1, executions()["executions"]["1-a"].asInt());
        CPPUNIT_ASSERT(execute(m_first, "1-b").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);

} // namespace
