#include "usersplatform/workers.h"

#include "base/clock.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace cwl::usersplatform {

namespace {

constexpr int64_t firstBorn = 1700000000000;
constexpr int64_t firstClockOffset = 5000;  // its clock shows another time than the owner's
constexpr int64_t newClockMs = 1000;        // the clock of a process that has just started again
constexpr int64_t maxLeaseMs = 10000;       // a longer lease is shortened
constexpr Json::ArrayIndex maxListed = 500; // ends in one response
constexpr int64_t coresPerTask = 1000;

int64_t bootClockMs()
{
    return std::chrono::duration_cast<milliseconds>(BootClock::now().time_since_epoch()).count();
}

} // namespace

Worker::Worker(boost::asio::io_context &context, std::string id, Ledger &ledger)
    : m_context(context)
    , m_id(std::move(id))
    , m_ledger(ledger)
    , m_born(firstBorn)
    , m_clockOffset(firstClockOffset)
    , m_leaseTimer(context)
{
}

absl::Status Worker::open()
{
    http::ServerOptions options;
    options.port = m_port;
    auto server = http::Server::create(
            m_context, options,
            [this](const http::Request &request, const http::Responder &respond) {
                handle(request, respond);
            });
    if (!server.ok())
        return server.status();
    m_server = *std::move(server);
    m_port = m_server->port();
    return absl::OkStatus();
}

void Worker::crash()
{
    m_server.reset();
    m_leaseTimer.cancel();
    if (m_waitTimer)
        m_waitTimer->cancel();
    m_waiting = nullptr;
    for (auto &[task, run] : m_running) {
        run.timer->cancel();
        m_ledger.running.erase(task);
    }
    m_running.clear();
    forgetUnacknowledged();
    m_ended.clear();
    m_endedAttempts.clear();
    m_lastEnd = 0;
    m_epoch = 0;
    m_leaseUntil = 0;
}

absl::Status Worker::startAgain()
{
    ++m_born;
    m_clockOffset = newClockMs - bootClockMs();
    return open();
}

// An end counts as acknowledged only if its lease and its process last until then.
void Worker::forgetUnacknowledged()
{
    for (const End &ended : m_ended) {
        m_ledger.unacknowledgedDone[ended.task].erase(endName(ended.number));
        m_ledger.startedAfter.erase(endName(ended.number));
    }
}

std::string Worker::endName(int64_t number) const
{
    return absl::StrCat(m_id, "/", m_born, "/", number);
}

std::string Worker::entry(uint16_t port) const
{
    Json::Value value;
    value["service"] = "draw";
    value["addr"] = absl::StrCat("127.0.0.1:", port);
    value["zone"] = "zone-a";
    value["state"] = isDraining ? "draining" : "ready";
    value["capacity"]["cpu"] = Json::Int64(cores);
    value["capacity"]["memMb"] = Json::Int64(2 * cores);
    value["capacity"]["gpu"] = 0;
    for (const std::string &label : labels)
        value["labels"].append(label);
    value["born"] = Json::Int64(m_born);
    return writeJson(value);
}

int64_t Worker::clockMs() const
{
    return bootClockMs() + m_clockOffset;
}

void Worker::answer(const http::Responder &respond, int status, Json::Value body) const
{
    body["clockMs"] = Json::Int64(clockMs());
    body["born"] = Json::Int64(m_born);
    http::Response response;
    response.status = status;
    response.body = writeJson(body);
    respond(std::move(response));
}

void Worker::handle(const http::Request &request, const http::Responder &respond)
{
    if (isSilent)
        return;
    if (!answersWith.empty())
        return respond({.status = 200, .body = answersWith});
    const auto body = parseJson(request.body);
    if (!body.ok())
        return answer(respond, 400, {});
    if (request.headers.value("X-Expected-Instance") != m_id)
        return answer(respond, 421, {});
    const int64_t epoch = (*body)["fencingToken"].asInt64();
    if (epoch < firstEpochReached || epoch > lastEpochReached)
        return;
    if (epoch < m_epoch) {
        Json::Value refusal;
        refusal["reason"] = "fence";
        return answer(respond, 409, refusal);
    }
    m_epoch = epoch;
    if (request.path == "/v1/run-start")
        start(*body, respond);
    else if (request.path == "/v1/run-stop")
        stop(*body, respond);
    else if (request.path == "/v1/hold")
        hold(*body, respond);
    else
        answer(respond, 404, {});
}

void Worker::extend(const Json::Value &body)
{
    if (!body.isMember("deadlineMs"))
        return;
    m_leaseUntil =
            std::max(m_leaseUntil, std::min(body["deadlineMs"].asInt64(), clockMs() + maxLeaseMs));
    checkLease();
}

void Worker::checkLease()
{
    const int64_t left = m_leaseUntil - clockMs();
    if (left <= 0) {
        forgetUnacknowledged();
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

void Worker::start(const Json::Value &body, const http::Responder &respond)
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
    if (m_endedAttempts[task] >= attempt) {
        refusal["reason"] = "old";
        return answer(respond, 409, refusal);
    }
    if (m_ledger.running.contains(task))
        m_ledger.broken.push_back("two runs at once: " + task);
    if (m_ledger.acknowledgedDone.contains(task))
        m_ledger.broken.push_back("started after it was done: " + task);
    for (const std::string &end : m_ledger.unacknowledgedDone[task])
        m_ledger.startedAfter.insert(end);
    if (int64_t(m_running.size() + 1) * coresPerTask > cores)
        m_ledger.broken.push_back("over capacity: " + m_id);
    m_ledger.running[task] = m_id;
    m_ledger.started.insert(task.substr(0, task.find('.')));
    m_ledger.onStarted(task);
    Run &run = m_running[task];
    run.attempt = attempt;
    run.startedMs = clockMs();
    run.runMs = runMs;
    run.timer = std::make_shared<boost::asio::steady_timer>(m_context);
    run.timer->expires_after(std::chrono::milliseconds(runMs));
    run.timer->async_wait([this, task, attempt, born = m_born](boost::system::error_code error) {
        const auto found = m_running.find(task);
        if (!error && born == m_born && found != m_running.end()
            && found->second.attempt == attempt)
            end(task, "done");
    });
    answer(respond, 200, {});
}

void Worker::stop(const Json::Value &body, const http::Responder &respond)
{
    const std::string task = body["task"].asString();
    const int64_t attempt = body["attempt"].asInt64();
    m_endedAttempts[task] = std::max(m_endedAttempts[task], attempt);
    if (m_running.contains(task))
        end(task, "stopped");
    answer(respond, 200, {});
}

void Worker::end(const std::string &task, const std::string &how)
{
    const Run run = m_running.at(task);
    run.timer->cancel();
    m_running.erase(task);
    m_ledger.running.erase(task);
    m_endedAttempts[task] = std::max(m_endedAttempts[task], run.attempt);
    m_ended.push_back({++m_lastEnd, task, run.attempt, how});
    if (how == "done") {
        m_ledger.done.insert(task);
        m_ledger.unacknowledgedDone[task].insert(endName(m_lastEnd));
    }
    answerWaiting();
}

Json::Value Worker::lists() const
{
    Json::Value value;
    value["running"] = Json::Value(Json::arrayValue);
    for (const auto &[task, run] : m_running) {
        Json::Value row(Json::arrayValue);
        row.append(task);
        row.append(Json::Int64(run.attempt));
        row.append("");
        const int64_t elapsed = clockMs() - run.startedMs;
        row.append(Json::Int64(std::clamp<int64_t>(elapsed * 100 / run.runMs, 0, 99)));
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

void Worker::hold(const Json::Value &body, const http::Responder &respond)
{
    extend(body);
    const int64_t seen = body["ackCursor"].asInt64();
    while (!m_ended.empty() && m_ended.front().number <= seen) {
        const End &ended = m_ended.front();
        if (ended.how == "done" && m_ledger.acknowledgedDone.insert(ended.task).second)
            ++m_ledger.acknowledged;
        if (m_ledger.startedAfter.contains(endName(ended.number)))
            m_ledger.broken.push_back("started after it was done, acknowledged later: "
                                      + ended.task);
        m_ledger.unacknowledgedDone[ended.task].erase(endName(ended.number));
        m_ended.pop_front();
    }
    const int64_t wait = body.get("waitMs", 0).asInt64();
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

void Worker::answerWaiting()
{
    if (!m_waiting || isSilent)
        return;
    const http::Responder respond = std::exchange(m_waiting, nullptr);
    m_waitTimer->cancel();
    answer(respond, 200, lists());
}

} // namespace cwl::usersplatform
