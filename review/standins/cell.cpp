#include "cell.h"

#include "base/json.h"
#include "caller.h"

#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review {

namespace {

// The command of the deploy file, from the root of the repository.
constexpr const char *program = "target/bin/cwl-cell";

const char *const configuration = R"({"version":3,
    "routes":[{"name":"r1","host":"draws.example","pathPrefix":"/draw/","kind":"non_idempotent",
        "timeoutMs":3000,"targetLatencyMs":250,"priority":1,"service":"draw","maxAttempts":3,
        "slowdownFactor":1.5}],
    "services":[{"name":"draw","preconditions":false}],
    "limits":{"maxBodyBytes":262144}})";

void pause(int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

} // namespace

Cell::Cell(Ledger &ledger)
    : m_ledger(ledger)
{
}

Cell::~Cell()
{
    for (const Member &member : m_members) {
        if (member.process <= 0)
            continue;
        kill(member.process, SIGKILL);
        waitpid(member.process, nullptr, 0);
    }
    if (m_thread.joinable()) {
        m_work.reset();
        m_context.stop();
        m_thread.join();
    }
    if (!m_folder.empty() && !std::getenv("KEEP"))
        std::filesystem::remove_all(m_folder);
}

bool Cell::open(int members, const std::vector<RunnerShape> &runners)
{
    m_folder = std::filesystem::temp_directory_path().string() + "/cwl-review-XXXXXX";
    if (!mkdtemp(m_folder.data()))
        return false;
    m_work.emplace(boost::asio::make_work_guard(m_context));
    m_thread = std::thread([this] { m_context.run(); });
    if (!onStandins([&] { return openStandins(runners); }))
        return false;
    m_members.resize(size_t(members));
    for (size_t index = 0; index < m_members.size(); ++index) {
        if (!startMember(index))
            return false;
    }
    for (const Member &member : m_members) {
        const bool isReady = waitUntil(std::chrono::seconds(20), [&] {
            return call(member.readiness, "GET", "/v1/readyz").status == 200;
        });
        if (!isReady) {
            m_ledger.note("a member did not become ready");
            return false;
        }
    }
    // Every runner has to run tasks of the first jobs, so all are known to the owner.
    const std::string first = "00000000000000f1";
    return submit(first, {{.count = 2 * int64_t(m_runners.size()), .cpu = 100, .antiAffinity = 2}},
                  100)
            && waitUntil(std::chrono::seconds(20), [&] { return state(0, first) == "completed"; });
}

bool Cell::openStandins(const std::vector<RunnerShape> &runners)
{
    m_store = std::make_unique<Store>(m_context);
    if (!m_store->open())
        return false;
    m_store->put("op", "config", configuration);
    for (const RunnerShape &shape : runners) {
        m_runners.push_back(std::make_unique<Runner>(m_context, *m_store, m_ledger,
                                                     absl::StrCat("i-", m_runners.size()), shape));
        if (!m_runners.back()->open())
            return false;
    }
    return true;
}

// The port of a life that has just ended may still be in use for a moment.
bool Cell::repeat(const std::function<bool()> &action)
{
    return waitUntil(std::chrono::seconds(1), [&] { return onStandins(action); });
}

// The settings are the deploy file's template, filled in for this instance.
bool Cell::startMember(size_t index)
{
    Member &member = m_members[index];
    const uint16_t membersPort = freePort();
    member.callers = absl::StrCat("127.0.0.1:", freePort());
    member.readiness = absl::StrCat("127.0.0.1:", freePort());
    member.settings = absl::StrCat(m_folder, "/member", index, ".json");
    std::ofstream(member.settings) << absl::StrCat(
            "{\"instance\": \"edge-", index,
            "\", \"dataCentre\": \"zone-a\", \"region\": \"region\"",
            ", \"address\": \"127.0.0.1\", \"membersPort\": ", membersPort,
            ", \"callersAddress\": \"", member.callers, "\", \"readinessAddress\": \"",
            member.readiness, "\", \"platform\": \"127.0.0.1:", m_store->port(),
            "\", \"metricsPort\": ", freePort(),
            ", \"coreShare\": 0.25, \"maxDescriptors\": 4100, \"maxLeaseMs\": ",
            m_runners.front()->shape().holdMaxMs,
            ", "
            "\"stopGraceMs\": 6000}\n");
    const std::string log = absl::StrCat(m_folder, "/member", index, ".log");
    const std::string variable = "CARAWAYLEDGE_CONFIG=" + member.settings;
    member.process = fork();
    if (member.process != 0)
        return member.process > 0;
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, 1);
    dup2(output, 2);
    close_range(3, ~0U, 0);           // the sockets of the stand-ins
    prctl(PR_SET_PDEATHSIG, SIGKILL); // so that it ends with this process in any case
    const char *const arguments[] = {program, nullptr};
    const char *const environment[] = {variable.c_str(), nullptr};
    execve(program, const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
    _exit(127);
}

bool Cell::submit(const std::string &id, const std::vector<JobStep> &steps, int64_t runMs,
                  std::chrono::milliseconds limit)
{
    Json::Value body;
    body["spec"] = absl::StrCat("run ", runMs);
    std::vector<StepShape> shapes;
    for (const JobStep &step : steps) {
        Json::Value phase;
        phase["count"] = Json::Int64(step.count);
        phase["cpu"] = Json::Int64(step.cpu);
        phase["memMb"] = Json::Int64(step.memMb);
        phase["estRuntimeMs"] = Json::Int64(step.estimateMs);
        if (step.antiAffinity > 0)
            phase["antiAffinity"] = Json::Int64(step.antiAffinity);
        if (!step.label.empty())
            phase["requires"] = step.label;
        body["phases"].append(phase);
        shapes.push_back({step.cpu, step.memMb});
    }
    m_ledger.submitted(id, std::move(shapes));
    size_t member = 0;
    return waitUntil(limit, [&] {
        const CallerAnswer answer =
                call(m_members[member].callers, "POST", queuePath + id, cwl::writeJson(body));
        m_ledger.note(absl::StrCat("POST ", id, " to member ", member, ": ", answer.status));
        member = (member + 1) % m_members.size();
        return answer.status >= 200 && answer.status < 300;
    });
}

std::string Cell::state(size_t member, const std::string &id)
{
    const CallerAnswer answer = call(m_members[member].callers, "GET", queuePath + id);
    const auto body = cwl::parseJson(answer.body);
    const std::string told =
            answer.status == 200 && body.ok() ? (*body)["state"].asString() : std::string();
    const std::string line =
            absl::StrCat("GET ", id, " from member ", member, ": ", answer.status, " ", told);
    if (line != std::exchange(m_lastState, line))
        m_ledger.note(line);
    return told;
}

int64_t Cell::pending(size_t member)
{
    const CallerAnswer answer = call(m_members[member].callers, "GET", queuePath);
    const auto body = cwl::parseJson(answer.body);
    return answer.status == 200 && body.ok() ? (*body)["pending"].asInt64() : -1;
}

bool Cell::waitUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        pause(20);
    }
    return false;
}

} // namespace review
