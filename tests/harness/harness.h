// The frame of a test with real processes: a temporary folder, ports, and processes that all end
// with it.

#pragma once

#include "harness/call.h"
#include "harness/ports.h"
#include "harness/process.h"

#include <json/value.h>

#include <memory>
#include <string>
#include <vector>

namespace cwl::harness {

class Harness
{
public:
    Harness();  // throws std::runtime_error if no temporary folder can be made
    ~Harness(); // ends every process, then removes the folder unless CWL_KEEP_LOGS is set

    Harness(const Harness &) = delete;
    Harness &operator=(const Harness &) = delete;

    const std::string &folder() const { return m_folder; }
    Ports &ports() { return m_ports; }

    // Starts a program of this build's bin folder under a unique `name`; throws std::runtime_error
    // if it cannot.
    Process &start(const std::string &name, const std::string &program,
                   const std::vector<std::string> &arguments);

    // The same, and waits for its ready line; throws with its log if it does not come.
    Process &startReady(const std::string &name, const std::string &program,
                        const std::vector<std::string> &arguments, std::vector<uint16_t> &ports);

    // Ends the process at once and forgets it.
    void end(Process &process);

    // Writes a JSON file into the folder; returns its path.
    std::string writeFile(const std::string &name, const Json::Value &content) const;

    const std::vector<std::unique_ptr<Process>> &processes() const { return m_processes; }

    // Names and last log lines of all processes, for the message of a failed test.
    std::string logs(size_t bytesEach = 2000) const;

private:
    std::string m_folder;
    Ports m_ports;
    std::vector<std::unique_ptr<Process>> m_processes;
    int m_started = 0;
};

// The folder of the running test program, which holds all programs of the build.
std::string binFolder();

} // namespace cwl::harness
