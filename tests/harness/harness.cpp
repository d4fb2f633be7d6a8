#include "harness/harness.h"

#include "base/json.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace cwl::harness {

namespace fs = std::filesystem;

Harness::Harness()
{
    std::string pattern = (fs::temp_directory_path() / "cwl-test-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot make a folder like " + pattern);
    m_folder = pattern;
}

Harness::~Harness()
{
    // All are killed before any is waited for.
    for (const auto &process : m_processes)
        process->kill();
    m_processes.clear();
    if (std::getenv("CWL_KEEP_LOGS") != nullptr) {
        std::cerr << "logs are in " << m_folder << std::endl;
        return;
    }
    std::error_code ignored;
    fs::remove_all(m_folder, ignored);
}

Process &Harness::start(const std::string &name, const std::string &program,
                        const std::vector<std::string> &arguments)
{
    auto process = Process::start({.name = name + "." + std::to_string(m_started++),
                                   .program = binFolder() + "/" + program,
                                   .arguments = arguments,
                                   .folder = m_folder});
    if (!process.ok())
        throw std::runtime_error(std::string(process.status().message()));
    m_processes.push_back(*std::move(process));
    return *m_processes.back();
}

Process &Harness::startReady(const std::string &name, const std::string &program,
                             const std::vector<std::string> &arguments,
                             std::vector<uint16_t> &ports)
{
    Process &process = start(name, program, arguments);
    auto ready = process.waitForReadyLine(patience());
    if (!ready.ok())
        throw std::runtime_error(std::string(ready.status().message()));
    ports = *std::move(ready);
    return process;
}

void Harness::end(Process &process)
{
    std::erase_if(m_processes, [&](const auto &each) { return each.get() == &process; });
}

std::string Harness::writeFile(const std::string &name, const Json::Value &content) const
{
    const std::string path = m_folder + "/" + name;
    std::ofstream(path) << writeJsonIndented(content) << '\n';
    return path;
}

std::string Harness::logs(size_t bytesEach) const
{
    std::string result;
    for (const auto &process : m_processes) {
        const std::string log = process->log();
        const size_t start = log.size() > bytesEach ? log.size() - bytesEach : 0;
        result += "--- " + process->name() + "\n" + log.substr(start);
    }
    return result;
}

std::string binFolder()
{
    return fs::read_symlink("/proc/self/exe").parent_path().string();
}

} // namespace cwl::harness
