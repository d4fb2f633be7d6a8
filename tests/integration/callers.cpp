#include "integration/callers.h"

#include "base/error.h"
#include "base/json.h"

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace cwl::integration {

std::string newRequestId()
{
    static std::atomic<int64_t> next = 0;
    return std::to_string(UnixMilliseconds::now().value()) + "-" + std::to_string(next++);
}

namespace {

// Reads the answer as a caller would: complete and to this request, or not.
Attempt readAnswer(const std::string &entry, const std::string &id, const std::string &body,
                   const absl::StatusOr<http::Response> &response)
{
    Attempt attempt{.entry = entry};
    if (!response.ok()) {
        attempt.outcome = "lost";
        attempt.type = failureName(failureOf(response.status()));
        return attempt;
    }
    attempt.status = response->status;
    attempt.outcome = response->headers.value("Request-Outcome");
    const absl::StatusOr<Json::Value> content = parseJson(response->body);
    if (!content.ok())
        attempt.type = "not_json";
    else if (content->isMember("error"))
        attempt.type = (*content)["error"]["type"].asString();
    else
        attempt.isOwn = (*content)["requestId"] == id && (*content)["body"] == body;
    return attempt;
}

} // namespace

Attempt send(const std::string &entry, const std::string &method, const std::string &id,
             const std::string &body, const CallerOptions &options, size_t number)
{
    http::Request request{.method = "POST", .path = "/v1/services/draw/" + method, .body = body};
    request.headers.set("Request-Id", id);
    request.headers.set("Request-Deadline-Ms", std::to_string(options.deadlineMs));
    request.headers.set("Request-Class", options.urgency);
    request.headers.set("Request-Attempt", std::to_string(number));
    const TimePoint end = BootClock::now() + milliseconds(options.deadlineMs + options.patienceMs);
    return readAnswer(entry, id, body, harness::call(entry, std::move(request), end));
}

Callers::Callers(std::vector<std::string> entries, const CallerOptions &options)
    : m_entries(std::move(entries))
    , m_options(options)
{
    for (size_t i = 0; i < options.threads; ++i)
        m_threads.emplace_back([this, i] { run(m_options.seed * 1000 + i); });
}

Callers::~Callers()
{
    stop();
}

void Callers::stop()
{
    m_isStopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void Callers::run(uint64_t seed)
{
    std::mt19937_64 generator(seed);
    while (!m_isStopping) {
        RequestRecord record{.id = newRequestId(), .method = m_options.onlyMethod};
        if (record.method.empty())
            record.method = generator() % 2 == 0 ? "pair" : "motions";
        const std::string body = std::string(m_options.bodyBytes, 'x') + record.id;
        size_t entry = generator() % m_entries.size();
        while (record.attempts.size() < m_options.maxAttempts) {
            record.attempts.push_back(send(m_entries[entry], record.method, record.id, body,
                                           m_options, record.attempts.size() + 1));
            if (record.isAnswered())
                break;
            entry = (entry + 1) % m_entries.size();
            std::this_thread::sleep_for(milliseconds(20)); // a caller's pause before it repeats
        }
        m_answered += record.isAnswered();
        {
            const std::lock_guard lock(m_mutex);
            m_records.push_back(std::move(record));
        }
        std::this_thread::sleep_for(milliseconds(m_options.pauseMs));
    }
}

std::vector<RequestRecord> Callers::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

bool Callers::waitForAnswers(size_t more) const
{
    const size_t target = m_answered + more;
    return harness::waitUntil(harness::patience(), [&] { return m_answered >= target; });
}

std::string Callers::summary() const
{
    return summaryOf(records());
}

std::string summaryOf(const std::vector<RequestRecord> &records)
{
    std::map<std::string, size_t> counts;
    for (const RequestRecord &record : records) {
        for (const Attempt &attempt : record.attempts)
            ++counts[attempt.outcome + " " + attempt.type];
    }
    std::ostringstream text;
    for (const auto &[name, count] : counts)
        text << name << ": " << count << "\n";
    return text.str();
}

// Section: judgement

namespace {

void judgeRecord(const RequestRecord &record, int64_t executions, std::ostringstream &violations)
{
    const auto count = [&](const std::string &outcome) {
        return size_t(
                std::count_if(record.attempts.begin(), record.attempts.end(),
                              [&](const Attempt &attempt) { return attempt.outcome == outcome; }));
    };
    const std::string about = record.method + " " + record.id;
    for (const Attempt &attempt : record.attempts) {
        const bool isKnown = attempt.outcome == "answered" || attempt.outcome == "not-run"
                || attempt.outcome == "unknown" || attempt.outcome == "lost";
        if (!isKnown)
            violations << about << ": answer without an outcome, status " << attempt.status << "\n";
        if (attempt.outcome == "answered" && attempt.status == 200 && !attempt.isOwn)
            violations << about << ": the answer is not its own or not complete (P3)\n";
    }
    if (record.method == "pair" && executions > 1)
        violations << about << ": ran " << executions << " times (P5)\n";
    const bool isToldNotRun = record.method == "pair" ? record.attempts.back().outcome == "not-run"
                                                      : count("not-run") == record.attempts.size();
    if (isToldNotRun && executions > 0)
        violations << about << ": told not run with " << record.attempts.back().type << ", but ran "
                   << executions << " times (P4)\n";
    if (count("answered") > 0 && executions == 0)
        violations << about << ": answered without having run (P3)\n";
}

} // namespace

std::string requestViolations(const Cell &cell, const std::vector<RequestRecord> &records)
{
    const Json::Value seen = cell.executions();
    std::ostringstream violations;
    for (const RequestRecord &record : records)
        judgeRecord(record, seen["executions"].get(record.id, 0).asInt64(), violations);
    for (const char *limit : {"slotOverloads", "connectionOverloads", "withoutId"}) {
        if (seen[limit].asInt64() != 0)
            violations << limit << ": " << seen[limit].asInt64() << "\n";
    }
    return violations.str().substr(0, 4000);
}

size_t countOutcome(const std::vector<RequestRecord> &records, const std::string &outcome)
{
    size_t result = 0;
    for (const RequestRecord &record : records) {
        for (const Attempt &attempt : record.attempts)
            result += attempt.outcome == outcome;
    }
    return result;
}

} // namespace cwl::integration
