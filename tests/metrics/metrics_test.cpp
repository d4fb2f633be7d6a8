// Tests of the metrics: nothing is lost between threads, quantiles are within a bin, and the text
// is what monitoring systems read.

#include "metrics/metrics.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <thread>
#include <vector>

namespace {

using cwl::metrics::HistogramReading;
using cwl::metrics::Registry;

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(threadsLoseNothing);
    CPPUNIT_TEST(quantilesAreWithinOneBin);
    CPPUNIT_TEST(valuesOutsideTheRangeCount);
    CPPUNIT_TEST(textIsTheExpositionFormat);
    CPPUNIT_TEST(labelsAreEscaped);
    CPPUNIT_TEST(seriesAreBounded);
    CPPUNIT_TEST(kindConflictIsCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against values lost between threads that fill while another one reads.
    void threadsLoseNothing()
    {
        constexpr int threadCount = 20; // more than there are shards
        constexpr int perThread = 2000;
        Registry registry;
        cwl::metrics::Counter &counter = registry.counter("c_total", "");
        cwl::metrics::Gauge &gauge = registry.gauge("g", "");
        cwl::metrics::Histogram &histogram = registry.histogram("h_seconds", "");
        std::vector<std::thread> threads;
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&] {
                for (int round = 0; round < perThread; ++round) {
                    counter.add(2);
                    gauge.add(1);
                    histogram.observe(cwl::milliseconds(500));
                }
            });
        }
        uint64_t before = 0;
        for (int round = 0; round < 50; ++round) {
            const uint64_t count = histogram.read().count;
            CPPUNIT_ASSERT(count >= before);
            before = count;
        }
        for (std::thread &thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(uint64_t(2 * threadCount * perThread), counter.value());
        CPPUNIT_ASSERT_EQUAL(double(threadCount * perThread), gauge.value());
        const HistogramReading reading = histogram.read();
        CPPUNIT_ASSERT_EQUAL(uint64_t(threadCount * perThread), reading.count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5 * threadCount * perThread, reading.sum, 1e-6);
    }

    // Guards against a state dump that shows a wrong waiting time.
    void quantilesAreWithinOneBin()
    {
        cwl::metrics::Histogram histogram({});
        for (int value = 1; value <= 1000; ++value)
            histogram.observe(value / 1000.0);
        const HistogramReading reading = histogram.read();
        const double ratio = reading.upperEdges[1] / reading.upperEdges[0];
        for (const double q : {0.1, 0.5, 0.9, 0.99}) {
            CPPUNIT_ASSERT(reading.quantile(q) <= q * ratio);
            CPPUNIT_ASSERT(reading.quantile(q) >= q / ratio);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, reading.quantile(1));
        CPPUNIT_ASSERT_EQUAL(1.0, reading.max);
        CPPUNIT_ASSERT_EQUAL(0.0, HistogramReading().quantile(0.5));
    }

    // Guards against values that vanish or are counted as the longest because they are very short.
    void valuesOutsideTheRangeCount()
    {
        cwl::metrics::Histogram histogram({.lowest = 1, .highest = 100, .bins = 2});
        for (const double value : {0.0, -1.0, 0.5, 5.0, 50.0, 1000.0})
            histogram.observe(value);
        histogram.observe(std::numeric_limits<double>::quiet_NaN());
        const HistogramReading reading = histogram.read();
        CPPUNIT_ASSERT((reading.counts == std::vector<uint64_t>{4, 1, 1}));
        CPPUNIT_ASSERT_EQUAL(uint64_t(6), reading.count);
        CPPUNIT_ASSERT_EQUAL(1000.0, reading.quantile(1));
    }

    // Guards against a page that monitoring systems refuse or misread.
    void textIsTheExpositionFormat()
    {
        Registry registry;
        registry.counter("tasks_total", "Tasks.", {{"team", "draw"}}).add(3);
        registry.gauge("queue.length", "Waiting.").set(1.5);
        cwl::metrics::Histogram &wait = registry.histogram(
                "wait_seconds", "Wait.", {}, {.lowest = 1, .highest = 100, .bins = 2});
        wait.observe(5.0);
        wait.observe(20.0);
        wait.observe(500.0);
        const std::string expected = "# HELP queue_length Waiting.\n"
                                     "# TYPE queue_length gauge\n"
                                     "queue_length 1.5\n"
                                     "# HELP tasks_total Tasks.\n"
                                     "# TYPE tasks_total counter\n"
                                     "tasks_total{team=\"draw\"} 3\n"
                                     "# HELP wait_seconds Wait.\n"
                                     "# TYPE wait_seconds histogram\n"
                                     "wait_seconds_bucket{le=\"10\"} 1\n"
                                     "wait_seconds_bucket{le=\"100\"} 2\n"
                                     "wait_seconds_bucket{le=\"+Inf\"} 3\n"
                                     "wait_seconds_sum 525\n"
                                     "wait_seconds_count 3\n";
        CPPUNIT_ASSERT_EQUAL(expected, registry.text());
        const Json::Value state = registry.state();
        CPPUNIT_ASSERT_EQUAL(3U, state["tasks_total"]["team=\"draw\""].asUInt());
        CPPUNIT_ASSERT_EQUAL(500.0, state["wait_seconds"][""]["max"].asDouble());
    }

    // Guards against a label that breaks the lines of the page.
    void labelsAreEscaped()
    {
        Registry registry;
        registry.counter("x_total", "a\nb", {{"job", "q\"\\\nz"}}).add();
        CPPUNIT_ASSERT(contains(registry.text(), "# HELP x_total a\\nb\n"));
        CPPUNIT_ASSERT(contains(registry.text(), "x_total{job=\"q\\\"\\\\\\nz\"} 1\n"));
    }

    // Guards against memory that grows with the names that callers choose.
    void seriesAreBounded()
    {
        Registry registry;
        for (int job = 0; job < 3000; ++job)
            registry.counter("x_total", "", {{"job", std::to_string(job)}}).add();
        const Json::Value series = registry.state()["x_total"];
        CPPUNIT_ASSERT(series.size() <= cwl::metrics::maxSeriesPerName + 1);
        CPPUNIT_ASSERT_EQUAL(2000U, series["overflow=\"true\""].asUInt());
    }

    // Guards against a crash or a broken page when two places use one name differently.
    void kindConflictIsCounted()
    {
        Registry registry;
        registry.counter("x_total", "").add();
        registry.gauge("x_total", "").set(5);
        CPPUNIT_ASSERT(contains(registry.text(), "x_total 1\n"));
        CPPUNIT_ASSERT(contains(registry.text(), "cwl_metrics_conflicts_total 1\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
