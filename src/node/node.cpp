#include "node/node.h"

#include "base/error.h"
#include "base/json.h"
#include "base/traffic.h"
#include "node/adminpages.h"
#include "node/listenerwatch.h"
#include "node/log.h"
#include "node/readiness.h"
#include "node/statedump.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <future>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace cwl::node {

namespace asio = boost::asio;
using Timer = asio::basic_waitable_timer<BootClock>;
using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

namespace {

constexpr Duration drainInterval = milliseconds(20); // between looks at the open connections
constexpr seconds threadEndLimit(1);                 // for a thread to end after its context

// Runs `context` until it is stopped. State that an exception left half changed must not be used
// further, so an exception ends the process.
void runThread(asio::io_context &context, const char *name)
{
    try {
        context.run();
    } catch (const std::exception &exception) {
        log::error("uncaught_exception", {{"thread", name}, {"what", exception.what()}});
        log::finish();
        std::_Exit(static_cast<int>(ExitCode::SupervisorFailed));
    }
}

} // namespace

class Node::Implementation
{
public:
    Implementation(const settings::ProcessSettings &settings, std::string program,
                   const NodeOptions &options);
    ~Implementation() { endThreads(); }

    absl::Status open();
    ExitCode run();
    void beginStop(const std::string &reason);
    Json::Value processState() const;

    // Contexts come first, so that everything that uses them is destroyed before them.
    asio::io_context control{1};
    asio::io_context traffic;

    const settings::ProcessSettings settings;
    const std::string program;
    const NodeOptions options;
    metrics::Registry metrics;
    Readiness readiness;
    StateDump dump;
    AdminPages pages;
    ListenerWatch listeners;
    std::unique_ptr<supervisor::Supervisor> supervisor;
    std::vector<std::pair<std::string, http::Handler>> routes;
    std::vector<std::function<void(std::function<void()>)>> stopHandlers;
    std::unique_ptr<http::Server> server;

private:
    void handle(http::Request request, const http::Responder &respond);
    http::Response refusal(int status, const absl::Status &error) const;
    const http::Handler *findRoute(const std::string &path) const;
    void startThreads();
    void endThreads();
    void awaitSignal();
    void onSignal(int signal);
    void evaluateGates(TimePoint due);
    void runStopHandlers();
    void stopHandlerDone();
    void stopChildren();
    void drain();
    void finish(ExitCode code);
    void logState();

    WorkGuard m_controlWork{asio::make_work_guard(control)};
    WorkGuard m_trafficWork{asio::make_work_guard(traffic)};
    asio::signal_set m_signals{traffic};
    Timer m_stopTimer{traffic};
    Timer m_gateTimer{control};
    Timer m_drainTimer{control};
    metrics::Histogram &m_controlDelay;
    const TimePoint m_started = BootClock::now();
    std::atomic<bool> m_isRunning = false;     // routes, gates and sections no longer change
    std::atomic<bool> m_isDeadlineSet = false; // of the stop
    std::atomic<bool> m_isFinished = false;
    std::atomic<ExitCode> m_exitCode = ExitCode::Success;
    std::promise<ExitCode> m_exit;
    size_t m_stopHandlersLeft = 0; // on the control thread
    std::vector<std::thread> m_threads;
    std::future<void> m_controlEnded;
};

// Section: starting

Node::Implementation::Implementation(const settings::ProcessSettings &processSettings,
                                     std::string programName, const NodeOptions &nodeOptions)
    : settings(processSettings)
    , program(std::move(programName))
    , options(nodeOptions)
    , dump(control, traffic)
    , pages(dump, readiness, metrics)
    , listeners(metrics)
    , supervisor(supervisor::Supervisor::create(program, supervisor::createScheduler(control),
                                                options.restarts))
    , m_controlDelay(metrics.histogram("cwl_control_delay_seconds",
                                       "Delay of a periodic step of the control thread."))
{
    dump.add("process", [this] { return processState(); });
    dump.add("supervisor", [this] { return supervisor->state(); });
    dump.add("traffic", trafficState);
    dump.add("metrics", [this] { return metrics.state(); });
}

absl::Status Node::Implementation::open()
{
    const absl::StatusOr<log::Level> level = log::levelFromName(settings.logLevel);
    if (!level.ok())
        return level.status();
    log::setStream(log::Stream::Output);
    log::setLevel(*level);
    absl::StatusOr<std::unique_ptr<http::Server>> opened =
            http::Server::create(traffic,
                                 {.address = settings.address,
                                  .port = settings.httpPort,
                                  .refusalHeaders = options.refusalHeaders},
                                 [this](http::Request request, const http::Responder &respond) {
                                     handle(std::move(request), respond);
                                 });
    if (!opened.ok())
        return opened.status();
    server = *std::move(opened);
    listeners.add("members", *server);
    // A write to a connection that the peer closed is an error of that write, not
    // of the process.
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP})
        m_signals.add(signal);
    awaitSignal();
    startThreads();
    return absl::OkStatus();
}

void Node::Implementation::startThreads()
{
    std::promise<void> ended;
    m_controlEnded = ended.get_future();
    m_threads.emplace_back([this, ended = std::move(ended)]() mutable {
        runThread(control, "control");
        ended.set_value();
    });
    for (int64_t thread = 0; thread < settings.trafficThreads; ++thread)
        m_threads.emplace_back([this] { runThread(traffic, "traffic"); });
}

ExitCode Node::Implementation::run()
{
    m_isRunning = true;
    log::info("process_started",
              {{"program", program},
               {"instance", settings.instance.value()},
               {"http_port", server->port()}});
    asio::post(control, [this] {
        evaluateGates(BootClock::now());
        supervisor->start([this](const absl::Status &status) {
            log::error("supervisor_failed", {{"error", status}});
            m_exitCode = ExitCode::SupervisorFailed;
            beginStop("supervisor_failed");
        });
    });
    const ExitCode code = m_exit.get_future().get();
    endThreads();
    log::info("process_ended", {{"program", program}, {"exit_code", static_cast<int>(code)}});
    return code;
}

// Also ends the threads' use of objects that the program destroys after run().
void Node::Implementation::endThreads()
{
    if (m_threads.empty())
        return;
    traffic.stop();
    control.stop();
    if (m_controlEnded.wait_for(threadEndLimit) != std::future_status::ready) {
        log::error("control_thread_stuck", {{"limit_s", threadEndLimit.count()}});
        log::finish();
        std::_Exit(static_cast<int>(ExitCode::Failure));
    }
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

// Section: HTTP

void Node::Implementation::handle(http::Request request, const http::Responder &respond)
{
    if (!m_isRunning)
        return respond(refusal(
                503,
                makeError(Failure::NotReady, "the process is starting", {.retryAfterMs = 500})));
    const std::string path = request.path;
    try {
        if (pages.handle(request, respond))
            return;
        if (const http::Handler *handler = findRoute(path))
            return (*handler)(std::move(request), respond);
    } catch (const std::exception &exception) {
        log::error("handler_exception", {{"path", path}, {"what", exception.what()}});
        return respond(errorResponse(500, makeError(Failure::Internal, exception.what())));
    }
    respond(refusal(404,
                    makeError(Failure::UnknownMethod, "no such path: " + path, {.field = "path"})));
}

http::Response Node::Implementation::refusal(int status, const absl::Status &error) const
{
    http::Response response = errorResponse(status, error);
    for (const auto &[name, value] : options.refusalHeaders.all())
        response.headers.set(name, value);
    return response;
}

const http::Handler *Node::Implementation::findRoute(const std::string &path) const
{
    const std::pair<std::string, http::Handler> *best = nullptr;
    for (const auto &route : routes) {
        if (path.starts_with(route.first) && (!best || route.first.size() > best->first.size()))
            best = &route;
    }
    return best ? &best->second : nullptr;
}

// Section: readiness and state

void Node::Implementation::evaluateGates(TimePoint due)
{
    const TimePoint now = BootClock::now();
    m_controlDelay.observe(now - due);
    readiness.evaluate(now);
    listeners.report(now);
    const TimePoint next = now + gateInterval;
    m_gateTimer.expires_at(next);
    m_gateTimer.async_wait([this, next](boost::system::error_code error) {
        if (!error)
            evaluateGates(next);
    });
}

Json::Value Node::Implementation::processState() const
{
    const TimePoint now = BootClock::now();
    Json::Value state;
    state["program"] = program;
    state["instance"] = settings.instance.value();
    state["dataCentre"] = settings.dataCentre.value();
    state["upMs"] = Json::Int64(std::chrono::duration_cast<milliseconds>(now - m_started).count());
    state["logLevel"] = log::levelName(log::level());
    state["httpConnections"] = Json::UInt64(server->connections());
    state["readiness"] = readiness.state(now);
    return state;
}

void Node::Implementation::logState()
{
    dump.collect([](const StateDump::Texts &texts) {
        for (const auto &[name, text] : texts)
            log::event(log::Level::Error, "state_" + name, {{"json", log::Whole{text}}});
    });
}

// Section: signals and stopping

void Node::Implementation::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        onSignal(signal);
        awaitSignal();
    });
}

void Node::Implementation::onSignal(int signal)
{
    if (signal == SIGUSR1)
        return logState();
    if (signal == SIGHUP) {
        // Settings of a process hold for its life; what may change while it runs is in the store.
        log::info("reload", {{"settings", "unchanged"}});
        return;
    }
    beginStop(signal == SIGTERM ? "sigterm" : "sigint");
}

void Node::Implementation::beginStop(const std::string &reason)
{
    // Kept on a traffic thread, since a stalled control thread must not hold the process up.
    asio::post(control, [this, reason] {
        if (readiness.isStopping())
            return log::info("stop_under_way", {{"reason", reason}});
        readiness.setStopping();
        log::info("stop_began", {{"reason", reason}});
        runStopHandlers();
    });
    asio::post(traffic, [this] {
        if (m_isDeadlineSet.exchange(true))
            return;
        m_stopTimer.expires_at(BootClock::now() + options.stopDeadline);
        m_stopTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            log::error("stop_deadline_passed", {{"deadline", options.stopDeadline}});
            ExitCode success = ExitCode::Success;
            m_exitCode.compare_exchange_strong(success, ExitCode::Failure);
            finish(m_exitCode);
        });
    });
}

void Node::Implementation::runStopHandlers()
{
    m_stopHandlersLeft = stopHandlers.size();
    if (stopHandlers.empty())
        return stopChildren();
    for (const auto &handler : stopHandlers) {
        const auto isDone = std::make_shared<std::atomic<bool>>(false);
        handler([this, isDone] {
            if (!isDone->exchange(true))
                asio::post(control, [this] { stopHandlerDone(); });
        });
    }
}

void Node::Implementation::stopHandlerDone()
{
    --m_stopHandlersLeft;
    if (m_stopHandlersLeft == 0)
        stopChildren();
}

void Node::Implementation::stopChildren()
{
    supervisor->stop([this] {
        server->stopAccepting();
        drain();
    });
}

// Waits for the answers that are still being written.
void Node::Implementation::drain()
{
    if (server->connections() == 0)
        return finish(m_exitCode);
    m_drainTimer.expires_at(BootClock::now() + drainInterval);
    m_drainTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            drain();
    });
}

void Node::Implementation::finish(ExitCode code)
{
    if (!m_isFinished.exchange(true))
        m_exit.set_value(code);
}

// Section: public interface

absl::StatusOr<std::unique_ptr<Node>> Node::create(const settings::ProcessSettings &settings,
                                                   const std::string &program,
                                                   const NodeOptions &options)
{
    auto implementation = std::make_unique<Implementation>(settings, program, options);
    const absl::Status opened = implementation->open();
    if (!opened.ok())
        return opened;
    return std::unique_ptr<Node>(new Node(std::move(implementation)));
}

Node::Node(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Node::~Node() = default;

asio::io_context &Node::controlContext()
{
    return m_implementation->control;
}

asio::io_context &Node::trafficContext()
{
    return m_implementation->traffic;
}

uint16_t Node::httpPort() const
{
    return m_implementation->server->port();
}

void Node::route(const std::string &prefix, http::Handler handler)
{
    m_implementation->routes.emplace_back(prefix, std::move(handler));
}

void Node::addState(const std::string &section, std::function<Json::Value()> state)
{
    m_implementation->dump.add(section, std::move(state));
}

void Node::addReadyGate(const std::string &name, std::function<bool()> gate)
{
    m_implementation->readiness.addGate(name, std::move(gate));
}

bool Node::isReady() const
{
    return m_implementation->readiness.isReady(BootClock::now());
}

supervisor::Supervisor &Node::supervisor()
{
    return *m_implementation->supervisor;
}

void Node::watch(const std::string &listener, const http::Server &server)
{
    m_implementation->listeners.add(listener, server);
}

metrics::Registry &Node::metrics()
{
    return m_implementation->metrics;
}

void Node::onStop(std::function<void(std::function<void()>)> handler)
{
    m_implementation->stopHandlers.push_back(std::move(handler));
}

void Node::stop()
{
    m_implementation->beginStop("requested");
}

ExitCode Node::run()
{
    return m_implementation->run();
}

} // namespace cwl::node
