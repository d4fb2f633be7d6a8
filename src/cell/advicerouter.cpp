#include "cell/advicerouter.h"

#include "base/error.h"
#include "base/json.h"
#include "node/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cwl::cell {

std::string encodeAdviceRequest(const std::string &step, const std::vector<WorkerId> &workers)
{
    Json::Value value;
    value["step"] = step;
    for (const WorkerId &worker : workers)
        value["workers"].append(worker.value());
    return writeJson(value);
}

absl::StatusOr<std::pair<std::string, std::vector<WorkerId>>>
decodeAdviceRequest(const std::string &body)
{
    const absl::StatusOr<Json::Value> value = parseJson(body);
    if (!value.ok())
        return value.status();
    const absl::StatusOr<std::string> step = stringMember(*value, "step");
    if (!step.ok())
        return step.status();
    std::vector<WorkerId> workers;
    const Json::Value &list = (*value)["workers"];
    if (!list.isArray())
        return makeError(Failure::InvalidValue, "the advice request names no workers");
    for (const Json::Value &worker : list) {
        if (!worker.isString())
            return makeError(Failure::InvalidValue,
                             "a worker of the advice request is not a string");
        workers.emplace_back(worker.asString());
    }
    return std::pair(*step, workers);
}

std::string encodeAdviceResponse(const std::vector<jobs::AllowedWorker> &allowed)
{
    Json::Value value(Json::arrayValue);
    for (const jobs::AllowedWorker &worker : allowed) {
        Json::Value row(Json::arrayValue);
        row.append(worker.worker.value());
        row.append(worker.ticket);
        value.append(std::move(row));
    }
    return writeJson(value);
}

absl::StatusOr<std::vector<jobs::AllowedWorker>> decodeAdviceResponse(const std::string &body)
{
    const absl::StatusOr<Json::Value> value = parseJson(body);
    if (!value.ok())
        return value.status();
    if (!value->isArray())
        return makeError(Failure::MalformedBody, "the advice response is not an array");
    std::vector<jobs::AllowedWorker> allowed;
    for (const Json::Value &row : *value) {
        if (!row.isArray() || row.size() != 2 || !row[0].isString() || !row[1].isString())
            return makeError(Failure::MalformedBody, "invalid row in the advice response");
        allowed.push_back({WorkerId(row[0].asString()), row[1].asString()});
    }
    return allowed;
}

AdviceRouter::AdviceRouter(boost::asio::io_context &context, AdviceService &local)
    : m_context(context)
    , m_local(local)
{
}

AdviceRouter::~AdviceRouter()
{
    *m_alive = false;
}

void AdviceRouter::setMembers(const std::vector<std::string> &addresses)
{
    m_queue.setMembers(addresses);
    for (auto client = m_clients.begin(); client != m_clients.end();) {
        if (std::find(addresses.begin(), addresses.end(), client->first) != addresses.end()) {
            ++client;
            continue;
        }
        // A client must not be destroyed inside its own callback.
        boost::asio::post(m_context, [removed = client->second] {});
        client = m_clients.erase(client);
    }
}

AdviceQueue::Counts AdviceRouter::counts() const
{
    return m_queue.counts(BootClock::now());
}

void AdviceRouter::query(const jobs::AdviceQuery &query, AdviceService::Callback callback)
{
    const AdviceQueue::Number number =
            m_queue.add({query.priority, query.expected, query.wantedSince}, BootClock::now());
    m_queries.emplace(number, Query{query, std::move(callback)});
    dispatchWaiting();
}

void AdviceRouter::failTimedOut(TimePoint now)
{
    const std::vector<AdviceQueue::Number> timedOut = m_queue.takeTimedOut(now);
    if (timedOut.empty())
        return;
    const AdviceQueue::Counts counts = m_queue.counts(now);
    log::info("advice_queue_timeout",
              {{"queries", timedOut.size()},
               {"waiting", counts.waiting},
               {"callers", counts.known},
               {"responsive", counts.responsive},
               {"with_long_query", counts.withLong}});
    for (const AdviceQueue::Number number : timedOut) {
        const auto query = m_queries.extract(number);
        query.mapped().callback(
                makeError(Failure::QueueFull, "all callers of the advice service are busy"));
    }
}

void AdviceRouter::dispatchWaiting()
{
    const TimePoint now = BootClock::now();
    failTimedOut(now);
    for (const std::string &address : m_queue.takeProbes(now))
        probe(address);
    for (const AdviceQueue::Assignment &assignment : m_queue.assign(now))
        send(assignment);
}

void AdviceRouter::onResponse(const AdviceQueue::Assignment &assignment,
                              const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed)
{
    bool isRepeated = false;
    if (allowed.ok()) {
        m_queue.onAnswered(assignment.query);
    } else {
        isRepeated = m_queue.onFailed(assignment.query, BootClock::now());
        log::info("advice_caller_failed",
                  {{"member", assignment.caller},
                   {"step", m_queries.at(assignment.query).query.step.stepText()},
                   {"repeated", isRepeated},
                   {"error", allowed.status()}});
    }
    if (!isRepeated) {
        const auto query = m_queries.extract(assignment.query);
        query.mapped().callback(allowed);
    }
    dispatchWaiting();
}

std::shared_ptr<http::Client> AdviceRouter::makeClient(const std::string &address)
{
    auto client = http::Client::create(m_context,
                                       {.address = address,
                                        .maxConnections = maxShortPerCaller,
                                        .connectTimeout = callerConnectTimeout,
                                        .traffic = Traffic::RpcControl});
    if (!client.ok()) {
        log::warn("member_address_invalid", {{"address", address}, {"error", client.status()}});
        return nullptr;
    }
    return *std::move(client);
}

std::shared_ptr<http::Client> AdviceRouter::clientOf(const std::string &address)
{
    std::shared_ptr<http::Client> &client = m_clients[address];
    if (!client)
        client = makeClient(address);
    return client;
}

void AdviceRouter::send(const AdviceQueue::Assignment &assignment)
{
    const jobs::AdviceQuery &query = m_queries.at(assignment.query).query;
    const TimePoint deadline = BootClock::now() + 2 * query.expected + adviceTimeoutMargin;
    const std::string step = query.step.stepText();
    auto onDone = [this, alive = m_alive,
                   assignment](const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed) {
        if (*alive)
            onResponse(assignment, allowed);
    };
    if (assignment.caller.empty()) {
        m_local.ask(step, query.workers, deadline, std::move(onDone));
        return;
    }
    http::Request request;
    request.method = "POST";
    request.path = "/cell/advise";
    request.body = encodeAdviceRequest(step, query.workers);
    // The address is valid: the member has responded to a probe.
    clientOf(assignment.caller)
            ->send(std::move(request), deadline,
                   [onDone](const absl::StatusOr<http::Response> &response) {
                       if (!response.ok())
                           onDone(response.status());
                       else if (response->status != 200)
                           onDone(makeError(Failure::ProtocolError,
                                            "the member did not forward the advice query"));
                       else
                           onDone(decodeAdviceResponse(response->body));
                   });
}

// On a connection of its own: those of the queries may have gone silent.
void AdviceRouter::probe(const std::string &address)
{
    const std::shared_ptr<http::Client> client = makeClient(address);
    if (!client) {
        m_queue.onProbed(address, false, BootClock::now());
        return;
    }
    http::Request request;
    request.path = "/cell/owner";
    client->send(std::move(request), BootClock::now() + callerProbeTimeout,
                 [this, alive = m_alive, client, context = &m_context,
                  address](const absl::StatusOr<http::Response> &response) {
                     // A client must not be destroyed inside its own callback.
                     boost::asio::post(*context, [client] {});
                     if (!*alive)
                         return;
                     const bool hasResponded = response.ok() && response->status == 200;
                     m_queue.onProbed(address, hasResponded, BootClock::now());
                     if (hasResponded)
                         dispatchWaiting();
                 });
}

} // namespace cwl::cell
