// The deployed program against stand-ins that speak the users' protocol: jobs are accepted, run and
// shown while members are killed, the store loses answers or falls silent, and workers are cut off.

#include "base/json.h"
#include "harness/call.h"
#include "harness/ports.h"
#include "harness/process.h"
#include "usersplatform/tablestore.h"
#include "usersplatform/workers.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>
#include <thread>

namespace {

using namespace cwl;
using namespace cwl::usersplatform;

constexpr int members = 3;
constexpr int workers = 3;
constexpr Duration generous = seconds(40); // for anything that is waited for
const char *const host = "draws.example";

const char *const configuration = R"({"version":3,
    "routes":[{"name":"r1","host":"draws.example","pathPrefix":"/draw/","kind":"non_idempotent",
        "timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"draw","maxAttempts":3,
        "slowdownFactor":1.5}],
    "services":[{"name":"draw","preconditions":false}],
    "limits":{"maxBodyBytes":262144}})";

class CellTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellTest);
    CPPUNIT_TEST(jobsRunThroughEveryMember);
    CPPUNIT_TEST(jobsSurviveTheOwner);
    CPPUNIT_TEST(jobsSurviveTheLossOfAllMembers);
    CPPUNIT_TEST(lostAnswersOfTheStoreDoubleNothing);
    CPPUNIT_TEST(silentWorkerIsReplacedOnceItsLeaseHasEnded);
    CPPUNIT_TEST(stoppedMemberCutsNoRequest);
    CPPUNIT_TEST(refusalsAreTrue);
    CPPUNIT_TEST(memberThatTheStoreTurnsAwayStoresThroughAnother);
    CPPUNIT_TEST(silentStoreIsAnsweredForSoon);
    CPPUNIT_TEST_SUITE_END();

    struct Member
    {
        std::unique_ptr<harness::Process> process;
        std::string settings;
        std::string callers;   // address
        std::string readiness; // address
        std::string admin;     // address of its state dump
        int lives = 0;
    };

    boost::asio::io_context m_context{1};
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
    std::thread m_thread;
    std::string m_folder;
    std::unique_ptr<harness::Ports> m_ports;
    Ledger m_ledger;
    std::unique_ptr<TableStore> m_store;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<Member> m_members;
    int m_lastJob = 0;

    // Runs `action` on the thread of the stand-ins.
    template <typename Action>
    auto onStandins(Action action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    void startMember(size_t index)
    {
        Member &member = m_members[index];
        auto process =
                harness::Process::start({.name = absl::StrCat("member", index, "-", member.lives++),
                                         .program = std::string(CWL_BIN_FOLDER) + "/cwl-cell",
                                         .arguments = {"--settings", member.settings},
                                         .folder = m_folder});
        CPPUNIT_ASSERT(process.ok());
        member.process = *std::move(process);
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
    std::string submit(int steps = 2)
    {
        const std::string id = nextJob();
        size_t member = size_t(m_lastJob);
        waitFor("the acceptance of " + id, [&] {
            return status(m_members[member++ % members].callers, "POST", "/draw/" + id,
                          jobBody(steps))
                    == 200;
        });
        return id;
    }

    void waitForState(const std::string &id, const std::string &wanted)
    {
        size_t member = 0;
        waitFor(id + " to be " + wanted, [&] {
            std::string answer;
            return status(m_members[member++ % members].callers, "GET", "/draw/" + id, {}, &answer)
                    == 200
                    && answer.find("\"" + wanted + "\"") != std::string::npos;
        });
    }

    void assertNothingBroken()
    {
        const std::vector<std::string> broken = onStandins([this] { return m_ledger.broken; });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrJoin(broken, "; "), size_t(0), broken.size());
    }

    size_t ownerIndex()
    {
        for (size_t index = 0; index < m_members.size(); ++index) {
            const std::string log = m_members[index].process->log();
            if (log.rfind("event=jobs_loaded") != std::string::npos
                && log.rfind("event=ownership_lost") == std::string::npos
                && m_members[index].process->isRunning())
                return index;
        }
        return m_members.size();
    }

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path().string() + "/cwl-cell-XXXXXX";
        CPPUNIT_ASSERT(mkdtemp(m_folder.data()));
        m_work.emplace(boost::asio::make_work_guard(m_context));
        m_thread = std::thread([this] { m_context.run(); });
        onStandins([this] {
            m_ledger = {};
            m_store = std::make_unique<TableStore>(m_context, 20261204);
            CPPUNIT_ASSERT(m_store->open().ok());
            m_store->put("op", "config", configuration);
            for (int index = 0; index < workers; ++index) {
                m_workers.push_back(
                        std::make_unique<Worker>(m_context, absl::StrCat("i-", index), m_ledger));
                CPPUNIT_ASSERT(m_workers.back()->open().ok());
                m_store->put("servers", m_workers.back()->id(), m_workers.back()->entry());
            }
            m_store->put("servers", "strange", "bytes that cannot be read");
        });
        m_ports = std::make_unique<harness::Ports>();
        m_members.resize(members);
        for (size_t index = 0; index < members; ++index) {
            Member &member = m_members[index];
            member.callers = harness::loopback(m_ports->next());
            member.readiness = harness::loopback(m_ports->next());
            const uint16_t adminPort = m_ports->next();
            member.admin = harness::loopback(adminPort);
            member.settings = absl::StrCat(m_folder, "/member", index, ".json");
            std::ofstream(member.settings) << absl::StrCat(
                    "{\"instance\": \"edge-", index,
                    "\", \"dataCentre\": \"zone-a\", \"region\": \"region\", \"address\": "
                    "\"127.0.0.1\", \"membersPort\": ",
                    adminPort, ", \"callersAddress\": \"", member.callers,
                    "\", \"readinessAddress\": \"", member.readiness,
                    "\", \"platform\": \"127.0.0.1:",
                    index + 1 == members ? m_store->sidePort() : m_store->port(),
                    "\", \"maxLeaseMs\": 6000, \"stopGraceMs\": 6000}");
            startMember(index);
        }
        for (const Member &member : m_members)
            waitFor("readiness",
                    [&] { return status(member.readiness, "GET", "/v1/readyz") == 200; });
        waitFor("an owner", [this] { return ownerIndex() < m_members.size(); });
    }

    void tearDown() override
    {
        m_members.clear();
        onStandins([this] {
            m_workers.clear();
            m_store.reset();
        });
        m_work.reset();
        m_context.stop();
        m_thread.join();
        m_context.restart();
        std::filesystem::remove_all(m_folder);
    }

    void jobsRunThroughEveryMember()
    {
        std::vector<std::string> jobs;
        for (int index = 0; index < 12; ++index)
            jobs.push_back(submit());
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        CPPUNIT_ASSERT_EQUAL(200,
                             status(m_members[0].callers, "POST", "/draw/" + jobs[0],
                                    jobBody(2))); // it remains one job
        std::string answer;
        CPPUNIT_ASSERT_EQUAL(200, status(m_members[1].callers, "GET", "/draw/", {}, &answer));
        CPPUNIT_ASSERT_EQUAL(std::string("{\"pending\":0}"), answer);
        CPPUNIT_ASSERT_EQUAL(404, status(m_members[1].callers, "GET", "/other/"));
        assertNothingBroken();
    }

    // Guards against tasks that run twice, or not at all, when another member takes over.
    void jobsSurviveTheOwner()
    {
        std::vector<std::string> jobs;
        for (int index = 0; index < 8; ++index)
            jobs.push_back(submit(3));
        const size_t owner = ownerIndex();
        m_members[owner].process->kill();
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
        for (Member &member : m_members)
            member.process->kill();
        for (size_t index = 0; index < m_members.size(); ++index)
            startMember(index);
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    void lostAnswersOfTheStoreDoubleNothing()
    {
        onStandins([this] { m_store->faults.lostAnswers = 0.3; });
        std::vector<std::string> jobs;
        for (int index = 0; index < 10; ++index)
            jobs.push_back(submit());
        onStandins([this] { m_store->faults.lostAnswers = 0; });
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against a second run while the first may still be under way, and against none.
    void silentWorkerIsReplacedOnceItsLeaseHasEnded()
    {
        onStandins([this] {
            for (const auto &worker : m_workers)
                worker->runMs = 1500;
        });
        std::vector<std::string> jobs;
        for (int index = 0; index < 4; ++index)
            jobs.push_back(submit(1));
        waitFor("a run",
                [this] { return onStandins([this] { return !m_ledger.running.empty(); }); });
        onStandins([this] { m_workers[0]->isSilent = true; });
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against requests that are cut while a member ends on SIGTERM.
    void stoppedMemberCutsNoRequest()
    {
        m_members[0].process->terminate();
        waitFor("the end of its readiness",
                [this] { return status(m_members[0].readiness, "GET", "/v1/readyz") != 200; });
        for (int index = 0; index < 20; ++index) {
            const std::string id = nextJob();
            CPPUNIT_ASSERT_EQUAL(200,
                                 status(m_members[0].callers, "POST", "/draw/" + id, jobBody(1)));
        }
        const auto code = m_members[0].process->waitForExit(BootClock::now() + generous);
        CPPUNIT_ASSERT(code.ok());
        CPPUNIT_ASSERT_EQUAL(0, *code);
    }

    // Guards against a job that runs although its client was told that it does not.
    void refusalsAreTrue()
    {
        onStandins([this] { m_store->faults.refuses = true; });
        const std::string refused = nextJob();
        CPPUNIT_ASSERT_EQUAL(503,
                             status(m_members[0].callers, "POST", "/draw/" + refused, jobBody(1)));
        onStandins([this] {
            m_store->faults.refuses = false;
            m_store->faults.lostAnswers = 1;
        });
        // The write takes effect and its answer is lost: no refusal may be told.
        const std::string unknown = nextJob();
        const int told = status(m_members[1].callers, "POST", "/draw/" + unknown, jobBody(1));
        CPPUNIT_ASSERT(told == 200 || told == 504 || told == 0);
        onStandins([this] { m_store->faults.lostAnswers = 0; });
        waitForState(unknown, "completed");
        CPPUNIT_ASSERT_EQUAL(410, status(m_members[2].callers, "GET", "/draw/" + refused));
        assertNothingBroken();
    }

    // Guards against clients that are refused, or wait in vain, at an instance that the store turns
    // away while it serves the others.
    void memberThatTheStoreTurnsAwayStoresThroughAnother()
    {
        waitFor("its news of the other members", [this] {
            std::string state;
            status(m_members[members - 1].admin, "GET", "/state", {}, &state);
            return state.find(absl::StrCat("\"otherMembers\":", members - 1)) != std::string::npos;
        });
        onStandins([this] { m_store->faults.refusesSide = true; });
        std::vector<std::string> jobs;
        for (int index = 0; index < 5; ++index) {
            jobs.push_back(nextJob());
            CPPUNIT_ASSERT_EQUAL(200,
                                 status(m_members[members - 1].callers, "POST",
                                        "/draw/" + jobs.back(), jobBody(1)));
        }
        for (const std::string &id : jobs)
            waitForState(id, "completed");
        assertNothingBroken();
    }

    // Guards against requests that are held until their clients give up while no member reaches
    // the store, although nothing more can be done for them.
    void silentStoreIsAnsweredForSoon()
    {
        onStandins([this] { m_store->faults.isSilent = true; });
        // The first ones find out; their writes may have been carried out.
        waitFor("a refusal", [this] {
            return status(m_members[0].callers, "POST", "/draw/" + nextJob(), jobBody(1)) == 503;
        });
        const TimePoint began = BootClock::now();
        CPPUNIT_ASSERT_EQUAL(
                503, status(m_members[0].callers, "POST", "/draw/" + nextJob(), jobBody(1)));
        // The other members' answers are waited for; a client's usual deadline is 3 s.
        CPPUNIT_ASSERT(BootClock::now() - began < milliseconds(1500));
        onStandins([this] { m_store->faults.isSilent = false; });
        waitForState(submit(), "completed");
        assertNothingBroken();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellTest);

} // namespace
