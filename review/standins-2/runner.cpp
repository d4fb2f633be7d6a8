#include "runner.h"

#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace cwl::review {

namespace {

constexpr int64_t startupMs = 300;          // of a task that lasts, until it is at work
constexpr Json::ArrayIndex maxListed = 500; // ends in one response
constexpr int64_t maxWaitMs = 2000;

} // namespace

Runner::Runner(boost::asio::io_context &context, RunnerOptions options, Plan plan, RunnerLog &log,
               Record &record)
    : m_context(context)
    , m_options(std::move(options))
    , m_plan(std::move(plan))
    , m_log(log)
    , m_record(record)
    , m_born(UnixMilliseconds::now().value())
    , m_bootedAt(BootClock::now())
    , m_leaseTimer(context)
{
}

absl::Status Runner::open()
{
    auto server = http::Server::create(
            m_context, {}, [this](const http::Request &request, const http::Responder &respond) {
                handle(request, respond);
            });
    if (!server.ok())
        return server.status();
    m_server = *std::move(server);
    m_port = m_server->port();
    return absl::OkStatus();
}

void Runner::crash()
{
    m_record.line(absl::StrCat("runner ", m_options.id, " crashes"));
    m_server.reset();
    m_leaseTimer.cancel();
    if (m_waitTimer)
        m_waitTimer->cancel();
    m_waiting = nullptr;
    for (auto &[task, run] : m_running) {
        if (run.timer)
            run.timer->cancel();
        m_log.running.erase(task);
        m_log.lastEndMs[task] = m_record.elapsedMs();
    }
    m_running.clear();
    m_ended.clear();
}

void Runner::note(const std::string &task, const std::string &text)
{
    const std::string index = task.substr(task.rfind('.') + 1);
    if (m_options.recordedTasks < 0 || std::stoi(index) < m_options.recordedTasks)
        m_record.line(text);
}

std::string Runner::entry() const
{
    Json::Value value;
    value["service"] = m_options.service;
    value["addr"] = absl::StrCat("127.0.0.1:", m_port);
    value["zone"] = "zone-a";
    value["version"] = "1";
    value["slots"] = 8;
    value["state"] = "ready";
    value["coldLeftMs"] = 0;
    value["seq"] = 1;
    value["capacity"]["cpu"] = Json::Int64(m_options.cpu);
    value["capacity"]["memMb"] = Json::Int64(m_options.memMb);
    value["capacity"]["gpu"] = 0;
    for (const std::string &label : m_options.labels)
        value["labels"].append(label);
    value["born"] = Json::Int64(m_born);
    return writeJson(value);
}

int64_t Runner::clockMs() const
{
    return 1000 + std::chrono::duration_cast<milliseconds>(BootClock::now() - m_bootedAt).count();
}

void Runner::answer(const http::Responder &respond, int status, Json::Value body) const
{
    body["clockMs"] = Json::Int64(clockMs());
    body["born"] = Json::Int64(m_born);
    http::Response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = writeJson(body);
    respond(std::move(response));
}

void Runner::handle(const http::Request &request, const http::Responder &respond)
{
    const auto body = parseJson(request.body);
    if (!body.ok())
        return answer(respond, 400, {});
    if (request.headers.value("X-Expected-Instance") != m_options.id)
        return answer(respond, 421, {});
    const int64_t token = (*body)["fencingToken"].asInt64();
    if (token < m_token) {
        Json::Value refusal;
        refusal["reason"] = "fence";
        return answer(respond, 409, refusal);
    }
    m_token = token;
    if (request.path == "/v1/run-start")
        start(*body, respond);
    else if (request.path == "/v1/run-stop")
        stop(*body, respond);
    else if (request.path == "/v1/hold")
        hold(*body, respond);
    else
        answer(respond, request.path == "/v1/pace" ? 200 : 404, {});
}

void Runner::extend(const Json::Value &body)
{
    if (!body.isMember("deadlineMs"))
        return;
    m_leaseUntil = std::max(
            m_leaseUntil, std::min(body["deadlineMs"].asInt64(), clockMs() + m_options.holdMaxMs));
    checkLease();
}

void Runner::checkLease()
{
    const int64_t left = m_leaseUntil - clockMs();
    if (left <= 0) {
        while (!m_running.empty())
            end(std::string(m_running.begin()->first), "lapsed"); // a copy: end() erases the key
        return;
    }
    m_leaseTimer.expires_after(std::chrono::milliseconds(left));
    m_leaseTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            checkLease();
    });
}

void Runner::start(const Json::Value &body, const http::Responder &respond)
{
    const std::string task = body["task"].asString();
    const int64_t attempt = body["attempt"].asInt64();
    Json::Value refusal;
    if (body["deadlineMs"].asInt64() <= clockMs()) {
        refusal["reason"] = "late";
        return answer(respond, 409, refusal);
    }
    extend(body);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.attempt == attempt)
        return answer(respond, 200, {});
    const auto ended = m_endedAttempts.find(task);
    if (running != m_running.end()
        || (ended != m_endedAttempts.end() && ended->second >= attempt)) {
        ++m_log.refusedOld[task];
        note(task,
             absl::StrCat("start ", task, " attempt ", attempt, " on ", m_options.id, ": 409 old, ",
                          ended == m_endedAttempts.end() ? 0 : ended->second, " has ended there"));
        refusal["reason"] = "old";
        return answer(respond, 409, refusal);
    }
    note(task,
         absl::StrCat("start ", task, " attempt ", attempt, " on ", m_options.id, " token ",
                      m_token));
    m_log.running[task] = m_options.id;
    const std::vector<std::string> &ends = m_log.ends[task];
    m_log.starts[task].push_back({m_record.elapsedMs(), m_options.id, attempt,
                                  std::count(ends.begin(), ends.end(), "failed")});
    Run &run = m_running[task];
    run.attempt = attempt;
    run.startedMs = clockMs();
    run.behaviour = m_plan(task, body["spec"].asString());
    if (run.behaviour.runMs > 0) {
        run.timer = std::make_shared<boost::asio::steady_timer>(m_context);
        run.timer->expires_after(std::chrono::milliseconds(run.behaviour.runMs));
        run.timer->async_wait([this, task, attempt](boost::system::error_code error) {
            const auto found = m_running.find(task);
            if (!error && found != m_running.end() && found->second.attempt == attempt)
                end(task, std::string(found->second.behaviour.how));
        });
    }
    answer(respond, 200, {});
}

void Runner::stop(const Json::Value &body, const http::Responder &respond)
{
    const std::string task = body["task"].asString();
    const int64_t attempt = body["attempt"].asInt64();
    note(task, absl::StrCat("stop ", task, " attempt ", attempt, " on ", m_options.id));
    m_endedAttempts[task] = std::max(m_endedAttempts[task], attempt);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.attempt <= attempt)
        end(task, "stopped");
    answer(respond, 200, {});
}

void Runner::end(const std::string &task, const std::string &how)
{
    const Run run = m_running.at(task);
    if (run.timer)
        run.timer->cancel();
    m_running.erase(task);
    m_log.running.erase(task);
    m_log.lastEndMs[task] = m_record.elapsedMs();
    m_endedAttempts[task] = std::max(m_endedAttempts[task], run.attempt);
    m_ended.push_back({++m_lastEnd, task, run.attempt, how});
    m_log.ends[task].push_back(how);
    note(task,
         absl::StrCat("end ", task, " attempt ", run.attempt, " on ", m_options.id, ": ", how,
                      ", number ", m_lastEnd));
    answerWaiting();
}

Json::Value Runner::lists() const
{
    Json::Value value;
    value["running"] = Json::Value(Json::arrayValue);
    for (const auto &[task, run] : m_running) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::Int64(run.attempt));
        row.append("");
        const int64_t elapsed = clockMs() - run.startedMs;
        const int64_t whole = run.behaviour.lasts ? startupMs : run.behaviour.runMs;
        row.append(Json::Int64(std::clamp<int64_t>(elapsed * 100 / std::max<int64_t>(1, whole), 0,
                                                   run.behaviour.lasts ? 100 : 99)));
        row.append(0);
        value["running"].append(row);
    }
    value["finished"] = Json::Value(Json::arrayValue);
    for (const End &ended : m_ended) {
        if (value["finished"].size() == maxListed)
            break;
        Json::Value row(Json::arrayValue);
        row.append(Json::Int64(ended.number));
        row.append(ended.task);
        row.append(Json::Int64(ended.attempt));
        row.append(ended.how);
        row.append("");
        value["finished"].append(row);
    }
    return value;
}

void Runner::hold(const Json::Value &body, const http::Responder &respond)
{
    extend(body);
    const int64_t seen = body["ackCursor"].asInt64();
    while (!m_ended.empty() && m_ended.front().number <= seen)
        m_ended.pop_front();
    const int64_t wait = std::min(body.get("waitMs", 0).asInt64(), maxWaitMs);
    if (wait == 0 || !m_ended.empty())
        return answer(respond, 200, lists());
    answerWaiting();
    m_waiting = respond;
    m_waitTimer = std::make_shared<boost::asio::steady_timer>(m_context);
    m_waitTimer->expires_after(std::chrono::milliseconds(wait));
    m_waitTimer->async_wait([this](boost::system::error_code error) {
        if (!error)
            answerWaiting();
    });
}

void Runner::answerWaiting()
{
    if (!m_waiting)
        return;
    const http::Responder respond = std::exchange(m_waiting, nullptr);
    m_waitTimer->cancel();
    answer(respond, 200, lists());
}

} // namespace cwl::review
