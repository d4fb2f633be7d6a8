// The deployed program against stand-ins that speak the users' protocol: jobs are accepted, run and
// shown while members are killed, the store loses answers or falls silent, and workers are cut off.

#include "base/json.h"
#include "harness/call.h"
#include "usersplatform/deployment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <thread>

namespace {

using namespace cwl;
using namespace cwl::usersplatform;

constexpr size_t members = 3;
constexpr Duration generous = seconds(40); // for anything that is waited for
const char *const host = "draws.example";

class CellTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellTest);
    CPPUNIT_TEST(jobsRunThroughEveryMember);
    CPPUNIT_TEST(jobsSurviveTheOwner);
    CPPUNIT_TEST(jobsSurviveTheLossOfAllMembers);
    CPPUNIT_TEST(lostAnswersOfTheStoreDoubleNothing);
    CPPUNIT_TEST(silentWorkerIsReplacedOnceItsLeaseHasEnded);
    CPPUNIT_TEST(stoppedMemberCutsNoRequest);
    CPPUNIT_TEST(stoppedMemberWithdrawsItsAddress);
    CPPUNIT_TEST(refusalsAreTrue);
    CPPUNIT_TEST(memberThatTheStoreTurnsAwayStoresThroughAnother);
    CPPUNIT_TEST(memberWithoutTheStoreFollowsANewOwner);
    CPPUNIT_TEST(silentStoreIsAnsweredForSoon);
    CPPUNIT_TEST(malformedBodiesEndNoMember);
    CPPUNIT_TEST(malformedAnswersEndNoMember);
    CPPUNIT_TEST(bodiesAboveTheConfiguredLimitAreRefused);
    CPPUNIT_TEST(endsOfARestartedWorkerAreRead);
    CPPUNIT_TEST(leaseOfARestartedWorkerIsAsCounted);
    CPPUNIT_TEST(workersThatRestartInSeriesDoubleNothing);
    CPPUNIT_TEST(endsBeyondOneListAreKept);
    CPPUNIT_TEST(oddWorkerEntriesDelayNoTakeover);
    CPPUNIT_TEST(entryOfAnUnknownServiceDelaysNoTakeover);
    CPPUNIT_TEST(ownerCutOffFromItsRunsStartsNoneTwice);
    CPPUNIT_TEST(lostWorkerDelaysNoTakeover);
    CPPUNIT_TEST(emptiedWorkerDelaysNoTakeover);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Deployment> m_deployment;
    int m_lastJob = 0;

    MemberProcess &member(size_t index) { return m_deployment->member(index); }
    void startMember(size_t index) { CPPUNIT_ASSERT(m_deployment->startMember(index).ok()); }
    template <typename Action>
    auto onStandins(Action action) -> decltype(action())
    {
        return m_deployment->onStandins(std::move(action));
    }

    int status(const std::string &address, const std::string &method, const std::string &path,
               const std::string &body = {}, std::string *answer = nullptr)
    {
        http::Request request;
        request.method = method;
        request.path = path;
        request.headers.set("Host", host);
        request.body = body;
        const auto response = harness::call(address, request, BootClock::now() + seconds(4));
        if (!response.ok())
            return 0;
        if (answer)
            *answer = response->body;
        return response->status;
    }

    template <typename Condition>
    void waitFor(const std::string &what, Condition condition)
    {
        const TimePoint deadline = BootClock::now() + generous;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("waited in vain for " + what, BootClock::now() < deadline);
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    std::string nextJob() { return absl::StrFormat("%016x", ++m_lastJob); }

    // One step, whose tasks need a worker with `label`.
    static std::string labelledJobBody(int tasks, const std::string &label)
    {
        Json::Value body;
        body["spec"] = "text";
        Json::Value &phase = body["phases"][0];
        phase["count"] = tasks;
        phase["cpu"] = 1000;
        phase["memMb"] = 100;
        phase["estRuntimeMs"] = 150;
        phase["requires"] = label;
        return writeJson(body);
    }

    static std::string jobBody(int steps)
    {
        Json::Value body;
        body["spec"] = "text";
        for (int step = 0; step < steps; ++step) {
            Json::Value phase;
            phase["count"] = 2;
            phase["cpu"] = 1000;
            phase["memMb"] = 100;
            phase["estRuntimeMs"] = 150;
            if (step > 0)
                phase["after"].append(step - 1);
            body["phases"].append(phase);
        }
        return writeJson(body);
    }

    // Hands a job in, at one member after the other, as clients do after an answer that tells
    // nothing.
    std::string submitBody(const std::string &body)
    {
        const std::string id = nextJob();
        size_t next = size_t(m_lastJob);
        waitFor("the acceptance of " + id, [&] {
            return status(member(next++ % members).callers, "POST", "/draw/" + id, body) == 200;
        });
        return id;
    }
    std::string submit(int steps = 2) { return submitBody(jobBody(steps)); }

    void setWorker(size_t index, int64_t cores, const std::vector<std::string> &labels)
    {
        onStandins([&] {
            Worker &worker = m_deployment->worker(index);
            worker.cores = cores;
            worker.labels = labels;
            m_deployment->store().put("servers", worker.id(),
                                      worker.entry(m_deployment->workerLink(index).port()));
        });
    }

    void restartWorker(size_t index, Duration downTime)
    {
        onStandins([&] { m_deployment->worker(index).crash(); });
        std::this_thread::sleep_for(downTime);
        CPPUNIT_ASSERT(onStandins([&] { return m_deployment->worker(index).startAgain(); }).ok());
        setWorker(index, m_deployment->worker(index).cores, m_deployment->worker(index).labels);
    }

    void waitForState(const std::string &id, const std::string &wanted)
    {
        size_t next = 0;
        waitFor(id + " to be " + wanted, [&] {
            std::string answer;
            return status(member(next++ % members).callers, "GET", "/draw/" + id, {}, &answer)
                    == 200
                    && answer.find("\"" + wanted + "\"") != std::string::npos;
        });
    }

    // Puts entries into the list of workers, ends the owner for good while a job is under way, and
    // expects the next owner to go on with it.
    void checkTakeoverWith(const std::vector<std::pair<std::string, std::string>> &entries)
    {
        // A job with work and room may stand still for 3 s, counted from `contactMs`, 5 s, after a
        // disruption; the tasks themselves take under 4 s.
        constexpr Duration limit = seconds(3 + 5 + 4);
        for (const auto &entry : entries)
            onStandins([&] { m_deployment->store().put("servers", entry.first, entry.second); });
        for (int round = 0; round < 5; ++round) // the entries are read before the job is done
            waitForState(submit(1), "completed");
        const std::string id = submitBody(labelledJobBody(200, "a"));
        waitFor("its start", [this] {
            return onStandins([this] { return !m_deployment->ledger().running.empty(); });
        });
        const size_t owner = ownerIndex();
        member(owner).process->kill();
        const TimePoint killedAt = BootClock::now();
        size_t next = owner;
        waitFor("the end of the job", [&] {
            std::string answer;
            next = (next + 1) % members;
            return next != owner
                    && status(member(next).callers, "GET", "/draw/" + id, {}, &answer) == 200
                    && answer.find("\"completed\"") != std::string::npos;
        });
        const Duration time = BootClock::now() - killedAt;
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("the job took ",
                                            std::chrono::duration_cast<milliseconds>(time).count(),
                                            " ms"),
                               time < limit);
        for (size_t index = 0; index < members; ++index)
            CPPUNIT_ASSERT(index == owner || member(index).process->isRunning());
        assertNothingBroken();
    }

    static std::string workerEntry(const std::string &service, const std::string &address,
                                   const std::string &cpu)
    {
        return "{\"service\":\"" + service + "\",\"addr\":\"" + address
                + R"(","zone":"zone-a","state":"ready","capacity":{"cpu":)" + cpu
                + R"(,"memMb":8000,"gpu":0},"labels":["a"],"born":1700000000000})";
    }

    void assertNothingBroken()
    {
        const std::vector<std::string> broken =
                onStandins([this] { return m_deployment->ledger().broken; });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrJoin(broken, "; "), size_t(0), broken.size());
    }

    size_t ownerIndex()
    {
        for (size_t index = 0; index < members; ++index) {
            const std::string log = member(index).process->log();
            if (log.rfind("event=jobs_loaded") != std::string::npos
                && log.rfind("event=ownership_lost") == std::string::npos
                && member(index).process->isRunning())
                return index;
        }
        return members;
    }

public:
    void open(int workers, int64_t workerCores)
    {
        m_deployment.reset();
        m_deployment = std::make_unique<Deployment>(DeploymentOptions{.workers = workers,
                                                                      .workerCores = workerCores,
                                                                      .seed = 20261204,
                                                                      .binFolder = CWL_BIN_FOLDER});
        CPPUNIT_ASSERT(m_deployment->open().ok());
        for (size_t index = 0; index < members; ++index)
            waitFor("readiness",
                    [&] { return status(member(index).readiness, "GET", "/v1/readyz") == 200; });
        waitFor("an owner", [this] { return ownerIndex() < members; });
    }

    void setUp() override { open(3, 4000); }

    void tearDown() override { m_deployment.reset(); }

    void jobsRunThroughEveryMember()
    {
        std::vector<std::string> jobs;
        for (int index = 0; index < 12; ++index)
            jobs.push_back(submit());
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        CPPUNIT_ASSERT_EQUAL(200,
                             status(member(0).callers, "POST", "/draw/" + jobs[0],
                                    jobBody(2))); // it remains one job
        std::string answer;
        CPPUNIT_ASSERT_EQUAL(200, status(member(1).callers, "GET", "/draw/", {}, &answer));
        CPPUNIT_ASSERT_EQUAL(std::string("{\"pending\":0}"), answer);
        CPPUNIT_ASSERT_EQUAL(404, status(member(1).callers, "GET", "/other/"));
        assertNothingBroken();
    }

    // Guards against tasks that run twice, or not at all, when another member takes over.
    void jobsSurviveTheOwner()
    {
        std::vector<std::string> jobs;
        for (int index = 0; index < 8; ++index)
            jobs.push_back(submit(3));
        const size_t owner = ownerIndex();
        member(owner).process->kill();
        startMember(owner);
        for (int index = 0; index < 4; ++index)
            jobs.push_back(submit());
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against accepted jobs that only the memory of a member knew.
    void jobsSurviveTheLossOfAllMembers()
    {
        std::vector<std::string> jobs;
        for (int index = 0; index < 8; ++index)
            jobs.push_back(submit(3));
        for (size_t index = 0; index < members; ++index)
            member(index).process->kill();
        for (size_t index = 0; index < members; ++index)
            startMember(index);
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    void lostAnswersOfTheStoreDoubleNothing()
    {
        onStandins([this] { m_deployment->store().faults.lostAnswers = 0.3; });
        std::vector<std::string> jobs;
        for (int index = 0; index < 10; ++index)
            jobs.push_back(submit());
        onStandins([this] { m_deployment->store().faults.lostAnswers = 0; });
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against a second run while the first may still be under way, and against none.
    void silentWorkerIsReplacedOnceItsLeaseHasEnded()
    {
        onStandins([this] {
            for (size_t index = 0; index < m_deployment->workerCount(); ++index)
                m_deployment->worker(index).runMs = 1500;
        });
        std::vector<std::string> jobs;
        for (int index = 0; index < 4; ++index)
            jobs.push_back(submit(1));
        waitFor("a run", [this] {
            return onStandins([this] { return !m_deployment->ledger().running.empty(); });
        });
        onStandins([this] { m_deployment->worker(0).isSilent = true; });
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against requests that are cut while a member ends on SIGTERM.
    void stoppedMemberCutsNoRequest()
    {
        member(0).process->terminate();
        waitFor("the end of its readiness",
                [this] { return status(member(0).readiness, "GET", "/v1/readyz") != 200; });
        for (int index = 0; index < 20; ++index) {
            const std::string id = nextJob();
            CPPUNIT_ASSERT_EQUAL(200, status(member(0).callers, "POST", "/draw/" + id, jobBody(1)));
        }
        const auto code = member(0).process->waitForExit(BootClock::now() + generous);
        CPPUNIT_ASSERT(code.ok());
        CPPUNIT_ASSERT_EQUAL(0, *code);
    }

    // Guards against members that go on calling one that has stopped as planned: its row stayed for
    // 180 s.
    void stoppedMemberWithdrawsItsAddress()
    {
        const auto announced = [this] {
            return onStandins([this] { return m_deployment->store().rows("members"); });
        };
        waitFor("the rows of all members", [&] { return announced() == members; });
        member(1).process->terminate();
        waitFor("the withdrawal", [&] { return announced() == members - 1; });
        CPPUNIT_ASSERT(member(1).process->waitForExit(BootClock::now() + generous).ok());
        startMember(1);
        waitFor("the row of its restart", [&] { return announced() == members; });
    }

    // Guards against a job that runs although its client was told that it does not.
    void refusalsAreTrue()
    {
        onStandins([this] { m_deployment->store().faults.refuses = true; });
        const std::string refused = nextJob();
        CPPUNIT_ASSERT_EQUAL(503,
                             status(member(0).callers, "POST", "/draw/" + refused, jobBody(1)));
        onStandins([this] {
            m_deployment->store().faults.refuses = false;
            m_deployment->store().faults.lostAnswers = 1;
        });
        // The write takes effect and its answer is lost: no refusal may be told.
        const std::string unknown = nextJob();
        const int told = status(member(1).callers, "POST", "/draw/" + unknown, jobBody(1));
        CPPUNIT_ASSERT(told == 200 || told == 504 || told == 0);
        onStandins([this] { m_deployment->store().faults.lostAnswers = 0; });
        waitForState(unknown, "completed");
        CPPUNIT_ASSERT_EQUAL(410, status(member(2).callers, "GET", "/draw/" + refused));
        assertNothingBroken();
    }

    // Guards against clients that are refused, or wait in vain, at an instance that the store turns
    // away while it serves the others.
    void memberThatTheStoreTurnsAwayStoresThroughAnother()
    {
        waitFor("its news of the other members", [this] {
            std::string state;
            status(member(members - 1).admin, "GET", "/state", {}, &state);
            return state.find(absl::StrCat("\"otherMembers\":", members - 1)) != std::string::npos;
        });
        onStandins([this] { m_deployment->store().faults.refusesSide = true; });
        std::vector<std::string> jobs;
        for (int index = 0; index < 5; ++index) {
            jobs.push_back(nextJob());
            CPPUNIT_ASSERT_EQUAL(200,
                                 status(member(members - 1).callers, "POST", "/draw/" + jobs.back(),
                                        jobBody(1)));
        }
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against the fault of saaristo-ledge-grown scale-2: members that the store turned away
    // went on asking an earlier owner, and showed and cancelled no job until the store was back.
    void memberWithoutTheStoreFollowsANewOwner()
    {
        const size_t cutOff = members - 1;
        if (ownerIndex() == cutOff) { // its store link is the only one that can be refused alone
            member(cutOff).process->kill();
            waitFor("another owner", [&] { return ownerIndex() < cutOff; });
            startMember(cutOff);
            waitFor("its return",
                    [&] { return status(member(cutOff).readiness, "GET", "/v1/readyz") == 200; });
        }
        onStandins([this] {
            m_deployment->store().faults.refusesSide = true;
            for (size_t index = 0; index < m_deployment->workerCount(); ++index)
                m_deployment->worker(index).runMs = 30000;
        });
        const size_t earlier = ownerIndex();
        member(earlier).process->kill();
        waitFor("a new owner", [&] { return ownerIndex() < cutOff && ownerIndex() != earlier; });
        const std::string id = nextJob();
        waitFor("acceptance", [&] {
            return status(member(ownerIndex()).callers, "POST", "/draw/" + id, jobBody(1)) == 200;
        });
        std::string answer;
        waitFor("its state", [&] {
            return status(member(cutOff).callers, "GET", "/draw/" + id, {}, &answer) == 200;
        });
        waitFor("its cancellation",
                [&] { return status(member(cutOff).callers, "DELETE", "/draw/" + id) == 200; });
        assertNothingBroken();
    }

    // Bodies that are not what any reader expects: depth, types, numbers, encoding, truncation.
    static std::vector<std::string> malformedBodies()
    {
        constexpr size_t depth = 200000;
        return {
                "{\"spec\":\"x\",\"phases\":" + std::string(depth, '['),
                "{\"rows\":" + std::string(depth, '[') + std::string(depth, ']') + "}",
                std::string(depth, '{'),
                "[]",
                "\"text\"",
                "7",
                "null",
                "{}",
                "{\"spec\":\"\xff\xfe\",\"phases\":[{\"count\":1}]}",
                "{\"spec\":7,\"phases\":[{\"count\":-1,\"cpu\":1e300,\"estRuntimeMs\":-1e300}]}",
                "{\"phases\":[{\"count\":1,\"cpu\":-5}]}",
                "{\"phases\":[{\"count\":1,\"after\":[0]}]}",
                R"({"phases":[{"count":4000}],"times":1000000,"startAtMs":0,"intervalMs":1})",
                "{\"epoch\":\"x\",\"state\":[],\"step\":{},\"workers\":7,\"stored\":[]}",
                "{\"step\":\"x\",\"workers\":\"x\"}",
                "{\"rows\":[{\"table\":7,\"ver\":1e300,\"value\":\"%%%\"}],\"ver\":\"x\"}",
                "{\"clockMs\":1e300,\"running\":[[],[1,2,3,4]],\"finished\":[[0]]}",
                R"({"clockMs":1,"running":[["a.0.0.0",1e300,7,-1e300]],"finished":[]})",
                R"({"clockMs":1,"running":[],"finished":[[1e300,"a.0.0.0",-1,"?",7]]})",
                "{\"allowed\":[7,[],[7,7]]}",
                "{\"phases\":[{\"count\":1",
        };
    }

    // Guards against a member that one request ends: a deeply nested body overflowed the stack of
    // the parser, and a body of another type threw in a callback.
    void malformedBodiesEndNoMember()
    {
        const std::vector<std::string> paths = {"/cell/stored?key=5c0e7a21d94b36f8",
                                                "/cell/relay?key=",
                                                "/cell/advise",
                                                "/cell/owner",
                                                "/cell/job",
                                                "/cell/explain?id=%"};
        for (const std::string &body : malformedBodies()) {
            for (size_t index = 0; index < members; ++index) {
                const int told = status(member(index).callers, "POST", "/draw/" + nextJob(), body);
                CPPUNIT_ASSERT_MESSAGE(body.substr(0, 80) + absl::StrCat(" answered ", told),
                                       told == 400 || told == 413);
                for (const std::string &path : paths)
                    status(member(index).admin, "POST", path, body);
            }
        }
        for (size_t index = 0; index < members; ++index)
            CPPUNIT_ASSERT_EQUAL(1, member(index).lives);
        for (size_t index = 0; index < members; ++index)
            CPPUNIT_ASSERT(member(index).process->isRunning());
        waitForState(submit(), "completed");
        assertNothingBroken();
    }

    // Guards against members that an answer of the store or of a worker ends.
    void malformedAnswersEndNoMember()
    {
        for (const std::string &body : malformedBodies()) {
            onStandins([&] { m_deployment->worker(0).answersWith = body; });
            std::this_thread::sleep_for(milliseconds(60));
        }
        onStandins([this] { m_deployment->worker(0).answersWith.clear(); });
        for (const std::string &body : malformedBodies()) {
            onStandins([&] { m_deployment->store().faults.answersWith = body; });
            std::this_thread::sleep_for(milliseconds(60));
        }
        onStandins([this] { m_deployment->store().faults.answersWith.clear(); });
        waitForState(submit(), "completed");
        for (size_t index = 0; index < members; ++index)
            CPPUNIT_ASSERT(member(index).process->isRunning());
        assertNothingBroken();
    }

    // Guards against instances of 160 MB that read bodies of any size into memory, and against a
    // 503 for a body that no retry can make fit.
    void bodiesAboveTheConfiguredLimitAreRefused()
    {
        const std::string large(300000, ' '); // the configuration allows 262,144
        CPPUNIT_ASSERT_EQUAL(
                413, status(member(0).callers, "POST", "/draw/" + nextJob(), jobBody(1) + large));
        Json::Value body;
        body["spec"] = std::string(60000, 'x'); // fits the limit, but not a row of the store
        body["phases"][0]["count"] = 1;
        CPPUNIT_ASSERT_EQUAL(
                413, status(member(0).callers, "POST", "/draw/" + nextJob(), writeJson(body)));
    }

    // Guards against the fault of review/2: the first poll of a restarted worker carried the cursor
    // of its earlier process, so the worker forgot ends that nobody had read, and their tasks were
    // run again.
    void endsOfARestartedWorkerAreRead()
    {
        const std::string earlier = submitBody(labelledJobBody(60, "a"));
        waitForState(earlier, "completed");
        waitFor("the acknowledgement of its ends", [this] {
            return onStandins([this] { return m_deployment->ledger().acknowledged == 60; });
        });
        restartWorker(0, milliseconds(50));
        waitForState(submitBody(labelledJobBody(12, "a")), "completed");
        assertNothingBroken();
    }

    // Guards against the fault of review/4: a start that met a restarted worker before its first
    // report named a time on the clock of its earlier process, so the lease outlasted the one that
    // the owner counted with, and the task ran on two workers at once.
    void leaseOfARestartedWorkerIsAsCounted()
    {
        onStandins([this] {
            for (size_t index = 0; index < m_deployment->workerCount(); ++index)
                m_deployment->worker(index).runMs = 9000;
        });
        setWorker(0, 4000, {"a", "spare"});
        restartWorker(0, milliseconds(50));
        const std::string id = submitBody(labelledJobBody(1, "spare"));
        waitFor("its start", [this] {
            return onStandins([this] { return m_deployment->worker(0).running() == 1; });
        });
        setWorker(1, 4000, {"a", "spare"});
        std::this_thread::sleep_for(seconds(1));
        onStandins([this] { m_deployment->worker(0).isSilent = true; });
        std::this_thread::sleep_for(milliseconds(5500));
        onStandins([this] { m_deployment->worker(0).isSilent = false; });
        waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against the faults of review/2 and review/4 at other moments: between two polls, while
    // starts are on their way, and again before the last restart has been noticed.
    void workersThatRestartInSeriesDoubleNothing()
    {
        constexpr int rounds = 14;
        std::mt19937_64 random(20261205);
        std::vector<std::string> jobs;
        for (int round = 0; round < rounds; ++round) {
            jobs.push_back(submitBody(labelledJobBody(36, "a")));
            std::this_thread::sleep_for(
                    milliseconds(std::uniform_int_distribution<int>(20, 1520)(random)));
            restartWorker(random() % m_deployment->workerCount(), milliseconds(50));
        }
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against the fault of review/1: a worker lists its first 500 ends until they are
    // acknowledged. Runs that had ended beyond them counted as lost, and their tasks were run
    // again.
    void endsBeyondOneListAreKept()
    {
        setWorker(0, 64000, {"a", "large"});
        onStandins([this] { m_deployment->worker(0).runMs = 100; });
        const std::string id = submitBody(labelledJobBody(1500, "large"));
        waitFor("its start", [this] {
            return onStandins([this] { return m_deployment->worker(0).running() > 0; });
        });
        onStandins([this] { m_deployment->store().faults.isSilent = true; });
        waitFor("more ends than one list holds", [this] {
            return onStandins([this] { return m_deployment->worker(0).unacknowledged() > 550; });
        });
        std::this_thread::sleep_for(milliseconds(1000)); // several polls meet the cut list
        onStandins([this] { m_deployment->store().faults.isSilent = false; });
        waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against members that an odd entry in the list of workers ends or delays: the next
    // owner waited 16.6 s for a worker at an address that nothing can connect to.
    void oddWorkerEntriesDelayNoTakeover()
    {
        const std::string dead = "127.0.0.1:1";
        checkTakeoverWith({{"odd-port", workerEntry("draw", "127.0.0.1:99999", "4000")},
                           {"odd-no-port", workerEntry("draw", "127.0.0.1:0", "4000")},
                           {"odd-negative", workerEntry("draw", "127.0.0.1:-5", "4000")},
                           {"odd-number", workerEntry("draw", dead, "1e400")},
                           {"odd-digits", workerEntry("draw", dead, std::string(26, '9'))},
                           {"odd-type", workerEntry("draw", dead, "\"4000\"")},
                           {"odd-depth", workerEntry("draw", dead, std::string(30000, '['))},
                           {"odd\r\nkey", workerEntry("draw", dead, "4000")}});
    }

    // The same for an entry of a service that the configuration does not name.
    void entryOfAnUnknownServiceDelaysNoTakeover()
    {
        checkTakeoverWith({{"other", workerEntry("other", "127.0.0.1:1", "4000")}});
    }

    // Guards against two owners that run one task: the first one, cut off from the store and from
    // the workers that have its tasks, took their leases for expired, though its successor had
    // renewed them, and started the tasks again on workers that the successor could not reach.
    void ownerCutOffFromItsRunsStartsNoneTwice()
    {
        constexpr size_t tasks = 4;
        open(2 * tasks, 1000); // one task each
        onStandins([&] {
            for (size_t index = 0; index < 2 * tasks; ++index)
                m_deployment->worker(index).runMs = 9000;
        });
        const std::string id = submitBody(labelledJobBody(tasks, "a"));
        waitFor("the starts of all tasks", [&] {
            return onStandins([&] { return m_deployment->ledger().running.size() == tasks; });
        });
        std::this_thread::sleep_for(milliseconds(500)); // the owner learns of the starts
        const size_t owner = ownerIndex();
        onStandins([&] {
            for (size_t index = 0; index < 2 * tasks; ++index) {
                Worker &worker = m_deployment->worker(index);
                if (worker.running() > 0)
                    worker.firstEpochReached = worker.epoch() + 1;
                else
                    worker.lastEpochReached = worker.epoch();
            }
            member(owner).storeLink->command(*parseJson(R"({"cut":"both"})"));
        });
        std::this_thread::sleep_for(seconds(10));
        onStandins([&] {
            for (size_t index = 0; index < 2 * tasks; ++index) {
                m_deployment->worker(index).firstEpochReached = 0;
                m_deployment->worker(index).lastEpochReached = INT64_MAX;
            }
            member(owner).storeLink->command(*parseJson(R"({"cut":"none"})"));
        });
        waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against the fault of review/3: one worker that was gone held back all jobs that were
    // taken over for 16.6 s, the term of an owner without the store and a lease.
    void lostWorkerDelaysNoTakeover()
    {
        waitForState(submit(1), "completed");
        onStandins([this] {
            m_deployment->worker(0).isSilent = true;
            m_deployment->store().remove("servers", m_deployment->worker(0).id());
        });
        checkTakeoverWith({});
    }

    // The same for a worker that has drained and left, as planned. The owner that saw it empty does
    // not count it as used any more, so the next one has nothing to wait for.
    void emptiedWorkerDelaysNoTakeover()
    {
        waitForState(submit(1), "completed");
        onStandins([this] {
            Worker &worker = m_deployment->worker(0);
            worker.isDraining = true;
            m_deployment->store().put("servers", worker.id(),
                                      worker.entry(m_deployment->workerLink(0).port()));
        });
        std::this_thread::sleep_for(seconds(1));
        onStandins(
                [this] { m_deployment->worker(0).isSilent = true; }); // it stays listed for a while
        checkTakeoverWith({});
    }

    // Guards against requests that are held until their clients give up while no member reaches
    // the store, although nothing more can be done for them.
    void silentStoreIsAnsweredForSoon()
    {
        onStandins([this] { m_deployment->store().faults.isSilent = true; });
        // The first ones find out; their writes may have been carried out.
        waitFor("a refusal", [this] {
            return status(member(0).callers, "POST", "/draw/" + nextJob(), jobBody(1)) == 503;
        });
        const TimePoint began = BootClock::now();
        CPPUNIT_ASSERT_EQUAL(503,
                             status(member(0).callers, "POST", "/draw/" + nextJob(), jobBody(1)));
        // The other members' answers are waited for; a client's usual deadline is 3 s.
        CPPUNIT_ASSERT(BootClock::now() - began < milliseconds(1500));
        onStandins([this] { m_deployment->store().faults.isSilent = false; });
        waitForState(submit(), "completed");
        assertNothingBroken();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellTest);

} // namespace
