// One process of a test: started by its binary's path, signalled and ended by its pid.

#pragma once

#include "base/clock.h"

#include <absl/status/statusor.h>

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cwl::harness {

struct ProcessOptions
{
    std::string name;    // names the log files; unique in the folder
    std::string program; // path of the binary
    std::vector<std::string> arguments = {};
    std::string folder; // existing; receives <name>.out and <name>.log
};

class Process
{
public:
    // Error: Internal if the program cannot be started.
    static absl::StatusOr<std::unique_ptr<Process>> start(const ProcessOptions &options);
    ~Process(); // kills the process if it still runs, and waits for its end

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    const std::string &name() const { return m_options.name; }
    pid_t pid() const { return m_pid; }

    // The ports of the line "ready <ports>". Errors: Timeout, ConnectionLost if the process ended.
    absl::StatusOr<std::vector<uint16_t>> waitForReadyLine(TimePoint deadline);

    bool isRunning();
    void kill();      // SIGKILL
    void pause();     // SIGSTOP
    void resume();    // SIGCONT
    void terminate(); // SIGTERM: a graceful end is asked for
    void dumpState(); // SIGUSR1

    // The exit code, or 128 plus the number of the signal that ended it. Error: Timeout.
    absl::StatusOr<int> waitForExit(TimePoint deadline);

    std::string output() const; // standard output so far
    std::string log() const;    // standard error so far

    // Use of the machine so far; zero once the process has ended.
    Duration processorTime() const;
    int64_t residentBytes() const;

private:
    Process(ProcessOptions options, pid_t pid);
    void signal(int number);
    bool reap();

    ProcessOptions m_options;
    pid_t m_pid;
    int m_exitCode = -1; // -1 while it runs
};

} // namespace cwl::harness
