#include "scheduler/groups.h"

#include "base/error.h"
#include "node/log.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cwl::scheduler {

namespace {

namespace asio = boost::asio;

constexpr auto instancesInterval = std::chrono::milliseconds(1000);
constexpr Duration instancesTimeout = seconds(3);
constexpr Duration attemptTimeout = seconds(5); // for one attempt
// An operator waits 10 s; the difference covers the network delay of the response.
constexpr Duration operatorCallTimeout = milliseconds(9500);
constexpr auto resubmitInterval = std::chrono::seconds(1); // between two rounds of resubmissions
constexpr size_t maxResubmitsPerRound = 32;                // in one round
constexpr const char *retainedRowField =
        "keptRow"; // only in job.submit between schedulers, never from operators
constexpr const char *submitMethod = "job.submit";
constexpr const char *cancelMethod = "job.cancel";
constexpr const char *showMethod = "job.show";
constexpr const char *listMethod = "job.list";
constexpr const char *explainMethod = "job.explain";
constexpr const char *drainMethod = "worker.drain";

TimePoint operatorDeadline()
{
    return BootClock::now() + operatorCallTimeout;
}

Json::Value jobParameters(const JobId &job)
{
    Json::Value parameters;
    parameters["jobId"] = job.value();
    return parameters;
}

} // namespace

Groups::Groups(Ports ports)
    : m_ports(std::move(ports))
    , m_instancesTimer(m_ports.control)
    , m_resubmitTimer(m_ports.control)
{
    for (const char *method :
         {submitMethod, cancelMethod, showMethod, listMethod, explainMethod, drainMethod})
        addMethod(method);
}

void Groups::addMethod(const std::string &name)
{
    m_ports.rpcServer.add(name, [this, name](const rpc::Message &message, const rpc::Reply &reply) {
        asio::post(m_ports.control, [this, name, content = message.content, reply] {
            if (!content.isObject() || !content["group"].isString()) {
                reply(makeError(Failure::MissingField, "the call has no field group",
                                {.field = "group"}));
                return;
            }
            serve(name, GroupId(content["group"].asString()), content["parameters"],
                  [reply](absl::StatusOr<Json::Value> response) {
                      if (response.ok())
                          reply(rpc::Message{.content = *std::move(response)});
                      else
                          reply(response.status());
                  });
        });
    });
}

std::vector<GroupId> Groups::groupsOf(const settings::CellSettings &settings)
{
    std::vector<GroupId> groups;
    for (const std::string &name : settings.cell.workerGroups)
        groups.emplace_back("worker/" + name);
    return groups;
}

void Groups::start()
{
    readInstances();
    scheduleResubmits();
}

void Groups::setSettings(const SharedSettings &settings)
{
    m_settings = settings;
    m_groups = groupsOf(*settings);
    for (const auto &[group, owner] : m_owners)
        owner->setSettings(settings);
}

// Section: ownership

void Groups::acquired(const ownership::Acquisition &acquisition)
{
    log::info("group_acquired",
              {{"group", acquisition.group.value()}, {"epoch", acquisition.epoch.value()}});
    lost(acquisition.group);
    const auto owner = GroupOwner::create(
            OwnerPorts{m_ports.control, m_ports.traffic, m_ports.platform, m_ports.metrics,
                       [this] { return m_ports.member()->validUntil(); }},
            acquisition, m_settings);
    m_owners[acquisition.group] = owner;
    owner->start();
    readInstances();
}

void Groups::lost(const GroupId &group)
{
    const auto found = m_owners.find(group);
    if (found == m_owners.end())
        return;
    log::info("group_lost", {{"group", group.value()}});
    retainUnstoredJobs(group, *found->second);
    found->second->close();
    m_owners.erase(found);
}

void Groups::release(const GroupId &group, std::function<void()> done)
{
    const auto found = m_owners.find(group);
    if (found == m_owners.end()) {
        done();
        return;
    }
    found->second->release([this, group, done = std::move(done)] {
        lost(group);
        done();
    });
}

// Section: jobs of lost groups

void Groups::retainUnstoredJobs(const GroupId &group, const GroupOwner &owner)
{
    for (Json::Value &row : owner.unstoredJobs()) {
        const JobId job(row["job"]["jobId"].asString());
        log::info("job_kept", {{"group", group.value()}, {"job", job.value()}});
        m_retained[{group, job}] = {.row = std::move(row), .number = ++m_lastRetainedNumber};
    }
}

void Groups::submitRetained()
{
    size_t inFlight = 0;
    for (auto &[key, kept] : m_retained) {
        if (kept.isInFlight || inFlight == maxResubmitsPerRound)
            continue;
        ++inFlight;
        kept.isInFlight = true;
        Json::Value parameters;
        parameters[retainedRowField] = kept.row;
        const OwnerCall call{submitMethod,
                             key.first,
                             parameters,
                             OwnerRetry(BootClock::now() + attemptTimeout),
                             {}};
        callOwnerOnce(call,
                      [this, key = key,
                       number = kept.number](const absl::StatusOr<Json::Value> &response) {
                          // Posted, because a group owned by this process may respond within the
                          // loop, and the handler erases entries.
                          asio::post(m_ports.control, [this, key, number, response] {
                              handleResubmitResponse(key, number, response);
                          });
                      });
    }
    scheduleResubmits();
}

void Groups::handleResubmitResponse(const std::pair<GroupId, JobId> &job, uint64_t number,
                                    const absl::StatusOr<Json::Value> &response)
{
    const auto kept = m_retained.find(job);
    if (kept == m_retained.end() || kept->second.number != number)
        return;
    kept->second.isInFlight = false;
    const bool isDurable = response.ok() && (*response)["durable"].asBool();
    const bool isRefused = !response.ok() && failureOf(response.status()) == Failure::JobConflict;
    if (isRefused)
        log::error("kept_job_refused", {{"job", job.second.value()}, {"error", response.status()}});
    if (isDurable || isRefused)
        m_retained.erase(kept);
}

void Groups::scheduleResubmits()
{
    m_resubmitTimer.expires_after(resubmitInterval);
    m_resubmitTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            submitRetained();
    });
}

// Section: calls to the owner

void Groups::serve(const std::string &method, const GroupId &group, const Json::Value &parameters,
                   Callback callback)
{
    const auto found = m_owners.find(group);
    const ownership::Member *member = m_ports.member();
    if (found == m_owners.end() || !member->owns(group)) {
        callback(makeError(Failure::NotOwner,
                           absl::StrCat(group.value(), " is not owned by this process"),
                           {.retryAfterMs = 500}));
        return;
    }
    GroupOwner &owner = *found->second;
    const JobId job(parameters.isObject() ? parameters.get("jobId", "").asString() : "");
    if (method == submitMethod && parameters.isObject() && parameters.isMember(retainedRowField))
        owner.submitRetained(parameters[retainedRowField], std::move(callback));
    else if (method == submitMethod)
        owner.submit(parameters, std::move(callback));
    else if (method == cancelMethod)
        owner.cancel(job, std::move(callback));
    else if (method == showMethod)
        callback(owner.show(job));
    else if (method == explainMethod)
        callback(owner.explain(job));
    else if (method == drainMethod)
        serveDrain(owner, parameters, callback);
    else
        callback(owner.list());
}

// Operator calls are idempotent, so an attempt with an unknown outcome is retried as well.
void Groups::callOwner(const std::shared_ptr<OwnerCall> &call)
{
    callOwnerOnce(*call, [this, call](absl::StatusOr<Json::Value> response) {
        if (response.ok() || !OwnerRetry::isRetryable(response.status())) {
            call->callback(std::move(response));
            return;
        }
        const auto next = call->retry.nextAttempt(response.status(), BootClock::now());
        if (next)
            scheduleCallOwner(call, *next);
        else
            call->callback(call->retry.finalError(call->group));
    });
}

void Groups::scheduleCallOwner(const std::shared_ptr<OwnerCall> &call, TimePoint at)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_ports.control, at - BootClock::now());
    timer->async_wait([this, call, timer](const boost::system::error_code &error) {
        if (!error)
            callOwner(call);
    });
}

void Groups::callOwnerOnce(const OwnerCall &call, Callback callback)
{
    const ownership::Member &member = *m_ports.member();
    if (m_owners.count(call.group) > 0 && member.owns(call.group)) {
        serve(call.method, call.group, call.parameters, std::move(callback));
        return;
    }
    const auto owner = member.ownerOf(call.group);
    if (!owner || owner->id == member.self().id) {
        callback(makeError(Failure::NoOwner,
                           absl::StrCat(call.group.value(), " has no owner at the moment"),
                           {.retryAfterMs = 1000}));
        return;
    }
    rpc::Message message;
    message.content["group"] = call.group.value();
    message.content["parameters"] = call.parameters;
    m_ports.rpcClient.call(
            owner->rpcAddress, call.method, std::move(message),
            std::min(BootClock::now() + attemptTimeout, call.retry.deadline()),
            [this, callback = std::move(callback)](absl::StatusOr<rpc::Message> response) {
                asio::post(m_ports.control, [callback, response = std::move(response)] {
                    if (response.ok())
                        callback(response->content);
                    else
                        callback(response.status());
                });
            });
}

void Groups::callUntilKnown(const std::string &method, const Json::Value &parameters, size_t next,
                            TimePoint deadline, Callback callback)
{
    if (next >= m_groups.size()) {
        callback(makeError(Failure::NotReady, "the cell settings are not known yet",
                           {.retryAfterMs = 500}));
        return;
    }
    const auto answered = [this, method, parameters, next, deadline,
                           callback = std::move(callback)](absl::StatusOr<Json::Value> response) {
        const Failure failure = failureOf(response.status());
        const bool isKnownElsewhere =
                (failure == Failure::UnknownJob || failure == Failure::UnknownWorker)
                && next + 1 < m_groups.size();
        if (isKnownElsewhere)
            callUntilKnown(method, parameters, next + 1, deadline, callback);
        else
            callback(std::move(response));
    };
    callOwner(std::make_shared<OwnerCall>(
            OwnerCall{method, m_groups[next], parameters, OwnerRetry(deadline), answered}));
}

absl::StatusOr<GroupId> Groups::groupForJob(const Json::Value &body) const
{
    if (m_groups.empty())
        return makeError(Failure::NotReady, "the cell settings are not known yet",
                         {.retryAfterMs = 500});
    const auto spec = jobFromJson(body);
    if (!spec.ok())
        return spec.status();
    if (spec->dataCentre) {
        const GroupId named("worker/" + spec->dataCentre->value());
        if (std::find(m_groups.begin(), m_groups.end(), named) != m_groups.end())
            return named;
    }
    // Hashes the job id, so that a repeated submission reaches the owner that accepted the first.
    const std::string &id = spec->id.value();
    return m_groups[XXH3_64bits(id.data(), id.size()) % m_groups.size()];
}

void Groups::submit(const Json::Value &body, Callback callback)
{
    const auto group = groupForJob(body);
    if (group.ok())
        callOwner(std::make_shared<OwnerCall>(OwnerCall{
                submitMethod, *group, body, OwnerRetry(operatorDeadline()), std::move(callback)}));
    else
        callback(group.status());
}

void Groups::cancel(const JobId &job, Callback callback)
{
    callUntilKnown(cancelMethod, jobParameters(job), 0, operatorDeadline(), std::move(callback));
}

void Groups::show(const JobId &job, Callback callback)
{
    callUntilKnown(showMethod, jobParameters(job), 0, operatorDeadline(), std::move(callback));
}

void Groups::explain(const JobId &job, Callback callback)
{
    callUntilKnown(explainMethod, jobParameters(job), 0, operatorDeadline(), std::move(callback));
}

void Groups::list(Callback callback)
{
    listFrom(0, Json::Value(Json::arrayValue), operatorDeadline(), std::move(callback));
}

void Groups::listFrom(size_t next, Json::Value jobs, TimePoint deadline, Callback callback)
{
    if (next >= m_groups.size()) {
        Json::Value response;
        response["jobs"] = std::move(jobs);
        callback(std::move(response));
        return;
    }
    const auto answered = [this, next, deadline, jobs = std::move(jobs),
                           callback = std::move(callback)](absl::StatusOr<Json::Value> response) {
        if (!response.ok()) {
            callback(response.status());
            return;
        }
        Json::Value all = jobs;
        for (const Json::Value &job : *response)
            all.append(job);
        listFrom(next + 1, std::move(all), deadline, callback);
    };
    callOwner(std::make_shared<OwnerCall>(OwnerCall{listMethod, m_groups[next],
                                                    Json::Value(Json::objectValue),
                                                    OwnerRetry(deadline), answered}));
}

// Section: workers

Json::Value Groups::workers() const
{
    Json::Value response;
    response["workers"] = Json::Value(Json::arrayValue);
    for (const auto &[group, owner] : m_owners) {
        for (const Json::Value &worker : owner->workers())
            response["workers"].append(worker);
    }
    return response;
}

void Groups::setDraining(const WorkerId &worker, bool isDraining, Callback callback)
{
    Json::Value parameters;
    parameters["worker"] = worker.value();
    parameters["draining"] = isDraining;
    callUntilKnown(drainMethod, parameters, 0, operatorDeadline(), std::move(callback));
}

void Groups::serveDrain(GroupOwner &owner, const Json::Value &parameters, const Callback &callback)
{
    if (!parameters.isObject() || !parameters["worker"].isString()
        || !parameters["draining"].isBool()) {
        callback(makeError(Failure::MissingField, "the call has no valid worker or draining field",
                           {.field = "worker"}));
        return;
    }
    const WorkerId worker(parameters["worker"].asString());
    const absl::Status status = owner.setDraining(worker, parameters["draining"].asBool());
    if (status.ok())
        callback(parameters);
    else
        callback(status);
}

// A single group holds all workers; otherwise each group is named after its data centre.
GroupId Groups::groupOfWorker(const platform::Instance &instance) const
{
    if (m_groups.size() == 1)
        return m_groups.front();
    return GroupId("worker/" + instance.dataCentre.value());
}

void Groups::readInstances()
{
    if (m_owners.empty()) {
        scheduleReadInstances();
        return;
    }
    // Only the groups owned at the time of the request get the list: one that was requested before
    // a takeover may lack workers that exist after it.
    std::vector<std::weak_ptr<GroupOwner>> requestedFor;
    for (const auto &[group, owner] : m_owners)
        requestedFor.push_back(owner);
    m_ports.platform.instances(
            BootClock::now() + instancesTimeout,
            [this, requestedFor](const absl::StatusOr<std::vector<platform::Instance>> &instances) {
                if (instances.ok())
                    applyInstances(*instances, requestedFor);
                scheduleReadInstances();
            });
}

void Groups::applyInstances(const std::vector<platform::Instance> &instances,
                            const std::vector<std::weak_ptr<GroupOwner>> &requestedFor)
{
    std::map<GroupId, std::vector<platform::Instance>> byGroup;
    for (const platform::Instance &instance : instances) {
        if (instance.kind == platform::InstanceKind::Worker)
            byGroup[groupOfWorker(instance)].push_back(instance);
    }
    for (const std::weak_ptr<GroupOwner> &asked : requestedFor) {
        const std::shared_ptr<GroupOwner> owner = asked.lock();
        for (const auto &[group, current] : m_owners) {
            if (owner && current == owner)
                owner->setWorkers(byGroup[group]);
        }
    }
}

void Groups::scheduleReadInstances()
{
    m_instancesTimer.expires_after(instancesInterval);
    m_instancesTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            readInstances();
    });
}

Json::Value Groups::state() const
{
    Json::Value state(Json::arrayValue);
    for (const auto &[group, owner] : m_owners)
        state.append(owner->state());
    return state;
}

} // namespace cwl::scheduler
