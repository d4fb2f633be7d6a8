// A small deployment on loopback: members of the cell as the deploy file starts them, the project's
// stand-in of the store, and runners.

#pragma once

#include "advice.h"
#include "harness/ports.h"
#include "harness/process.h"
#include "record.h"
#include "runner.h"
#include "usersplatform/tablestore.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace cwl::review {

// Thrown where a case cannot run.
struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Kills all processes that a deployment has started; for a signal handler.
void killMembers();

struct Answer
{
    int status = 0; // 0: none
    std::string body;
};

struct Member
{
    std::unique_ptr<harness::Process> process;
    std::string settings;  // path
    std::string callers;   // address
    std::string readiness; // address
    std::string members;   // address
    uint16_t advicePort = 0;
    int lives = 0;
};

class Deployment
{
public:
    Deployment(Record &record, std::string program);
    ~Deployment();

    static constexpr const char *host = "draws.example";
    static constexpr const char *prefix = "/draw/";

    // One service, "draw", with the queue "r1" at `prefix` and those of `moreRoutes`, each as in
    // the configuration and followed by a comma. With `advice` there is a service at `hint`.
    void open(int members, const std::vector<RunnerOptions> &runners, const Runner::Plan &plan,
              const std::string &moreRoutes = {}, const Advice::TimesOf &advice = {});
    void startMember(size_t index);
    void endMember(size_t index); // SIGKILL if it still runs
    // Waits until a member accepts jobs and the owner answers for them.
    void waitUntilServing();

    Member &member(size_t index) { return m_members.at(index); }
    size_t memberCount() const { return m_members.size(); }
    Runner &runner(size_t index) { return *m_runners.at(index); }
    size_t runnerCount() const { return m_runners.size(); }
    usersplatform::TableStore &store() { return *m_store; }
    RunnerLog &log() { return m_log; } // on the thread of the stand-ins
    size_t owner();                    // the member that owns the cell
    const std::string &folder() const { return m_folder; }

    Answer call(size_t member, const std::string &method, const std::string &path,
                const std::string &body = {});
    std::string state(size_t member, const std::string &id); // empty: no answer

    template <typename Action>
    auto onStandins(Action action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

private:
    void writeSettings(size_t index);

    Record &m_record;
    const std::string m_program;
    boost::asio::io_context m_context{1};
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
    std::thread m_thread;
    std::string m_folder;
    harness::Ports m_ports;
    RunnerLog m_log;
    std::unique_ptr<usersplatform::TableStore> m_store;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::unique_ptr<Advice> m_advice;
    std::vector<Member> m_members;
};

} // namespace cwl::review
