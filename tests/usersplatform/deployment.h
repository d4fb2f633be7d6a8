// Members of the cell as processes, with stand-ins of the users' store and workers behind
// loopback proxies. Shared by the tests and the soak.

#pragma once

#include "harness/ports.h"
#include "harness/process.h"
#include "standins/proxylink.h"
#include "usersplatform/tablestore.h"
#include "usersplatform/workers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cwl::usersplatform {

struct DeploymentOptions
{
    int members = 3;
    int workers = 3;
    int64_t workerCores = 4000; // thousandths, of each
    uint64_t seed = 1;
    std::string binFolder;         // holds cwl-cell
    std::string moreSettings = {}; // of each member: ", \"key\": value" any number of times
    std::string customers = {};    // entries of the first configuration; empty: none are in force
};

struct MemberProcess
{
    std::unique_ptr<harness::Process> process; // none: it was ended and not started again
    std::string settings;                      // path
    std::string callers;                       // address
    std::string readiness;                     // address
    std::string admin;                         // address
    std::unique_ptr<standins::ProxyLink> storeLink;
    bool isPaused = false;
    int lives = 0;
};

class Deployment
{
public:
    explicit Deployment(const DeploymentOptions &options);
    ~Deployment();

    // Starts the stand-ins and all members. Error: those of the sockets and processes.
    absl::Status open();

    // Of the operator, with one queue and these entries of customers; empty: without customers.
    static std::string configuration(int version, const std::string &customers = {});

    absl::Status startMember(size_t index);
    MemberProcess &member(size_t index) { return m_members[index]; }
    size_t memberCount() const { return m_members.size(); }
    TableStore &store() { return *m_store; }
    Worker &worker(size_t index) { return *m_workers[index]; }
    standins::ProxyLink &workerLink(size_t index) { return *m_workerLinks[index]; }
    size_t workerCount() const { return m_workers.size(); }
    Ledger &ledger() { return m_ledger; }
    const std::string &folder() const { return m_folder; } // with the logs of the members
    void keepFolder() { m_isFolderKept = true; }

    // Runs `action` on the thread of the stand-ins and proxies.
    template <typename Action>
    auto onStandins(Action action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

private:
    absl::Status openStandins();
    void writeSettings(size_t index);

    const DeploymentOptions m_options;
    boost::asio::io_context m_context{1};
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
    std::thread m_thread;
    std::string m_folder;
    bool m_isFolderKept = false;
    harness::Ports m_ports;
    Ledger m_ledger;
    std::unique_ptr<TableStore> m_store;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<standins::ProxyLink>> m_workerLinks;
    std::vector<MemberProcess> m_members;
};

} // namespace cwl::usersplatform
