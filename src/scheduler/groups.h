// The worker groups of the cell: the groups owned by this process, and calls to the owners of the
// others.

#pragma once

#include "metrics/metrics.h"
#include "ownership/member.h"
#include "platform/platform.h"
#include "rpc/rpc.h"
#include "scheduler/groupowner.h"
#include "scheduler/ownerretry.h"
#include "settings/cellsettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cwl::scheduler {

// All calls and callbacks are on the control thread.
class Groups
{
public:
    using SharedSettings = std::shared_ptr<const settings::CellSettings>;
    using Callback = std::function<void(absl::StatusOr<Json::Value>)>;

    struct Ports
    {
        boost::asio::io_context &control;
        boost::asio::io_context &traffic;
        platform::Client &platform;
        rpc::Server &rpcServer;
        rpc::Client &rpcClient;
        metrics::Registry &metrics;
        std::function<ownership::Member *()> member;
    };

    explicit Groups(Ports ports);

    void start();
    void setSettings(const SharedSettings &settings);

    // Section: ownership

    void acquired(const ownership::Acquisition &acquisition);
    void lost(const GroupId &group);
    void release(const GroupId &group, std::function<void()> done);

    // Section: operators. Each call is routed to the owner of the group, in this process or
    // another.

    void submit(const Json::Value &body, Callback callback);
    void cancel(const JobId &job, Callback callback);
    void show(const JobId &job, Callback callback);
    void explain(const JobId &job, Callback callback);
    void list(Callback callback);
    Json::Value workers() const; // of the groups owned by this process
    void setDraining(const WorkerId &worker, bool isDraining, Callback callback);

    Json::Value state() const;

    static std::vector<GroupId> groupsOf(const settings::CellSettings &settings);

private:
    struct OwnerCall
    {
        std::string method;
        GroupId group;
        Json::Value parameters;
        OwnerRetry retry;
        Callback callback;
    };

    struct RetainedJob
    {
        Json::Value row;     // of the table `jobs`
        uint64_t number = 0; // distinguishes it from an earlier job with the same id
        bool isInFlight = false;
    };

    void addMethod(const std::string &name);
    void serve(const std::string &method, const GroupId &group, const Json::Value &parameters,
               Callback callback);
    // Retries until the owner responds or the call's deadline passes.
    void callOwner(const std::shared_ptr<OwnerCall> &call);
    void callOwnerOnce(const OwnerCall &call, Callback callback);
    void scheduleCallOwner(const std::shared_ptr<OwnerCall> &call, TimePoint at);
    static void serveDrain(GroupOwner &owner, const Json::Value &parameters,
                           const Callback &callback);
    // Calls the owners one after the other until one knows the job or the worker.
    void callUntilKnown(const std::string &method, const Json::Value &parameters, size_t next,
                        TimePoint deadline, Callback callback);
    void listFrom(size_t next, Json::Value jobs, TimePoint deadline, Callback callback);
    absl::StatusOr<GroupId> groupForJob(const Json::Value &body) const;
    GroupId groupOfWorker(const platform::Instance &instance) const;
    void readInstances();
    void applyInstances(const std::vector<platform::Instance> &instances,
                        const std::vector<std::weak_ptr<GroupOwner>> &requestedFor);
    void scheduleReadInstances();
    // Jobs accepted by this process that were not stored when their group was lost. They are
    // resubmitted to the group's next owner until it has stored them.
    void retainUnstoredJobs(const GroupId &group, const GroupOwner &owner);
    void submitRetained();
    void scheduleResubmits();
    void handleResubmitResponse(const std::pair<GroupId, JobId> &job, uint64_t number,
                                const absl::StatusOr<Json::Value> &response);

    Ports m_ports;
    SharedSettings m_settings;
    std::vector<GroupId> m_groups;
    std::map<GroupId, std::shared_ptr<GroupOwner>> m_owners;
    boost::asio::steady_timer m_instancesTimer;
    std::map<std::pair<GroupId, JobId>, RetainedJob> m_retained;
    boost::asio::steady_timer m_resubmitTimer;
    uint64_t m_lastRetainedNumber = 0;
};

} // namespace cwl::scheduler
