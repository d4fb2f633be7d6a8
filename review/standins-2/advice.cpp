#include "advice.h"

#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace cwl::review {

namespace {

constexpr size_t maxWaiting = 32;

} // namespace

Advice::Advice(boost::asio::io_context &context, TimesOf timesOf, Record &record)
    : m_context(context)
    , m_timesOf(std::move(timesOf))
    , m_record(record)
{
}

uint16_t Advice::addMachine()
{
    auto machine = std::make_unique<Machine>();
    machine->timer = std::make_unique<boost::asio::steady_timer>(m_context);
    auto server = http::Server::create(m_context, {},
                                       [this, raw = machine.get()](const http::Request &request,
                                                                   const http::Responder &respond) {
                                           onCall(*raw, request, respond);
                                       });
    if (!server.ok())
        return 0;
    machine->server = *std::move(server);
    m_machines.push_back(std::move(machine));
    return m_machines.back()->server->port();
}

void Advice::onCall(Machine &machine, const http::Request &request, const http::Responder &respond)
{
    const auto body = parseJson(request.body);
    if (!body.ok() || request.path != "/v1/advise")
        return respond({.status = 400});
    if (machine.calls.size() >= maxWaiting)
        return respond({.status = 429});
    Call call = {(*body)["phase"].asString(), {}, respond};
    for (const Json::Value &worker : (*body)["workers"])
        call.workers.push_back(worker.asString());
    machine.calls.push_back(std::move(call));
    if (machine.calls.size() == 1)
        handleNext(machine);
}

void Advice::handleNext(Machine &machine)
{
    if (machine.calls.empty())
        return;
    const Call &call = machine.calls.front();
    const AdviceTimes times = m_timesOf(call.phase);
    const double ms = times.decisionMs + times.periodMs * double(call.workers.size());
    machine.timer->expires_after(std::chrono::microseconds(int64_t(ms * 1000)));
    machine.timer->async_wait([this, &machine](boost::system::error_code error) {
        if (error)
            return;
        const Call done = std::move(machine.calls.front());
        machine.calls.pop_front();
        Json::Value answer;
        answer["allowed"] = Json::Value(Json::arrayValue);
        for (const std::string &worker : done.workers) {
            Json::Value row(Json::arrayValue);
            row.append(worker);
            row.append("ticket-" + done.phase);
            answer["allowed"].append(row);
        }
        m_record.line(
                absl::StrCat("advice ", done.phase, " for ", done.workers.size(), " workers"));
        http::Response response;
        response.headers.set("Content-Type", "application/json");
        response.body = writeJson(answer);
        done.respond(std::move(response));
        handleNext(machine);
    });
}

} // namespace cwl::review
