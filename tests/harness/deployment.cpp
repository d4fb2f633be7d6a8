#include "harness/deployment.h"

namespace cwl::harness {

namespace {

const char *binaryName(Program program)
{
    return program == Program::Entry ? "cwl-entry" : "cwl-scheduler";
}

} // namespace

Deployment::Deployment(Harness &harness, const DeploymentOptions &options)
    : m_harness(harness)
    , m_region(options.region)
{
    for (size_t i = 0; i < options.instances; ++i) {
        m_entries.push_back(makeMember(Program::Entry, i, options));
        m_schedulers.push_back(makeMember(Program::Scheduler, i, options));
    }
    std::vector<Member> all = m_entries;
    all.insert(all.end(), m_schedulers.begin(), m_schedulers.end());
    for (Member &member : m_entries)
        writeSettings(member, all, options);
    for (Member &member : m_schedulers)
        writeSettings(member, all, options);
}

Member Deployment::makeMember(Program program, size_t index, const DeploymentOptions &options)
{
    const std::string number = std::to_string(index);
    Member member;
    member.name = (program == Program::Entry ? "entry-" : "scheduler-") + number;
    member.program = program;
    member.instance = "system-" + number;
    member.dataCentre = options.dataCentres.at(index % options.dataCentres.size());
    member.httpPort = m_harness.ports().next();
    member.rpcPort = m_harness.ports().next();
    return member;
}

void Deployment::writeSettings(Member &member, const std::vector<Member> &peers,
                               const DeploymentOptions &options)
{
    Json::Value settings;
    settings["instance"] = member.instance;
    settings["dataCentre"] = member.dataCentre;
    settings["region"] = options.region;
    settings["address"] = "127.0.0.1";
    settings["httpPort"] = member.httpPort;
    settings["rpcPort"] = member.rpcPort;
    settings["platform"] = options.platform;
    settings["peers"] = Json::Value(Json::arrayValue);
    for (const Member &peer : peers) {
        if (peer.rpcPort != member.rpcPort)
            settings["peers"].append(peer.rpcAddress());
    }
    settings["trafficThreads"] = Json::Int64(options.trafficThreads);
    settings["logLevel"] = options.logLevel;
    member.settingsFile = m_harness.writeFile(member.name + ".json", settings);
}

void Deployment::start(Member &member)
{
    member.process = &m_harness.start(member.name, binaryName(member.program),
                                      {"--settings", member.settingsFile});
}

void Deployment::startAll()
{
    for (Member &member : m_schedulers)
        start(member);
    for (Member &member : m_entries)
        start(member);
}

void Deployment::kill(Member &member)
{
    if (member.process != nullptr)
        m_harness.end(*member.process);
    member.process = nullptr;
}

std::vector<std::string> Deployment::waitForAllReady(TimePoint deadline)
{
    std::vector<std::string> late;
    for (const std::vector<Member> *members : {&m_schedulers, &m_entries}) {
        for (const Member &member : *members) {
            if (member.process != nullptr && !waitForReady(member.httpAddress(), deadline))
                late.push_back(member.name);
        }
    }
    return late;
}

std::vector<Json::Value> Deployment::instanceList() const
{
    std::vector<Json::Value> result;
    for (const Member &member : m_entries) {
        Json::Value instance;
        instance["id"] = member.instance;
        instance["kind"] = "system";
        instance["address"] = member.httpAddress();
        instance["dataCentre"] = member.dataCentre;
        instance["region"] = m_region;
        instance["rack"] = "";
        instance["service"] = "";
        instance["state"] = "live";
        result.push_back(std::move(instance));
    }
    return result;
}

} // namespace cwl::harness
