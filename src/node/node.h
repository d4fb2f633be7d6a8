// What every process of the system shares: threads, logs, supervisor, admin HTTP, signals.

#pragma once

#include "base/exitcode.h"
#include "http/server.h"
#include "settings/processsettings.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace cwl::node {

using cwl::ExitCode;

// The frame of one process. Routes registered here share the process's HTTP port with /healthz,
// /readyz, /metrics and /state.
class Node
{
public:
    // Opens the HTTP port and starts the threads: one for control state, `trafficThreads` for
    // traffic.
    static absl::StatusOr<std::unique_ptr<Node>> create(const settings::ProcessSettings &settings,
                                                        const std::string &program);
    ~Node();

    boost::asio::io_context &controlContext(); // run by one thread: control state lives here
    boost::asio::io_context &trafficContext(); // run by the traffic threads

    // Requests whose path starts with `prefix` go to `handler`, on a traffic thread. Register
    // before run().
    void route(const std::string &prefix, http::Handler handler);

    // Adds a section to the state dump. `state` runs on the control thread and must be quick.
    void addState(const std::string &section, std::function<Json::Value()> state);

    // The process is ready when every gate that was added returns true (called on the control
    // thread).
    void addReadyGate(const std::string &name, std::function<bool()> gate);
    bool isReady() const; // any thread

    // Called on the control thread on the first SIGTERM or SIGINT; the process exits when `done` is
    // called or after the stop deadline of 40 s.
    void onStop(std::function<void(std::function<void()> done)> handler);

    // Blocks until the process is to end; returns its exit code.
    ExitCode run();

private:
    class Implementation;
    explicit Node(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cwl::node
