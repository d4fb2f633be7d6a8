#include "metrics/metrics.h"

#include <absl/strings/str_cat.h>

#include <cctype>
#include <cmath>
#include <cstdio>
#include <utility>

namespace cwl::metrics {

namespace {

const char *const conflictsName = "cwl_metrics_conflicts_total";

std::string validName(const std::string &name)
{
    std::string valid = name;
    for (char &character : valid) {
        if (!std::isalnum(static_cast<unsigned char>(character)) && character != ':')
            character = '_';
    }
    if (valid.empty() || std::isdigit(static_cast<unsigned char>(valid.front())))
        valid.insert(valid.begin(), '_');
    return valid;
}

std::string escaped(const std::string &value, bool withQuotes)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '\\' || (withQuotes && character == '"'))
            text += '\\';
        text += character;
    }
    return text;
}

// Returns `a="x",b="y"`, without braces.
std::string labelText(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels)
        absl::StrAppend(&text, text.empty() ? "" : ",", validName(name), "=\"",
                        escaped(value, true), "\"");
    return text;
}

std::string number(double value)
{
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    char text[32];
    std::snprintf(text, sizeof(text), "%.9g", value);
    return text;
}

std::string sample(const std::string &name, const std::string &labels, const std::string &value)
{
    if (labels.empty())
        return absl::StrCat(name, " ", value, "\n");
    return absl::StrCat(name, "{", labels, "} ", value, "\n");
}

std::string histogramText(const std::string &name, const std::string &labels,
                          const HistogramReading &reading)
{
    const std::string prefix = labels.empty() ? std::string() : absl::StrCat(labels, ",");
    std::string text;
    uint64_t cumulative = 0;
    for (size_t bin = 0; bin < reading.upperEdges.size(); ++bin) {
        cumulative += reading.counts[bin];
        const std::string edge =
                absl::StrCat(prefix, "le=\"", number(reading.upperEdges[bin]), "\"");
        text += sample(name + "_bucket", edge, absl::StrCat(cumulative));
    }
    const std::string count = absl::StrCat(reading.count);
    text += sample(name + "_bucket", absl::StrCat(prefix, "le=\"+Inf\""), count);
    text += sample(name + "_sum", labels, number(reading.sum));
    text += sample(name + "_count", labels, count);
    return text;
}

Json::Value histogramState(const HistogramReading &reading)
{
    Json::Value state;
    state["count"] = Json::UInt64(reading.count);
    if (reading.count == 0)
        return state;
    state["mean"] = reading.sum / static_cast<double>(reading.count);
    state["p50"] = reading.quantile(0.5);
    state["p90"] = reading.quantile(0.9);
    state["p99"] = reading.quantile(0.99);
    state["max"] = reading.max;
    return state;
}

} // namespace

// Section: metrics

uint64_t Counter::value() const
{
    uint64_t sum = 0;
    for (const Shard &shard : m_shards)
        sum += shard.value.load(std::memory_order_relaxed);
    return sum;
}

void Gauge::add(double amount)
{
    double before = m_value.load(std::memory_order_relaxed);
    while (!m_value.compare_exchange_weak(before, before + amount, std::memory_order_relaxed)) {
    }
}

// Section: the registry

// Exactly one of the pointers is set, by the family's kind.
struct Registry::Series
{
    std::unique_ptr<Counter> counter;
    std::unique_ptr<Gauge> gauge;
    std::unique_ptr<Histogram> histogram;
};

struct Registry::Family
{
    Kind kind;
    std::string help;
    std::map<std::string, Series> series = {}; // by label text
};

Registry::Registry() = default;
Registry::~Registry() = default;

Counter &Registry::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    return *series(name, help, labels, Kind::Counter, {}).counter;
}

Gauge &Registry::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    return *series(name, help, labels, Kind::Gauge, {}).gauge;
}

Histogram &Registry::histogram(const std::string &name, const std::string &help,
                               const Labels &labels, const HistogramRange &range)
{
    return *series(name, help, labels, Kind::Histogram, range).histogram;
}

Registry::Series &Registry::series(const std::string &name, const std::string &help,
                                   const Labels &labels, Kind kind, const HistogramRange &range)
{
    const std::string family = validName(name);
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<Family> &found = m_families[family];
    if (!found)
        found = std::make_unique<Family>(Family{.kind = kind, .help = help});
    if (found->kind == kind)
        return createSeries(*found, labelText(labels), range);
    std::unique_ptr<Family> &conflict =
            m_conflicts[absl::StrCat(family, " ", static_cast<int>(kind))];
    if (!conflict)
        conflict = std::make_unique<Family>(Family{.kind = kind, .help = help});
    std::unique_ptr<Family> &conflicts = m_families[conflictsName];
    if (!conflicts)
        conflicts = std::make_unique<Family>(
                Family{.kind = Kind::Counter, .help = "Metrics asked for as two kinds."});
    createSeries(*conflicts, "", {}).counter->add();
    return createSeries(*conflict, labelText(labels), range);
}

Registry::Series &Registry::createSeries(Family &family, const std::string &labels,
                                         const HistogramRange &range)
{
    const auto found = family.series.find(labels);
    if (found != family.series.end())
        return found->second;
    const bool isFull = family.series.size() >= maxSeriesPerName;
    Series &series = family.series[isFull ? "overflow=\"true\"" : labels];
    if (family.kind == Kind::Counter && !series.counter)
        series.counter = std::make_unique<Counter>();
    if (family.kind == Kind::Gauge && !series.gauge)
        series.gauge = std::make_unique<Gauge>();
    if (family.kind == Kind::Histogram && !series.histogram)
        series.histogram = std::make_unique<Histogram>(range);
    return series;
}

std::string Registry::text() const
{
    static const char *const types[] = {"counter", "gauge", "histogram"};
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[name, family] : m_families) {
        absl::StrAppend(&text, "# HELP ", name, " ", escaped(family->help, false), "\n# TYPE ",
                        name, " ", types[static_cast<size_t>(family->kind)], "\n");
        for (const auto &[labels, series] : family->series) {
            if (series.counter)
                text += sample(name, labels, absl::StrCat(series.counter->value()));
            if (series.gauge)
                text += sample(name, labels, number(series.gauge->value()));
            if (series.histogram)
                text += histogramText(name, labels, series.histogram->read());
        }
    }
    return text;
}

Json::Value Registry::state() const
{
    const std::lock_guard lock(m_mutex);
    Json::Value state(Json::objectValue);
    for (const auto &[name, family] : m_families) {
        for (const auto &[labels, series] : family->series) {
            Json::Value &value = state[name][labels];
            if (series.counter)
                value = Json::UInt64(series.counter->value());
            if (series.gauge)
                value = series.gauge->value();
            if (series.histogram)
                value = histogramState(series.histogram->read());
        }
    }
    return state;
}

} // namespace cwl::metrics
