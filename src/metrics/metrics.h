// Counters, gauges and histograms. Threads fill their own shards; reading merges them.
//
//     metrics::Registry registry;
//     metrics::Counter &started = registry.counter("cwl_tasks_started_total", "Tasks started.");
//     metrics::Histogram &wait = registry.histogram("cwl_request_wait_seconds", "Waiting time.",
//                                                   {{"class", "urgent"}});
//     started.add();
//     wait.observe(duration);
//     answer(registry.text());   // for monitoring systems
//     answer(registry.state());  // for the state dump
//
// Keep the returned references: looking a metric up takes a lock and compares names. They stay
// valid as long as the registry. Everything here may be called on any thread.

#pragma once

#include "base/clock.h"
#include "metrics/histogram.h"

#include <json/value.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cwl::metrics {

// Section: limits

constexpr size_t maxSeriesPerName = 1000; // further label sets share one series, overflow="true"

// Section: metrics

using Labels = std::map<std::string, std::string>;

// Only rises.
class Counter
{
public:
    void add(uint64_t amount = 1)
    {
        m_shards[threadShard()].value.fetch_add(amount, std::memory_order_relaxed);
    }
    uint64_t value() const;

private:
    struct alignas(64) Shard
    {
        std::atomic<uint64_t> value = 0;
    };
    std::array<Shard, shardCount> m_shards = {};
};

// Goes up and down; the last value set wins.
class Gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double amount);
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value = 0;
};

// Section: the registry

class Registry
{
public:
    Registry();
    ~Registry();

    // Return the metric of that name and these labels, made at the first call. A name keeps the
    // kind and the help text of its first use; a metric that asks for another kind works but is not
    // exported, and counts in cwl_metrics_conflicts_total. Characters that a name may not contain
    // become underscores.
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    Histogram &histogram(const std::string &name, const std::string &help,
                         const Labels &labels = {}, const HistogramRange &range = {});

    // All metrics in the Prometheus text format, version 0.0.4.
    std::string text() const;

    // {name: {labels: value}}; a histogram's value is {"count", "mean", "p50", "p90", "p99",
    // "max"}.
    Json::Value state() const;

private:
    enum class Kind { Counter, Gauge, Histogram };
    struct Series;
    struct Family;

    Series &series(const std::string &name, const std::string &help, const Labels &labels,
                   Kind kind, const HistogramRange &range);
    Series &createSeries(Family &family, const std::string &labels, const HistogramRange &range);

    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Family>> m_families;  // by name
    std::map<std::string, std::unique_ptr<Family>> m_conflicts; // by name and kind, not exported
};

} // namespace cwl::metrics
