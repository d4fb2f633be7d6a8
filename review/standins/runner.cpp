#include "runner.h"

#include "base/json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace review {

namespace {

namespace http = cwl::http;

constexpr auto heartbeat = std::chrono::milliseconds(1500);
constexpr size_t maxEndsListed = 500;
constexpr int64_t holdsNoted = 4; // of each life, in the record
// The clock of a runner that has run for a while, and of one that has just started again.
constexpr int64_t usualClockMs = 480000;
constexpr int64_t newClockMs = 1000;

std::chrono::milliseconds runTime(const std::string &spec)
{
    int64_t time = 0;
    if (spec.rfind("run ", 0) == 0 && absl::SimpleAtoi(spec.substr(4), &time))
        return std::chrono::milliseconds(time);
    return std::chrono::milliseconds(100);
}

} // namespace

Runner::Runner(boost::asio::io_context &context, Store &store, Ledger &ledger, std::string id,
               RunnerShape shape)
    : m_context(context)
    , m_store(store)
    , m_ledger(ledger)
    , m_id(std::move(id))
    , m_shape(std::move(shape))
    , m_leaseTimer(context)
    , m_beatTimer(context)
{
}

bool Runner::open()
{
    return beginLife(0);
}

bool Runner::listen(uint16_t port)
{
    http::ServerOptions options;
    options.port = port;
    auto server = http::Server::create(
            m_context, options,
            [this](const http::Request &request, const http::Responder &respond) {
                handle(request, respond);
            });
    if (!server.ok())
        return false;
    m_server = *std::move(server);
    m_port = m_server->port();
    return true;
}

bool Runner::beginLife(uint16_t port)
{
    if (!listen(port))
        return false;
    m_life = absl::StrCat(m_id, "/", ++m_lives);
    m_bornAt = std::chrono::steady_clock::now();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    m_ledger.note(absl::StrCat("runner ", m_life, " listens, cpu ", m_shape.cpu));
    beat();
    return true;
}

void Runner::crash()
{
    m_server.reset();
    m_beatTimer.cancel();
    m_leaseTimer.cancel();
    if (m_waitTimer)
        m_waitTimer->cancel();
    m_waiting = nullptr;
    for (auto &[task, run] : m_running)
        run.timer->cancel();
    m_running.clear();
    m_endedAttempts.clear();
    m_ended.clear();
    m_sequence = 0;
    m_lastEnd = 0;
    m_token = 0;
    m_leaseUntil = 0;
    m_holds = 0;
    m_ledger.lifeEnded(m_life);
}

bool Runner::startAgain(const RunnerShape &shape)
{
    m_shape = shape;
    return beginLife(m_port);
}

void Runner::closeConnections()
{
    m_server.reset();
    m_unread.clear();
    m_waiting = nullptr;
}

bool Runner::reconnect()
{
    m_isCutOff = false;
    return listen(m_port);
}

void Runner::beat()
{
    ++m_sequence;
    m_store.put("servers", m_id, entry());
    m_beatTimer.expires_after(heartbeat);
    m_beatTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            beat();
    });
}

std::string Runner::entry() const
{
    Json::Value value;
    value["service"] = m_shape.service;
    value["addr"] = absl::StrCat("127.0.0.1:", m_port);
    value["zone"] = "zone-a";
    value["version"] = "1";
    value["slots"] = 8;
    value["state"] = "ready";
    value["coldLeftMs"] = 0;
    value["seq"] = Json::Int64(m_sequence);
    value["capacity"]["cpu"] = Json::Int64(m_shape.cpu);
    value["capacity"]["memMb"] = Json::Int64(m_shape.memMb);
    value["capacity"]["gpu"] = Json::Int64(m_shape.gpu);
    value["labels"] = Json::Value(Json::arrayValue);
    for (const std::string &label : m_shape.labels)
        value["labels"].append(label);
    value["born"] = Json::Int64(m_born);
    return cwl::writeJson(value);
}

int64_t Runner::clockMs() const
{
    return (m_lives == 1 ? usualClockMs : newClockMs)
            + std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                    - m_bornAt)
                      .count();
}

void Runner::answer(const http::Responder &respond, int status, Json::Value body) const
{
    body["clockMs"] = Json::Int64(clockMs());
    body["born"] = Json::Int64(m_born);
    http::Response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = cwl::writeJson(body);
    respond(std::move(response));
}

void Runner::refuse(const http::Responder &respond, const char *reason) const
{
    Json::Value body;
    body["reason"] = reason;
    m_ledger.note(absl::StrCat("409    ", m_life, " answers ", reason));
    answer(respond, 409, body);
}

void Runner::handle(const http::Request &request, const http::Responder &respond)
{
    if (m_isCutOff) {
        m_unread.push_back(respond);
        return;
    }
    const auto body = cwl::parseJson(request.body);
    if (!body.ok())
        return answer(respond, 400, {});
    if (request.headers.value("X-Expected-Instance") != m_id)
        return answer(respond, 421, {});
    const int64_t token = body->get("fencingToken", 0).asInt64();
    if (token < m_token)
        return refuse(respond, "fence");
    if (request.path == "/v1/run-start" && m_isUnhealthy) {
        m_ledger.note(absl::StrCat("503    ", m_life, " refuses ", (*body)["task"].asString(),
                                   " attempt ", (*body)["attempt"].asInt64()));
        return answer(respond, 503, {});
    }
    m_token = token;
    if (request.path == "/v1/run-start")
        start(*body, respond);
    else if (request.path == "/v1/run-stop")
        stop(*body, respond);
    else if (request.path == "/v1/hold")
        hold(*body, respond);
    else if (request.path == "/v1/pace")
        answer(respond, 200, {});
    else
        answer(respond, 404, {});
}

void Runner::extend(const Json::Value &body)
{
    if (!body.isMember("deadlineMs"))
        return;
    const int64_t until = std::min(body["deadlineMs"].asInt64(), clockMs() + m_shape.holdMaxMs);
    m_leaseUntil = std::max(m_leaseUntil, until);
    checkLease();
}

void Runner::checkLease()
{
    const int64_t left = m_leaseUntil - clockMs();
    if (left <= 0) {
        while (!m_running.empty())
            end(std::string(m_running.begin()->first), "lapsed");
        return;
    }
    m_leaseTimer.expires_after(std::chrono::milliseconds(left));
    m_leaseTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            checkLease();
    });
}

// Rule LIMIT: a start brings a runner that doesn't guard its capacity over it.
void Runner::judgeRoom(const std::string &task)
{
    StepShape used = m_ledger.shapeOf(task);
    for (const auto &[other, run] : m_running) {
        const StepShape shape = m_ledger.shapeOf(other);
        used.cpu += shape.cpu;
        used.memMb += shape.memMb;
    }
    if (used.cpu > m_shape.cpu || used.memMb > m_shape.memMb)
        m_ledger.broken("LIMIT",
                        absl::StrCat("the start of ", task, " brings ", m_life, " to ", used.cpu,
                                     " thousandths of a core of ", m_shape.cpu, " and ", used.memMb,
                                     " MB of ", m_shape.memMb));
}

void Runner::start(const Json::Value &body, const http::Responder &respond)
{
    const std::string task = body["task"].asString();
    const int64_t attempt = body["attempt"].asInt64();
    m_ledger.note(absl::StrCat("order  run-start ", task, " attempt ", attempt, " to ", m_life,
                               ", deadlineMs ", body["deadlineMs"].asInt64(), ", its clock ",
                               clockMs(), ", fencingToken ", m_token));
    if (body["deadlineMs"].asInt64() <= clockMs())
        return refuse(respond, "late");
    extend(body);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.attempt == attempt)
        return answer(respond, 200, {});
    const auto earlier = m_endedAttempts.find(task);
    if (running != m_running.end()
        || (earlier != m_endedAttempts.end() && earlier->second >= attempt))
        return refuse(respond, "old");
    judgeRoom(task);
    m_ledger.started(task, attempt, m_life);
    Run &run = m_running[task];
    run.attempt = attempt;
    run.startedAt = std::chrono::steady_clock::now();
    run.time = runTime(body["spec"].asString());
    run.timer = std::make_shared<boost::asio::steady_timer>(m_context, run.time);
    run.timer->async_wait([this, task, attempt, life = m_life](boost::system::error_code error) {
        const auto found = m_running.find(task);
        if (!error && life == m_life && found != m_running.end()
            && found->second.attempt == attempt)
            end(task, "done");
    });
    answer(respond, 200, {});
}

void Runner::stop(const Json::Value &body, const http::Responder &respond)
{
    const std::string task = body["task"].asString();
    const int64_t attempt = body["attempt"].asInt64();
    m_ledger.note(absl::StrCat("order  run-stop ", task, " attempt ", attempt, " to ", m_life));
    int64_t &ended = m_endedAttempts[task];
    ended = std::max(ended, attempt);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.attempt <= attempt)
        end(task, "stopped");
    answer(respond, 200, {});
}

void Runner::end(const std::string &task, const std::string &how)
{
    const Run run = m_running.at(task);
    run.timer->cancel();
    m_running.erase(task);
    int64_t &ended = m_endedAttempts[task];
    ended = std::max(ended, run.attempt);
    m_ended.push_back({++m_lastEnd, task, run.attempt, how});
    m_ledger.ended(task, run.attempt, m_life, m_lastEnd, how);
    answerWaiting();
}

Json::Value Runner::lists() const
{
    Json::Value value;
    value["running"] = Json::Value(Json::arrayValue);
    const auto now = std::chrono::steady_clock::now();
    for (const auto &[task, run] : m_running) {
        const int64_t percent = std::clamp<int64_t>((now - run.startedAt) * 100 / run.time, 0, 99);
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::Int64(run.attempt));
        row.append("");
        row.append(Json::Int64(percent));
        row.append(Json::Int64(m_ledger.shapeOf(task).cpu));
        value["running"].append(row);
    }
    value["finished"] = Json::Value(Json::arrayValue);
    for (const End &ended : m_ended) {
        if (value["finished"].size() == maxEndsListed)
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
    const int64_t cursor = body.get("ackCursor", 0).asInt64();
    if (++m_holds <= holdsNoted || cursor > m_lastEnd)
        m_ledger.note(absl::StrCat(
                "hold   ", m_life, ", ackCursor ", cursor, " of ", m_lastEnd, " ends, deadlineMs ",
                body.isMember("deadlineMs") ? body["deadlineMs"].asString() : std::string("none"),
                ", its clock ", clockMs()));
    while (!m_ended.empty() && m_ended.front().number <= cursor) {
        m_ledger.takenNoteOf(m_life, m_ended.front().number);
        m_ended.pop_front();
    }
    const int64_t wait = body.get("waitMs", 0).asInt64();
    answerWaiting();
    if (wait == 0 || !m_ended.empty())
        return answer(respond, 200, lists());
    m_waiting = respond;
    m_waitTimer =
            std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(wait));
    m_waitTimer->async_wait([this](boost::system::error_code error) {
        if (!error)
            answerWaiting();
    });
}

void Runner::answerWaiting()
{
    if (!m_waiting || m_isCutOff)
        return;
    const http::Responder respond = std::exchange(m_waiting, nullptr);
    m_waitTimer->cancel();
    answer(respond, 200, lists());
}

} // namespace review
