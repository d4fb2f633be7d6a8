// Tests that the platform stand-in keeps its transactions and fails as told.

#include "standins/testsupport.h"

#include "base/error.h"

namespace {

using namespace standinstest;
using cwl::Failure;
using cwl::harness::Harness;

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(commitIsAtomicAndConditional);
    CPPUNIT_TEST(sameChangeIdWritesOnce);
    CPPUNIT_TEST(lostAnswerHasTakenEffect);
    CPPUNIT_TEST(outageWritesNothing);
    CPPUNIT_TEST(silentStoreWritesNothing);
    CPPUNIT_TEST(delayedWriteTakesEffectLate);
    CPPUNIT_TEST(writesBeyondTheLimitAreRefused);
    CPPUNIT_TEST(readsBeyondTheLimitAreRefused);
    CPPUNIT_TEST(instanceListLags);
    CPPUNIT_TEST(objectsAreKept);
    CPPUNIT_TEST(malformedCommitIsRefused);
    CPPUNIT_TEST_SUITE_END();

    Harness m_harness;
    std::string m_address;

    static Json::Value change(const std::string &id, const std::string &key, int64_t revision,
                              const Json::Value &value)
    {
        Json::Value body;
        body["changeId"] = id;
        body["conditions"][0]["table"] = "t";
        body["conditions"][0]["key"] = key;
        body["conditions"][0]["revision"] = Json::Int64(revision);
        body["writes"][0]["table"] = "t";
        body["writes"][0]["key"] = key;
        body["writes"][0]["value"] = value;
        return body;
    }

    Json::Value commit(const Json::Value &body) { return post(m_address, "/tables/commit", body); }
    Json::Value outcome(const std::string &id) { return get(m_address, "/tables/changes/" + id); }
    Json::Value rows(const std::string &prefix)
    {
        Json::Value body;
        body["reads"][0]["table"] = "t";
        body["reads"][0]["prefix"] = prefix;
        return post(m_address, "/tables/read", body)["rows"][0];
    }
    size_t listed() { return get(m_address, "/instances")["instances"].size(); }

public:
    void setUp() override
    {
        const Json::Value list = json(R"({"instances": [{"id": "i1", "kind": "worker"}]})");
        std::vector<uint16_t> ports;
        m_harness.startReady("platform", "standin-platform",
                             {"--instances", m_harness.writeFile("instances.json", list)}, ports);
        m_address = loopback(ports.at(0));
    }

    // Guards against a store that lets two claims of one row succeed.
    void commitIsAtomicAndConditional()
    {
        const Json::Value first = commit(change("c1", "a", 0, "x"));
        CPPUNIT_ASSERT(first["committed"].asBool());
        Json::Value second = change("c2", "a", 0, "y");
        second["writes"][1] = json(R"({"table": "t", "key": "b", "value": 1})");
        const Json::Value refused = commit(second);
        CPPUNIT_ASSERT(!refused["committed"].asBool());
        CPPUNIT_ASSERT_EQUAL(first["revision"].asInt64(),
                             refused["conflict"]["revision"].asInt64());
        CPPUNIT_ASSERT_EQUAL(1U, rows("").size());
        CPPUNIT_ASSERT_EQUAL(std::string("x"), rows("a")[0]["value"].asString());
        const int64_t revision = rows("a")[0]["revision"].asInt64();
        CPPUNIT_ASSERT(commit(change("c3", "a", revision, Json::Value()))["committed"].asBool());
        CPPUNIT_ASSERT(rows("").empty());
        const Json::Value again = commit(change("c4", "a", 0, "z"));
        CPPUNIT_ASSERT(again["revision"].asInt64() > revision);
    }

    void sameChangeIdWritesOnce()
    {
        const Json::Value first = commit(change("c1", "a", 0, "x"));
        commit(change("c2", "a", first["revision"].asInt64(), "y"));
        CPPUNIT_ASSERT(first == commit(change("c1", "a", 0, "x")));
        CPPUNIT_ASSERT_EQUAL(std::string("y"), rows("a")[0]["value"].asString());
        CPPUNIT_ASSERT_EQUAL(1, get(m_address, "/control/counters")["repeatedCommits"].asInt());
    }

    void lostAnswerHasTakenEffect()
    {
        post(m_address, "/control", R"({"loseNextAnswers": 1})");
        const auto answer =
                cwl::harness::postJson(m_address, "/tables/commit", change("c1", "a", 0, "x"));
        CPPUNIT_ASSERT(cwl::failureOf(answer.status()) == Failure::ConnectionLost);
        CPPUNIT_ASSERT(outcome("c1")["known"].asBool());
        CPPUNIT_ASSERT(outcome("c1")["committed"].asBool());
        CPPUNIT_ASSERT_EQUAL(1U, rows("a").size());
        CPPUNIT_ASSERT_EQUAL(1, get(m_address, "/control/counters")["lostAnswers"].asInt());
    }

    void outageWritesNothing()
    {
        post(m_address, "/control", R"({"outage": true})");
        const Json::Value refused =
                post(m_address, "/tables/commit", change("c1", "a", 0, "x"), 503);
        CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"), refused["error"]["type"].asString());
        CPPUNIT_ASSERT_EQUAL(size_t(1), listed());
        post(m_address, "/control", R"({"outage": false})");
        CPPUNIT_ASSERT(!outcome("c1")["known"].asBool());
        CPPUNIT_ASSERT(rows("").empty());
    }

    void silentStoreWritesNothing()
    {
        post(m_address, "/control", R"({"silent": true})");
        const auto answer =
                cwl::harness::postJson(m_address, "/tables/commit", change("c1", "a", 0, "x"),
                                       BootClock::now() + milliseconds(500));
        CPPUNIT_ASSERT(cwl::failureOf(answer.status()) == Failure::Timeout);
        post(m_address, "/control", R"({"silent": false})");
        CPPUNIT_ASSERT(!outcome("c1")["known"].asBool());
    }

    // Guards against clients that take a write for failed while it is still on its way.
    void delayedWriteTakesEffectLate()
    {
        post(m_address, "/control", R"({"delayMs": 1000})");
        const auto answer =
                cwl::harness::postJson(m_address, "/tables/commit", change("c1", "a", 0, "x"),
                                       BootClock::now() + milliseconds(400));
        CPPUNIT_ASSERT(cwl::failureOf(answer.status()) == Failure::Timeout);
        post(m_address, "/control", R"({"delayMs": 0})");
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return outcome("c1")["committed"].asBool(); }));
    }

    void writesBeyondTheLimitAreRefused()
    {
        post(m_address, "/control", R"({"maxWritesPerSecond": 2})");
        Json::Value large = change("c1", "a", 0, "x");
        for (Json::ArrayIndex i = 1; i < 3; ++i)
            large["writes"][i] = large["writes"][0];
        const Json::Value refused = post(m_address, "/tables/commit", large, 429);
        CPPUNIT_ASSERT_EQUAL(std::string("rate_limited"), refused["error"]["type"].asString());
        CPPUNIT_ASSERT(!outcome("c1")["known"].asBool());
        CPPUNIT_ASSERT(commit(change("c2", "a", 0, "x"))["committed"].asBool());
        CPPUNIT_ASSERT_EQUAL(1, get(m_address, "/control/counters")["rateLimited"].asInt());
    }

    void readsBeyondTheLimitAreRefused()
    {
        post(m_address, "/control", R"({"maxReadsPerSecond": 1})");
        post(m_address, "/tables/read",
             R"({"reads": [{"table": "t", "key": "a"}, {"table": "t", "key": "b"}]})", 429);
        CPPUNIT_ASSERT(rows("").empty());
    }

    void instanceListLags()
    {
        CPPUNIT_ASSERT_EQUAL(size_t(1), listed());
        post(m_address, "/control", R"({"listLagMs": 1500})");
        post(m_address, "/control", R"({"instance": {"id": "i2", "kind": "endpoint"}})");
        post(m_address, "/control", R"({"removeInstance": "i1"})");
        const Json::Value early = get(m_address, "/instances");
        CPPUNIT_ASSERT_EQUAL(std::string("i1"), early["instances"][0]["id"].asString());
        CPPUNIT_ASSERT_EQUAL(1U, early["instances"].size());
        CPPUNIT_ASSERT(waitUntil(patience(), [&] {
            const Json::Value later = get(m_address, "/instances")["instances"];
            return later.size() == 1 && later[0]["id"].asString() == "i2";
        }));
    }

    void objectsAreKept()
    {
        const std::string content("with a zero \0 byte", 18);
        const auto stored = cwl::harness::call(
                m_address, {.method = "PUT", .path = "/objects/o/1", .body = content});
        CPPUNIT_ASSERT(stored.ok() && stored->status == 200);
        const auto found = cwl::harness::call(m_address, {.path = "/objects/o/1"});
        CPPUNIT_ASSERT(found.ok() && found->body == content);
        CPPUNIT_ASSERT_EQUAL(404, cwl::harness::call(m_address, {.path = "/objects/o/2"})->status);
    }

    // Guards against a client that sends something else than the published protocol unnoticed.
    void malformedCommitIsRefused()
    {
        post(m_address, "/tables/commit", R"({"writes": []})", 400);
        post(m_address, "/tables/commit", R"({"changeId": "c", "write": []})", 400);
        post(m_address, "/tables/commit",
             R"({"changeId": "c", "writes": [{"table": "t", "key": "k"}]})", 400);
        post(m_address, "/control", R"({"outrage": true})", 400);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

} // namespace
