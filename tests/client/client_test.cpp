// Tests of the commands against schedulers played by HTTP servers in this process.

#include "base/error.h"
#include "base/json.h"
#include "client/commands.h"
#include "client/difference.h"
#include "client/output.h"
#include "http/server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace {

using cwl::Failure;
using cwl::failureOf;
using cwl::client::Arguments;
using cwl::client::Connection;
using cwl::client::Output;
using cwl::http::Request;
using cwl::http::Responder;
using cwl::http::Response;

// A scheduler whose answers the test chooses; keeps the requests that it got.
class FakeScheduler
{
public:
    using Answer = std::function<Response(const Request &)>;

    explicit FakeScheduler(Answer answer)
        : m_work(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
        m_server = *cwl::http::Server::create(
                m_context, {}, [this, answer](const Request &request, const Responder &respond) {
                    {
                        const std::lock_guard lock(m_mutex);
                        m_requests.push_back(request);
                    }
                    respond(answer(request));
                });
    }
    ~FakeScheduler()
    {
        m_server.reset();
        m_context.stop();
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }
    std::vector<Request> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::mutex m_mutex;
    std::vector<Request> m_requests;
    std::thread m_thread;
    std::unique_ptr<cwl::http::Server> m_server;
};

Response json(const std::string &body, int status = 200)
{
    return Response{.status = status, .body = body};
}

Response error(Failure failure, int status, const cwl::ErrorDetail &detail = {})
{
    return json(cwl::writeJson(cwl::errorToJson(cwl::makeError(failure, "refused", detail))),
                status);
}

absl::StatusOr<Output> run(const std::string &command, const std::vector<std::string> &servers,
                           const Arguments &arguments, cwl::Duration timeout = cwl::seconds(30))
{
    const auto connection =
            Connection::create({.servers = servers, .token = "secret", .timeout = timeout});
    CPPUNIT_ASSERT(connection.ok());
    const cwl::client::CommandEntry *entry = cwl::client::findCommand(command);
    if (!entry)
        throw std::invalid_argument("no such command: " + command);
    return entry->run(**connection, arguments);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const char *const teamText = R"({
  "tokenSha256": "cff5b646d8e0155e8ae7309ba82d0e62a5ee6ed5fba4a53e7193f4998e63abd7",
  "quota": {"cores": 64000, "memoryMiB": 65536, "accelerators": 0},
  "weight": 5
})";

class ClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientTest);
    CPPUNIT_TEST(jobsAndWorkersUseTheirPaths);
    CPPUNIT_TEST(submissionNeedsAnId);
    CPPUNIT_TEST(errorsSayWhatToDo);
    CPPUNIT_TEST(nextServerIsTried);
    CPPUNIT_TEST(unreachableServersAreCertainlyNotAsked);
    CPPUNIT_TEST(repeatedWriteKeepsItsChangeId);
    CPPUNIT_TEST(conflictTellsHowToRepeat);
    CPPUNIT_TEST(invalidSettingsAreNotSent);
    CPPUNIT_TEST(waitEndsWhenAllServersHaveTheVersion);
    CPPUNIT_TEST(tablesAndDifferences);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a command that acts on another thing than the one named.
    void jobsAndWorkersUseTheirPaths()
    {
        FakeScheduler scheduler([](const Request &request) {
            if (request.path == "/v1/jobs")
                return json("{\"jobs\": [{\"jobId\": \"a\", \"team\": \"draws\"}]}");
            return json("{\"jobId\": \"a\"}");
        });
        const std::vector<std::string> servers = {scheduler.address()};
        const Arguments arguments{.job = "a/b", .worker = "w 1", .team = "draws"};
        for (const char *command : {"list", "show", "cancel", "explain", "drain", "undrain"})
            CPPUNIT_ASSERT_MESSAGE(command, run(command, servers, arguments).ok());
        std::vector<std::string> seen;
        for (const Request &request : scheduler.requests()) {
            seen.push_back(request.method + " " + request.path);
            CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret"),
                                 request.headers.value("Authorization"));
        }
        const std::vector<std::string> expected = {"GET /v1/jobs",
                                                   "GET /v1/jobs/a%2Fb",
                                                   "DELETE /v1/jobs/a%2Fb",
                                                   "GET /v1/jobs/a%2Fb/explain",
                                                   "POST /v1/workers/w%201/drain",
                                                   "POST /v1/workers/w%201/undrain"};
        CPPUNIT_ASSERT(seen == expected);
        CPPUNIT_ASSERT_EQUAL(std::string("team=draws"), scheduler.requests()[0].query);
    }

    // Guards against a submission that a lost answer turns into two jobs.
    void submissionNeedsAnId()
    {
        FakeScheduler scheduler([](const Request &) { return json("{\"accepted\": true}"); });
        const std::vector<std::string> servers = {scheduler.address()};
        Arguments arguments{.text = "{\"team\": \"draws\"} // comment", .fileName = "job.json"};
        const auto without = run("submit", servers, arguments);
        CPPUNIT_ASSERT(failureOf(without.status()) == Failure::MissingField);
        CPPUNIT_ASSERT_EQUAL(std::string("jobId"), cwl::detailOf(without.status()).field);
        arguments.text = "{";
        const auto malformed = run("submit", servers, arguments);
        CPPUNIT_ASSERT(failureOf(malformed.status()) == Failure::MalformedBody);
        CPPUNIT_ASSERT(contains(std::string(malformed.status().message()), "job.json"));
        CPPUNIT_ASSERT(scheduler.requests().empty());
        arguments.text = "{\"team\": \"draws\"}";
        arguments.jobId = "j1";
        CPPUNIT_ASSERT(run("submit", servers, arguments).ok());
        const Json::Value sent = *cwl::parseJson(scheduler.requests().at(0).body);
        CPPUNIT_ASSERT_EQUAL(std::string("j1"), sent["jobId"].asString());
    }

    // Guards against a refusal that leaves the operator without a next step.
    void errorsSayWhatToDo()
    {
        FakeScheduler scheduler([](const Request &) {
            return error(Failure::JobTooLarge, 400,
                         {.field = "memoryMiB", .limit = "65536 MiB", .retryAfterMs = 5});
        });
        const auto refused = run("show", {scheduler.address()}, {.job = "a"});
        const std::string text = cwl::client::errorText(refused.status());
        for (const char *part : {"refused", "[job_too_large]", "field: memoryMiB",
                                 "limit: 65536 MiB", "retry after: 5 ms", "what to do: "})
            CPPUNIT_ASSERT_MESSAGE(part, contains(text, part));
        CPPUNIT_ASSERT(cwl::client::exitCodeOf(refused.status()) == cwl::ExitCode::Failure);
        FakeScheduler other([](const Request &) { return Response{.body = "<html>"}; });
        const auto odd = run("show", {other.address()}, {.job = "a"});
        CPPUNIT_ASSERT(failureOf(odd.status()) == Failure::ProtocolError);
    }

    // Guards against a command that fails while another scheduler would answer.
    void nextServerIsTried()
    {
        FakeScheduler stopping([](const Request &) { return error(Failure::ShuttingDown, 503); });
        FakeScheduler working([](const Request &) { return json("{\"jobId\": \"a\"}"); });
        const std::vector<std::string> servers = {"127.0.0.1:1", stopping.address(),
                                                  working.address()};
        CPPUNIT_ASSERT(run("show", servers, {.job = "a"}).ok());
        CPPUNIT_ASSERT_EQUAL(size_t(1), working.requests().size());
    }

    // Guards against an operator who is told that nothing happened when something may have.
    void unreachableServersAreCertainlyNotAsked()
    {
        const auto refused = run("cancel", {"127.0.0.1:1"}, {.job = "a"}, cwl::milliseconds(300));
        CPPUNIT_ASSERT(failureOf(refused.status()) == Failure::ConnectionRefused);
        const auto address = Connection::create({.servers = {"host"}});
        CPPUNIT_ASSERT(failureOf(address.status()) == Failure::InvalidValue);
    }

    // Guards against a change that is made twice because its first answer was lost.
    void repeatedWriteKeepsItsChangeId()
    {
        std::atomic<int> writes = 0;
        FakeScheduler scheduler([&writes](const Request &request) {
            if (request.method == "GET")
                return json("{\"version\": " + std::to_string(6 + writes) + "}");
            return ++writes == 1 ? error(Failure::StoreOutcomeUnknown, 503)
                                 : json("{\"version\": 7}");
        });
        const auto output =
                run("settings set", {scheduler.address()}, {.subtree = "draws", .text = teamText});
        CPPUNIT_ASSERT(output.ok());
        CPPUNIT_ASSERT_EQUAL(7, output->json["version"].asInt());
        std::vector<Request> puts;
        for (const Request &request : scheduler.requests()) {
            if (request.method == "PUT")
                puts.push_back(request);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(2), puts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/settings/draws"), puts[0].path);
        CPPUNIT_ASSERT_EQUAL(std::string("6"), puts[0].headers.value("If-Match"));
        CPPUNIT_ASSERT(!puts[0].headers.value("Change-Id").empty());
        for (const char *header : {"Change-Id", "If-Match"})
            CPPUNIT_ASSERT_EQUAL(puts[0].headers.value(header), puts[1].headers.value(header));
        CPPUNIT_ASSERT_EQUAL(puts[0].body, puts[1].body);
    }

    // Guards against two operators who overwrite each other without noticing.
    void conflictTellsHowToRepeat()
    {
        FakeScheduler scheduler(
                [](const Request &) { return error(Failure::VersionConflict, 409); });
        const auto output =
                run("settings set", {scheduler.address()},
                    {.subtree = "draws", .text = teamText, .changeId = "c1", .version = 4});
        CPPUNIT_ASSERT(failureOf(output.status()) == Failure::VersionConflict);
        CPPUNIT_ASSERT(contains(cwl::client::errorText(output.status()), "settings diff"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), scheduler.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::string("c1"), scheduler.requests()[0].headers.value("Change-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("4"), scheduler.requests()[0].headers.value("If-Match"));
    }

    // Guards against a faulty file that is only found after it was sent.
    void invalidSettingsAreNotSent()
    {
        FakeScheduler scheduler([](const Request &) { return json("{\"version\": 1}"); });
        std::string misspelt = teamText;
        misspelt.replace(misspelt.find("weight"), 6, "weihgt");
        const auto output = run("settings set", {scheduler.address()},
                                {.subtree = "draws", .text = misspelt, .fileName = "draws.json"});
        CPPUNIT_ASSERT(failureOf(output.status()) == Failure::InvalidSettings);
        CPPUNIT_ASSERT(contains(std::string(output.status().message()), "weihgt"));
        CPPUNIT_ASSERT(cwl::client::exitCodeOf(output.status()) == cwl::ExitCode::InvalidSettings);
        CPPUNIT_ASSERT(scheduler.requests().empty());
    }

    // Guards against a wait that ends while a scheduler still has the old version.
    void waitEndsWhenAllServersHaveTheVersion()
    {
        std::atomic<int> looks = 0;
        FakeScheduler first([](const Request &) { return json("{\"version\": 9}"); });
        FakeScheduler second([&looks](const Request &) {
            return json(++looks < 4 ? "{\"version\": 8}" : "{\"version\": 9}");
        });
        const std::vector<std::string> servers = {first.address(), second.address()};
        const auto now = run("settings status", servers, {});
        CPPUNIT_ASSERT(!now->json["inForce"].asBool());
        const auto later = run("settings status", servers, {.wait = true});
        CPPUNIT_ASSERT(later->json["inForce"].asBool());
        CPPUNIT_ASSERT_EQUAL(4, looks.load());
        const auto never = run("settings status", servers, {.version = 10, .wait = true},
                               cwl::milliseconds(500));
        CPPUNIT_ASSERT(failureOf(never.status()) == Failure::Timeout);
    }

    // Guards against answers that people cannot read.
    void tablesAndDifferences()
    {
        const Json::Value answer = *cwl::parseJson(
                "{\"jobId\": \"a\", \"tasks\": [{\"state\": \"waiting\", \"id\": \"a/0\"},"
                " {\"id\": \"a/10\", \"score\": 1.5}]}");
        CPPUNIT_ASSERT_EQUAL(std::string("id    score  state\n"
                                         "a/0   -      waiting\n"
                                         "a/10  1.5    -\n"),
                             cwl::client::table(answer["tasks"], {"id"}));
        CPPUNIT_ASSERT(contains(cwl::client::describe(answer), "jobId: a\n"));
        CPPUNIT_ASSERT(contains(cwl::client::describe(answer), "\ntasks:\nid "));
        CPPUNIT_ASSERT_EQUAL(std::string(" a\n-b\n+x\n c\n+d\n"),
                             cwl::client::lineDifference("a\nb\nc\n", "a\nx\nc\nd\n"));
        CPPUNIT_ASSERT_EQUAL(std::string(), cwl::client::lineDifference("a\n", "a\n"));
        CPPUNIT_ASSERT(!cwl::client::findCommand("unknown"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

} // namespace
