// Brings a caller's request to the owner of an endpoint group, and resolves every failure on the
// way as not run or unknown.

#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "base/strongid.h"
#include "entry/wire.h"
#include "requests/retrybudget.h"
#include "rpc/rpc.h"
#include "settings/cellsettings.h"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cwl::entry {

// What the router needs from the rest of the entry. All may be called on any thread.
struct RouterPorts
{
    // Number of endpoint groups of a service; 0 if the service is gone.
    std::function<int64_t(const ServiceId &)> groups;
    // True if this entry owns the group now.
    std::function<bool(const GroupId &)> ownsGroup;
    // RPC address of the owner as last seen, or nullopt.
    std::function<std::optional<std::string>(const GroupId &)> ownerAddress;
    std::function<void(const std::string &address, rpc::Message, TimePoint deadline,
                       rpc::CallCallback)>
            call;
    std::function<void(ExecuteRequest, ExecuteCallback)> executeHere;
    // Runs a function at a later time.
    std::function<void(Duration, std::function<void()>)> after;
};

// All functions may be called on any thread.
class Router : public std::enable_shared_from_this<Router>
{
public:
    using Callback = std::function<void(requests::SharedOutcome)>;

    static std::shared_ptr<Router> create(RouterPorts ports, uint64_t seed);

    // Routes a caller's request; calls `callback` once, at the request's deadline at the latest.
    void route(ExecuteRequest request, Callback callback);

    // Serves a request that another entry forwarded: runs it here, or forwards it once more if this
    // entry no longer owns the group.
    void serve(ExecuteRequest request, ExecuteCallback callback);

    Json::Value state() const;

private:
    struct Journey
    {
        ExecuteRequest request;
        Callback callback;
        TimePoint startedAt;
        int64_t tries = 0;
        bool mayHaveRun = false; // an earlier try may have run
    };
    using JourneyPointer = std::shared_ptr<Journey>;

    Router(RouterPorts ports, uint64_t seed);

    void step(const JourneyPointer &journey);
    std::optional<int64_t> chooseGroup(const ExecuteRequest &request);
    void forward(const ExecuteRequest &request, const std::string &address,
                 std::function<void(absl::StatusOr<ExecuteResult>)> callback);
    void onResult(const JourneyPointer &journey, const absl::StatusOr<ExecuteResult> &result);
    void onLost(const JourneyPointer &journey, const absl::Status &status);
    void tryLater(const JourneyPointer &journey, const absl::Status &reason);
    static void finish(const JourneyPointer &journey, const requests::SharedOutcome &outcome);
    static void finishUnsent(const JourneyPointer &journey, const absl::Status &reason);
    void noteLoad(const GroupId &group, double load);
    double loadOf(const GroupId &group) const; // with m_mutex held

    const RouterPorts m_ports;
    mutable std::mutex m_mutex; // guards everything below
    Generator m_generator;
    requests::RetryBudget m_retryBudget;
    struct Load
    {
        double value = 0;
        TimePoint seenAt = {};
    };
    std::map<GroupId, Load> m_loads;
    int64_t m_forwarded = 0;
    int64_t m_lost = 0;
};

} // namespace cwl::entry
