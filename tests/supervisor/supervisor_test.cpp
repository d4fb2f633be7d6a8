// Tests of the supervisor tree against a scheduler whose time the test moves.

#include "base/error.h"
#include "supervisor/supervisor.h"
#include "testseed.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <iostream>
#include <map>

namespace {

using cwl::Duration;
using cwl::milliseconds;
using cwl::seconds;
using cwl::TimePoint;
using cwl::supervisor::Child;
using cwl::supervisor::Done;
using cwl::supervisor::Failed;
using cwl::supervisor::RestartHistory;
using cwl::supervisor::RestartPolicy;
using cwl::supervisor::Supervisor;

class ManualScheduler : public cwl::supervisor::Scheduler
{
public:
    TimePoint now() const override { return m_now; }
    void post(std::function<void()> step) override { m_steps.push_back(std::move(step)); }
    void postAt(TimePoint instant, std::function<void()> step) override
    {
        m_timers.emplace(instant, std::move(step));
    }

    void runSteps()
    {
        while (!m_steps.empty()) {
            const auto step = std::move(m_steps.front());
            m_steps.pop_front();
            step();
        }
    }

    void advance(Duration duration)
    {
        const TimePoint end = m_now + duration;
        runSteps();
        while (!m_timers.empty() && m_timers.begin()->first <= end) {
            const auto timer = m_timers.extract(m_timers.begin());
            m_now = std::max(m_now, timer.key());
            timer.mapped()();
            runSteps();
        }
        m_now = end;
    }

private:
    TimePoint m_now = TimePoint(seconds(1000));
    std::deque<std::function<void()>> m_steps;
    std::multimap<TimePoint, std::function<void()>> m_timers;
};

// Records its starts and stops; the test makes it fail or hold its stop back.
struct Log
{
    std::vector<std::string> events = {};
    std::map<std::string, Failed> failed = {};
    std::map<std::string, Done> heldStops = {};
    std::map<std::string, bool> holdsStop = {};
    std::map<std::string, bool> failsAtStart = {};

    size_t count(const std::string &event) const
    {
        return static_cast<size_t>(std::count(events.begin(), events.end(), event));
    }
};

class RecordedChild : public Child
{
public:
    RecordedChild(Log &log, std::string name)
        : m_log(log)
        , m_name(std::move(name))
    {
    }
    void start(Failed failed) override
    {
        m_log.events.push_back("start " + m_name);
        m_log.failed[m_name] = failed;
        if (m_log.failsAtStart[m_name])
            failed(cwl::makeError(cwl::Failure::Internal, "at start"));
    }
    void stop(Done done) override
    {
        m_log.events.push_back("stop " + m_name);
        if (m_log.holdsStop[m_name])
            m_log.heldStops[m_name] = std::move(done);
        else
            done();
    }

private:
    Log &m_log;
    std::string m_name;
};

struct Tree
{
    Log log = {};
    std::shared_ptr<ManualScheduler> scheduler = std::make_shared<ManualScheduler>();
    std::unique_ptr<Supervisor> root;
    std::vector<std::string> rootFailures = {};

    explicit Tree(const RestartPolicy &policy = {})
        : root(Supervisor::create("root", scheduler, policy, 1))
    {
    }
    void add(Supervisor &supervisor, const std::string &name)
    {
        supervisor.add(name, std::make_unique<RecordedChild>(log, name));
    }
    void start()
    {
        root->start([this](const absl::Status &status) {
            rootFailures.emplace_back(status.message());
        });
        scheduler->runSteps();
    }
    void fail(const std::string &name)
    {
        const Failed failed = log.failed[name];
        failed(cwl::makeError(cwl::Failure::Internal, "broken"));
        scheduler->runSteps();
    }
    std::string childState(unsigned index) const
    {
        return root->state()["children"][index]["state"].asString();
    }
};

class SupervisorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SupervisorTest);
    CPPUNIT_TEST(delaysGrowWithJitterAndReset);
    CPPUNIT_TEST(intensityIsCountedOverTheWindow);
    CPPUNIT_TEST(failedChildRestartsAlone);
    CPPUNIT_TEST(staleFailuresAreIgnored);
    CPPUNIT_TEST(childThatKeepsFailingEscalates);
    CPPUNIT_TEST(nestedSupervisorRestartsWithItsChildren);
    CPPUNIT_TEST(childThatDoesNotStopIsNeverStartedTwice);
    CPPUNIT_TEST(stopRunsInReverseOrder);
    CPPUNIT_TEST(stopDuringCleanupAndBackoff);
    CPPUNIT_TEST(destroyedSupervisorIgnoresLateReports);
    CPPUNIT_TEST(asioSchedulerRunsStepsOnItsContext);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against restarts in a tight loop, in lockstep, or with a delay that never shrinks.
    void delaysGrowWithJitterAndReset()
    {
        const RestartPolicy policy{.maxRestarts = 1000};
        RestartHistory history(policy);
        const uint64_t seed = cwl::tests::testSeed();
        cwl::Generator generator(seed);
        TimePoint now(seconds(1));
        Duration expected = policy.firstDelay;
        for (int failure = 0; failure < 20; ++failure) {
            const TimePoint due = *history.recordFailure(now, now, generator);
            CPPUNIT_ASSERT(due - now >= expected * 8 / 10 - Duration(1));
            CPPUNIT_ASSERT(due - now <= expected * 12 / 10 + Duration(1));
            now = due;
            expected = std::min(expected * 2, policy.maxDelay);
        }
        const TimePoint failedAt = now + policy.healthyAfter;
        const TimePoint due = *history.recordFailure(now, failedAt, generator);
        CPPUNIT_ASSERT(due - failedAt <= policy.firstDelay * 12 / 10 + Duration(1));
    }

    // Guards against escalation by failures that are far apart.
    void intensityIsCountedOverTheWindow()
    {
        const RestartPolicy policy{.maxRestarts = 2, .window = seconds(60)};
        cwl::Generator generator(1);
        RestartHistory spread(policy);
        for (int failure = 0; failure < 10; ++failure) {
            const TimePoint now(seconds(31) * failure);
            CPPUNIT_ASSERT(spread.recordFailure(now, now, generator).has_value());
        }
        RestartHistory dense(policy);
        const TimePoint now(seconds(1));
        CPPUNIT_ASSERT(dense.recordFailure(now, now, generator).has_value());
        CPPUNIT_ASSERT(dense.recordFailure(now, now, generator).has_value());
        CPPUNIT_ASSERT(!dense.recordFailure(now, now, generator).has_value());
    }

    // Guards against one child's failure that disturbs its siblings.
    void failedChildRestartsAlone()
    {
        Tree tree;
        tree.add(*tree.root, "a");
        tree.add(*tree.root, "b");
        tree.start();
        tree.fail("a");
        CPPUNIT_ASSERT_EQUAL(std::string("waiting to restart"), tree.childState(0));
        tree.scheduler->advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("running"), tree.childState(0));
        CPPUNIT_ASSERT_EQUAL(size_t(2), tree.log.count("start a"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("stop a"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("start b"));
        CPPUNIT_ASSERT_EQUAL(size_t(0), tree.log.count("stop b"));
        const Json::Value child = tree.root->state()["children"][0];
        CPPUNIT_ASSERT_EQUAL(1U, child["restarts"].asUInt());
        CPPUNIT_ASSERT_EQUAL(std::string("broken"), child["lastFailure"].asString());
    }

    // Guards against a late report of an earlier run that stops the healthy new one.
    void staleFailuresAreIgnored()
    {
        Tree tree;
        tree.add(*tree.root, "a");
        tree.start();
        const Failed first = tree.log.failed["a"];
        tree.fail("a");
        tree.scheduler->advance(seconds(1));
        first(cwl::makeError(cwl::Failure::Internal, "again"));
        tree.scheduler->runSteps();
        CPPUNIT_ASSERT_EQUAL(std::string("running"), tree.childState(0));
        CPPUNIT_ASSERT_EQUAL(size_t(2), tree.log.count("start a"));
    }

    // Guards against a process that goes on forever with a part that cannot run.
    void childThatKeepsFailingEscalates()
    {
        Tree tree({.maxRestarts = 3});
        tree.add(*tree.root, "a");
        tree.add(*tree.root, "b");
        tree.log.failsAtStart["a"] = true;
        tree.start();
        tree.scheduler->advance(seconds(60));
        CPPUNIT_ASSERT_EQUAL(size_t(4), tree.log.count("start a"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("stop b"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.rootFailures.size());
        CPPUNIT_ASSERT(tree.rootFailures[0].find("child a of root") != std::string::npos);
        CPPUNIT_ASSERT(tree.rootFailures[0].find("at start") != std::string::npos);
        CPPUNIT_ASSERT(!tree.root->isRunning());
    }

    // Guards against a subtree that stays down, or that is not counted by its parent.
    void nestedSupervisorRestartsWithItsChildren()
    {
        Tree tree({.maxRestarts = 1});
        Supervisor &inner = tree.root->addSupervisor("inner", {.maxRestarts = 0});
        tree.add(inner, "a");
        tree.add(inner, "b");
        tree.start();
        tree.fail("a");
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("stop b"));
        tree.scheduler->advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(size_t(2), tree.log.count("start a"));
        CPPUNIT_ASSERT_EQUAL(size_t(2), tree.log.count("start b"));
        CPPUNIT_ASSERT(tree.rootFailures.empty());
        const Json::Value state = tree.root->state()["children"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("inner"), state["name"].asString());
        CPPUNIT_ASSERT_EQUAL(2U, state["children"].size());
        tree.fail("b");
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.rootFailures.size());
    }

    // Guards against two runs of one child that overlap.
    void childThatDoesNotStopIsNeverStartedTwice()
    {
        Tree tree;
        tree.add(*tree.root, "a");
        tree.log.holdsStop["a"] = true;
        tree.start();
        tree.fail("a");
        tree.scheduler->advance(seconds(60));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("start a"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.rootFailures.size());
    }

    // Guards against a part that is stopped while others still use it.
    void stopRunsInReverseOrder()
    {
        Tree tree;
        for (const char *name : {"a", "b", "c"})
            tree.add(*tree.root, name);
        tree.start();
        tree.log.holdsStop["b"] = true;
        tree.log.events.clear();
        bool isDone = false;
        tree.root->stop([&isDone] { isDone = true; });
        tree.scheduler->advance(seconds(100));
        CPPUNIT_ASSERT((tree.log.events == std::vector<std::string>{"stop c", "stop b"}));
        CPPUNIT_ASSERT(!isDone);
        tree.log.heldStops["b"]();
        tree.scheduler->runSteps();
        CPPUNIT_ASSERT_EQUAL(std::string("stop a"), tree.log.events.back());
        CPPUNIT_ASSERT(isDone);
        CPPUNIT_ASSERT(tree.rootFailures.empty());
    }

    // Guards against a stop that never completes, or a restart during it.
    void stopDuringCleanupAndBackoff()
    {
        Tree tree;
        for (const char *name : {"a", "b"})
            tree.add(*tree.root, name);
        tree.start();
        tree.fail("a"); // waits for its restart
        tree.log.holdsStop["b"] = true;
        tree.fail("b"); // is cleaning up
        bool isDone = false;
        tree.root->stop([&isDone] { isDone = true; });
        tree.scheduler->advance(seconds(60));
        CPPUNIT_ASSERT(!isDone);
        tree.log.heldStops["b"]();
        tree.scheduler->advance(seconds(60));
        CPPUNIT_ASSERT(isDone);
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("start a"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("stop b"));
    }

    // Guards against a use after free when a child reports after its supervisor is gone.
    void destroyedSupervisorIgnoresLateReports()
    {
        Tree tree;
        tree.add(*tree.root, "a");
        tree.start();
        const Failed failed = tree.log.failed["a"];
        failed(cwl::makeError(cwl::Failure::Internal, "before"));
        tree.root.reset();
        failed(cwl::makeError(cwl::Failure::Internal, "after"));
        tree.scheduler->advance(seconds(60));
        CPPUNIT_ASSERT_EQUAL(size_t(1), tree.log.count("start a"));
    }

    // Guards against timers that never fire or steps that run within the call that posts them.
    void asioSchedulerRunsStepsOnItsContext()
    {
        boost::asio::io_context context;
        const auto scheduler = cwl::supervisor::createScheduler(context);
        const TimePoint due = scheduler->now() + milliseconds(20);
        std::vector<int> order;
        TimePoint ran;
        scheduler->postAt(due, [&] {
            order.push_back(2);
            ran = scheduler->now();
        });
        scheduler->post([&order] { order.push_back(1); });
        CPPUNIT_ASSERT(order.empty());
        context.run();
        CPPUNIT_ASSERT((order == std::vector<int>{1, 2}));
        CPPUNIT_ASSERT(ran >= due);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SupervisorTest);

} // namespace
