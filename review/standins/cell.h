// A small deployment: members of the cell as processes, with stand-ins of the store and the runners
// in this process, all on loopback.

#pragma once

#include "ledger.h"
#include "runner.h"
#include "store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr const char *queuePath = "/draw/";

struct JobStep
{
    int64_t count = 1;
    int64_t cpu = 1000;
    int64_t memMb = 500;
    int64_t estimateMs = 100;
    int64_t antiAffinity = 0;
    std::string label = {};
};

class Cell
{
public:
    explicit Cell(Ledger &ledger);
    ~Cell();

    // Starts the store, the runners and the members, and waits until all are ready and a first job
    // has run. Returns false if that does not happen in time.
    bool open(int members, const std::vector<RunnerShape> &runners);

    Store &store() { return *m_store; }
    Runner &runner(size_t index) { return *m_runners[index]; }
    size_t runners() const { return m_runners.size(); }

    // Hands a job in and repeats the request until it is answered. Returns false after `limit`.
    bool submit(const std::string &id, const std::vector<JobStep> &steps, int64_t runMs,
                std::chrono::milliseconds limit = std::chrono::seconds(10));
    // The state of a job as the member tells it, or an empty text.
    std::string state(size_t member, const std::string &id);
    // `pending` of the queue as the member tells it, or -1.
    int64_t pending(size_t member);
    // Repeats an action on the thread of the stand-ins until it succeeds, for a second.
    bool repeat(const std::function<bool()> &action);
    bool waitUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition);

    // Runs `action` on the thread of the stand-ins.
    template <typename Action>
    auto onStandins(Action action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

private:
    struct Member
    {
        pid_t process = 0;
        std::string settings;
        std::string callers;
        std::string readiness;
    };

    bool openStandins(const std::vector<RunnerShape> &runners);
    bool startMember(size_t index);

    Ledger &m_ledger;
    boost::asio::io_context m_context{1};
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
    std::thread m_thread;
    std::string m_folder;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<Member> m_members;
    std::string m_lastState; // as noted
};

} // namespace review
