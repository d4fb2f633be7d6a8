// Members of the cell as processes of the deployed program, beside the stand-ins of the platform.

#pragma once

#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review {

struct MemberOptions
{
    int memoryMb = 260;
    int maxFds = 4100;
};

class Member
{
public:
    Member(Record &record, const std::string &program, const std::string &folder, int number,
           uint16_t store, const MemberOptions &options)
        : m_record(record)
        , m_program(program)
        , m_name("edge-" + std::to_string(number))
        , m_settings(folder + "/" + m_name + ".json")
        , m_log(folder + "/" + m_name + ".log")
        , m_callers(freePort())
        , m_readiness(freePort())
    {
        // The fields of deploy/cell.json.in, but for the metrics port, which is 0 (off) here.
        std::ofstream(m_settings)
                << "{\"instance\": \"" << m_name
                << "\", \"dataCentre\": \"zone-a\", \"region\": \"region-a\", \"address\": "
                << "\"127.0.0.1\", \"membersPort\": " << freePort()
                << ", \"callersAddress\": \"127.0.0.1:" << m_callers
                << "\", \"readinessAddress\": \"127.0.0.1:" << m_readiness
                << "\", \"platform\": \"127.0.0.1:" << store
                << "\", \"coreShare\": 0.25, \"maxDescriptors\": " << options.maxFds
                << ", \"memoryMb\": " << options.memoryMb
                << ", \"maxLeaseMs\": 6000, \"stopGraceMs\": 6000}\n";
    }
    ~Member() { end(); }

    const std::string &name() const { return m_name; }
    uint16_t callers() const { return m_callers; }

    bool start()
    {
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this process
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("CARAWAYLEDGE_CONFIG", m_settings.c_str(), 1);
            ::execl(m_program.c_str(), m_program.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        m_pid = child;
        return child > 0;
    }

    // SIGKILL, and waits for the end.
    void end()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    // True if the process has ended by itself; then it is gone.
    bool hasEnded()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = -1;
        return m_pid <= 0;
    }

    bool isReady() const
    {
        return call(m_readiness, "GET", "/v1/readyz", "ready", "", 500).status == 200;
    }

private:
    Record &m_record;
    const std::string m_program;
    const std::string m_name;
    const std::string m_settings;
    const std::string m_log;
    const uint16_t m_callers;
    const uint16_t m_readiness;
    pid_t m_pid = -1;
};

struct Queue
{
    std::string name;
    std::string prefix;
    std::string service;
    int priority = 0;
    int maxAttempts = 3;
    double slowdownFactor = 1.5;
    int targetLatencyMs = 250;
};

constexpr const char *host = "draws.example";

inline std::string configuration(const std::vector<Queue> &queues)
{
    Json::Value config;
    config["version"] = 3;
    std::set<std::string> services;
    for (const Queue &queue : queues) {
        Json::Value route;
        route["name"] = queue.name;
        route["host"] = host;
        route["pathPrefix"] = queue.prefix;
        route["kind"] = "non_idempotent";
        route["timeoutMs"] = 3000;
        route["targetLatencyMs"] = queue.targetLatencyMs;
        route["priority"] = queue.priority;
        route["service"] = queue.service;
        route["maxAttempts"] = queue.maxAttempts;
        route["slowdownFactor"] = queue.slowdownFactor;
        config["routes"].append(route);
        services.insert(queue.service);
    }
    for (const std::string &name : services) {
        Json::Value service;
        service["name"] = name;
        service["preconditions"] = false;
        config["services"].append(service);
    }
    config["limits"]["maxBodyBytes"] = 262144;
    return toText(config);
}

class Deployment
{
public:
    Deployment(Record &record, std::string program, const std::vector<Queue> &queues)
        : store(record)
        , m_record(record)
        , m_program(std::move(program))
    {
        m_folder = std::filesystem::temp_directory_path().string() + "/cellreview-XXXXXX";
        if (!::mkdtemp(m_folder.data()))
            m_folder.clear();
        store.put("op", "config", configuration(queues));
    }

    // Ends the processes. The stand-ins' threads go on until this process exits, so a deployment is
    // never destroyed.
    void close()
    {
        for (const auto &member : members)
            member->end();
        if (std::getenv("KEEP_LOGS") == nullptr && !m_folder.empty())
            std::filesystem::remove_all(m_folder);
    }

    void addRunner(const RunnerOptions &options)
    {
        runners.push_back(std::make_unique<Runner>(m_record, options));
    }

    // Starts the members and the runners' heartbeats, and waits until all members are ready.
    bool open(int count, const MemberOptions &options = {})
    {
        if (m_folder.empty() || store.port() == 0)
            return false;
        heartbeat();
        std::thread([this] {
            for (;;) {
                sleepMs(1500); // heartbeatMs
                heartbeat();
            }
        }).detach();
        for (int number = 1; number <= count; ++number) {
            members.push_back(std::make_unique<Member>(m_record, m_program, m_folder, number,
                                                       store.port(), options));
            if (!members.back()->start())
                return false;
        }
        const int64_t until = steadyMs() + 15000;
        for (const auto &member : members) {
            while (!member->isReady()) {
                if (member->hasEnded() || steadyMs() > until) {
                    m_record.add(member->name() + " is not ready");
                    return false;
                }
                sleepMs(50);
            }
        }
        m_record.add(std::to_string(count) + " members are ready");
        sleepMs(3000); // the first owner is found, and has read the runners
        return true;
    }

    // A client's call of the next member in turn; recorded.
    Response send(const std::string &method, const std::string &target, const std::string &body,
                  const std::string &note = {})
    {
        Member &member = *members[m_next++ % members.size()];
        const Response response = call(member.callers(), method, target, host, body, 3000);
        m_record.add(method + " " + target + " to " + member.name()
                     + (note.empty() ? "" : " (" + note + ")") + ": "
                     + (response.status == 0 ? "no answer" : std::to_string(response.status))
                     + (response.body.empty() ? "" : " " + response.body.substr(0, 100)));
        return response;
    }

    // As a client does: after no answer, 502, 503 or 504 the request is sent again.
    bool submit(const std::string &target, const std::string &body, const std::string &note = {})
    {
        for (int attempt = 0; attempt < 5; ++attempt) {
            const int status = send("POST", target, body, note).status;
            if (status >= 200 && status < 300)
                return true;
            sleepMs(300);
        }
        return false;
    }

    std::string stateOf(const std::string &target)
    {
        for (int attempt = 0; attempt < 5; ++attempt) {
            const Response response = send("GET", target, "");
            if (response.status == 200)
                return fromText(response.body)["state"].asString();
            sleepMs(300);
        }
        return "unknown";
    }

    Store store;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Member>> members;

private:
    void heartbeat()
    {
        for (const auto &runner : runners)
            store.put("servers", runner->options().id, runner->entry());
    }

    Record &m_record;
    const std::string m_program;
    std::string m_folder;
    std::atomic<size_t> m_next = 0;
};

// An id of 16 hexadecimal digits.
inline std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", 0x5c0e7a21U + unsigned(number) * 2654435761U,
                  unsigned(number));
    return text;
}

} // namespace review
