#include "cell/member.h"

#include "base/error.h"
#include "base/json.h"
#include "base/random.h"
#include "cell/connectionbudget.h"
#include "node/log.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cwl::cell {

namespace asio = boost::asio;

namespace {

http::Response jsonResponse(const Json::Value &value)
{
    http::Response response;
    response.headers.set("Content-Type", "application/json");
    response.body = writeJson(value);
    return response;
}

http::Response statusResponse(int status)
{
    http::Response response;
    response.status = status;
    return response;
}

// The value of `key` in a query string such as "key=5c0e&limitMs=450".
std::string queryValue(const std::string &query, const std::string &key)
{
    for (const absl::string_view field : absl::StrSplit(query, '&')) {
        if (absl::StartsWith(field, key + "="))
            return std::string(field.substr(key.size() + 1));
    }
    return {};
}

// How long a member may take for a row; `relayTimeout` for a request that does not say so.
Duration relayLimit(const std::string &query)
{
    constexpr int64_t maxLimitMs = 10000;
    int64_t limit = 0;
    if (!absl::SimpleAtoi(queryValue(query, "limitMs"), &limit))
        return relayTimeout;
    return milliseconds(std::clamp<int64_t>(limit, 0, maxLimitMs));
}

} // namespace

Member::Member(const CellSettings &settings, node::Node &node, PlatformLinks links)
    : m_node(node)
    , m_links(std::move(links))
    , m_stopTimer(node.controlContext())
{
    const std::string member =
            absl::StrCat(settings.process.instance.value(), "-", randomHexId().substr(0, 8));
    OwnerOptions options;
    options.member = member;
    options.name = settings.process.instance.value();
    options.address = absl::StrCat(settings.process.address, ":", settings.process.httpPort);
    options.cores = Millicores(int64_t(settings.coreShare * 1000));
    options.maxPollConnections = connectionBudget(settings.maxDescriptors).polls;
    options.dispatcher = dispatcherSettings(settings);
    m_owner = std::make_unique<Owner>(node.controlContext(), options, *m_links.controlStore,
                                      *m_links.workers, *m_links.controlAdvice, m_links.reader,
                                      node.metrics());
    LocalOwner local;
    local.state = [this](const JobId &id, std::function<void(std::optional<StateResult>)> answer) {
        asio::post(m_node.controlContext(), [this, id, answer = std::move(answer)] {
            std::optional<StateResult> found;
            const auto state =
                    m_owner->isActive() ? m_owner->jobState(id) : std::optional<jobs::JobState>();
            if (state)
                found = StateResult{Answer::Found, *state, m_owner->customerOf(id)};
            answer(found);
        });
    };
    local.waiting = [this](std::function<void(std::optional<Json::Value>)> answer) {
        asio::post(m_node.controlContext(), [this, answer = std::move(answer)] {
            std::optional<Json::Value> counts;
            if (m_owner->isActive())
                counts = m_owner->waitingByQueue();
            answer(counts);
        });
    };
    local.stored = [this](std::string key, std::string value) {
        asio::post(m_node.controlContext(), [this, key = std::move(key), value = std::move(value)] {
            m_owner->noteStored(key, value);
        });
    };
    m_entry = std::make_unique<Entry>(node.trafficContext(), *m_links.trafficStore, m_links.reader,
                                      member, options.address, std::move(local), node.metrics());
    m_entry->configChanged = [this](const ConfigFollower::ConfigPointer &config) {
        if (configChanged)
            configChanged(*config);
        asio::post(m_node.controlContext(), [this, config] { m_owner->setConfig(*config); });
    };
    m_owner->ownerChanged = [this](const OwnerRow &owner) {
        asio::post(m_node.trafficContext(), [this, owner] { m_entry->setOwner(owner); });
    };
    m_owner->membersChanged = [this](const std::vector<std::string> &addresses) {
        asio::post(m_node.trafficContext(), [this, addresses] { m_entry->setPeers(addresses); });
    };
    m_owner->storeResponded = [this](TimePoint at) {
        asio::post(m_node.trafficContext(), [this, at] { m_entry->noteStoreResponse(at); });
    };
    m_owner->storeFailed = [this] {
        asio::post(m_node.trafficContext(), [this] { m_entry->noteStoreFailure(); });
    };
    m_entry->storeRegained = [this] {
        asio::post(m_node.controlContext(), [this] { m_owner->onStoreRegained(); });
    };
    addRoutes(node);
    node.addReadyGate("config", [this] { return m_owner->hasConfig(); });
    node.addReadyGate("store", [this] { return m_owner->canReachStore(BootClock::now()); });
    node.addReadyGate("serving", [this] { return !m_isStopping; });
    node.addState("cell", [this] { return m_owner->state(); });
    node.onStop([this](const std::function<void()> &done) {
        m_isStopping = true;
        m_owner->resign([] { log::info("resigned"); });
        m_stopTimer.expires_after(stopServingDelay);
        m_stopTimer.async_wait([done](boost::system::error_code) { done(); });
    });
    asio::post(node.controlContext(), [this] { m_owner->start(); });
    asio::post(node.trafficContext(), [this] { m_entry->start(); });
}

bool Member::isReady() const
{
    return m_node.isReady() && !m_isStopping;
}

void Member::respondFromControl(const http::Responder &respond,
                                std::function<std::optional<Json::Value>()> query)
{
    asio::post(m_node.controlContext(), [respond, query = std::move(query)] {
        const std::optional<Json::Value> value = query();
        respond(value ? jsonResponse(*value) : statusResponse(503));
    });
}

void Member::addRoutes(node::Node &node)
{
    node.route("/cell/job", [this](const http::Request &request, const http::Responder &respond) {
        const JobId id(queryValue(request.query, "id"));
        respondFromControl(respond, [this, id]() -> std::optional<Json::Value> {
            if (!m_owner->isActive())
                return std::nullopt;
            Json::Value value(Json::objectValue);
            const std::optional<jobs::JobState> state = m_owner->jobState(id);
            if (state) {
                value["state"] = jobs::jobStateName(*state);
                value["customer"] = m_owner->customerOf(id).value();
            }
            return value;
        });
    });
    node.route("/cell/explain",
               [this](const http::Request &request, const http::Responder &respond) {
                   const JobId id(queryValue(request.query, "id"));
                   respondFromControl(respond, [this, id]() -> std::optional<Json::Value> {
                       if (!m_owner->isActive())
                           return std::nullopt;
                       return m_owner->explain(id);
                   });
               });
    node.route("/cell/waiting", [this](const http::Request &, const http::Responder &respond) {
        respondFromControl(respond, [this]() -> std::optional<Json::Value> {
            if (!m_owner->isActive())
                return std::nullopt;
            return m_owner->waitingByQueue();
        });
    });
    node.route("/cell/stored",
               [this](const http::Request &request, const http::Responder &respond) {
                   const std::string key = queryValue(request.query, "key");
                   respondFromControl(respond, [this, key, value = request.body]() {
                       m_owner->noteStored(key, value);
                       return std::optional(Json::Value(Json::objectValue));
                   });
               });
    node.route("/cell/relay", [this](const http::Request &request, const http::Responder &respond) {
        m_entry->storeFor(queryValue(request.query, "key"), request.body,
                          BootClock::now() + relayLimit(request.query),
                          [respond](StoreOutcome stored) {
                              http::Response response;
                              response.body = encodeStoreOutcome(stored);
                              respond(std::move(response));
                          });
    });
    node.route("/cell/owner", [this](const http::Request &request, const http::Responder &respond) {
        int64_t cores = 0;
        if (!absl::SimpleAtoi(queryValue(request.query, "cores"), &cores))
            cores = 0; // the sender only queries the epoch
        respondFromControl(respond, [this, cores]() -> std::optional<Json::Value> {
            m_owner->noteLargerMember(Millicores(cores));
            Json::Value value;
            value["epoch"] = Json::Int64(m_owner->heldEpoch().value());
            return value;
        });
    });
    node.route(ownerAnnouncementPath,
               [this](const http::Request &request, const http::Responder &respond) {
                   const absl::StatusOr<OwnerRow> owner = decodeOwner(request.body);
                   if (owner.ok())
                       m_entry->setOwner(*owner);
                   else
                       log::warn("announcement_unreadable", {{"error", owner.status()}});
                   respond(statusResponse(owner.ok() ? 200 : 400));
               });
    node.route("/cell/advise",
               [this](const http::Request &request, const http::Responder &respond) {
                   advise(request, respond);
               });
}

void Member::advise(const http::Request &request, const http::Responder &respond)
{
    const auto query = decodeAdviceRequest(request.body);
    if (!query.ok()) {
        log::warn("advice_query_unreadable", {{"error", query.status()}});
        respond(statusResponse(400));
        return;
    }
    m_links.trafficAdvice->ask(
            query->first, query->second, BootClock::now() + seconds(5),
            [respond](const absl::StatusOr<std::vector<jobs::AllowedWorker>> &allowed) {
                if (!allowed.ok()) {
                    respond(statusResponse(503));
                    return;
                }
                http::Response response;
                response.body = encodeAdviceResponse(*allowed);
                respond(std::move(response));
            });
}

} // namespace cwl::cell
