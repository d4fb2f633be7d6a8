#include "cell/advicerouter.h"

#include "base/error.h"
#include "base/json.h"
#include "node/log.h"

#include <algorithm>

namespace cwl::cell {

std::string encodeAdviceQuestion(const std::string &step, const std::vector<WorkerId> &workers)
{
    Json::Value value;
    value["step"] = step;
    for (const WorkerId &worker : workers)
        value["workers"].append(worker.value());
    return writeJson(value);
}

absl::StatusOr<std::pair<std::string, std::vector<WorkerId>>>
decodeAdviceQuestion(const std::string &body)
{
    const absl::StatusOr<Json::Value> value = parseJson(body);
    if (!value.ok())
        return value.status();
    const absl::StatusOr<std::string> step = stringMember(*value, "step");
    if (!step.ok())
        return step.status();
    std::vector<WorkerId> workers;
    for (const Json::Value &worker : (*value)["workers"]) {
        if (!worker.isString())
            return makeError(Failure::InvalidValue, "a worker of the question is not a text");
        workers.emplace_back(worker.asString());
    }
    return std::pair(*step, workers);
}

std::string encodeAdviceAnswer(const std::vector<jobs::AllowedWorker> &allowed)
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

absl::StatusOr<std::vector<jobs::AllowedWorker>> decodeAdviceAnswer(const std::string &body)
{
    const absl::StatusOr<Json::Value> value = parseJson(body);
    if (!value.ok())
        return value.status();
    std::vector<jobs::AllowedWorker> allowed;
    for (const Json::Value &row : *value) {
        if (!row.isArray() || row.size() != 2 || !row[0].isString() || !row[1].isString())
            return makeError(Failure::MalformedBody, "a row of the advice cannot be read");
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
        auto client = http::Client::create(
                m_context, {.address = address, .traffic = Traffic::RpcControl});
        if (!client.ok()) {
            log::warn("member_address_invalid",
                      {{"address", address}, {"error", client.status()}});
            continue;
        }
        auto caller = std::make_shared<Caller>();
        caller->client = *std::move(client);
        m_callers.emplace(address, std::move(caller));
    }
}

void AdviceRouter::ask(const jobs::AdviceQuery &query, AdviceService::Callback callback)
{
    const TimePoint now = BootClock::now();
    std::shared_ptr<Caller> best;
    std::string bestAddress;
    for (const auto &[address, caller] : m_callers) {
        if (now < caller->pausedUntil)
            continue;
        if (!best || caller->busyUntil < best->busyUntil) {
            best = caller;
            bestAddress = address;
        }
    }
    if (!best || best->busyUntil - now > longestAdviceQueue) {
        callback(makeError(Failure::QueueFull, "all callers of the advice service are busy"));
        return;
    }
    best->busyUntil = std::max(now, best->busyUntil) + query.expected;
    const TimePoint deadline = best->busyUntil + adviceSlack;
    const std::string step = query.step.stepText();
    if (!best->client) {
        m_local.ask(step, query.workers, deadline, std::move(callback));
        return;
    }
    http::Request request;
    request.method = "POST";
    request.path = "/cell/advise";
    request.body = encodeAdviceQuestion(step, query.workers);
    best->client->send(
            std::move(request), deadline,
            [best, bestAddress, callback = std::move(callback)](
                    absl::StatusOr<http::Response> response) {
                if (response.ok() && response->status == 200) {
                    callback(decodeAdviceAnswer(response->body));
                    return;
                }
                best->pausedUntil = BootClock::now() + callerPause;
                const absl::Status error = response.ok()
                        ? makeError(Failure::ProtocolError, "a member did not pass on a question")
                        : response.status();
                log::info("advice_caller_failed", {{"member", bestAddress}, {"error", error}});
                callback(error);
            });
}

} // namespace cwl::cell
