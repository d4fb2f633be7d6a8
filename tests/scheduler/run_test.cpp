// Tests of cwl-scheduler with real processes: jobs run end to end on the stand-ins.

#include "cell.h"

#include <algorithm>

namespace {

using namespace cwl;
using namespace cwl::scheduler::test;

class SchedulerRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerRunTest);
    CPPUNIT_TEST(jobsOfEveryKindRun);
    CPPUNIT_TEST(cancelledJobStops);
    CPPUNIT_TEST(runningTasksSurviveFailover);
    CPPUNIT_TEST(callsAreRetriedDuringFailover);
    CPPUNIT_TEST(drainSurvivesFailover);
    CPPUNIT_TEST(finishedJobIsDeletedAfterAnHour);
    CPPUNIT_TEST(failingWorkerIsQuarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job that is accepted and never runs, and against a partial gang.
    void jobsOfEveryKindRun()
    {
        Cell cell;
        const JsonAnswer accepted = cell.submit(job("array", "batch", 60, 200));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(writeJson(accepted.body) + cell.logs(), 200, accepted.status);
        CPPUNIT_ASSERT(accepted.body["durable"].asBool());
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("gang", "gang", 5, 500)).status);
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("replicas", "service", 3, 0)).status);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("array"));
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("gang"));
        CPPUNIT_ASSERT(cell.waitForJob(
                "replicas", [](const Json::Value &body) { return body["running"] == 3; }));
        // A repeated submission is accepted; another specification with the same id is a conflict.
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("array", "batch", 60, 200)).status);
        CPPUNIT_ASSERT_EQUAL(409, cell.submit(job("array", "batch", 61, 200)).status);
        cell.checkNoViolations(68);
    }

    // Guards against tasks of a cancelled job that keep running or start.
    void cancelledJobStops()
    {
        Cell cell;
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("long", "batch", 100, 600000)).status);
        CPPUNIT_ASSERT(cell.waitForJob(
                "long", [](const Json::Value &body) { return body["running"] == 24; }));
        CPPUNIT_ASSERT_EQUAL(200, cell.call("DELETE", "/v1/jobs/long").status);
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("next", "batch", 24, 200)).status);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("next"));
        cell.checkNoViolations(48);
    }

    // Guards against a takeover that restarts or loses running tasks.
    void runningTasksSurviveFailover()
    {
        Cell cell(3);
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("long", "batch", 10, 25000)).status);
        CPPUNIT_ASSERT(cell.waitForJob(
                "long", [](const Json::Value &body) { return body["running"] == 10; }));
        killOwner(cell);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), 200,
                                     cell.submit(job("after", "batch", 5, 200)).status);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("after"));
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("long"));
        cell.checkNoViolations(15);
    }

    // Guards against calls that fail at once during a failover.
    void callsAreRetriedDuringFailover()
    {
        Cell cell(3);
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("before", "batch", 1, 200)).status);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("before"));
        killOwner(cell);
        // On a busy machine the takeover may take longer than the operator's deadline; then the
        // only valid error is no_owner.
        const auto check = [&cell](const JsonAnswer &answer) {
            const bool isTyped = answer.status == 503 && answer.body["error"]["type"] == "no_owner"
                    && answer.body["error"]["retryAfterMs"].isInt();
            CPPUNIT_ASSERT_MESSAGE(writeJson(answer.body) + cell.logs(),
                                   answer.status == 200 || isTyped);
        };
        for (const char *path : {"/v1/jobs/before", "/v1/jobs", "/v1/jobs/before/explain"})
            check(cell.call("GET", path));
        check(cell.call("POST", "/v1/jobs", job("after", "batch", 1, 200)));
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("after", "batch", 1, 200)).status);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("after"));
        cell.checkNoViolations(2);
    }

    // Guards against a drain that only the owner accepts, and one that is lost in a failover.
    void drainSurvivesFailover()
    {
        Cell cell(3);
        CPPUNIT_ASSERT_EQUAL(200, cell.submit(job("before", "batch", 1, 200)).status);
        const std::string worker = cell.standins().instances.front()["id"].asString();
        for (const Member &member : cell.deployment().schedulers()) {
            const JsonAnswer answer =
                    Cell::callTo(member, "POST", "/v1/workers/" + worker + "/drain");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(writeJson(answer.body), 200, answer.status);
        }
        const JsonAnswer unknown = cell.call("POST", "/v1/workers/none/drain");
        CPPUNIT_ASSERT_EQUAL(404, unknown.status);
        CPPUNIT_ASSERT(
                waitUntil(patience(), [&cell] { return storedRows(cell, "drains").size() == 1; }));
        killOwner(cell);
        CPPUNIT_ASSERT(waitUntil(patience(), [&] { return isDraining(cell, worker); }));
        const std::string undrain = "/v1/workers/" + worker + "/undrain";
        CPPUNIT_ASSERT_EQUAL(200, cell.call("POST", undrain).status);
        CPPUNIT_ASSERT(
                waitUntil(patience(), [&cell] { return storedRows(cell, "drains").size() == 0; }));
        CPPUNIT_ASSERT(!isDraining(cell, worker));
    }

    // Guards against rows and memory of finished jobs that are never freed.
    void finishedJobIsDeletedAfterAnHour()
    {
        Cell cell(2);
        for (const char *id : {"old", "new"}) {
            CPPUNIT_ASSERT_EQUAL(200, cell.submit(job(id, "batch", 1, 200)).status);
            CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone(id));
        }
        CPPUNIT_ASSERT(waitUntil(patience(), [&cell] {
            const Json::Value rows = storedRows(cell, "jobs");
            return std::count_if(
                           rows.begin(), rows.end(),
                           [](const Json::Value &row) { return row["value"]["state"] == "done"; })
                    == 2;
        }));
        // Sets its finish time more than an hour back. The next owner reads that row.
        Json::Value write;
        write["table"] = "jobs";
        write["key"] = "worker/cell/old";
        write["value"]["job"] = job("old", "batch", 1, 200);
        write["value"]["state"] = "done";
        write["value"]["succeeded"] = "0";
        write["value"]["failed"] = "";
        write["value"]["finishedMs"] = 1;
        Json::Value commit;
        commit["changeId"] = "end-put-back";
        commit["conditions"] = Json::Value(Json::arrayValue);
        commit["writes"].append(write);
        const auto written = postJson(cell.standins().platform, "/tables/commit", commit);
        CPPUNIT_ASSERT(written.ok() && written->body["committed"].asBool());
        killOwner(cell);
        CPPUNIT_ASSERT(waitUntil(
                patience(), [&cell] { return cell.call("GET", "/v1/jobs/old").status == 404; }));
        CPPUNIT_ASSERT_EQUAL(1U, storedRows(cell, "jobs").size());
        CPPUNIT_ASSERT_EQUAL(200, cell.call("GET", "/v1/jobs/new").status);
    }

    // Guards against one broken worker that fails job after job.
    void failingWorkerIsQuarantined()
    {
        Cell cell;
        Json::Value control;
        control["worker"] = cell.standins().instances.front()["id"];
        control["failStarts"] = true;
        const auto set = postJson(cell.standins().workers, "/control", control);
        CPPUNIT_ASSERT(set.ok() && set->status == 200);
        for (int number = 0; number < 6; ++number) {
            const std::string id = "job-" + std::to_string(number);
            CPPUNIT_ASSERT_EQUAL(200, cell.submit(job(id, "batch", 24, 300)).status);
        }
        for (int number = 0; number < 6; ++number)
            CPPUNIT_ASSERT_MESSAGE(cell.logs(), cell.waitForDone("job-" + std::to_string(number)));
        cell.checkNoViolations(144);
    }

private:
    static Json::Value storedRows(const Cell &cell, const std::string &table)
    {
        Json::Value read;
        read["table"] = table;
        read["prefix"] = "";
        Json::Value body;
        body["reads"].append(read);
        const auto answer = postJson(cell.standins().platform, "/tables/read", body);
        CPPUNIT_ASSERT(answer.ok() && answer->status == 200);
        return answer->body["rows"][0];
    }

    // Reads the state that the current owner shows.
    static bool isDraining(Cell &cell, const std::string &worker)
    {
        for (const Member &member : cell.deployment().schedulers()) {
            if (!member.process)
                continue;
            const JsonAnswer answer = Cell::callTo(member, "GET", "/v1/workers");
            for (const Json::Value &shown : answer.body["workers"]) {
                if (shown["id"] == worker)
                    return shown["draining"].asBool();
            }
        }
        return false;
    }

    static void killOwner(Cell &cell)
    {
        for (Member &member : cell.deployment().schedulers()) {
            const JsonAnswer answer = Cell::callTo(member, "GET", "/v1/workers");
            if (!answer.body["workers"].empty()) {
                cell.deployment().kill(member);
                return;
            }
        }
        CPPUNIT_FAIL("no scheduler owns the group");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerRunTest);

} // namespace
