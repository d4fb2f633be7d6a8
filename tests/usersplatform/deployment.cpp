#include "usersplatform/deployment.h"

#include "base/error.h"
#include "harness/call.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace cwl::usersplatform {

namespace {

using boost::asio::ip::tcp;

const char *const routes = R"(
    "routes":[{"name":"r1","host":"draws.example","pathPrefix":"/draw/","kind":"non_idempotent",
        "timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"draw","maxAttempts":3,
        "slowdownFactor":1.5}],
    "services":[{"name":"draw","preconditions":false}],
    "limits":{"maxBodyBytes":262144}})";

constexpr int firstVersion = 3;

tcp::endpoint loopbackEndpoint(uint16_t port)
{
    return {boost::asio::ip::make_address("127.0.0.1"), port};
}

} // namespace

std::string Deployment::configuration(int version, const std::string &customers)
{
    const std::string field = absl::StrCat("\"tenants\":[", customers, "],");
    return absl::StrCat("{\"version\":", version, ",", customers.empty() ? "" : field, routes);
}

Deployment::Deployment(const DeploymentOptions &options)
    : m_options(options)
    , m_members(size_t(options.members))
{
}

Deployment::~Deployment()
{
    for (MemberProcess &member : m_members)
        member.process.reset();
    if (m_thread.joinable()) {
        // Connections of the proxies refer to their link: no handler may run once links are gone.
        m_work.reset();
        m_context.stop();
        m_thread.join();
    }
    if (!m_folder.empty() && !m_isFolderKept)
        std::filesystem::remove_all(m_folder);
}

absl::Status Deployment::open()
{
    m_folder = std::filesystem::temp_directory_path().string() + "/cwl-cell-XXXXXX";
    if (!mkdtemp(m_folder.data()))
        return makeError(Failure::Internal, "no temporary folder could be made");
    m_work.emplace(boost::asio::make_work_guard(m_context));
    m_thread = std::thread([this] { m_context.run(); });
    const absl::Status opened = onStandins([this] { return openStandins(); });
    if (!opened.ok())
        return opened;
    for (size_t index = 0; index < m_members.size(); ++index) {
        writeSettings(index);
        const absl::Status started = startMember(index);
        if (!started.ok())
            return started;
    }
    return absl::OkStatus();
}

// The ports of the proxies are reserved: one asked for as "any free port" with SO_REUSEADDR may be
// given to two processes as long as neither listens.
absl::Status Deployment::openStandins()
{
    m_store = std::make_unique<TableStore>(m_context, m_options.seed);
    const absl::Status opened = m_store->open();
    if (!opened.ok())
        return opened;
    m_store->put("op", "config", configuration(firstVersion, m_options.customers));
    m_store->put("servers", "strange", "bytes that cannot be read");
    for (int index = 0; index < m_options.workers; ++index) {
        m_workers.push_back(
                std::make_unique<Worker>(m_context, absl::StrCat("i-", index), m_ledger));
        Worker &worker = *m_workers.back();
        worker.cores = m_options.workerCores;
        const absl::Status status = worker.open();
        if (!status.ok())
            return status;
        m_workerLinks.push_back(std::make_unique<standins::ProxyLink>(
                m_context, absl::StrCat("worker-", index), m_ports.next(),
                loopbackEndpoint(worker.port())));
        m_store->put("servers", worker.id(), worker.entry(m_workerLinks.back()->port()));
    }
    for (size_t index = 0; index < m_members.size(); ++index)
        m_members[index].storeLink = std::make_unique<standins::ProxyLink>(
                m_context, absl::StrCat("store-", index), m_ports.next(),
                loopbackEndpoint(index + 1 == m_members.size() ? m_store->sidePort()
                                                               : m_store->port()));
    return absl::OkStatus();
}

void Deployment::writeSettings(size_t index)
{
    MemberProcess &member = m_members[index];
    const uint16_t adminPort = m_ports.next();
    member.callers = harness::loopback(m_ports.next());
    member.readiness = harness::loopback(m_ports.next());
    member.admin = harness::loopback(adminPort);
    member.settings = absl::StrCat(m_folder, "/member", index, ".json");
    std::ofstream(member.settings) << absl::StrCat(
            "{\"instance\": \"edge-", index,
            "\", \"dataCentre\": \"zone-a\", \"region\": \"region\", \"address\": "
            "\"127.0.0.1\", \"membersPort\": ",
            adminPort, ", \"callersAddress\": \"", member.callers, "\", \"readinessAddress\": \"",
            member.readiness, "\", \"platform\": \"127.0.0.1:", member.storeLink->port(),
            "\", \"maxLeaseMs\": 10000, \"stopGraceMs\": 6000", m_options.moreSettings, "}");
}

absl::Status Deployment::startMember(size_t index)
{
    MemberProcess &member = m_members[index];
    auto process =
            harness::Process::start({.name = absl::StrCat("member", index, "-", member.lives++),
                                     .program = m_options.binFolder + "/cwl-cell",
                                     .arguments = {"--settings", member.settings},
                                     .folder = m_folder});
    if (!process.ok())
        return process.status();
    member.process = *std::move(process);
    member.isPaused = false;
    return absl::OkStatus();
}

} // namespace cwl::usersplatform
