// A cell member against clients that send endless, incomplete or unread requests. Each test guards
// against a member that such clients end, let grow without a bound, run out of descriptors, or keep
// from serving others. Neither times nor the number of responses are checked.

#include "clientlimits/crowd.h"
#include "harness/call.h"
#include "usersplatform/deployment.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace cwl;
using namespace cwl::usersplatform;
using clientlimits::Crowd;
using clientlimits::Script;

constexpr size_t kilobyte = 1024;
constexpr size_t megabyte = 1024 * kilobyte;
constexpr size_t clients = 20;

// Of the test's own sockets.
constexpr rlim_t neededDescriptors = 4096;

// The budget of the callers' listener is 64 MiB where no memory is set; the rest is room for the
// allocator and for sockets that are being closed.
constexpr int64_t mostGrowthKilobytes = 100 * 1024;

// Enough for the connections that the listener may hold by default, and those being closed.
constexpr int64_t mostMoreDescriptors = 2048 + 128;

// With these descriptors the callers' listener holds 100 connections.
const char *const fewDescriptors = ", \"maxDescriptors\": 1200";
constexpr int64_t fewCallers = 100;
constexpr size_t manyConnections = 300;

constexpr Duration crowdTime = seconds(3); // the crowd sends no longer than this
constexpr Duration patience = seconds(10); // for one response beside the crowd

const std::string chunkedHeader = "POST /draw/00000000000000a1 HTTP/1.1\r\nHost: draws.example\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";
const std::string getRequest = "GET /draw/00000000000000a1 HTTP/1.1\r\nHost: draws.example\r\n\r\n";

std::string postHeader(size_t length, const std::string &more = {})
{
    return absl::StrCat("POST /draw/00000000000000a1 HTTP/1.1\r\nHost: draws.example\r\n", more,
                        "Content-Length: ", length, "\r\n\r\n");
}

std::vector<Script> times(size_t count, const Script &script)
{
    return std::vector<Script>(count, script);
}

class ClientLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientLimitsTest);
    CPPUNIT_TEST(endlessTrailerInOneField);
    CPPUNIT_TEST(endlessTrailersInManyFields);
    CPPUNIT_TEST(endlessChunkExtension);
    CPPUNIT_TEST(endlessChunkSizeLine);
    CPPUNIT_TEST(endlessHeader);
    CPPUNIT_TEST(deepJson);
    CPPUNIT_TEST(wideJson);
    CPPUNIT_TEST(manyIncompleteRequests);
    CPPUNIT_TEST(slowSenders);
    CPPUNIT_TEST(responsesThatAreNotRead);
    CPPUNIT_TEST(connectionsThatOpenAndClose);
    CPPUNIT_TEST(connectionsThatSendNothing);
    CPPUNIT_TEST(endlessPipelines);
    CPPUNIT_TEST(upgradeAndExpect);
    CPPUNIT_TEST(allAtOnce);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Deployment> m_deployment;
    int64_t m_startKilobytes = 0;
    int64_t m_startDescriptors = 0;

    MemberProcess &member() { return m_deployment->member(0); }
    std::string processFile(const std::string &name)
    {
        return absl::StrCat("/proc/", member().process->pid(), "/", name);
    }

    int64_t peakKilobytes()
    {
        std::ifstream file(processFile("status"));
        std::string word;
        while (file >> word) {
            int64_t value = 0;
            if (word == "VmHWM:" && file >> value)
                return value;
        }
        return 0;
    }

    int64_t descriptors()
    {
        std::error_code error;
        const std::filesystem::directory_iterator entries(processFile("fd"), error);
        return error ? 0 : int64_t(std::distance(begin(entries), end(entries)));
    }

    bool isServed()
    {
        return harness::waitUntil(BootClock::now() + patience, [this] {
            http::Request request;
            request.path = "/draw/00000000000000ff";
            request.headers.set("Host", "draws.example");
            const auto response =
                    harness::call(member().callers, request, BootClock::now() + seconds(2));
            return response.ok() && response->status < 500;
        });
    }

    void start(const std::string &settings = {})
    {
        m_deployment = std::make_unique<Deployment>(DeploymentOptions{
                .members = 1, .workers = 1, .binFolder = CWL_BIN_FOLDER, .moreSettings = settings});
        CPPUNIT_ASSERT(m_deployment->open().ok());
        CPPUNIT_ASSERT_MESSAGE("the member does not start", isServed());
        m_startKilobytes = peakKilobytes();
        m_startDescriptors = descriptors();
    }

    void run(std::vector<Script> scripts, int64_t mostConnections = mostMoreDescriptors)
    {
        Crowd crowd(member().callers, std::move(scripts));
        crowd.sendUntil(BootClock::now() + crowdTime);
        const int64_t open = descriptors() - m_startDescriptors;
        const bool served = isServed();
        const int64_t growth = peakKilobytes() - m_startKilobytes;
        std::cerr << absl::StrCat(" [sent ", crowd.sentBytes() / megabyte, " MB, grew ",
                                  growth / 1024, " MB, ", open, " more descriptors, ",
                                  served ? "served" : "not served", "] ");
        CPPUNIT_ASSERT_MESSAGE("the member has ended", member().process->isRunning());
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("the member grew by ", growth, " kB"),
                               growth <= mostGrowthKilobytes);
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(open, " more descriptors are open"),
                               open <= mostConnections);
        CPPUNIT_ASSERT_MESSAGE("an ordinary request gets no response", served);
    }

    static Script endless(const std::string &prefix, const std::string &block)
    {
        return {.prefix = prefix, .block = block, .bytes = 12 * megabyte};
    }
    static Script unfinishedBody()
    {
        return {.prefix = postHeader(256 * kilobyte),
                .block = std::string(kilobyte, 'a'),
                .bytes = 240 * kilobyte};
    }
    static Script slowBody()
    {
        return {.prefix = postHeader(256 * kilobyte),
                .block = "a",
                .bytes = 256 * kilobyte,
                .pause = milliseconds(100),
                .pieceBytes = 64};
    }
    static Script json(const std::string &block)
    {
        return {.prefix = postHeader(200 * kilobyte),
                .block = block,
                .bytes = postHeader(200 * kilobyte).size() + 200 * kilobyte,
                .readsResponses = true,
                .reopens = true};
    }
    static Script unread(const std::string &request)
    {
        return {.prefix = request, .block = request, .bytes = 64 * megabyte};
    }

public:
    void setUp() override
    {
        rlimit limit{};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, neededDescriptors));
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    void tearDown() override { m_deployment.reset(); }

    void endlessTrailerInOneField()
    {
        start();
        run(times(clients, endless(chunkedHeader + "1\r\na\r\n0\r\nx: ", "aaaaaaaa")));
    }
    void endlessTrailersInManyFields()
    {
        start();
        run(times(clients, endless(chunkedHeader + "1\r\na\r\n0\r\n", "a: b\r\n")));
    }
    void endlessChunkExtension()
    {
        start();
        run(times(clients, endless(chunkedHeader + "1;", "aaaaaaaa")));
    }
    void endlessChunkSizeLine()
    {
        start();
        run(times(clients, endless(chunkedHeader, "00000000")));
    }
    void endlessHeader()
    {
        start();
        run(times(clients, endless("GET / HTTP/1.1\r\n", "a: b\r\n")));
    }
    void deepJson()
    {
        start();
        run(times(clients, json("[")));
    }
    void wideJson()
    {
        start();
        run(times(clients, json("[0],")));
    }
    void manyIncompleteRequests()
    {
        start();
        run(times(800, unfinishedBody()));
    }
    void slowSenders()
    {
        start(fewDescriptors);
        run(times(manyConnections, slowBody()), fewCallers + 128);
    }
    void responsesThatAreNotRead()
    {
        start();
        run(times(200, unread(getRequest)));
    }
    void connectionsThatOpenAndClose()
    {
        start(fewDescriptors);
        run(times(manyConnections, {.prefix = "G", .reopens = true}), fewCallers + 128);
    }
    void connectionsThatSendNothing()
    {
        start(fewDescriptors);
        run(times(manyConnections, {.prefix = ""}), fewCallers + 128);
    }
    void endlessPipelines()
    {
        start();
        Script script = unread(getRequest);
        script.readsResponses = true;
        run(times(clients, script));
    }
    void upgradeAndExpect()
    {
        start();
        std::vector<Script> scripts =
                times(100,
                      unread("GET /draw/00000000000000a1 HTTP/1.1\r\nHost: draws.example\r\n"
                             "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"));
        const Script expecting{.prefix = postHeader(256 * kilobyte, "Expect: 100-continue\r\n")};
        scripts.insert(scripts.end(), 200, expecting);
        run(std::move(scripts));
    }
    void allAtOnce()
    {
        start();
        std::vector<Script> scripts;
        for (size_t client = 0; client < clients; ++client) {
            scripts.push_back(endless(chunkedHeader + "1\r\na\r\n0\r\nx: ", "aaaaaaaa"));
            scripts.push_back(endless(chunkedHeader + "0\r\n", "a: b\r\n"));
            scripts.push_back(endless(chunkedHeader + "1;", "aaaaaaaa"));
            scripts.push_back(endless(chunkedHeader, "00000000"));
            scripts.push_back(endless("GET / HTTP/1.1\r\n", "a: b\r\n"));
            scripts.push_back(json("["));
            scripts.push_back(json("[0],"));
            scripts.push_back(unread(getRequest));
            scripts.push_back({.prefix = "G", .reopens = true});
            scripts.push_back({.prefix = ""});
        }
        scripts.insert(scripts.end(), 200, unfinishedBody());
        scripts.insert(scripts.end(), 100, slowBody());
        run(std::move(scripts));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientLimitsTest);

} // namespace
