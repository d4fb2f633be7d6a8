#include "load.h"

#include "http/client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

namespace cwl::bench {

namespace {

namespace asio = boost::asio;

constexpr size_t maxConnections = 512; // per target; fewer than an entry accepts
constexpr Duration patience = seconds(30);
constexpr int callerThreads = 2;

using Answer = absl::StatusOr<http::Response>;

// One client per target on threads of its own.
class Callers
{
public:
    explicit Callers(const std::vector<Target> &targets)
        : m_targets(targets)
        , m_guard(asio::make_work_guard(m_context))
    {
        for (const Target &target : targets)
            m_clients.push_back(*http::Client::create(
                    m_context, {.address = target.address, .maxConnections = maxConnections}));
        for (int i = 0; i < callerThreads; ++i)
            m_threads.emplace_back([this] { m_context.run(); });
    }
    ~Callers()
    {
        m_context.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    size_t size() const { return m_targets.size(); }

    // Sends to target `index`; `ended` is called with the time in ms, on a caller's thread.
    void send(size_t index, milliseconds deadline, std::function<void()> ended)
    {
        http::Request request{.method = "POST", .path = m_targets[index].path, .body = "{}"};
        request.headers.set("Request-Deadline-Ms", std::to_string(deadline.count()));
        request.headers.set("Request-Class", "normal");
        const TimePoint start = BootClock::now();
        ++m_result.sent;
        m_clients[index]->send(std::move(request), start + patience,
                               [this, start, ended = std::move(ended)](const Answer &answer) {
                                   record(answer, BootClock::now() - start);
                                   ended();
                               });
    }

    LoadResult take()
    {
        const std::lock_guard lock(m_mutex);
        LoadResult result = m_result;
        std::sort(result.answeredMs.begin(), result.answeredMs.end());
        return result;
    }

private:
    void record(const Answer &answer, Duration elapsed)
    {
        const std::lock_guard lock(m_mutex);
        const bool isRefused = answer.ok() && answer->headers.value("Request-Outcome") == "not-run";
        if (answer.ok() && answer->status == 200)
            m_result.answeredMs.push_back(
                    std::chrono::duration<double, std::milli>(elapsed).count());
        else if (isRefused)
            ++m_result.refused;
        else
            ++m_result.failed;
    }

    const std::vector<Target> m_targets;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::vector<std::unique_ptr<http::Client>> m_clients;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;  // guards the answers in m_result
    LoadResult m_result; // `sent` is written by the sending thread or under its loop's order
};

double secondsSince(TimePoint start)
{
    return std::chrono::duration<double>(BootClock::now() - start).count();
}

} // namespace

double LoadResult::percentile(double fraction) const
{
    if (answeredMs.empty())
        return 0;
    const auto index = static_cast<size_t>(fraction * static_cast<double>(answeredMs.size() - 1));
    return answeredMs[index];
}

std::vector<LoadResult> alternate(const std::vector<Target> &targets, int64_t count)
{
    std::vector<std::unique_ptr<Callers>> callers;
    for (const Target &target : targets)
        callers.push_back(std::make_unique<Callers>(std::vector<Target>{target}));
    for (int64_t i = 0; i < count; ++i) {
        for (const auto &caller : callers) {
            std::promise<void> ended;
            caller->send(0, seconds(10), [&ended] { ended.set_value(); });
            ended.get_future().get();
        }
    }
    std::vector<LoadResult> results;
    for (const auto &caller : callers)
        results.push_back(caller->take());
    return results;
}

LoadResult closedLoop(const std::vector<Target> &targets, int64_t concurrency, Duration duration)
{
    Callers callers(targets);
    const TimePoint start = BootClock::now();
    const TimePoint end = start + duration;
    std::vector<std::thread> threads;
    std::atomic<int64_t> sent = 0;
    std::mutex sendMutex;
    for (int64_t i = 0; i < concurrency; ++i) {
        threads.emplace_back([&, i] {
            while (BootClock::now() < end) {
                std::promise<void> ended;
                {
                    const std::lock_guard lock(sendMutex);
                    callers.send(static_cast<size_t>(i) % callers.size(), seconds(10),
                                 [&ended] { ended.set_value(); });
                }
                ended.get_future().get();
                ++sent;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    LoadResult result = callers.take();
    result.sent = sent;
    result.seconds = secondsSince(start);
    return result;
}

LoadResult openLoop(const std::vector<Target> &targets, double perSecond, Duration duration,
                    milliseconds deadline)
{
    Callers callers(targets);
    const TimePoint start = BootClock::now();
    std::atomic<int64_t> underWay = 0;
    int64_t sent = 0;
    while (BootClock::now() < start + duration) {
        const auto due = static_cast<int64_t>(secondsSince(start) * perSecond);
        for (; sent < due; ++sent) {
            ++underWay;
            callers.send(static_cast<size_t>(sent) % callers.size(), deadline,
                         [&underWay] { --underWay; });
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    while (underWay > 0)
        std::this_thread::sleep_for(milliseconds(1));
    LoadResult result = callers.take();
    result.seconds = secondsSince(start);
    return result;
}

} // namespace cwl::bench
