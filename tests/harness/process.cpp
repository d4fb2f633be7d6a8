#include "harness/process.h"

#include "base/error.h"
#include "harness/call.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <ctime>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace cwl::harness {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Signals start unblocked and with their default action, whatever the test program has set.
void setCleanSignals(posix_spawnattr_t &attributes)
{
    sigset_t all;
    sigset_t none;
    sigfillset(&all);
    sigdelset(&all, SIGKILL);
    sigdelset(&all, SIGSTOP);
    sigemptyset(&none);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF | POSIX_SPAWN_SETSIGMASK);
}

void redirect(posix_spawn_file_actions_t &actions, int descriptor, const std::string &path)
{
    posix_spawn_file_actions_addopen(&actions, descriptor, path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
}

} // namespace

absl::StatusOr<std::unique_ptr<Process>> Process::start(const ProcessOptions &options)
{
    std::vector<std::string> texts{options.program};
    texts.insert(texts.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char *> arguments;
    for (std::string &text : texts)
        arguments.push_back(text.data());
    arguments.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    redirect(actions, STDOUT_FILENO, options.folder + "/" + options.name + ".out");
    redirect(actions, STDERR_FILENO, options.folder + "/" + options.name + ".log");
    // An inherited listening socket would keep its port in use after this process has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    setCleanSignals(attributes);
    pid_t pid = 0;
    const int problem = ::posix_spawn(&pid, options.program.c_str(), &actions, &attributes,
                                      arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    if (problem != 0)
        return makeError(Failure::Internal,
                         "cannot start " + options.program + ": " + std::strerror(problem));
    return std::unique_ptr<Process>(new Process(options, pid));
}

Process::Process(ProcessOptions options, pid_t pid)
    : m_options(std::move(options))
    , m_pid(pid)
{
}

Process::~Process()
{
    kill();
    while (!reap())
        std::this_thread::sleep_for(milliseconds(1));
}

absl::StatusOr<std::vector<uint16_t>> Process::waitForReadyLine(TimePoint deadline)
{
    std::string line;
    const auto isReady = [&] {
        std::istringstream text(output());
        while (std::getline(text, line)) {
            if (line.starts_with("ready") && !text.eof())
                return true;
        }
        return false;
    };
    const bool hasEnded = waitUntil(deadline, [&] { return isReady() || !isRunning(); });
    if (!isReady())
        return makeError(hasEnded ? Failure::ConnectionLost : Failure::Timeout,
                         name() + " is not ready; its log ends: " + log());
    std::istringstream words(line.substr(std::strlen("ready")));
    std::vector<uint16_t> ports;
    for (uint16_t port = 0; words >> port;)
        ports.push_back(port);
    return ports;
}

// Section: signals

bool Process::reap()
{
    if (m_exitCode >= 0)
        return true;
    int status = 0;
    const pid_t ended = ::waitpid(m_pid, &status, WNOHANG);
    if (ended == 0)
        return false;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
}

// A pid that was reaped may belong to another process by now, so it gets no signal.
void Process::signal(int number)
{
    if (!reap())
        ::kill(m_pid, number);
}

bool Process::isRunning()
{
    return !reap();
}

void Process::kill()
{
    signal(SIGKILL);
}

void Process::pause()
{
    signal(SIGSTOP);
}

void Process::resume()
{
    signal(SIGCONT);
}

void Process::terminate()
{
    signal(SIGTERM);
}

void Process::dumpState()
{
    signal(SIGUSR1);
}

absl::StatusOr<int> Process::waitForExit(TimePoint deadline)
{
    if (!waitUntil(deadline, [this] { return reap(); }))
        return makeError(Failure::Timeout, name() + " has not ended");
    return m_exitCode;
}

// Section: what it left

std::string Process::output() const
{
    return readFile(m_options.folder + "/" + m_options.name + ".out");
}

std::string Process::log() const
{
    // Long-running programs log to standard output; what they say before that goes to the other.
    return readFile(m_options.folder + "/" + m_options.name + ".log")
            + readFile(m_options.folder + "/" + m_options.name + ".out");
}

// The process's clock counts nanoseconds; /proc/<pid>/stat counts in steps of 10 ms, which is 0.25%
// of a core over a window of 4 s.
Duration Process::processorTime() const
{
    clockid_t clock = 0;
    timespec time = {};
    if (::clock_getcpuclockid(m_pid, &clock) != 0 || ::clock_gettime(clock, &time) != 0)
        return Duration::zero();
    return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

int64_t Process::residentBytes() const
{
    std::istringstream fields(readFile("/proc/" + std::to_string(m_pid) + "/statm"));
    int64_t total = 0;
    int64_t resident = 0;
    fields >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

} // namespace cwl::harness
