// Runs a workload of requests, jobs and changes of settings on a cell of real processes while
// failures drawn by a seed happen, and checks all promises at the end. Exit code 0 if all held.

#include "base/json.h"
#include "integration/callers.h"
#include "integration/faultplayer.h"
#include "integration/jobs.h"
#include "integration/operators.h"

#include <docopt/docopt.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace {

using namespace cwl;
using namespace cwl::integration;

constexpr const char *usage = R"(Runs a workload under random failures and checks all promises.

Usage:
  soak [--seconds N] [--seed S] [--schedule FILE]
  soak --help

Options:
  --seconds N      length of the workload [default: 20]
  --seed S         seed of the failures and the workload [default: 1]
  --schedule FILE  failures to play instead of drawing them, as printed by an earlier run
)";

// What was submitted, and what the answers promised.
class JobStream
{
public:
    JobStream(Cell &cell, uint64_t seed)
        : m_cell(cell)
        , m_generator(seed)
        , m_thread([this] { run(); })
    {
    }
    ~JobStream() { stop(); }

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    void cancelNewest()
    {
        std::string id;
        {
            const std::lock_guard lock(m_mutex);
            if (m_accepted.empty())
                return;
            id = m_accepted.rbegin()->first;
            m_accepted.erase(id); // whether it ends as done or as cancelled is open
        }
        callSchedulers(m_cell, "DELETE", "/v1/jobs/" + id, {}, 0, BootClock::now() + seconds(3));
    }

    // Ids of jobs that were accepted as durable and not cancelled.
    std::map<std::string, int> accepted() const
    {
        const std::lock_guard lock(m_mutex);
        return m_accepted;
    }

private:
    void run()
    {
        for (int number = 0; !m_isStopping; ++number) {
            std::ostringstream id;
            id << "job-" << 10000 + number;
            const bool isGang = m_generator() % 5 == 0;
            const int count = isGang ? 3 : 1 + int(m_generator() % 12);
            const Json::Value job = makeJob(id.str(), isGang ? "gang" : "batch", count,
                                            100 + int(m_generator() % 900));
            if (isGang)
                m_cell.expectGang(id.str(), count);
            const auto answer =
                    callSchedulers(m_cell, "POST", "/v1/jobs", job, size_t(m_generator() % 3),
                                   BootClock::now() + seconds(10));
            // A job that is not durable yet may be lost with its owner.
            if (answer.status == 200 && answer.body["durable"].asBool()) {
                const std::lock_guard lock(m_mutex);
                m_accepted[id.str()] = count;
            }
            harness::waitUntil(BootClock::now() + milliseconds(300),
                               [this] { return m_isStopping.load(); });
        }
    }

    Cell &m_cell;
    std::mt19937_64 m_generator;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex; // guards m_accepted
    std::map<std::string, int> m_accepted;
    std::thread m_thread; // last: it uses the others
};

class Soak
{
public:
    Soak(const ScheduleOptions &options, const std::vector<ScheduledFault> &schedule)
        : m_options(options)
        , m_schedule(schedule)
        , m_cell({.instances = options.instances,
                  .schedulers = true,
                  .proxyRpc = true,
                  .endpoints = int64_t(options.endpoints),
                  .workers = int64_t(options.workers)})
    {
    }

    std::string run(); // what was broken; empty if nothing

private:
    void changeSettings();
    void fail(const std::string &problem) { m_violations += problem + "\n"; }
    void checkRequests(Callers &callers);
    void checkJobs(const JobStream &jobs);
    void checkSettings(VersionWatch &watch);

    std::vector<std::string> allAddresses()
    {
        std::vector<std::string> result = m_cell.entryAddresses();
        for (const std::string &address : m_cell.schedulerAddresses())
            result.push_back(address);
        return result;
    }

    ScheduleOptions m_options;
    std::vector<ScheduledFault> m_schedule;
    Cell m_cell;
    std::string m_violations;
    int64_t m_version = 1; // newest that was accepted
    int m_changes = 0;
};

std::string Soak::run()
{
    Callers callers(m_cell.entryAddresses(), {.deadlineMs = 2000, .seed = m_options.seed});
    JobStream jobs(m_cell, m_options.seed);
    VersionWatch watch(allAddresses());
    FaultPlayer player(m_cell,
                       {.changeSettings = [this] { changeSettings(); },
                        .cancelJob = [&jobs] { jobs.cancelNewest(); },
                        .failed = [this](const std::string &problem) { fail(problem); }});
    player.play(m_schedule);
    for (const std::string &address : allAddresses()) {
        if (!harness::waitForReady(address, BootClock::now() + seconds(60)))
            fail(address + " is not ready at the end\n" + m_cell.logs());
    }
    jobs.stop();
    checkSettings(watch);
    checkJobs(jobs);
    checkRequests(callers);
    return m_violations;
}

// One try: a refusal is an answer, and an unknown outcome is settled by a later change.
void Soak::changeSettings()
{
    const std::string name = "soak-" + std::to_string(++m_changes);
    const auto answer =
            putTeam(m_cell.scheduler(size_t(m_changes) % m_options.instances).httpAddress(), name,
                    std::max(m_version, storedVersion(m_cell)), teamText(name));
    if (answer.status == 200)
        m_version = std::max(m_version, answer.body["version"].asInt64());
}

void Soak::checkSettings(VersionWatch &watch)
{
    if (storedVersion(m_cell) < m_version)
        fail("an accepted change of settings was lost (P8)");
    if (!waitForVersion(allAddresses(), storedVersion(m_cell)))
        fail("a process does not have the newest settings (P8)\n" + m_cell.logs());
    const std::string backward = watch.stop();
    if (!backward.empty())
        fail(backward + "settings went back (P8)");
}

void Soak::checkJobs(const JobStream &jobs)
{
    for (const auto &[id, count] : jobs.accepted()) {
        const int expected = count;
        Json::Value last;
        const bool isDone = waitForJob(
                m_cell, id,
                [&](const Json::Value &job) {
                    last = job;
                    return job["succeeded"].asInt() == expected;
                },
                seconds(100));
        if (!isDone)
            fail("job " + id + " was accepted and is not done: " + writeJson(last) + "\n"
                 + m_cell.logs());
    }
    const std::string violations = placementViolations(m_cell);
    if (!violations.empty())
        fail("the workers' judgement (P1, P2): " + violations);
    std::cerr << "jobs accepted: " << jobs.accepted().size()
              << ", starts: " << m_cell.judgements()["starts"].asInt64() << std::endl;
}

void Soak::checkRequests(Callers &callers)
{
    if (!callers.waitForAnswers(50))
        fail("requests are not served at the end\n" + m_cell.logs());
    callers.stop();
    const std::string violations = requestViolations(m_cell, callers.records());
    if (!violations.empty())
        fail("requests (P3, P4, P5):\n" + violations);
    std::cerr << "requests: " << callers.records().size() << "\n" << callers.summary();
}

std::vector<ScheduledFault> readSchedule(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto value = parseJson(text.str());
    if (!file || !value.ok())
        throw std::runtime_error(path + " is no schedule");
    return scheduleFromJson(*value);
}

int runSoak(const std::map<std::string, docopt::value> &arguments)
{
    ScheduleOptions options;
    options.lengthMs = std::stoll(arguments.at("--seconds").asString()) * 1000;
    options.seed = std::stoull(arguments.at("--seed").asString());
    const std::vector<ScheduledFault> schedule = arguments.at("--schedule")
            ? readSchedule(arguments.at("--schedule").asString())
            : makeSchedule(options);
    std::cout << "seed " << options.seed << "\nschedule " << writeJson(toJson(schedule))
              << std::endl;
    Soak soak(options, schedule);
    const std::string violations = soak.run();
    std::cout << (violations.empty() ? "all promises were kept" : violations) << std::endl;
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runSoak(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << "\n";
        return 2;
    }
}
