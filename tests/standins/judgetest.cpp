// Tests that the judges of the worker and endpoint stand-ins can fail: each fault is provoked and
// must be recorded. A judge that stays silent would let every integration test pass.

#include "standins/testsupport.h"

#include "base/error.h"

namespace {

using namespace standinstest;
using cwl::harness::Harness;
using cwl::harness::Process;

constexpr const char *workerSettings = R"({"gangToleranceMs": 300, "workers": [
    {"id": "w1", "cores": 4000, "memoryMiB": 1000, "accelerators": 1},
    {"id": "w2", "cores": 4000, "memoryMiB": 1000, "accelerators": 1, "clockOffsetMs": 5000000}]})";

class WorkerJudgeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerJudgeTest);
    CPPUNIT_TEST(workWithinCapacityIsNotRecorded);
    CPPUNIT_TEST(overloadIsRecorded);
    CPPUNIT_TEST(runOnTwoWorkersIsRecorded);
    CPPUNIT_TEST(secondStartOnTheSameWorkerIsRecorded);
    CPPUNIT_TEST(staleStartIsAcceptedAndRecorded);
    CPPUNIT_TEST(taskStopsWhenItsLeaseLapses);
    CPPUNIT_TEST(lapseDuringAPauseIsNoDoubleRun);
    CPPUNIT_TEST(startWithLapsedLeaseIsRefused);
    CPPUNIT_TEST(throttledTaskMakesNoProgress);
    CPPUNIT_TEST(gangStartedTogetherIsNotRecorded);
    CPPUNIT_TEST(gangUnthrottledBeforeAllStartedIsRecorded);
    CPPUNIT_TEST(gangOfKnownSizeThatNeverStartsWholeIsRecorded);
    CPPUNIT_TEST(gangThatRunsOnWithoutAMemberIsRecorded);
    CPPUNIT_TEST(deadWorkerAnswersNothing);
    CPPUNIT_TEST(failingWorkerRefusesStarts);
    CPPUNIT_TEST(reportWaitsForAChange);
    CPPUNIT_TEST(outcomeStaysUntilAcknowledged);
    CPPUNIT_TEST_SUITE_END();

    Harness m_harness;
    Process *m_process = nullptr;
    std::string m_address;

    Json::Value report(const std::string &worker, int64_t after = 0, int64_t waitMs = 0)
    {
        Json::Value body;
        body["afterSequence"] = Json::Int64(after);
        body["waitMs"] = Json::Int64(waitMs);
        return post(m_address, "/workers/" + worker + "/report", body);
    }

    Json::Value task(const std::string &worker, const std::string &id, int64_t leaseMs = 60000)
    {
        Json::Value result = json(R"({"attempt": 1, "epoch": 1, "group": "worker/a", "jobId": "j",
            "team": "t", "kind": "batch", "cores": 1000, "memoryMiB": 10, "accelerators": 0,
            "throttlePercent": 100, "runMs": 3600000, "spec": {}})");
        result["taskId"] = id;
        result["leaseDeadlineMs"] = Json::Int64(report(worker)["clockMs"].asInt64() + leaseMs);
        return result;
    }

    std::string start(const std::string &worker, const Json::Value &task)
    {
        Json::Value body;
        body["tasks"].append(task);
        const Json::Value answer = post(m_address, "/workers/" + worker + "/start", body);
        return answer["results"][0]["result"].asString();
    }

    void startGangTask(const std::string &worker, const std::string &id, int64_t throttlePercent)
    {
        Json::Value gangTask = task(worker, id);
        gangTask["kind"] = "gang";
        gangTask["jobId"] = "gang";
        gangTask["throttlePercent"] = Json::Int64(throttlePercent);
        CPPUNIT_ASSERT_EQUAL(std::string("started"), start(worker, gangTask));
    }

    void throttle(const std::string &worker, const std::string &id, int64_t percent)
    {
        Json::Value body;
        body["tasks"].append(id);
        body["percent"] = Json::Int64(percent);
        post(m_address, "/workers/" + worker + "/throttle", body);
    }

    Json::Value judgements() { return get(m_address, "/control/judgements"); }

    // The lists that are not empty, by name and length: "doubleRuns=1 ".
    std::string verdict()
    {
        const Json::Value found = judgements();
        std::string result;
        for (const char *list : {"overloads", "doubleRuns", "staleStarts", "partialGangs"}) {
            CPPUNIT_ASSERT_EQUAL(found["counts"][list].asUInt(), found[list].size());
            if (!found[list].empty())
                result += std::string(list) + "=" + std::to_string(found[list].size()) + " ";
        }
        return result;
    }

    std::string outcomeOf(const std::string &worker, const std::string &id)
    {
        const Json::Value shown = report(worker);
        for (const Json::Value &finished : shown["finished"]) {
            if (finished["taskId"].asString() == id)
                return finished["outcome"].asString();
        }
        return "";
    }

public:
    void setUp() override
    {
        std::vector<uint16_t> ports;
        m_process = &m_harness.startReady(
                "workers", "standin-workers",
                {"--settings", m_harness.writeFile("workers.json", json(workerSettings))}, ports);
        m_address = loopback(ports.at(0));
    }

    // Guards against a judge that reports faults where there are none.
    void workWithinCapacityIsNotRecorded()
    {
        for (const char *id : {"a", "b", "c", "d"})
            CPPUNIT_ASSERT_EQUAL(std::string("started"), start("w1", task("w1", id)));
        CPPUNIT_ASSERT_EQUAL(std::string(), verdict());
        CPPUNIT_ASSERT_EQUAL(4, judgements()["starts"].asInt());
        CPPUNIT_ASSERT_EQUAL(4U, report("w1")["running"].size());
    }

    void overloadIsRecorded()
    {
        for (const char *id : {"a", "b", "c", "d", "e"})
            CPPUNIT_ASSERT_EQUAL(std::string("started"), start("w1", task("w1", id)));
        CPPUNIT_ASSERT_EQUAL(std::string("overloads=1 "), verdict());
        const Json::Value entry = judgements()["overloads"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), entry["worker"].asString());
        CPPUNIT_ASSERT_EQUAL(5000, entry["used"]["cores"].asInt());
        CPPUNIT_ASSERT_EQUAL(4000, entry["capacity"]["cores"].asInt());
        Json::Value large = task("w2", "f");
        large["memoryMiB"] = 1001;
        start("w2", large);
        large = task("w2", "g");
        large["memoryMiB"] = 0;
        large["accelerators"] = 2;
        start("w2", large);
        CPPUNIT_ASSERT_EQUAL(std::string("overloads=3 "), verdict());
    }

    void runOnTwoWorkersIsRecorded()
    {
        start("w1", task("w1", "a"));
        start("w2", task("w2", "a"));
        CPPUNIT_ASSERT_EQUAL(std::string("doubleRuns=1 "), verdict());
        const Json::Value entry = judgements()["doubleRuns"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("a"), entry["taskId"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), entry["worker"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), entry["otherWorker"].asString());
    }

    void secondStartOnTheSameWorkerIsRecorded()
    {
        start("w1", task("w1", "a"));
        start("w1", task("w1", "a"));
        CPPUNIT_ASSERT_EQUAL(std::string("doubleRuns=1 "), verdict());
        CPPUNIT_ASSERT_EQUAL(2U, report("w1")["running"].size());
    }

    void staleStartIsAcceptedAndRecorded()
    {
        Json::Value newer = task("w1", "a", 1000);
        newer["epoch"] = 2;
        start("w1", newer);
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return !outcomeOf("w1", "a").empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("started"), start("w2", task("w2", "a")));
        CPPUNIT_ASSERT_EQUAL(std::string("staleStarts=1 "), verdict());
    }

    // Guards against tasks that outlive the owner that started them.
    void taskStopsWhenItsLeaseLapses()
    {
        start("w2", task("w2", "a", 1000));
        CPPUNIT_ASSERT_EQUAL(1U, report("w2")["running"].size());
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return !outcomeOf("w2", "a").empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("lease_lapsed"), outcomeOf("w2", "a"));
        start("w1", task("w1", "a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), verdict());
    }

    // Guards against a verdict that comes from the judge's own pause.
    void lapseDuringAPauseIsNoDoubleRun()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("started"), start("w1", task("w1", "a", 1000)));
        const Json::Value second = task("w2", "a");
        m_process->pause();
        std::this_thread::sleep_for(milliseconds(1200));
        m_process->resume();
        CPPUNIT_ASSERT_EQUAL(std::string("started"), start("w2", second));
        CPPUNIT_ASSERT_EQUAL(std::string(), verdict());
    }

    void startWithLapsedLeaseIsRefused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("lease_lapsed"), start("w1", task("w1", "a", -1)));
        CPPUNIT_ASSERT_EQUAL(0, judgements()["starts"].asInt());
    }

    void throttledTaskMakesNoProgress()
    {
        Json::Value stopped = task("w1", "a");
        stopped["runMs"] = 50;
        stopped["throttlePercent"] = 0;
        start("w1", stopped);
        Json::Value free = task("w1", "b");
        free["runMs"] = 200;
        start("w1", free);
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return !outcomeOf("w1", "b").empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), outcomeOf("w1", "b"));
        CPPUNIT_ASSERT_EQUAL(std::string(), outcomeOf("w1", "a"));
        throttle("w1", "a", 100);
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return !outcomeOf("w1", "a").empty(); }));
    }

    void gangStartedTogetherIsNotRecorded()
    {
        post(m_address, "/control", R"({"gang": {"jobId": "gang", "size": 2}})");
        startGangTask("w1", "g/0", 0);
        startGangTask("w2", "g/1", 0);
        throttle("w1", "g/0", 100);
        throttle("w2", "g/1", 100);
        CPPUNIT_ASSERT_EQUAL(std::string(), verdict());
    }

    void gangUnthrottledBeforeAllStartedIsRecorded()
    {
        startGangTask("w1", "g/0", 0);
        throttle("w1", "g/0", 100);
        startGangTask("w2", "g/1", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("partialGangs=1 "), verdict());
        const Json::Value entry = judgements()["partialGangs"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("g/0"), entry["running"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("g/1"), entry["missing"].asString());
    }

    void gangOfKnownSizeThatNeverStartsWholeIsRecorded()
    {
        post(m_address, "/control", R"({"gang": {"jobId": "gang", "size": 2}})");
        startGangTask("w1", "g/0", 0);
        CPPUNIT_ASSERT_EQUAL(std::string(), verdict());
        throttle("w1", "g/0", 100);
        CPPUNIT_ASSERT_EQUAL(std::string("partialGangs=1 "), verdict());
    }

    void gangThatRunsOnWithoutAMemberIsRecorded()
    {
        startGangTask("w1", "g/0", 0);
        startGangTask("w2", "g/1", 0);
        throttle("w1", "g/0", 100);
        throttle("w2", "g/1", 100);
        post(m_address, "/workers/w2/stop", R"({"tasks": ["g/1"]})");
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return !verdict().empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("partialGangs=1 "), verdict());
        const Json::Value entry = judgements()["partialGangs"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("ran_on"), entry["reason"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("g/1"), entry["missing"].asString());
    }

    void deadWorkerAnswersNothing()
    {
        start("w1", task("w1", "a"));
        const Json::Value again = task("w2", "a");
        post(m_address, "/control", R"({"worker": "w1", "dead": true})");
        const auto answer = cwl::harness::postJson(m_address, "/workers/w1/report", json("{}"),
                                                   BootClock::now() + milliseconds(500));
        CPPUNIT_ASSERT(cwl::failureOf(answer.status()) == cwl::Failure::Timeout);
        start("w2", again);
        CPPUNIT_ASSERT_EQUAL(std::string(), verdict());
        post(m_address, "/control", R"({"worker": "w1", "dead": false})");
        CPPUNIT_ASSERT(report("w1")["running"].empty());
    }

    void failingWorkerRefusesStarts()
    {
        const Json::Value refused = task("w1", "a");
        post(m_address, "/control", R"({"worker": "w1", "failStarts": true})");
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), start("w1", refused));
        post(m_address, "/control", R"({"worker": "w1", "failStarts": false, "failRuns": true})");
        CPPUNIT_ASSERT_EQUAL(std::string("started"), start("w1", refused));
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return !outcomeOf("w1", "a").empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), outcomeOf("w1", "a"));
        post(m_address, "/control", R"({"worker": "w9", "dead": true})", 404);
        post(m_address, "/control", R"({"wroker": "w1"})", 400);
    }

    // Guards against a scheduler test that passes only by polling, or hangs without a change.
    void reportWaitsForAChange()
    {
        const int64_t sequence = report("w1")["sequence"].asInt64();
        const Json::Value unchanged = report("w1", sequence, 100);
        CPPUNIT_ASSERT_EQUAL(sequence, unchanged["sequence"].asInt64());
        const Json::Value later = task("w1", "a");
        std::thread starter([&] {
            std::this_thread::sleep_for(milliseconds(100));
            start("w1", later);
        });
        const Json::Value changed = report("w1", sequence, 50000);
        starter.join();
        CPPUNIT_ASSERT(changed["sequence"].asInt64() > sequence);
        CPPUNIT_ASSERT_EQUAL(1U, changed["running"].size());
    }

    void outcomeStaysUntilAcknowledged()
    {
        start("w1", task("w1", "a"));
        post(m_address, "/workers/w1/stop", R"({"tasks": ["a"]})");
        CPPUNIT_ASSERT_EQUAL(std::string("stopped"), outcomeOf("w1", "a"));
        post(m_address, "/workers/w1/acknowledge",
             R"({"finished": [{"taskId": "a", "attempt": 2}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("stopped"), outcomeOf("w1", "a"));
        post(m_address, "/workers/w1/acknowledge",
             R"({"finished": [{"taskId": "a", "attempt": 1}]})");
        CPPUNIT_ASSERT_EQUAL(std::string(), outcomeOf("w1", "a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerJudgeTest);

} // namespace
