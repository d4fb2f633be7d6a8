// Stand-ins of the users' platform, behind the published protocol: the metadata store and the
// runners. Each runner keeps what its protocol page asks for and records every run.

#pragma once

#include "net.h"

#include <json/json.h>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <memory>
#include <tuple>
#include <vector>

namespace review {

inline std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value fromText(const std::string &text)
{
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
        return {};
    return value;
}

// What was sent, answered and run, with the time since the start; written to record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    bool isOpen() const { return m_file != nullptr; }
    int64_t nowMs() const { return steadyMs() - m_start; }
    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%7.3f s  %s\n", double(nowMs()) / 1000, line.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    const int64_t m_start = steadyMs();
};

// Section: the store

class Store
{
public:
    explicit Store(Record &)
        : m_server([this](const Request &request) { return handle(request); })
    {
    }

    uint16_t port() const { return m_server.port(); }

    // What the operator and the runners write.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, "", key}] = {base64(value), ++m_version, false};
        m_changed.notify_all();
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct StoredRow
    {
        std::string value; // base64
        int64_t version = 0;
        bool isDeleted = false;
    };

    static std::string base64(const std::string &plain)
    {
        static const char digits[] =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t at = 0; at < plain.size(); at += 3) {
            uint32_t bits = 0;
            for (size_t n = 0; n < 3; ++n)
                bits = bits << 8 | (at + n < plain.size() ? uint8_t(plain[at + n]) : 0);
            for (size_t n = 0; n < 4; ++n)
                text += at + n > plain.size() ? '=' : digits[bits >> (18 - 6 * n) & 63];
        }
        return text;
    }

    static std::map<std::string, std::string> fieldsOf(const std::string &query)
    {
        std::map<std::string, std::string> fields;
        size_t from = 0;
        while (from < query.size()) {
            const size_t to = std::min(query.find('&', from), query.size());
            const std::string field = query.substr(from, to - from);
            const size_t equals = field.find('=');
            std::string value;
            for (size_t at = equals + 1; equals != std::string::npos && at < field.size(); ++at) {
                if (field[at] == '%' && at + 2 < field.size()) {
                    value += char(std::stoi(field.substr(at + 1, 2), nullptr, 16));
                    at += 2;
                } else {
                    value += field[at];
                }
            }
            fields[field.substr(0, equals)] = value;
            from = to + 1;
        }
        return fields;
    }

    static Json::Value rowOf(const Key &key, const StoredRow &row)
    {
        Json::Value value;
        value["table"] = std::get<0>(key);
        value["part"] = std::get<1>(key);
        value["key"] = std::get<2>(key);
        value["ver"] = Json::Int64(row.version);
        if (row.isDeleted)
            value["deleted"] = true;
        else
            value["value"] = row.value;
        return value;
    }

    Response answer(int status, Json::Value body) const
    {
        body["ver"] = Json::Int64(m_version);
        body["nowMs"] = Json::Int64(steadyMs());
        return {status, toText(body)};
    }

    std::optional<Response> handle(const Request &request)
    {
        if (request.path == "/v1/rows-tx")
            return transaction(fromText(request.body));
        if (request.path == "/v1/rows-get")
            return read(fieldsOf(request.query));
        if (request.path == "/v1/rows-feed")
            return feed(fieldsOf(request.query));
        return Response{404, "{}"};
    }

    Response transaction(const Json::Value &body)
    {
        sleepMs(4); // txnMs
        const auto keyOf = [](const Json::Value &row) {
            return Key(row["table"].asString(), row["part"].asString(), row["key"].asString());
        };
        const std::lock_guard lock(m_mutex);
        if (body["expectedRev"].size() + body["write"].size() + body["remove"].size() > 100)
            return answer(400, Json::objectValue);
        Json::Value result(Json::objectValue);
        result["rows"] = Json::Value(Json::arrayValue);
        bool holds = true;
        for (const Json::Value &row : body["expectedRev"]) {
            const auto found = m_rows.find(keyOf(row));
            const bool exists = found != m_rows.end() && !found->second.isDeleted;
            holds = holds && row["ver"].asInt64() == (exists ? found->second.version : 0);
            if (exists)
                result["rows"].append(rowOf(found->first, found->second));
        }
        if (!holds)
            return answer(412, result);
        ++m_version;
        for (const Json::Value &row : body["write"])
            m_rows[keyOf(row)] = {row["value"].asString(), m_version, false};
        for (const Json::Value &row : body["remove"])
            m_rows[keyOf(row)] = {"", m_version, true};
        m_changed.notify_all();
        return answer(200, Json::objectValue);
    }

    Response read(std::map<std::string, std::string> fields)
    {
        sleepMs(4);
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["rows"] = Json::Value(Json::arrayValue);
        result["hasMore"] = false;
        size_t bytes = 0;
        const Key from(fields["table"], fields["part"], fields["from"]);
        for (auto row = m_rows.lower_bound(from); row != m_rows.end(); ++row) {
            const auto &[table, part, name] = row->first;
            if (table != fields["table"] || part != fields["part"]
                || (!fields["target"].empty() && name >= fields["target"]))
                break;
            if (row->second.isDeleted)
                continue;
            if (result["rows"].size() == 500 || bytes > 1000000) {
                result["hasMore"] = true;
                break;
            }
            bytes += row->second.value.size();
            result["rows"].append(rowOf(row->first, row->second));
        }
        return answer(200, result);
    }

    Response feed(std::map<std::string, std::string> fields)
    {
        const int64_t after = std::stoll(fields["after"]);
        const auto until = std::chrono::steady_clock::now()
                + std::chrono::milliseconds(std::stoll(fields["waitMs"]));
        std::unique_lock lock(m_mutex);
        Json::Value result;
        for (;;) {
            std::multimap<int64_t, Json::Value> changes;
            for (auto row = m_rows.lower_bound({fields["table"], "", ""});
                 row != m_rows.end() && std::get<0>(row->first) == fields["table"]; ++row) {
                if (row->second.version > after)
                    changes.emplace(row->second.version, rowOf(row->first, row->second));
            }
            result["rows"] = Json::Value(Json::arrayValue);
            for (const auto &[version, row] : changes)
                result["rows"].append(row);
            if (!changes.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
                return answer(200, result);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, StoredRow> m_rows;
    int64_t m_version = 0;
    Server m_server; // the last member: its threads use the others
};

// Section: runners

// What a job's `spec` tells the runner to do: after "run=300" each task works for 300 ms and is
// done, after "fail=50" it works for 50 ms and fails, after "run=0" it lasts.
inline int64_t figureIn(const std::string &spec, const std::string &name)
{
    const size_t at = spec.find(name);
    return at == std::string::npos ? -1 : std::stoll(spec.substr(at + name.size()));
}

struct RunnerOptions
{
    std::string id;
    std::string service;
    int64_t cpu = 4000;
    int64_t memMb = 8000;
    std::vector<std::string> labels = {"kind-a", "r1"};
};

class Runner
{
public:
    Runner(Record &record, RunnerOptions options)
        : m_record(record)
        , m_options(std::move(options))
        , m_server([this](const Request &request) { return handle(request); })
    {
        std::thread([this] { work(); }).detach();
    }

    uint16_t port() const { return m_server.port(); }
    const RunnerOptions &options() const { return m_options; }

    std::string entry()
    {
        const std::lock_guard lock(m_mutex);
        Json::Value value;
        value["service"] = m_options.service;
        value["addr"] = "127.0.0.1:" + std::to_string(port());
        value["zone"] = "zone-a";
        value["version"] = "1";
        value["slots"] = 8;
        value["state"] = "ready";
        value["coldLeftMs"] = 0;
        value["seq"] = Json::Int64(++m_sequence);
        value["capacity"]["cpu"] = Json::Int64(m_options.cpu);
        value["capacity"]["memMb"] = Json::Int64(m_options.memMb);
        value["capacity"]["gpu"] = 0;
        for (const std::string &label : m_options.labels)
            value["labels"].append(label);
        value["born"] = Json::Int64(m_born);
        return toText(value);
    }

    std::atomic<bool> hangs = false;        // requests are neither executed nor answered
    std::atomic<bool> losesStartOf = false; // the next start of `losingJob` is not answered
    std::string losingJob;                  // set before the members start
    std::atomic<int> calls = 0;             // that were executed

    struct Run
    {
        int64_t attempt = 0;
        int64_t startedMs = 0;
        int64_t runMs = 0; // 0: it lasts
        bool fails = false;
        int64_t stopAtMs = 0; // 0: it is not being stopped
    };

    std::map<std::string, Run> running()
    {
        const std::lock_guard lock(m_mutex);
        return m_running;
    }
    // Tasks of which a run has begun here, with the time of the first one.
    std::map<std::string, int64_t> begun()
    {
        const std::lock_guard lock(m_mutex);
        return m_begun;
    }
    // Called, with the lock held, when a stop ends a run. Set before the members start.
    std::function<void(const std::string &task, const Run &run)> onStopOrder =
            [](const std::string &, const Run &) {};

private:
    struct End
    {
        int64_t number;
        std::string task;
        int64_t attempt;
        std::string how;
    };

    int64_t clockMs() const { return steadyMs() + m_clockOffset; }

    Response answer(int status, Json::Value body) const
    {
        body["clockMs"] = Json::Int64(clockMs());
        body["born"] = Json::Int64(m_born);
        return {status, toText(body)};
    }

    Response refuse(const char *reason) const
    {
        Json::Value body;
        body["reason"] = reason;
        return answer(409, body);
    }

    std::optional<Response> handle(const Request &request)
    {
        if (hangs)
            return std::nullopt;
        const Json::Value body = fromText(request.body);
        const auto meant = request.headers.find("x-expected-instance");
        std::unique_lock lock(m_mutex);
        if (meant != request.headers.end() && meant->second != m_options.id)
            return answer(421, Json::objectValue);
        const int64_t token = body.get("fencingToken", 0).asInt64();
        if (token < m_token)
            return refuse("fence");
        m_token = token;
        ++calls;
        if (request.path == "/v1/run-start")
            return start(body);
        if (request.path == "/v1/run-stop")
            return stop(body);
        if (request.path == "/v1/hold")
            return hold(body, lock);
        if (request.path == "/v1/pace")
            return answer(200, Json::objectValue);
        return answer(404, Json::objectValue);
    }

    void extend(const Json::Value &body)
    {
        if (body.isMember("deadlineMs"))
            m_leaseUntil = std::max(m_leaseUntil,
                                    std::min(body["deadlineMs"].asInt64(), clockMs() + 6000));
    }

    std::optional<Response> start(const Json::Value &body)
    {
        const std::string task = body["task"].asString();
        const int64_t attempt = body["attempt"].asInt64();
        if (body["deadlineMs"].asInt64() <= clockMs())
            return refuse("late");
        extend(body);
        const auto known = m_running.find(task);
        if (known != m_running.end() && known->second.attempt == attempt)
            return answer(200, Json::objectValue);
        if (m_ended[task] >= attempt)
            return refuse("old");
        const std::string spec = body["spec"].asString();
        const int64_t failsAfter = figureIn(spec, "fail=");
        const bool fails = failsAfter > 0;
        m_running[task] = {.attempt = attempt,
                           .startedMs = clockMs(),
                           .runMs = fails ? failsAfter : figureIn(spec, "run="),
                           .fails = fails};
        m_begun.emplace(task, m_record.nowMs());
        if (losesStartOf && task.substr(0, 16) == losingJob) {
            losesStartOf = false;
            m_record.add(m_options.id + " starts " + task + " run " + std::to_string(attempt)
                         + ", and its answer is lost");
            return std::nullopt;
        }
        m_record.add(m_options.id + " starts " + task + " run " + std::to_string(attempt));
        return answer(200, Json::objectValue);
    }

    Response stop(const Json::Value &body)
    {
        const std::string task = body["task"].asString();
        const int64_t attempt = body["attempt"].asInt64();
        m_ended[task] = std::max(m_ended[task], attempt);
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.attempt <= attempt
            && found->second.stopAtMs == 0) {
            m_record.add(m_options.id + " is told to stop " + task + " run "
                         + std::to_string(attempt));
            onStopOrder(task, found->second);
            found->second.stopAtMs = clockMs() + 100;
        }
        return answer(200, Json::objectValue);
    }

    Response hold(const Json::Value &body, std::unique_lock<std::mutex> &lock)
    {
        extend(body);
        const int64_t seen = body.get("ackCursor", 0).asInt64();
        std::erase_if(m_ends, [&](const End &end) { return end.number <= seen; });
        const auto until = std::chrono::steady_clock::now()
                + std::chrono::milliseconds(
                                   std::min<int64_t>(body.get("waitMs", 0).asInt64(), 2000));
        while (m_ends.empty() && m_hasEnded.wait_until(lock, until) == std::cv_status::no_timeout) {
        }
        Json::Value lists;
        lists["running"] = Json::Value(Json::arrayValue);
        lists["finished"] = Json::Value(Json::arrayValue);
        for (const auto &[task, run] : m_running) {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(Json::Int64(run.attempt));
            row.append("");
            row.append(Json::Int64(percentOf(run)));
            row.append(0);
            lists["running"].append(row);
        }
        for (const End &end : m_ends) {
            if (lists["finished"].size() == 500)
                break;
            Json::Value row(Json::arrayValue);
            row.append(Json::Int64(end.number));
            row.append(end.task);
            row.append(Json::Int64(end.attempt));
            row.append(end.how);
            row.append("");
            lists["finished"].append(row);
        }
        return answer(200, lists);
    }

public:
    // A task that lasts ("run=0") is at work, with percent 100, after a start-up of 300 ms.
    int64_t percentOf(const Run &run) const
    {
        const int64_t elapsed = clockMs() - run.startedMs;
        if (run.runMs == 0)
            return std::min<int64_t>(100, elapsed / 3);
        return std::min<int64_t>(99, elapsed * 100 / run.runMs);
    }

private:
    void work()
    {
        for (;;) {
            sleepMs(5);
            const std::lock_guard lock(m_mutex);
            const int64_t now = clockMs();
            std::vector<std::pair<std::string, const char *>> over;
            for (const auto &[task, run] : m_running) {
                if (now >= m_leaseUntil)
                    over.emplace_back(task, "lapsed");
                else if (run.stopAtMs != 0 && now >= run.stopAtMs)
                    over.emplace_back(task, "stopped");
                else if (run.runMs > 0 && now - run.startedMs >= run.runMs)
                    over.emplace_back(task, run.fails ? "failed" : "done");
            }
            for (const auto &[task, how] : over) {
                const int64_t attempt = m_running[task].attempt;
                m_running.erase(task);
                m_ended[task] = std::max(m_ended[task], attempt);
                m_ends.push_back({++m_lastEnd, task, attempt, how});
                m_record.add(m_options.id + " ends " + task + " run " + std::to_string(attempt)
                             + " " + how);
            }
            if (!over.empty())
                m_hasEnded.notify_all();
        }
    }

    Record &m_record;
    const RunnerOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_hasEnded;
    std::map<std::string, Run> m_running;
    std::map<std::string, int64_t> m_begun;
    std::map<std::string, int64_t> m_ended; // highest run that was stopped or has ended
    std::vector<End> m_ends;                // not acknowledged
    int64_t m_lastEnd = 0;
    int64_t m_token = 0;
    int64_t m_leaseUntil = 0;
    int64_t m_sequence = 0;
    const int64_t m_clockOffset = 5000 - steadyMs(); // its clock is its own
    const int64_t m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count();
    Server m_server; // the last member: its threads use the others
};

} // namespace review
