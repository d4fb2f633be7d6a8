// Customers' keys on the deployed program, against stand-ins that speak the users' protocol.

#include "harness/call.h"
#include "usersplatform/deployment.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <memory>
#include <sstream>

namespace {

using namespace cwl;
using namespace cwl::usersplatform;

constexpr size_t members = 2;
const char *const job = R"({"spec":"x","phases":[{"count":1,"cpu":500,"memMb":10}]})";

std::string configuration(int version, const std::string &tenants)
{
    return absl::StrCat(
            R"({"version":)", version,
            R"(,"routes":[{"name":"r1","host":"draws.example","pathPrefix":"/draw/",)"
            R"("service":"draw","maxAttempts":3,"slowdownFactor":1.5},)"
            R"({"name":"r2","host":"draws.example","pathPrefix":"/open/",)"
            R"("service":"draw","maxAttempts":3,"slowdownFactor":1.5,"anonymous":true}],)"
            R"("services":[{"name":"draw","preconditions":false}],"tenants":[)",
            tenants, "]}");
}

const char *const north = R"({"name":"north","apiKeys":["north-secret"],"weight":9})";
const char *const south = R"({"name":"south","apiKeys":["south-secret"],"weight":9})";

class CustomerKeysTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomerKeysTest);
    CPPUNIT_TEST(unknownKeyRunsNothing);
    CPPUNIT_TEST(jobsOfOtherCustomersAreNotFound);
    CPPUNIT_TEST(anonymousQueueGivesNoAccessToCustomersJobs);
    CPPUNIT_TEST(removedKeyIsRefusedAtEveryMember);
    CPPUNIT_TEST(keyStaysRemovedAfterARestart);
    CPPUNIT_TEST(keysReachNoLogAndNoDump);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Deployment> m_deployment;
    int m_lastJob = 0;
    int m_version = 10;

    MemberProcess &member(size_t index) { return m_deployment->member(index); }

    std::string nextJob() { return absl::StrCat("00000000000000", 10 + m_lastJob++); }

    int status(size_t index, const std::string &method, const std::string &path,
               const std::string &authorization)
    {
        http::Request request;
        request.method = method;
        request.path = path;
        request.headers.set("Host", "draws.example");
        if (!authorization.empty())
            request.headers.set("Authorization", authorization);
        if (method == "POST")
            request.body = job;
        const auto response =
                harness::call(member(index).callers, request, BootClock::now() + seconds(4));
        return response.ok() ? response->status : 0;
    }

    template <typename Condition>
    void waitFor(const std::string &what, Condition condition)
    {
        CPPUNIT_ASSERT_MESSAGE(what, harness::waitUntil(harness::patience(), condition));
    }

    void putConfiguration(const std::string &tenants)
    {
        m_deployment->onStandins([&] {
            m_deployment->store().put("op", "config", configuration(++m_version, tenants));
        });
    }

    std::string submit(size_t index, const std::string &queue, const std::string &key)
    {
        const std::string id = nextJob();
        waitFor("acceptance", [&] { return status(index, "POST", queue + id, key) == 200; });
        return id;
    }

public:
    void setUp() override
    {
        m_deployment = std::make_unique<Deployment>(DeploymentOptions{
                .members = members, .workers = 2, .seed = 20261206, .binFolder = CWL_BIN_FOLDER});
        CPPUNIT_ASSERT(m_deployment->open().ok());
        putConfiguration(absl::StrCat(north, ",", south));
        for (size_t index = 0; index < members; ++index)
            waitFor("the configuration at each member",
                    [&] { return status(index, "GET", "/draw/", "Token north-secret") == 200; });
    }
    void tearDown() override { m_deployment.reset(); }

    // Guards against a call that is served whatever its key.
    void unknownKeyRunsNothing()
    {
        const std::string id = nextJob();
        for (const char *key : {"", "Token", "Token ", "Token other", "north-secret",
                                "Bearer north-secret", "Token north-secre"}) {
            for (const char *method : {"POST", "GET", "DELETE"})
                CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(method, " with '", key, "'"), 401,
                                             status(0, method, "/draw/" + id, key));
            CPPUNIT_ASSERT_EQUAL(401, status(0, "GET", "/draw/", key));
        }
        CPPUNIT_ASSERT_EQUAL(410, status(0, "GET", "/draw/" + id, "Token north-secret"));
        CPPUNIT_ASSERT_EQUAL(410, status(0, "GET", "/draw/" + id, "token  north-secret"));
        CPPUNIT_ASSERT_EQUAL(404, status(0, "GET", "/unknown/" + id, ""));
    }

    void jobsOfOtherCustomersAreNotFound()
    {
        const std::string id = submit(0, "/draw/", "Token north-secret");
        for (size_t index = 0; index < members; ++index) {
            CPPUNIT_ASSERT_EQUAL(410, status(index, "GET", "/draw/" + id, "Token south-secret"));
            CPPUNIT_ASSERT_EQUAL(410, status(index, "DELETE", "/draw/" + id, "Token south-secret"));
            CPPUNIT_ASSERT_EQUAL(409, status(index, "POST", "/draw/" + id, "Token south-secret"));
            CPPUNIT_ASSERT_EQUAL(200, status(index, "POST", "/draw/" + id, "Token north-secret"));
            CPPUNIT_ASSERT_EQUAL(200, status(index, "GET", "/draw/" + id, "Token north-secret"));
        }
        CPPUNIT_ASSERT_EQUAL(200, status(0, "DELETE", "/draw/" + id, "Token north-secret"));
    }

    void anonymousQueueGivesNoAccessToCustomersJobs()
    {
        const std::string id = submit(0, "/draw/", "Token north-secret");
        const std::string open = submit(1, "/open/", "");
        for (size_t index = 0; index < members; ++index) {
            CPPUNIT_ASSERT_EQUAL(410, status(index, "GET", "/open/" + id, ""));
            CPPUNIT_ASSERT_EQUAL(410, status(index, "DELETE", "/open/" + id, ""));
            CPPUNIT_ASSERT_EQUAL(200, status(index, "GET", "/open/" + open, ""));
        }
    }

    // Guards against a key that works on at an instance after its removal has taken effect.
    void removedKeyIsRefusedAtEveryMember()
    {
        const std::string id = submit(0, "/draw/", "Token south-secret");
        putConfiguration(north);
        for (size_t index = 0; index < members; ++index) {
            waitFor("the removal of the key",
                    [&] { return status(index, "GET", "/draw/", "Token south-secret") == 401; });
            CPPUNIT_ASSERT_EQUAL(401, status(index, "GET", "/draw/" + id, "Token south-secret"));
        }
        putConfiguration(absl::StrCat(north, ",", south));
        for (size_t index = 0; index < members; ++index)
            waitFor("the return of the key", [&] {
                return status(index, "GET", "/draw/" + id, "Token south-secret") == 200;
            });
    }

    // Guards against a restarted process that accepts a key which was withdrawn before.
    void keyStaysRemovedAfterARestart()
    {
        putConfiguration(north);
        waitFor("the removal of the key",
                [&] { return status(0, "GET", "/draw/", "Token south-secret") == 401; });
        member(0).process.reset();
        CPPUNIT_ASSERT(m_deployment->startMember(0).ok());
        waitFor("its return",
                [&] { return status(0, "GET", "/draw/", "Token north-secret") == 200; });
        CPPUNIT_ASSERT_EQUAL(401, status(0, "GET", "/draw/", "Token south-secret"));
    }

    void keysReachNoLogAndNoDump()
    {
        submit(0, "/draw/", "Token north-secret");
        CPPUNIT_ASSERT_EQUAL(401, status(0, "GET", "/draw/", "Token a-wrong-secret"));
        for (size_t index = 0; index < members; ++index) {
            for (const char *path : {"/state", "/metrics"}) {
                http::Request request;
                request.path = path;
                const auto response = harness::call(member(index).admin, request);
                CPPUNIT_ASSERT(response.ok());
                CPPUNIT_ASSERT(response->body.find("secret") == std::string::npos);
            }
            const std::string log = member(index).process->output() + member(index).process->log();
            CPPUNIT_ASSERT(!log.empty());
            CPPUNIT_ASSERT(log.find("secret") == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerKeysTest);

} // namespace
