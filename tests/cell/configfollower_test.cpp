// The configuration of a member that gets no news of changes from the store.

#include "base/error.h"
#include "cell/configfollower.h"
#include "cell/memberfixture.h"

#include <memory>
#include <optional>
#include <string>

namespace {

using namespace cwl;
using namespace cwl::cell;

const char *const host = "a.example";

// A row holds the version; each version has one queue "/p<version>/".
absl::StatusOr<jobs::CellConfig> readConfig(const std::string &value)
{
    jobs::CellConfig config;
    config.version = std::stoll(value);
    jobs::Queue queue;
    queue.host = host;
    queue.prefix = "/p" + value + "/";
    config.queues.push_back(queue);
    return config;
}

class ConfigFollowerTest : public tests::MemberFixture
{
    CPPUNIT_TEST_SUITE(ConfigFollowerTest);
    CPPUNIT_TEST(staleConfigIsConfirmedBeforeARequestIsHandled);
    CPPUNIT_TEST(unreachableStoreConfirmsNothing);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<ConfigFollower> m_follower;

    void put(const std::string &version)
    {
        Transaction transaction;
        transaction.writes = {{"op", "", "config", version}};
        m_store.commit(transaction, {}, [](const absl::StatusOr<TransactionResult> &) {});
    }

    bool confirm()
    {
        std::optional<bool> result;
        m_follower->confirm(BootClock::now() + seconds(3),
                            [&](bool isConfirmed) { result = isConfirmed; });
        runUntil("the confirmation", [&] { return result.has_value(); });
        return *result;
    }

    void waitUntilStale()
    {
        runUntil("the configuration is stale",
                 [&] { return !m_follower->isFresh(BootClock::now()); });
    }

public:
    void setUp() override
    {
        RowReader reader;
        reader.config = readConfig;
        reader.configTable = "op";
        reader.configKey = "config";
        m_follower = std::make_unique<ConfigFollower>(m_context, m_store, reader, nullptr);
        put("1");
        m_follower->start();
        runUntil("a configuration", [&] { return m_follower->config() != nullptr; });
    }

    void tearDown() override
    {
        m_follower.reset();
        tests::MemberFixture::tearDown();
    }

    // Guards against an instance that answers 404 for a queue of a version that has been in force
    // for seconds, because its poll for changes went silent.
    void staleConfigIsConfirmedBeforeARequestIsHandled()
    {
        CPPUNIT_ASSERT(confirm());
        m_store.isFeedSilent = true;
        put("2");
        waitUntilStale();
        CPPUNIT_ASSERT(confirm());
        CPPUNIT_ASSERT(m_follower->findQueue(host, "/p2/5c0e") != nullptr);
        CPPUNIT_ASSERT(m_follower->findQueue(host, "/p1/5c0e") == nullptr);
    }

    // Guards against requests that wait for a store that does not respond, each for itself.
    void unreachableStoreConfirmsNothing()
    {
        m_store.isDown = true;
        waitUntilStale();
        CPPUNIT_ASSERT(!confirm());
        bool isCalled = false;
        m_follower->confirm(BootClock::now() + seconds(3), [&](bool isConfirmed) {
            isCalled = true;
            CPPUNIT_ASSERT(!isConfirmed);
        });
        CPPUNIT_ASSERT(isCalled);
        m_store.isDown = false;
        runUntil("the configuration is confirmed",
                 [&] { return m_follower->isFresh(BootClock::now()); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFollowerTest);

} // namespace
