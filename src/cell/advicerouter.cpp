#include "cell/advicerouter.h"

#include "base/error.h"
#include "base/json.h"
#include "node/log.h"

#include <algorithm>

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
    m_callers.emplace("", std::make_shared<Caller>());
}

void AdviceRouter::setMembers(const std::vector<std::string> &addresses)
{
    std::erase_if(m_callers, [&](const auto &entry) {
        return !entry.first.empty()
                && std::find(addresses.begin(), addresses.end(), entry.first) == addresses.end();
    });
    for (const std::string &address : addresses) {
        if (m_callers.contains(address))
            continue;
        auto client = http::Client::create(m_context,
                                           {.address = address,
                                            .maxConnections = maxCallerConnections,
                                            .traffic = Traffic::RpcControl});
        if (!client.ok()) {
            log::warn("member_address_invalid", {{"address", address}, {"error", client.status()}});
            continue;
        }
        auto caller = std::make_shared<Caller>();
        caller->address = address;
        caller->client = *std::move(client);
        m_callers.emplace(address, std::move(caller));
    }
}

void AdviceRouter::query(const jobs::AdviceQuery &query, AdviceService::Callback callback)
{
    m_waiting.emplace(
            query.priority,
            WaitingQuery{query, BootClock::now() + adviceQueueTimeout, std::move(callback)});
    dispatchWaiting();
}

std::shared_ptr<AdviceRouter::Caller> AdviceRouter::freeCaller(bool isLong, TimePoint now) const
{
    std::shared_ptr<Caller> best;
    size_t callersWithoutLong = 0;
    for (const auto &[address, caller] : m_callers) {
        if (now < caller->pausedUntil)
            continue;
        callersWithoutLong += caller->hasLongQuery ? 0 : 1;
        const bool isFree = !caller->hasLongQuery && caller->inFlight < (isLong ? 1 : 2);
        if (isFree && (!best || caller->inFlight < best->inFlight))
            best = caller;
    }
    if (isLong && m_callers.size() > callersReservedForShort
        && callersWithoutLong <= callersReservedForShort)
        return nullptr;
    return best;
}

void AdviceRouter::dispatchWaiting()
{
    const TimePoint now = BootClock::now();
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        if (now >= entry->second.giveUpAt) {
            const AdviceService::Callback callback = std::move(entry->second.callback);
            entry = m_waiting.erase(entry);
            callback(makeError(Failure::QueueFull, "all callers of the advice service are busy"));
            continue;
        }
        const bool isLong = entry->second.query.expected > shortQueryTime;
        const std::shared_ptr<Caller> caller = freeCaller(isLong, now);
        if (!caller) {
            ++entry;
            continue;
        }
        WaitingQuery waiting = std::move(entry->second);
        entry = m_waiting.erase(entry);
        send(caller, std::move(waiting));
    }
}

void AdviceRouter::onResponse(const std::shared_ptr<Caller> &caller, bool isLong,
                              const AdviceService::Callback &callback,
                              const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed)
{
    --caller->inFlight;
    if (isLong)
        caller->hasLongQuery = false;
    if (!allowed.ok()) {
        caller->pausedUntil = BootClock::now() + callerBackoff;
        log::info("advice_caller_failed",
                  {{"member", caller->address}, {"error", allowed.status()}});
    }
    callback(allowed);
    dispatchWaiting();
}

void AdviceRouter::send(const std::shared_ptr<Caller> &caller, WaitingQuery waiting)
{
    const bool isLong = waiting.query.expected > shortQueryTime;
    ++caller->inFlight;
    caller->hasLongQuery = caller->hasLongQuery || isLong;
    const TimePoint deadline = BootClock::now() + 2 * waiting.query.expected + adviceTimeoutMargin;
    const std::string step = waiting.query.step.stepText();
    auto onDone = [this, alive = m_alive, caller, isLong, callback = std::move(waiting.callback)](
                          const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed) {
        if (*alive)
            onResponse(caller, isLong, callback, allowed);
    };
    if (!caller->client) {
        m_local.ask(step, waiting.query.workers, deadline, std::move(onDone));
        return;
    }
    http::Request request;
    request.method = "POST";
    request.path = "/cell/advise";
    request.body = encodeAdviceRequest(step, waiting.query.workers);
    caller->client->send(std::move(request), deadline,
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

} // namespace cwl::cell
