// Tests of a process that learns the settings from its peers while the store is not available.

#include "platform/platform.h"
#include "rpc/rpc.h"
#include "settings/cellsettings.h"
#include "settings/follower.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using namespace cwl;
using namespace cwl::settings;
using Tcp = asio::ip::tcp;

// No test depends on how soon an event comes, only on its coming at all.
constexpr std::chrono::seconds generous(30);

std::string local(uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// An address that refuses connections as long as this object lives.
class RefusingAddress
{
public:
    explicit RefusingAddress(asio::io_context &context)
        : m_socket(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }
    std::string text() const { return local(m_socket.local_endpoint().port()); }

private:
    Tcp::socket m_socket; // bound, not listening
};

// A peer that has a version in force and gives it after a delay.
class Peer
{
public:
    Peer(asio::io_context &context, int64_t version, Duration delay = {})
        : m_version(version)
        , m_server(rpc::Server::create(context, {}).value())
    {
        m_server->add("settings.current",
                      [this, &context, delay](const rpc::Message &, const rpc::Reply &reply) {
                          const auto timer = std::make_shared<asio::steady_timer>(context, delay);
                          timer->async_wait([this, timer, reply](boost::system::error_code) {
                              CellSettings settings;
                              settings.version = SettingsVersion(m_version);
                              reply(rpc::Message{toJson(settings)});
                          });
                      });
    }
    std::string address() const { return local(m_server->port()); }
    void setVersion(int64_t version) { m_version = version; }

private:
    std::atomic<int64_t> m_version;
    std::unique_ptr<rpc::Server> m_server;
};

class FollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FollowerTest);
    CPPUNIT_TEST(firstVersionIsTheNewestOfAllPeers);
    CPPUNIT_TEST(configuredPeersAreAskedBesideLiveMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<asio::io_context>();
        m_store = std::make_unique<RefusingAddress>(*m_context);
        m_platform = platform::Client::create(*m_context, {.address = m_store->text()}).value();
        m_server = rpc::Server::create(*m_context, {}).value();
        m_client = std::make_unique<rpc::Client>(*m_context);
        m_versions.clear();
    }

    void tearDown() override
    {
        m_context->stop();
        if (m_thread.joinable())
            m_thread.join();
        m_follower.reset();
        m_client.reset();
        m_server.reset();
        m_platform.reset();
        m_peers.clear();
        m_store.reset();
        m_context.reset();
    }

    // Guards against the fault of versionsNeverGoBack: a process that was started again in an
    // outage took the version of the first peer that answered. That peer had missed notices, so
    // the process went back behind the version that had been in force there before.
    void firstVersionIsTheNewestOfAllPeers()
    {
        const RefusingAddress killed(*m_context);
        Peer &behind = addPeer(4);
        Peer &newest = addPeer(5, milliseconds(200));
        start({behind.address(), newest.address(), killed.text()});
        waitForVersion(5);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_versions.size());
    }

    // Guards against a process that stays behind for a whole outage: the members that were live at
    // its last read of the store were those that had registered again since all had lapsed, and
    // none of them had the newest version.
    void configuredPeersAreAskedBesideLiveMembers()
    {
        Peer &configured = addPeer(4);
        Peer &live = addPeer(4);
        start({configured.address()});
        waitForVersion(4);
        asio::post(*m_context, [this, &live] { m_follower->setPeers({live.address()}); });
        configured.setVersion(5);
        waitForVersion(5);
    }

private:
    Peer &addPeer(int64_t version, Duration delay = {})
    {
        m_peers.push_back(std::make_unique<Peer>(*m_context, version, delay));
        return *m_peers.back();
    }

    void start(std::vector<std::string> peers)
    {
        m_follower =
                Follower::create(*m_context, *m_platform, *m_server, *m_client, std::move(peers));
        m_follower->addListener([this](const std::shared_ptr<const CellSettings> &settings) {
            const std::lock_guard lock(m_mutex);
            m_versions.push_back(settings->version.value());
            m_changed.notify_all();
        });
        asio::post(*m_context, [this] { m_follower->start(); });
        m_thread = std::thread([this] {
            const auto work = asio::make_work_guard(*m_context);
            m_context->run();
        });
    }

    void waitForVersion(int64_t version)
    {
        std::unique_lock lock(m_mutex);
        const bool hasCome = m_changed.wait_for(lock, generous, [&] {
            return !m_versions.empty() && m_versions.back() == version;
        });
        CPPUNIT_ASSERT_MESSAGE("the version never came into force", hasCome);
    }

    std::unique_ptr<asio::io_context> m_context;
    std::unique_ptr<RefusingAddress> m_store;
    std::unique_ptr<platform::Client> m_platform;
    std::unique_ptr<rpc::Server> m_server;
    std::unique_ptr<rpc::Client> m_client;
    std::vector<std::unique_ptr<Peer>> m_peers;
    std::unique_ptr<Follower> m_follower;
    std::thread m_thread;
    std::mutex m_mutex; // guards m_versions
    std::condition_variable m_changed;
    std::vector<int64_t> m_versions;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerTest);

} // namespace
