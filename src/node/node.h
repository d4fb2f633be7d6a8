// What every process of the system shares: threads, logs, supervisor, admin HTTP, signals.

#pragma once

#include "base/exitcode.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "settings/processsettings.h"
#include "supervisor/supervisor.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace cwl::node {

using cwl::ExitCode;

// Section: limits

constexpr Duration stateDeadline = seconds(1);   // for a section of the state dump
constexpr size_t maxSectionBytes = 256UL * 1024; // a larger section is reported by its size only
constexpr size_t maxStateBytes = 1024UL * 1024;  // of all sections together

struct NodeOptions
{
    Duration stopDeadline = seconds(39);     // so that the process has exited within 40 s
    supervisor::RestartPolicy restarts = {}; // of the root's children
    http::Headers refusalHeaders = {};       // added to answers given before any handler runs
};

// The frame of one process. Routes registered here share the process's HTTP port with /healthz,
// /readyz, /metrics and /state.
class Node
{
public:
    // Opens the HTTP port and starts the threads: one for control state, `trafficThreads` for
    // traffic. Until run(), requests are answered with not_ready. Errors: AddressInUse,
    // InvalidValue.
    static absl::StatusOr<std::unique_ptr<Node>> create(const settings::ProcessSettings &settings,
                                                        const std::string &program,
                                                        const NodeOptions &options = {});
    ~Node(); // ends the threads

    boost::asio::io_context &controlContext(); // run by one thread: control state lives here
    boost::asio::io_context &trafficContext(); // run by the traffic threads
    uint16_t httpPort() const;

    // Requests whose path starts with `prefix` go to `handler`, on a traffic thread. The longest
    // matching prefix wins. Register before run().
    void route(const std::string &prefix, http::Handler handler);

    // Adds a section to the state dump. `state` runs on the control thread and must be quick.
    // Register before run().
    void addState(const std::string &section, std::function<Json::Value()> state);

    // The process is ready when every gate that was added returns true (called on the control
    // thread). Register before run().
    void addReadyGate(const std::string &name, std::function<bool()> gate);
    bool isReady() const; // any thread; as of the last 100 ms

    // Root of the supervisor tree. Add children before run(), which starts them on the control
    // thread; when the root fails, the process ends with SupervisorFailed.
    supervisor::Supervisor &supervisor();

    // Exports the limits of a server besides the node's own. Register before
    // run(); the server must exist until run() returns.
    void watch(const std::string &listener, const http::Server &server);

    metrics::Registry &metrics(); // exported at /metrics; any thread

    // Called on the control thread on the first SIGTERM or SIGINT; the process exits when `done` is
    // called or after the stop deadline of 40 s. With several handlers, all must be done. The
    // supervisor's children are stopped after that. Register before run().
    void onStop(std::function<void(std::function<void()> done)> handler);

    // Begins the same stop as SIGTERM. Any thread.
    void stop();

    // Blocks until the process is to end; returns its exit code: Success after a complete stop,
    // Failure when the stop deadline passed, SupervisorFailed.
    ExitCode run();

private:
    class Implementation;
    explicit Node(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cwl::node
