// Tests of the process frame over real HTTP and real signals.

#include "base/error.h"
#include "base/json.h"
#include "http/client.h"
#include "node/log.h"
#include "node/node.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <future>
#include <thread>
#include <unistd.h>

namespace {

using cwl::ExitCode;
using cwl::Failure;
using cwl::http::Request;
using cwl::http::Responder;
using cwl::http::Response;
using cwl::node::Node;

// No test depends on how soon an event comes, only on its coming at all.
constexpr std::chrono::seconds generous(30);

template <typename T>
T await(std::future<T> future)
{
    CPPUNIT_ASSERT_MESSAGE("the event never came",
                           future.wait_for(generous) == std::future_status::ready);
    return future.get();
}

std::unique_ptr<Node> createNode(const cwl::node::NodeOptions &options = {})
{
    cwl::settings::ProcessSettings settings;
    settings.instance = cwl::InstanceId("i-1");
    settings.logLevel = "error";
    return *Node::create(settings, "node-test", options);
}

// Runs a node, and an HTTP client on a thread of its own.
class Running
{
public:
    explicit Running(Node &node)
        : m_work(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
        , m_exit(std::async(std::launch::async, [&node] { return node.run(); }))
    {
        cwl::http::ClientOptions options;
        options.address = "127.0.0.1:" + std::to_string(node.httpPort());
        m_client = *cwl::http::Client::create(m_context, options);
    }
    ~Running()
    {
        m_client.reset();
        m_context.stop();
        m_thread.join();
    }

    std::future<absl::StatusOr<Response>> begin(const std::string &path)
    {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<Response>>>();
        m_client->send(Request{.path = path}, cwl::BootClock::now() + generous,
                       [promise](auto response) { promise->set_value(std::move(response)); });
        return promise->get_future();
    }
    Response fetch(const std::string &path)
    {
        const absl::StatusOr<Response> response = await(begin(path));
        CPPUNIT_ASSERT_MESSAGE(std::string(response.status().message()), response.ok());
        return *response;
    }
    Json::Value fetchJson(const std::string &path) { return *cwl::parseJson(fetch(path).body); }
    void awaitStatus(const std::string &path, int status)
    {
        const cwl::TimePoint end = cwl::BootClock::now() + generous;
        while (fetch(path).status != status) {
            CPPUNIT_ASSERT(cwl::BootClock::now() < end);
            std::this_thread::sleep_for(cwl::milliseconds(10));
        }
    }
    ExitCode exitCode() { return await(std::move(m_exit)); }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
    std::unique_ptr<cwl::http::Client> m_client;
    std::future<ExitCode> m_exit;
};

void signalSelf(int signal)
{
    kill(getpid(), signal);
}

// Sends standard output, to which processes log, into a pipe until destroyed.
class CapturedLog
{
public:
    CapturedLog()
        : m_saved(dup(1))
    {
        CPPUNIT_ASSERT_EQUAL(0, pipe(m_pipe));
        dup2(m_pipe[1], 1);
    }
    ~CapturedLog()
    {
        dup2(m_saved, 1);
        for (const int file : {m_saved, m_pipe[0], m_pipe[1]})
            close(file);
    }

    // Reads until `text` has come; the test program's time limit ends a wait in vain.
    std::string readUntil(const std::string &text)
    {
        std::string all;
        char buffer[4096];
        while (all.find(text) == std::string::npos) {
            const ssize_t count = read(m_pipe[0], buffer, sizeof(buffer));
            CPPUNIT_ASSERT(count > 0);
            all.append(buffer, static_cast<size_t>(count));
        }
        return all;
    }

private:
    int m_saved;
    int m_pipe[2] = {};
};

class NodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeTest);
    CPPUNIT_TEST(readinessFollowsItsGates);
    CPPUNIT_TEST(routesAndErrors);
    CPPUNIT_TEST(stateAndMetricsPages);
    CPPUNIT_TEST(limitsOfClientsAreCounted);
    CPPUNIT_TEST(stalledControlThreadIsReported);
    CPPUNIT_TEST(largeSectionsAreLeftOut);
    CPPUNIT_TEST(stopCutsNoRequest);
    CPPUNIT_TEST(stopDeadlineEndsTheProcess);
    CPPUNIT_TEST(failedSupervisorEndsTheProcess);
    CPPUNIT_TEST(dumpSignalWritesTheLog);
    CPPUNIT_TEST(usedPortIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a load balancer that sends callers to a process that cannot serve them.
    void readinessFollowsItsGates()
    {
        std::atomic<bool> hasSettings = false;
        const auto node = createNode();
        node->addReadyGate("settings", [&hasSettings] { return hasSettings.load(); });
        CPPUNIT_ASSERT(!node->isReady());
        Running running(*node);
        running.awaitStatus("/readyz", 503);
        const Json::Value closed = running.fetchJson("/readyz");
        CPPUNIT_ASSERT(!closed["gates"]["settings"].asBool());
        hasSettings = true;
        running.awaitStatus("/readyz", 200);
        CPPUNIT_ASSERT(node->isReady());
        CPPUNIT_ASSERT_EQUAL(200, running.fetch("/healthz").status);
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
        CPPUNIT_ASSERT(!node->isReady());
    }

    // Guards against a limit that takes effect and leaves no trace for the operators.
    void limitsOfClientsAreCounted()
    {
        const auto node = createNode();
        Running running(*node);
        running.awaitStatus("/healthz", 200);
        CPPUNIT_ASSERT(!await(running.begin("/" + std::string(20000, 'a'))).ok());
        const std::string line = "cwl_http_limited_total{limit=\"header\",listener=\"members\"} 1";
        const cwl::TimePoint end = cwl::BootClock::now() + generous;
        while (running.fetch("/metrics").body.find(line) == std::string::npos) {
            CPPUNIT_ASSERT(cwl::BootClock::now() < end);
            std::this_thread::sleep_for(cwl::milliseconds(20));
        }
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
    }

    // Guards against requests that reach the wrong handler or get no typed answer.
    void routesAndErrors()
    {
        const auto node = createNode();
        const auto answer = [](const std::string &body) {
            return [body](const Request &, const Responder &respond) {
                respond(Response{.body = body});
            };
        };
        node->route("/v1/", answer("short"));
        node->route("/v1/jobs", answer("long"));
        node->route("/throw",
                    [](const Request &, const Responder &) { throw std::runtime_error("broken"); });
        Running running(*node);
        running.awaitStatus("/healthz", 200);
        CPPUNIT_ASSERT_EQUAL(std::string("long"), running.fetch("/v1/jobs/a").body);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), running.fetch("/v1/workers").body);
        const Response unknown = running.fetch("/unknown");
        CPPUNIT_ASSERT_EQUAL(404, unknown.status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_method"),
                             (*cwl::parseJson(unknown.body))["error"]["type"].asString());
        CPPUNIT_ASSERT_EQUAL(500, running.fetch("/throw").status);
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
    }

    // Guards against pages that miss a section or a metric.
    void stateAndMetricsPages()
    {
        const auto node = createNode();
        node->addState("queue", [] {
            Json::Value state;
            state["length"] = 7;
            return state;
        });
        node->addState("broken", [] { return Json::Value(Json::Value("text").asInt()); });
        node->metrics().counter("cwl_test_total", "Test.").add(4);
        node->supervisor().add("part", {.start = [](auto) {}});
        Running running(*node);
        running.awaitStatus("/healthz", 200);
        const Json::Value state = running.fetchJson("/state");
        CPPUNIT_ASSERT_EQUAL(7, state["queue"]["length"].asInt());
        CPPUNIT_ASSERT(state["broken"].isMember("error"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), state["process"]["instance"].asString());
        CPPUNIT_ASSERT_EQUAL(std::string("part"),
                             state["supervisor"]["children"][0]["name"].asString());
        const std::string metrics = running.fetch("/metrics").body;
        CPPUNIT_ASSERT(metrics.find("cwl_test_total 4\n") != std::string::npos);
        CPPUNIT_ASSERT(state["traffic"]["httpServer"]["received"].asInt64() > 0);
        CPPUNIT_ASSERT(metrics.find("cwl_traffic_bytes_total{traffic=\"httpServer\",")
                       != std::string::npos);
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
    }

    // Guards against a state page, or a memory, that a stalled control thread takes with it.
    void stalledControlThreadIsReported()
    {
        const auto node = createNode();
        Running running(*node);
        running.awaitStatus("/readyz", 200);
        std::promise<void> release;
        boost::asio::post(node->controlContext(),
                          [future = release.get_future().share()] { future.wait(); });
        std::vector<std::future<absl::StatusOr<Response>>> dumps;
        for (int count = 0; count < 4; ++count)
            dumps.push_back(running.begin("/state"));
        for (auto &dump : dumps) {
            const Json::Value state = *cwl::parseJson(await(std::move(dump))->body);
            CPPUNIT_ASSERT(state["process"]["error"].asString().find("within 1 s")
                           != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(503, running.fetch("/state").status);
        running.awaitStatus("/readyz", 503);
        release.set_value();
        running.awaitStatus("/readyz", 200);
        running.awaitStatus("/state", 200);
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
    }

    // Guards against a dump that outgrows what operators' tools and the process can hold.
    void largeSectionsAreLeftOut()
    {
        const auto node = createNode();
        node->addState("huge",
                       [] { return Json::Value(std::string(cwl::node::maxSectionBytes, 'x')); });
        for (int number = 0; number < 8; ++number)
            node->addState("big" + std::to_string(number), [] {
                return Json::Value(std::string(cwl::node::maxSectionBytes - 100, 'x'));
            });
        Running running(*node);
        running.awaitStatus("/state", 200);
        const Response response = running.fetch("/state");
        CPPUNIT_ASSERT(response.body.size() < cwl::node::maxStateBytes + 4096);
        const Json::Value state = *cwl::parseJson(response.body);
        CPPUNIT_ASSERT(state["huge"].isMember("error"));
        CPPUNIT_ASSERT(state["big0"].isString());
        CPPUNIT_ASSERT(state["big7"].isMember("error"));
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
    }

    // Guards against a planned stop that cuts a request in flight, also at a second signal.
    void stopCutsNoRequest()
    {
        std::promise<Responder> received;
        std::promise<std::function<void()>> stopping;
        std::vector<std::string> order;
        const auto node = createNode();
        node->route("/slow", [&received](const Request &, const Responder &respond) {
            received.set_value(respond);
        });
        node->onStop([&](std::function<void()> done) {
            order.emplace_back("handler");
            stopping.set_value(std::move(done));
        });
        node->supervisor().add("part",
                               {.start = [](auto) {},
                                .stop =
                                        [&order](const auto &done) {
                                            order.emplace_back("child");
                                            done();
                                        }});
        Running running(*node);
        running.awaitStatus("/readyz", 200);
        auto slow = running.begin("/slow");
        const Responder respond = await(received.get_future());
        signalSelf(SIGTERM);
        const std::function<void()> done = await(stopping.get_future());
        signalSelf(SIGTERM);
        running.awaitStatus("/readyz", 503);
        done();
        done(); // a second call does nothing
        respond(Response{.body = "complete"});
        const absl::StatusOr<Response> answer = await(std::move(slow));
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("complete"), answer->body);
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
        CPPUNIT_ASSERT((order == std::vector<std::string>{"handler", "child"}));
    }

    // Guards against a process that never ends because a part of it does not stop.
    void stopDeadlineEndsTheProcess()
    {
        const auto node = createNode({.stopDeadline = cwl::milliseconds(500)});
        node->onStop([](const auto &) {});
        Running running(*node);
        running.awaitStatus("/readyz", 200);
        const cwl::TimePoint began = cwl::BootClock::now();
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Failure);
        CPPUNIT_ASSERT(cwl::BootClock::now() - began >= cwl::milliseconds(500));
    }

    // Guards against a process that goes on without a part that it needs.
    void failedSupervisorEndsTheProcess()
    {
        const auto node = createNode({.restarts = {.maxRestarts = 1}});
        cwl::supervisor::Supervisor &inner =
                node->supervisor().addSupervisor("inner", {.maxRestarts = 0});
        inner.add("part", {.start = [](const auto &failed) {
                      failed(cwl::makeError(Failure::Internal, "cannot run"));
                  }});
        Running running(*node);
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::SupervisorFailed);
    }

    // Guards against a dump that is not written when HTTP is out of reach.
    void dumpSignalWritesTheLog()
    {
        const auto node = createNode();
        node->addState("queue", [] { return Json::Value("seven"); });
        Running running(*node);
        running.awaitStatus("/readyz", 200);
        {
            CapturedLog errors;
            signalSelf(SIGUSR1);
            const std::string text = errors.readUntil("seven");
            CPPUNIT_ASSERT(text.find("level=ERROR event=state_process json=") != std::string::npos);
            CPPUNIT_ASSERT(text.find("event=state_queue json=\"\\\"seven") != std::string::npos);
        }
        node->stop();
        CPPUNIT_ASSERT(running.exitCode() == ExitCode::Success);
    }

    // Guards against an exit without a typed reason.
    void usedPortIsReported()
    {
        const auto node = createNode();
        cwl::settings::ProcessSettings settings;
        settings.httpPort = node->httpPort();
        const auto second = Node::create(settings, "node-test");
        CPPUNIT_ASSERT(cwl::failureOf(second.status()) == Failure::AddressInUse);
        settings.httpPort = 0;
        settings.logLevel = "loud";
        const auto third = Node::create(settings, "node-test");
        CPPUNIT_ASSERT(cwl::failureOf(third.status()) == Failure::InvalidValue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

} // namespace
