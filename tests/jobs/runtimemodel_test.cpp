// Predicted run times of queues with good, useless and biased estimates, and the order of jobs that
// follows from them.

#include "jobs/dispatcher.h"
#include "jobs/runtimemodel.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace {

using namespace cwl;
using namespace cwl::jobs;

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

class RuntimeModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RuntimeModelTest);
    CPPUNIT_TEST(goodEstimatesAreKept);
    CPPUNIT_TEST(uselessEstimatesGiveWayToTheMean);
    CPPUNIT_TEST(constantErrorIsCorrected);
    CPPUNIT_TEST(newQueueUsesItsEstimates);
    CPPUNIT_TEST(underestimatedJobDoesNotCountAsLate);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937_64 m_random{20261204};

    // Mean error of the predictions for `error`, which maps an actual time to an estimate; as a
    // factor above 1.
    template <typename Error>
    double meanError(Error error)
    {
        std::lognormal_distribution<double> times(std::log(3.6), 0.5);
        RuntimeModel model;
        for (int run = 0; run < 100; ++run) {
            const double actual = times(m_random);
            model.add("queue", fromSeconds(error(actual)), fromSeconds(actual));
        }
        double sum = 0;
        constexpr int count = 400;
        for (int run = 0; run < count; ++run) {
            const double actual = times(m_random);
            const Duration predicted = model.predict("queue", fromSeconds(error(actual)));
            sum += std::abs(std::log(double(predicted.count()) / (actual * 1e9)));
        }
        return std::exp(sum / count);
    }

    static Duration fromSeconds(double time) { return Duration(int64_t(time * 1e9)); }

public:
    // Guards against a model that blurs estimates which are right.
    void goodEstimatesAreKept()
    {
        std::uniform_real_distribution<double> factor(0.9, 1.1);
        CPPUNIT_ASSERT(meanError([&](double actual) { return actual * factor(m_random); }) < 1.1);
    }

    // Guards against jobs that are ordered by noise: estimates between a tenth and twice the actual
    // time are worse than no estimate.
    void uselessEstimatesGiveWayToTheMean()
    {
        std::uniform_real_distribution<double> factor(0.1, 1.9);
        const double learned = meanError([&](double actual) { return actual * factor(m_random); });
        double sum = 0;
        for (int run = 0; run < 400; ++run)
            sum += std::abs(std::log(factor(m_random)));
        CPPUNIT_ASSERT(learned < std::exp(sum / 400));
        CPPUNIT_ASSERT(learned < 1.6); // the spread of the run times is 1.5 on the mean
    }

    void constantErrorIsCorrected()
    {
        CPPUNIT_ASSERT(meanError([](double actual) { return actual / 3; }) < 1.1);
    }

    void newQueueUsesItsEstimates()
    {
        RuntimeModel model;
        model.add("queue", seconds(1), seconds(9));
        CPPUNIT_ASSERT(model.predict("queue", seconds(2)) == seconds(2));
        CPPUNIT_ASSERT(model.predict("other", seconds(2)) == seconds(2));
    }

    // Guards against a job that is put behind all others as late after a fraction of the time that
    // it needs, because its estimate was a tenth of its run time.
    void underestimatedJobDoesNotCountAsLate()
    {
        Dispatcher dispatcher{DispatcherSettings{}};
        dispatcher.begin(Epoch(1), at(0));
        WorkerEntry entry;
        entry.id = WorkerId("w");
        entry.address = "w";
        entry.service = "service";
        entry.capacity = {Millicores(1000), Mebibytes(1000), {}};
        dispatcher.putWorker(entry, at(0));
        dispatcher.noteRecorded(entry.id);
        int64_t ended = 0;
        const auto report = [&](int64_t ms, const std::vector<RunningTask> &running,
                                const std::string &done, int64_t attempt) {
            WorkerReport workerReport;
            workerReport.clockMs = ms;
            workerReport.born = 1;
            workerReport.running = running;
            if (!done.empty())
                workerReport.ended.push_back({++ended, done, attempt, EndKind::Done, ""});
            dispatcher.onReport(WorkerId("w"), workerReport, at(ms - 1), at(ms));
        };
        const auto add = [&](const std::string &id, int64_t ms, Duration estimate) {
            JobSpec spec;
            spec.id = JobId(id);
            spec.queue = {.name = "queue",
                          .service = "service",
                          .priority = 1,
                          .maxAttempts = 3,
                          .maxSlowdown = 2};
            Step step;
            step.each = {Millicores(1000), Mebibytes(100), {}};
            step.estimate = estimate;
            spec.steps = {step};
            dispatcher.addJob(spec, at(ms));
        };
        const auto decide = [&](int64_t ms) {
            dispatcher.confirmOwnership(at(ms));
            return dispatcher.decide(at(ms), UnixMilliseconds(0));
        };
        report(1, {}, "", 0);
        int64_t now = 10;
        std::uniform_int_distribution<int64_t> estimates(100, 1900);
        for (int run = 0; run < 40; ++run) { // of 1 s each, whatever their estimate
            const std::string id = absl::StrCat("job", run);
            add(id, now, milliseconds(estimates(m_random)));
            const Orders orders = decide(now + 1);
            CPPUNIT_ASSERT_EQUAL(size_t(1), orders.starts.size());
            const StartOrder &order = orders.starts[0];
            dispatcher.onStartAnswered(order, OrderAnswer::Accepted, at(now + 2));
            now += 1002;
            report(now, {}, order.task, order.attempt);
            dispatcher.committed(dispatcher.collect());
        }
        add("running", now, seconds(1));
        const Orders first = decide(now + 1);
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.starts.size());
        dispatcher.onStartAnswered(first.starts[0], OrderAnswer::Accepted, at(now + 2));
        add("underestimated", now + 3, milliseconds(100)); // late after 120 ms by its estimate
        add("overestimated", now + 200, milliseconds(1900));
        now += 700;
        report(now, {}, first.starts[0].task, first.starts[0].attempt);
        dispatcher.committed(dispatcher.collect());
        const Orders next = decide(now + 1);
        CPPUNIT_ASSERT_EQUAL(size_t(1), next.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("underestimated.0.0.0"), next.starts[0].task);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RuntimeModelTest);

} // namespace
