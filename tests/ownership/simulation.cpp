#include "ownership/simulation.h"

#include "base/error.h"

#include <cmath>
#include <utility>

namespace cwl::ownership {

namespace {

const TimePoint origin(seconds(1000));

} // namespace

Simulation::Simulation(uint64_t seed, size_t processes, size_t groups)
    : m_random(seed)
    , m_processes(processes)
{
    for (size_t i = 0; i < groups; ++i)
        m_groups.emplace_back("worker/g" + std::to_string(i));
    for (size_t i = 0; i < processes; ++i) {
        m_processes[i].address = "10.0.0." + std::to_string(i) + ":7000";
        // The clock deviates from true time by half of the allowed difference, in either direction.
        m_processes[i].clockRate = 1 + (chance(50) ? 1 : -1) * clockRateError / 2;
    }
    m_tables[membersTable] = {};
    m_tables[groupsTable] = {};
}

void Simulation::start(size_t i)
{
    SimulatedProcess &process = m_processes[i];
    ++process.run;
    process.held.clear();
    process.isPaused = false;
    MemberOptions options;
    options.info.role = Role::Scheduler;
    options.info.rpcAddress = process.address;
    options.info.ready = true;
    options.groups = m_groups;
    for (const SimulatedProcess &peer : m_processes) {
        if (peer.address != process.address)
            options.peers.push_back(peer.address);
    }
    GroupListener listener;
    listener.acquired = [&process](const Acquisition &acquisition) {
        process.held.insert(acquisition.group);
        process.events.push_back("acquired " + std::to_string(acquisition.epoch.value()));
    };
    listener.lost = [&process](const GroupId &group) {
        process.held.erase(group);
        process.events.push_back("lost as " + process.runner->self().id.value());
    };
    listener.release = [this, i](const GroupId &group, const std::function<void()> &done) {
        m_processes[i].events.emplace_back("release");
        if (m_processes[i].neverFinishesRelease)
            return;
        atProcess(i, m_time + milliseconds(m_random() % 2000), [this, i, group, done] {
            m_processes[i].held.erase(group);
            done();
        });
    };
    process.runner = std::make_unique<Runner>(transport(i), options, std::move(listener));
    process.runner->start();
}

void Simulation::stop(size_t i)
{
    ++m_processes[i].run;
    m_processes[i].runner.reset();
    m_processes[i].held.clear();
}

void Simulation::runFor(Duration duration, const std::function<void()> &eachStep)
{
    const Duration end = m_time + duration;
    while (m_time < end) {
        m_time += step;
        while (!m_events.empty() && m_events.begin()->first <= m_time) {
            const std::function<void()> action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        for (SimulatedProcess &process : m_processes) {
            if (process.runner && !process.isPaused)
                process.runner->tick();
        }
        if (eachStep)
            eachStep();
    }
}

std::vector<size_t> Simulation::validOwners(const GroupId &group) const
{
    std::vector<size_t> owners;
    for (size_t i = 0; i < m_processes.size(); ++i) {
        if (m_processes[i].runner && m_processes[i].runner->owns(group))
            owners.push_back(i);
    }
    return owners;
}

bool Simulation::hasSettled() const
{
    for (const GroupId &group : m_groups) {
        if (!isOwnedByOne(group))
            return false;
    }
    return true;
}

bool Simulation::hasTwoOwners() const
{
    for (const GroupId &group : m_groups) {
        if (validOwners(group).size() > 1)
            return true;
    }
    return false;
}

bool Simulation::hasMember(const MemberId &id) const
{
    return m_tables.at(membersTable).contains(id.value());
}

TimePoint Simulation::clock(size_t i) const
{
    const double local = static_cast<double>(m_time.count()) * m_processes[i].clockRate;
    return origin + Duration(std::llround(local));
}

Duration Simulation::realTime(size_t i, TimePoint local) const
{
    const double time = static_cast<double>((local - origin).count()) / m_processes[i].clockRate;
    return Duration(std::llround(time));
}

Duration Simulation::delay()
{
    const bool isSlow = hasSlowMessages && chance(10);
    return milliseconds(1 + m_random() % (isSlow ? 5000 : 60));
}

void Simulation::at(Duration time, std::function<void()> action)
{
    m_events.emplace(time, std::move(action));
}

// Delays actions while the process is paused and drops those of an earlier run.
void Simulation::atProcess(size_t i, Duration time, std::function<void()> action)
{
    at(time, [this, i, run = m_processes[i].run, action = std::move(action)] {
        if (m_processes[i].run != run)
            return;
        if (m_processes[i].isPaused)
            atProcess(i, m_time + milliseconds(50), action);
        else
            action();
    });
}

Transport Simulation::transport(size_t i)
{
    Transport transport;
    transport.now = [this, i] { return clock(i); };
    transport.randomId = [this] { return "id" + std::to_string(++m_ids); };
    transport.commit = [this, i](platform::Commit request, TimePoint deadline,
                                 platform::CommitCallback callback) {
        commit(i, std::move(request), deadline, std::move(callback));
    };
    transport.read = [this, i](const std::vector<platform::Read> &reads, TimePoint,
                               platform::ReadCallback callback) {
        read(i, reads, std::move(callback));
    };
    transport.call = [this, i](const std::string &address, const std::string &method,
                               const Json::Value &parameters, TimePoint deadline,
                               const CallCallback &callback) {
        call(i, address, method, parameters, deadline, callback);
    };
    return transport;
}

void Simulation::commit(size_t i, platform::Commit request, TimePoint deadline,
                        platform::CommitCallback callback)
{
    const Duration timeoutAt = realTime(i, deadline);
    const Duration arrival = m_time + delay();
    const bool isCut = isOutage || m_processes[i].isStoreUnreachable;
    if (isCut && chance(50)) {
        atProcess(i, m_time + milliseconds(1), [callback = std::move(callback)] {
            callback(makeError(Failure::StoreUnavailable, "store unreachable"));
        });
        return;
    }
    // A request without a response may still reach the store, immediately or late.
    const bool arrives = !isCut || (hasSlowMessages && chance(30));
    const Duration responseAt = arrival + delay();
    const bool receivesResponse = !isCut && responseAt < timeoutAt && !chance(lostResponses);
    if (arrives) {
        at(arrival, [this, i, request, receivesResponse, responseAt, callback] {
            const absl::StatusOr<Revision> outcome = apply(request);
            if (receivesResponse)
                atProcess(i, responseAt, [callback, outcome] { callback(outcome); });
        });
    }
    if (!receivesResponse)
        atProcess(i, timeoutAt, [callback = std::move(callback)] {
            callback(makeError(Failure::StoreOutcomeUnknown, "no response"));
        });
}

absl::StatusOr<Revision> Simulation::apply(const platform::Commit &commit)
{
    const auto known = m_changes.find(commit.changeId);
    if (known != m_changes.end())
        return known->second;
    absl::StatusOr<Revision> outcome = Revision(m_revision + 1);
    for (const platform::Condition &condition : commit.conditions) {
        const Table &table = m_tables[condition.table];
        const auto row = table.find(condition.key);
        const Revision present = row == table.end() ? Revision() : row->second.revision;
        if (present != condition.revision)
            outcome = makeError(Failure::Conflict, "the row has another revision");
    }
    if (outcome.ok()) {
        ++m_revision;
        for (const platform::Write &write : commit.writes) {
            if (write.value.isNull())
                m_tables[write.table].erase(write.key);
            else
                m_tables[write.table][write.key] = {write.key, write.value, *outcome};
        }
    }
    m_changes.emplace(commit.changeId, outcome);
    return outcome;
}

void Simulation::read(size_t i, const std::vector<platform::Read> &reads,
                      platform::ReadCallback callback)
{
    if (isOutage || m_processes[i].isStoreUnreachable) {
        atProcess(i, m_time + milliseconds(100), [callback = std::move(callback)] {
            callback(makeError(Failure::StoreUnavailable, "store unreachable"));
        });
        return;
    }
    at(m_time + delay(), [this, i, reads, callback = std::move(callback)] {
        std::vector<std::vector<platform::Row>> response;
        for (const platform::Read &read : reads) {
            if (read.table == groupsTable && beforeGroupsRead)
                beforeGroupsRead();
            std::vector<platform::Row> rows;
            for (const auto &[key, row] : m_tables[read.table])
                rows.push_back(row);
            response.push_back(std::move(rows));
        }
        atProcess(i, m_time + delay(), [callback, response] { callback(response); });
    });
}

void Simulation::call(size_t from, const std::string &address, const std::string &method,
                      const Json::Value &parameters, TimePoint deadline,
                      const CallCallback &callback)
{
    size_t to = 0;
    while (m_processes[to].address != address)
        ++to;
    const Duration timeoutAt = realTime(from, deadline);
    const auto isDone = std::make_shared<bool>(false);
    const auto finish = [isDone, callback](const absl::StatusOr<Json::Value> &response) {
        if (!std::exchange(*isDone, true))
            callback(response);
    };
    atProcess(from, timeoutAt, [finish] { finish(makeError(Failure::Timeout, "no response")); });
    const bool isLost = m_processes[from].unreachable.contains(to) || chance(lostCalls);
    if (isLost)
        return;
    if (!m_processes[to].runner) {
        atProcess(from, m_time + step,
                  [finish] { finish(makeError(Failure::ConnectionRefused, "not running")); });
        return;
    }
    at(m_time + delay(), [this, from, to, method, parameters, finish] {
        if (!m_processes[to].runner)
            return;
        atProcess(to, m_time, [this, from, to, method, parameters, finish] {
            serve(to, method, parameters,
                  [this, from, to, finish](const absl::StatusOr<Json::Value> &response) {
                      const bool isLost =
                              m_processes[to].unreachable.contains(from) || chance(lostCalls);
                      if (!isLost)
                          atProcess(from, m_time + delay(),
                                    [finish, response] { finish(response); });
                  });
        });
    });
}

void Simulation::serve(size_t to, const std::string &method, const Json::Value &parameters,
                       CallCallback reply)
{
    Runner &runner = *m_processes[to].runner;
    if (method == "member.promise")
        reply(runner.promise(parameters));
    else if (method == "member.vote")
        reply(runner.vote(parameters));
    else if (method == "group.owners")
        reply(runner.owners());
    else if (method == "member.relayRenewal" && isRelayUnavailable)
        reply(makeError(Failure::StoreUnavailable, "relays are unavailable"));
    else if (method == "member.relayRenewal")
        runner.relayRenewal(parameters, std::move(reply));
    else
        reply(makeError(Failure::UnknownMethod, method));
}

} // namespace cwl::ownership
