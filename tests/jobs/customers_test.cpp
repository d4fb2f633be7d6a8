// Tests of customers: caps, shares and keys, on the dispatcher without a network.

#include "base/error.h"
#include "base/sha256.h"
#include "jobs/customeraccounts.h"
#include "jobs/customerindex.h"
#include "jobs/dispatcher.h"
#include "jobs/limits.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstring>
#include <map>

namespace {

using namespace cwl;
using namespace cwl::jobs;

constexpr Duration taskTime = milliseconds(500);

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

Customer makeCustomer(const std::string &id, int64_t weight, int64_t capCores)
{
    return {CustomerId(id), weight, {Millicores(capCores), {}, {}}};
}

JobSpec makeJob(const std::string &id, const std::optional<Customer> &customer, uint32_t count,
                int64_t acceptedMs = 0)
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.queue = {.name = "queue", .service = "service", .maxAttempts = 3, .maxSlowdown = 2};
    spec.queue.latencyAllowance = milliseconds(250);
    spec.customer = customer;
    spec.acceptedAt = UnixMilliseconds(acceptedMs);
    Step step;
    step.count = count;
    step.each = {Millicores(1000), Mebibytes(100), {}};
    step.estimate = taskTime;
    spec.steps = {step};
    return spec;
}

CellConfig makeConfig(const std::vector<Customer> &customers)
{
    CellConfig config;
    config.version = 1;
    config.queues = {{.name = "queue", .service = "service"}};
    config.customers.emplace();
    for (const Customer &customer : customers)
        config.customers->push_back({customer, {KeyDigest(sha256Hex(customer.id.value()))}});
    return config;
}

class CustomersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomersTest);
    CPPUNIT_TEST(capHoldsOverAllWorkers);
    CPPUNIT_TEST(capOfOneCustomerDelaysNoOther);
    CPPUNIT_TEST(capCountsWhatUnreadWorkersMayRun);
    CPPUNIT_TEST(gangWaitsUntilTheCapAllowsAllMembers);
    CPPUNIT_TEST(loweredCapStopsNothing);
    CPPUNIT_TEST(jobThatItsCapNeverAllowsIsRejected);
    CPPUNIT_TEST(removedCustomerKeepsItsCap);
    CPPUNIT_TEST(floodOfOneCustomerLeavesOthersTheirShare);
    CPPUNIT_TEST(unusedCapacityIsLent);
    CPPUNIT_TEST(arrivalsCountInAnyOrder);
    CPPUNIT_TEST(keyFindsItsCustomer);
    CPPUNIT_TEST_SUITE_END();

    Dispatcher m_dispatcher{DispatcherSettings{}};

    void putWorker(const std::string &id, int64_t cores)
    {
        WorkerEntry entry;
        entry.id = WorkerId(id);
        entry.address = id;
        entry.service = "service";
        entry.capacity = {Millicores(cores), Mebibytes(100000), {}};
        m_dispatcher.restoreWorker(entry.id, entry.address, at(0));
        m_dispatcher.putWorker(entry, at(0));
    }

    void report(const std::string &id, int64_t ms, const std::vector<RunningTask> &running = {},
                const std::vector<EndedTask> &ended = {})
    {
        WorkerReport workerReport;
        workerReport.clockMs = ms + 5000;
        workerReport.born = 1;
        workerReport.running = running;
        workerReport.ended = ended;
        m_dispatcher.onReport(WorkerId(id), workerReport, at(ms - 2), at(ms));
    }

    Orders decide(int64_t ms)
    {
        m_dispatcher.confirmOwnership(at(ms));
        return m_dispatcher.decide(at(ms), UnixMilliseconds(0));
    }

    // Plays a second load beside customer "steady" on one worker and returns how many of its jobs
    // completed by their target time. Each job is one task of `taskTime`.
    int playLoad(int floodPerSecond, int steadyPerSecond, int64_t slots)
    {
        constexpr int64_t end = 8000;
        m_dispatcher.begin(Epoch(2), at(0));
        const Customer steady = makeCustomer("steady", steadyPerSecond, 0);
        const Customer flood = makeCustomer("flood", steadyPerSecond, 0);
        m_dispatcher.setConfig(makeConfig({steady, flood}));
        putWorker("a", slots * 1000);
        std::map<std::string, std::pair<int64_t, int64_t>> running; // end and attempt by task
        std::vector<EndedTask> ended;
        int64_t lastEnd = 0;
        int inTime = 0;
        for (int64_t ms = 10; ms < end; ms += 10) {
            const auto arrive = [&](const Customer &customer, int perSecond) {
                const int64_t before = (ms - 10) * perSecond / 1000;
                for (int64_t n = before; n < ms * perSecond / 1000; ++n)
                    m_dispatcher.addJob(
                            makeJob(absl::StrCat(customer.id.value(), n), customer, 1, ms), at(ms));
            };
            arrive(flood, floodPerSecond);
            arrive(steady, steadyPerSecond);
            std::vector<RunningTask> listed;
            for (auto run = running.begin(); run != running.end();) {
                if (run->second.first > ms) {
                    listed.push_back({run->first, run->second.second, "", 50});
                    ++run;
                    continue;
                }
                ended.push_back({++lastEnd, run->first, run->second.second, EndKind::Done, ""});
                if (run->first.starts_with("steady")) {
                    const int64_t number = std::stoll(run->first.substr(strlen("steady")));
                    inTime += ms <= number * 1000 / steadyPerSecond + 1250;
                }
                run = running.erase(run);
            }
            report("a", ms, listed, ended);
            for (const StartOrder &order : decide(ms).starts)
                running[order.task] = {ms + 500, order.attempt};
            m_dispatcher.committed(m_dispatcher.collect());
        }
        return inTime;
    }

public:
    void setUp() override { m_dispatcher.begin(Epoch(2), at(8000)); }

    // Guards against a cap that each worker or each step keeps for itself.
    void capHoldsOverAllWorkers()
    {
        putWorker("a", 2000);
        putWorker("b", 4000);
        report("a", 10);
        report("b", 10);
        const Customer customer = makeCustomer("c", 10, 3000);
        m_dispatcher.addJob(makeJob("j1", customer, 2), at(10));
        m_dispatcher.addJob(makeJob("j2", customer, 4), at(10));
        const Orders first = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(3), first.starts.size());
        CPPUNIT_ASSERT(decide(30).starts.empty());
        const StartOrder &ended = first.starts[0];
        report(ended.worker.value(), 600, {}, {{1, ended.task, ended.attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(610).starts.size());
    }

    // Guards against steps of a customer at its cap that use up what a pass looks at.
    void capOfOneCustomerDelaysNoOther()
    {
        putWorker("a", 10000);
        report("a", 10);
        const Customer capped = makeCustomer("capped", 1000, 1000);
        for (size_t n = 0; n < 3 * maxUnplacedSteps; ++n)
            m_dispatcher.addJob(makeJob(absl::StrCat("capped", n), capped, 1), at(10));
        m_dispatcher.addJob(makeJob("other", makeCustomer("other", 1, 1000), 1), at(500));
        const Orders orders = decide(510);
        CPPUNIT_ASSERT_EQUAL(size_t(2), orders.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("other.0.0.0"), orders.starts[1].task);
    }

    // Guards against a new owner that starts work of a customer while a worker that it has not
    // heard from still runs as much as the cap allows.
    void capCountsWhatUnreadWorkersMayRun()
    {
        putWorker("a", 4000);
        putWorker("b", 4000);
        const Customer customer = makeCustomer("c", 10, 3000);
        m_dispatcher.restoreJob(makeJob("old", customer, 3), std::nullopt, false, at(0),
                                UnixMilliseconds(0));
        m_dispatcher.addJob(makeJob("new", customer, 2), at(5));
        report("a", 10);
        CPPUNIT_ASSERT(decide(20).starts.empty());
        report("b", 30, {{"old.0.0.0", 1, "", 10}, {"old.0.0.1", 1, "", 10}});
        const Orders orders = decide(40); // two runs were adopted
        CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
    }

    void gangWaitsUntilTheCapAllowsAllMembers()
    {
        putWorker("a", 8000);
        report("a", 10);
        const Customer customer = makeCustomer("c", 10, 3000);
        m_dispatcher.addJob(makeJob("single", customer, 1), at(10));
        JobSpec gang = makeJob("gang", customer, 3);
        gang.steps[0].gang = true;
        m_dispatcher.addJob(gang, at(15));
        const Orders first = decide(20);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.starts.size());
        report("a", 600, {}, {{1, "single.0.0.0", first.starts[0].attempt, EndKind::Done, ""}});
        CPPUNIT_ASSERT_EQUAL(size_t(3), decide(610).starts.size());
    }

    void loweredCapStopsNothing()
    {
        putWorker("a", 8000);
        report("a", 10);
        m_dispatcher.setConfig(makeConfig({makeCustomer("c", 10, 3000)}));
        m_dispatcher.addJob(makeJob("j", makeCustomer("c", 10, 3000), 4), at(10));
        CPPUNIT_ASSERT_EQUAL(size_t(3), decide(20).starts.size());
        m_dispatcher.setConfig(makeConfig({makeCustomer("c", 10, 1000)}));
        const Orders lowered = decide(30);
        CPPUNIT_ASSERT(lowered.starts.empty());
        CPPUNIT_ASSERT(lowered.stops.empty());
        m_dispatcher.setConfig(makeConfig({makeCustomer("c", 10, 4000)}));
        CPPUNIT_ASSERT_EQUAL(size_t(1), decide(40).starts.size());
    }

    // Guards against a job that waits for ever, since no state of the cell lets it start.
    void jobThatItsCapNeverAllowsIsRejected()
    {
        JobSpec job = makeJob("j", makeCustomer("c", 10, 3000), 4);
        CPPUNIT_ASSERT(checkCap(job).ok()); // runs in waves
        job.steps[0].gang = true;
        CPPUNIT_ASSERT(failureOf(checkCap(job)) == Failure::QuotaImpossible);
        job.customer->cap.cores = Millicores(0); // no limit
        CPPUNIT_ASSERT(checkCap(job).ok());
    }

    // Guards against work that has no cap any more once its customer is gone from the
    // configuration.
    void removedCustomerKeepsItsCap()
    {
        putWorker("a", 8000);
        report("a", 10);
        m_dispatcher.addJob(makeJob("j", makeCustomer("c", 10, 2000), 4), at(10));
        m_dispatcher.setConfig(makeConfig({}));
        CPPUNIT_ASSERT_EQUAL(size_t(2), decide(20).starts.size());
    }

    // The load: one customer submits four times its weight, and the capacity suffices for the
    // weights of both. Guards against a flood that takes the capacity of others.
    void floodOfOneCustomerLeavesOthersTheirShare()
    {
        const int alone = playLoad(0, 10, 10);
        const int beside = playLoad(40, 10, 10);
        CPPUNIT_ASSERT(alone >= 70);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(beside, " of ", alone), beside >= alone * 95 / 100);
    }

    // Guards against capacity that stays idle because a customer is beyond its rate.
    void unusedCapacityIsLent()
    {
        putWorker("a", 4000);
        report("a", 10);
        const Customer customer = makeCustomer("c", 1, 0);
        for (int n = 0; n < 4; ++n)
            m_dispatcher.addJob(makeJob(absl::StrCat("j", n), customer, 1), at(10));
        CPPUNIT_ASSERT_EQUAL(size_t(4), decide(20).starts.size());
    }

    void arrivalsCountInAnyOrder()
    {
        ArrivalCounter counter;
        CPPUNIT_ASSERT_EQUAL(int64_t(1), counter.add(UnixMilliseconds(5200)));
        CPPUNIT_ASSERT_EQUAL(int64_t(1), counter.add(UnixMilliseconds(4100)));
        CPPUNIT_ASSERT_EQUAL(int64_t(2), counter.add(UnixMilliseconds(5999)));
        CPPUNIT_ASSERT_EQUAL(int64_t(2), counter.add(UnixMilliseconds(4200)));
        CPPUNIT_ASSERT_EQUAL(int64_t(1), counter.add(UnixMilliseconds(200000)));
        CPPUNIT_ASSERT_EQUAL(int64_t(1), counter.add(UnixMilliseconds(-5)));
    }

    void keyFindsItsCustomer()
    {
        const auto config = std::make_shared<const CellConfig>(
                makeConfig({makeCustomer("a", 1, 0), makeCustomer("b", 1, 0)}));
        const CustomerIndex index(config);
        CPPUNIT_ASSERT(index.isInForce());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), index.find("b")->id.value());
        CPPUNIT_ASSERT(!index.find("c"));
        CPPUNIT_ASSERT(!index.find(""));
        CPPUNIT_ASSERT(!CustomerIndex(std::make_shared<const CellConfig>()).isInForce());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomersTest);

} // namespace
