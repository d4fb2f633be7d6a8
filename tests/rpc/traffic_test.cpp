// Tests of the byte counts: callers' requests are told apart from control.

#include "base/traffic.h"
#include "rpc/rpc.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>
#include <thread>

namespace {

namespace asio = boost::asio;
using cwl::BootClock;
using cwl::Traffic;
using cwl::TrafficBytes;
using cwl::rpc::Client;
using cwl::rpc::Message;
using cwl::rpc::Reply;
using cwl::rpc::Server;

constexpr std::chrono::seconds generous(30); // only a hang takes this long

class TrafficTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TrafficTest);
    CPPUNIT_TEST(requestsAreCountedApartFromControl);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work =
            asio::make_work_guard(m_context);
    std::thread m_thread{[this] { m_context.run(); }};

    bool call(Client &client, uint16_t port, const std::string &method, const Message &message)
    {
        const auto isOk = std::make_shared<std::promise<bool>>();
        client.call(
                "127.0.0.1:" + std::to_string(port), method, message, BootClock::now() + generous,
                [isOk](const absl::StatusOr<Message> &answer) { isOk->set_value(answer.ok()); });
        return isOk->get_future().get();
    }

public:
    ~TrafficTest() override
    {
        m_context.stop();
        m_thread.join();
    }

    // Guards against callers' bytes that show up as control cost, and against frames that are
    // counted twice. Both ends are in this process, so each frame is sent and received here.
    void requestsAreCountedApartFromControl()
    {
        const auto server = *Server::create(m_context, {});
        for (const char *name : {"request.execute", "member.promise"})
            server->add(name, [](Message message, const Reply &reply) { reply(message); });
        Client client(m_context);
        Message message;
        message.attachment = std::string(100000, 'x');
        const TrafficBytes requests = cwl::trafficBytes(Traffic::RpcRequests);
        const TrafficBytes control = cwl::trafficBytes(Traffic::RpcControl);
        CPPUNIT_ASSERT(call(client, server->port(), "request.execute", message));
        const TrafficBytes requestsNow = cwl::trafficBytes(Traffic::RpcRequests);
        const uint64_t sent = requestsNow.sent - requests.sent;
        CPPUNIT_ASSERT(sent > 200000 && sent < 201000);
        CPPUNIT_ASSERT_EQUAL(sent, requestsNow.received - requests.received);
        CPPUNIT_ASSERT(call(client, server->port(), "member.promise", message));
        const uint64_t controlSent = cwl::trafficBytes(Traffic::RpcControl).sent - control.sent;
        CPPUNIT_ASSERT(controlSent > 200000 && controlSent < 201000);
        CPPUNIT_ASSERT_EQUAL(requestsNow.sent, cwl::trafficBytes(Traffic::RpcRequests).sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficTest);

} // namespace
