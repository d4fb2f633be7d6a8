#include "deployment.h"

#include "base/json.h"
#include "harness/call.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace cwl::review {

namespace {

const char *const configurationStart = R"({"version":3,"routes":[)";
const char *const configurationEnd =
        R"({"name":"r1","host":"draws.example","pathPrefix":"/draw/","kind":"non_idempotent",
        "timeoutMs":3000,"targetLatencyMs":2500,"priority":1,"service":"draw","maxAttempts":4,
        "slowdownFactor":2.2}],
    "services":[{"name":"draw","preconditions":false}],
    "limits":{"maxBodyBytes":262144}})";

std::array<std::atomic<pid_t>, 8> members = {}; // running; 0: none

} // namespace

void killMembers()
{
    for (const std::atomic<pid_t> &pid : members) {
        if (pid > 0)
            ::kill(pid, SIGKILL);
    }
}

Deployment::Deployment(Record &record, std::string program)
    : m_record(record)
    , m_program(std::move(program))
{
}

Deployment::~Deployment()
{
    for (size_t index = 0; index < m_members.size(); ++index)
        endMember(index);
    if (m_thread.joinable()) {
        m_work.reset();
        m_context.stop();
        m_thread.join();
    }
    if (!m_folder.empty() && !std::getenv("KEEP"))
        std::filesystem::remove_all(m_folder);
}

void Deployment::open(int members, const std::vector<RunnerOptions> &runners,
                      const Runner::Plan &plan, const std::string &moreRoutes,
                      const Advice::TimesOf &advice)
{
    m_folder = std::filesystem::temp_directory_path().string() + "/cwl-review-XXXXXX";
    if (!mkdtemp(m_folder.data()))
        throw CannotRun("no temporary folder could be made");
    m_work.emplace(boost::asio::make_work_guard(m_context));
    m_thread = std::thread([this] { m_context.run(); });
    const bool isOpen = onStandins([&] {
        m_store = std::make_unique<usersplatform::TableStore>(m_context, 1);
        if (!m_store->open().ok())
            return false;
        m_store->put("op", "config",
                     absl::StrCat(configurationStart, moreRoutes, configurationEnd));
        for (const RunnerOptions &options : runners) {
            m_runners.push_back(
                    std::make_unique<Runner>(m_context, options, plan, m_log, m_record));
            if (!m_runners.back()->open().ok())
                return false;
            m_store->put("servers", options.id, m_runners.back()->entry());
        }
        m_members.resize(size_t(members));
        if (!advice)
            return true;
        m_advice = std::make_unique<Advice>(m_context, advice, m_record);
        for (Member &member : m_members) {
            member.advicePort = m_advice->addMachine();
            if (member.advicePort == 0)
                return false;
        }
        return true;
    });
    if (!isOpen)
        throw CannotRun("a stand-in could not listen");
    for (size_t index = 0; index < m_members.size(); ++index) {
        writeSettings(index);
        startMember(index);
    }
}

// As deploy/cell.json.in fills in the settings of an edge machine.
void Deployment::writeSettings(size_t index)
{
    Member &member = m_members[index];
    const uint16_t membersPort = m_ports.next();
    member.callers = harness::loopback(m_ports.next());
    member.readiness = harness::loopback(m_ports.next());
    member.members = harness::loopback(membersPort);
    member.settings = absl::StrCat(m_folder, "/member", index, ".json");
    const std::string advice = member.advicePort == 0
            ? std::string()
            : absl::StrCat(R"(, "adviceAddress": "127.0.0.1:)", member.advicePort, "\"");
    std::ofstream(member.settings) << absl::StrCat(
            R"({"instance": "edge-)", index,
            R"(", "dataCentre": "zone-a", "region": "region", "address": "127.0.0.1", "membersPort": )",
            membersPort, R"(, "callersAddress": ")", member.callers, R"(", "readinessAddress": ")",
            member.readiness, R"(", "platform": "127.0.0.1:)", m_store->port(), "\"", advice,
            R"(, "metricsPort": )", m_ports.next(),
            R"(, "coreShare": 0.25, "maxDescriptors": 4100, "memoryMb": 260,)",
            R"( "maxLeaseMs": 6000, "stopGraceMs": 6000})");
}

// The deploy file's command has no arguments; the settings are named by a variable.
void Deployment::startMember(size_t index)
{
    Member &member = m_members[index];
    setenv("CARAWAYLEDGE_CONFIG", member.settings.c_str(), 1);
    auto process =
            harness::Process::start({.name = absl::StrCat("member", index, "-", member.lives++),
                                     .program = m_program,
                                     .folder = m_folder});
    if (!process.ok())
        throw CannotRun("cwl-cell could not be started");
    member.process = *std::move(process);
    members.at(index) = member.process->pid();
    m_record.line(absl::StrCat("member ", index, " started"));
}

void Deployment::endMember(size_t index)
{
    members.at(index) = 0;
    m_members[index].process.reset();
}

Answer Deployment::call(size_t member, const std::string &method, const std::string &path,
                        const std::string &body)
{
    http::Request request;
    request.method = method;
    request.path = path;
    request.headers.set("Host", host);
    request.headers.set("X-Deadline-Ms", "3000");
    if (!body.empty())
        request.headers.set("Content-Type", "application/json");
    request.body = body;
    const auto response =
            harness::call(m_members[member].callers, request, BootClock::now() + seconds(3));
    Answer answer;
    if (response.ok()) {
        answer.status = response->status;
        answer.body = response->body;
    }
    m_record.line(absl::StrCat("client ", method, " ", path, " at member ", member, ": ",
                               answer.status, " ", answer.body));
    return answer;
}

std::string Deployment::state(size_t member, const std::string &id)
{
    const Answer answer = call(member, "GET", absl::StrCat(prefix, id));
    const auto body = parseJson(answer.body);
    return answer.status == 200 && body.ok() ? (*body)["state"].asString() : std::string();
}

size_t Deployment::owner()
{
    for (size_t index = 0; index < m_members.size(); ++index) {
        if (!m_members[index].process)
            continue;
        const auto answer = harness::getJson(m_members[index].members, "/cell/owner",
                                             BootClock::now() + seconds(1));
        if (answer.ok() && answer->status == 200 && answer->body["epoch"].asInt64() > 0)
            return index;
    }
    throw CannotRun("no member owns the cell");
}

void Deployment::waitUntilServing()
{
    const bool isReady = harness::waitUntil(BootClock::now() + seconds(20), [this] {
        for (const Member &member : m_members) {
            const auto answer = harness::call(member.readiness, {.path = "/v1/readyz"},
                                              BootClock::now() + seconds(1));
            if (!answer.ok() || answer->status != 200)
                return false;
        }
        return true;
    });
    if (!isReady)
        throw CannotRun("the members did not become ready");
    const std::string warmUp = "00000000000000ff";
    const std::string body = R"({"spec":"warm","phases":[{"count":1,"cpu":100,"memMb":16}]})";
    if (call(0, "POST", prefix + warmUp, body).status != 200)
        throw CannotRun("the first job was not accepted");
    for (size_t member = 0; member < m_members.size(); ++member) {
        if (!harness::waitUntil(BootClock::now() + seconds(15), [&] {
                std::this_thread::sleep_for(milliseconds(100));
                return state(member, warmUp) == "completed";
            }))
            throw CannotRun("the first job was not completed");
    }
    m_record.line("the deployment serves");
}

} // namespace cwl::review
