// Tests of the harness: nothing outlives it, and the settings that it writes are valid.

#include "harness/deployment.h"
#include "harness/fleet.h"
#include "harness/harness.h"

#include "base/error.h"
#include "http/server.h"
#include "settings/processsettings.h"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include <fstream>
#include <set>

namespace {

using namespace cwl::harness;
using cwl::BootClock;
using cwl::Failure;
using cwl::milliseconds;

class HarnessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HarnessTest);
    CPPUNIT_TEST(everyProcessEndsWithTheHarness);
    CPPUNIT_TEST(exitCodeTellsHowAProcessEnded);
    CPPUNIT_TEST(pausedProcessAnswersAfterItResumes);
    CPPUNIT_TEST(missingReadyLineIsReportedWithTheLog);
    CPPUNIT_TEST(reservedPortsAreDistinctAndUsable);
    CPPUNIT_TEST(settingsOfADeploymentAreValid);
    CPPUNIT_TEST(fleetIsListedWithItsAddresses);
    CPPUNIT_TEST_SUITE_END();

    static std::string counters(uint16_t port)
    {
        const auto answer =
                getJson(loopback(port), "/control/counters", BootClock::now() + milliseconds(500));
        return cwl::failureName(cwl::failureOf(answer.status()));
    }

public:
    // Guards against test processes that stay behind and disturb later tests.
    void everyProcessEndsWithTheHarness()
    {
        std::vector<pid_t> pids;
        std::string folder;
        {
            Harness harness;
            folder = harness.folder();
            std::vector<uint16_t> ports;
            for (int i = 0; i < 3; ++i)
                pids.push_back(harness.startReady("p", "standin-platform", {}, ports).pid());
            harness.processes().front()->pause();
        }
        for (const pid_t pid : pids)
            CPPUNIT_ASSERT(::kill(pid, 0) != 0);
        CPPUNIT_ASSERT(!std::ifstream(folder + "/p.0.out"));
    }

    void exitCodeTellsHowAProcessEnded()
    {
        Harness harness;
        std::vector<uint16_t> ports;
        Process &orderly = harness.startReady("p", "standin-platform", {}, ports);
        CPPUNIT_ASSERT(orderly.residentBytes() > 0);
        orderly.terminate();
        CPPUNIT_ASSERT_EQUAL(0, *orderly.waitForExit(patience()));
        Process &killed = harness.startReady("p", "standin-platform", {}, ports);
        killed.kill();
        CPPUNIT_ASSERT_EQUAL(128 + SIGKILL, *killed.waitForExit(patience()));
        CPPUNIT_ASSERT_EQUAL(std::string("connection_refused"), counters(ports.at(0)));
    }

    void pausedProcessAnswersAfterItResumes()
    {
        Harness harness;
        std::vector<uint16_t> ports;
        Process &process = harness.startReady("p", "standin-platform", {}, ports);
        process.pause();
        CPPUNIT_ASSERT_EQUAL(std::string("timeout"), counters(ports.at(0)));
        process.resume();
        CPPUNIT_ASSERT(getJson(loopback(ports.at(0)), "/control/counters").ok());
    }

    // Guards against a test that fails without saying why its process did not start.
    void missingReadyLineIsReportedWithTheLog()
    {
        Harness harness;
        Process &process = harness.start("p", "standin-platform", {"--unknown", "1"});
        const auto ports = process.waitForReadyLine(patience());
        CPPUNIT_ASSERT(cwl::failureOf(ports.status()) == Failure::ConnectionLost);
        CPPUNIT_ASSERT(std::string(ports.status().message()).find("--unknown")
                       != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(2, *process.waitForExit(patience()));
        CPPUNIT_ASSERT_THROW(harness.start("q", "no-such-program", {}), std::runtime_error);
    }

    // Guards against a process that cannot listen on the port of its settings file.
    void reservedPortsAreDistinctAndUsable()
    {
        Ports ports;
        std::set<uint16_t> chosen;
        for (int i = 0; i < 200; ++i)
            chosen.insert(ports.next());
        CPPUNIT_ASSERT_EQUAL(size_t(200), chosen.size());
        boost::asio::io_context context;
        const auto server = cwl::http::Server::create(context, {.port = *chosen.begin()},
                                                      [](const auto &, const auto &) {});
        CPPUNIT_ASSERT_MESSAGE(server.status().ToString(), server.ok());
        Harness harness;
        for (int i = 0; i < 2; ++i) {
            std::vector<uint16_t> ready;
            Process &process = harness.startReady(
                    "p", "standin-platform", {"--port", std::to_string(*chosen.rbegin())}, ready);
            CPPUNIT_ASSERT_EQUAL(*chosen.rbegin(), ready.at(0));
            harness.end(process);
        }
    }

    void settingsOfADeploymentAreValid()
    {
        Harness harness;
        Deployment deployment(harness, {.platform = "127.0.0.1:7000"});
        std::vector<Member> members = deployment.entries();
        members.insert(members.end(), deployment.schedulers().begin(),
                       deployment.schedulers().end());
        CPPUNIT_ASSERT_EQUAL(size_t(12), members.size());
        std::set<uint16_t> ports;
        for (const Member &member : members) {
            const auto settings = cwl::settings::loadProcessSettings(member.settingsFile);
            CPPUNIT_ASSERT_MESSAGE(settings.status().ToString(), settings.ok());
            CPPUNIT_ASSERT_EQUAL(member.instance, settings->instance.value());
            CPPUNIT_ASSERT_EQUAL(size_t(11), settings->peers.size());
            ports.insert(settings->httpPort);
            ports.insert(settings->rpcPort);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(24), ports.size());
        CPPUNIT_ASSERT(deployment.entry(3).dataCentre == deployment.scheduler(0).dataCentre);
    }

    void fleetIsListedWithItsAddresses()
    {
        Harness harness;
        const Standins standins = startStandins(harness, mocionesFleet());
        Deployment deployment(harness, {.platform = standins.platform});
        addInstances(standins, deployment.instanceList());
        const auto list = getJson(standins.platform, "/instances");
        CPPUNIT_ASSERT(list.ok());
        CPPUNIT_ASSERT_EQUAL(35U + 13U + 35U + 13U + 6U, list->body["instances"].size());
        for (const Json::Value &instance : list->body["instances"]) {
            const std::string address = instance["address"].asString();
            const std::string kind = instance["kind"].asString();
            if (kind == "endpoint") {
                CPPUNIT_ASSERT_EQUAL(200, getJson(address, "/status")->status);
            } else if (kind == "worker") {
                const std::string path = "/workers/" + instance["id"].asString() + "/report";
                const auto report = postJson(address, path, Json::Value(Json::objectValue));
                CPPUNIT_ASSERT_EQUAL(instance["cores"].asInt(), report->body["cores"].asInt());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HarnessTest);

} // namespace
