#include "entry/executor.h"

#include "base/error.h"
#include "requests/routing.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace cwl::entry {

namespace {

namespace asio = boost::asio;

constexpr auto tickInterval = milliseconds(10); // expiry of queued requests, return of endpoints
constexpr auto restInterval = milliseconds(50); // without requests, when only status is polled
constexpr Duration stateInterval = seconds(1);
constexpr int64_t staleViewRetryMs = 200;

struct GroupName
{
    ServiceId service;
    int64_t number = 0;
};

// Reads "endpoint/<service>/<number>".
std::optional<GroupName> parseGroup(const GroupId &id)
{
    const std::string &text = id.value();
    const std::string prefix = "endpoint/";
    const size_t slash = text.rfind('/');
    if (!text.starts_with(prefix) || slash < prefix.size())
        return std::nullopt;
    GroupName name;
    name.service = ServiceId(text.substr(prefix.size(), slash - prefix.size()));
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + slash + 1, end, name.number);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return name;
}

absl::Status notOwner(const GroupId &group)
{
    return makeError(Failure::NotOwner, "this entry does not own " + group.value(),
                     {.retryAfterMs = staleViewRetryMs});
}

} // namespace

std::shared_ptr<Executor> Executor::create(asio::io_context &trafficContext,
                                           CurrentEpoch currentEpoch)
{
    std::shared_ptr<Executor> executor(new Executor(trafficContext, std::move(currentEpoch)));
    executor->onStrand([executor] { executor->tick(); });
    return executor;
}

Executor::Executor(asio::io_context &context, CurrentEpoch currentEpoch)
    : m_context(context)
    , m_strand(asio::make_strand(context))
    , m_currentEpoch(std::move(currentEpoch))
    , m_timer(m_strand)
{
}

void Executor::onStrand(std::function<void()> function)
{
    asio::post(m_strand,
               [self = shared_from_this(), function = std::move(function)] { function(); });
}

void Executor::tick()
{
    for (const auto &[id, group] : m_groups)
        group->tick();
    std::erase_if(m_groups, [](const auto &entry) { return entry.second->isOver(); });
    if (m_nextState <= BootClock::now())
        publishState();
    waitForTick();
}

// Replaces a wait that is under way.
void Executor::waitForTick()
{
    m_isResting = std::none_of(m_groups.begin(), m_groups.end(),
                               [](const auto &entry) { return entry.second->hasRequests(); });
    m_timer.expires_after(m_isResting ? restInterval : tickInterval);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error)
            self->tick();
    });
}

// Section: settings and endpoints

void Executor::setSettings(SharedSettings settings)
{
    onStrand([this, settings = std::move(settings)] {
        m_settings = settings;
        for (const auto &[id, group] : m_groups) {
            const std::optional<GroupName> name = parseGroup(id);
            if (const settings::ServiceSettings *service = serviceOf(name->service))
                group->setService(*service);
        }
        const auto pending = std::exchange(m_pending, {});
        for (const auto &[id, acquisition] : pending)
            acquire(acquisition);
    });
}

const settings::ServiceSettings *Executor::serviceOf(const ServiceId &service) const
{
    if (!m_settings)
        return nullptr;
    const auto found = m_settings->cell.services.find(service.value());
    return found == m_settings->cell.services.end() ? nullptr : &found->second;
}

void Executor::setEndpoints(EndpointsByService endpoints)
{
    onStrand([this, endpoints = std::move(endpoints)] {
        m_endpoints = endpoints;
        for (const auto &[id, group] : m_groups)
            applyEndpoints(id, *group);
    });
}

void Executor::applyEndpoints(const GroupId &id, OwnedGroup &group)
{
    const std::optional<GroupName> name = parseGroup(id);
    const settings::ServiceSettings *service = serviceOf(name->service);
    const auto found = m_endpoints.find(name->service);
    if (!service || found == m_endpoints.end())
        return;
    std::vector<requests::ListedEndpoint> own;
    for (const requests::ListedEndpoint &endpoint : found->second) {
        if (requests::groupOfEndpoint(endpoint.id, service->endpointGroups) == name->number)
            own.push_back(endpoint);
    }
    group.setEndpoints(own);
}

// Section: ownership

void Executor::acquire(const ownership::Acquisition &acquisition)
{
    onStrand([this, acquisition] {
        const std::optional<GroupName> name = parseGroup(acquisition.group);
        if (!name)
            return;
        const settings::ServiceSettings *service = serviceOf(name->service);
        if (!service) {
            m_pending[acquisition.group] = acquisition;
            return;
        }
        const requests::GroupStart start{.acquiredAt = acquisition.acquiredAt,
                                         .acquiredAtUnix = acquisition.acquiredAtUnix,
                                         .isFirstOwner = acquisition.isFirstOwner};
        const auto group = std::make_shared<OwnedGroup>(
                m_context, m_strand, Tenure{acquisition.group, acquisition.epoch, m_currentEpoch},
                *service, start);
        if (const auto old = std::exchange(m_groups[acquisition.group], group))
            old->lose();
        applyEndpoints(acquisition.group, *group);
    });
}

void Executor::lose(const GroupId &group)
{
    onStrand([this, group] {
        m_pending.erase(group);
        const auto node = m_groups.extract(group);
        if (!node.empty())
            node.mapped()->lose();
    });
}

void Executor::release(const GroupId &group, std::function<void()> done)
{
    onStrand([this, group, done = std::move(done)] {
        m_pending.erase(group);
        const auto found = m_groups.find(group);
        if (found == m_groups.end()) {
            done();
            return;
        }
        // The group stays, so that its memory answers repeats until the next owner has it.
        found->second->release(done);
    });
}

// Section: requests

void Executor::execute(ExecuteRequest request, ExecuteCallback callback)
{
    const auto shared = std::make_shared<ExecuteRequest>(std::move(request));
    onStrand([this, shared, callback = std::move(callback)] {
        executeHere(std::move(*shared), callback);
    });
}

void Executor::executeHere(ExecuteRequest request, ExecuteCallback callback)
{
    const absl::Status status = check(request);
    if (!status.ok()) {
        callback(notRun(status));
        return;
    }
    const std::shared_ptr<OwnedGroup> group = m_groups.at(groupIdOf(request));
    group->execute(std::move(request), std::move(callback));
    if (m_isResting && group->hasRequests())
        waitForTick();
}

// Two entries may hold different versions of the settings for a few seconds. The owner's version
// decides whether the method may run here.
absl::Status Executor::check(const ExecuteRequest &request) const
{
    const GroupId group = groupIdOf(request);
    const settings::ServiceSettings *service = serviceOf(request.service);
    if (!service || !m_groups.contains(group))
        return notOwner(group);
    const auto method = service->methods.find(request.method);
    if (method == service->methods.end())
        return makeError(Failure::UnknownMethod,
                         "service '" + request.service.value() + "' has no method '"
                                 + request.method + "'",
                         {.field = "method"});
    if (request.isIdempotent && !method->second.idempotent)
        return makeError(Failure::NotReady, "the method became non-idempotent in newer settings",
                         {.field = "method", .retryAfterMs = staleViewRetryMs});
    const bool isRightGroup = request.isIdempotent
            || requests::groupOfRequestId(request.id.id, service->endpointGroups) == request.group;
    return isRightGroup ? absl::OkStatus() : notOwner(group);
}

// Section: state dump

void Executor::publishState()
{
    m_nextState = BootClock::now() + stateInterval;
    Json::Value state(Json::objectValue);
    for (const auto &[id, group] : m_groups)
        state[id.value()] = group->state();
    const std::lock_guard lock(m_stateMutex);
    m_state = std::move(state);
}

Json::Value Executor::state() const
{
    const std::lock_guard lock(m_stateMutex);
    return m_state;
}

} // namespace cwl::entry
