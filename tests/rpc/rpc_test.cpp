// Tests of calls over real loopback connections: each call resolves exactly once, with its own
// answer or a truthful failure.

#include "base/error.h"
#include "base/random.h"
#include "rpc/channel.h"
#include "rpc/codec/codec.h"
#include "rpc/rpc.h"
#include "testseed.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using cwl::BootClock;
using cwl::Failure;
using cwl::failureOf;
using cwl::rpc::Client;
using cwl::rpc::Message;
using cwl::rpc::Reply;
using cwl::rpc::Server;
using Outcome = absl::StatusOr<Message>;

// No test depends on how soon an event comes, only on its coming at all.
constexpr std::chrono::seconds generous(30);

std::string local(uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// An io_context with two threads, ended by the destructor.
class Loop
{
public:
    Loop()
        : m_work(asio::make_work_guard(context))
    {
        for (std::thread &thread : m_threads)
            thread = std::thread([this] { context.run(); });
    }
    ~Loop()
    {
        context.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_threads[2];
};

std::future<Outcome> begin(Client &client, const std::string &address, const std::string &method,
                           Message message = {}, cwl::Duration patience = generous)
{
    const auto promise = std::make_shared<std::promise<Outcome>>();
    // A second outcome of one call throws std::future_error and fails the test program.
    client.call(address, method, std::move(message), BootClock::now() + patience,
                [promise](Outcome outcome) { promise->set_value(std::move(outcome)); });
    return promise->get_future();
}

Outcome end(std::future<Outcome> future)
{
    CPPUNIT_ASSERT_MESSAGE("the call never resolved",
                           future.wait_for(2 * generous) == std::future_status::ready);
    return future.get();
}

Outcome callAndWait(Client &client, const std::string &address, const std::string &method,
                    Message message = {})
{
    return end(begin(client, address, method, std::move(message)));
}

Message numbered(int number)
{
    Message message;
    message.content["number"] = number;
    message.attachment = std::string(3, static_cast<char>(number));
    return message;
}

// Section: a peer under the test's control, with blocking calls

std::string frameBytes(const std::string &json, const std::string &attachment = {})
{
    std::string bytes(8, '\0');
    auto *header = reinterpret_cast<unsigned char *>(bytes.data());
    boost::endian::store_big_u32(header, static_cast<uint32_t>(json.size()));
    boost::endian::store_big_u32(header + 4, static_cast<uint32_t>(attachment.size()));
    return bytes + json + attachment;
}

std::string readFrame(Tcp::socket &socket)
{
    std::array<unsigned char, 8> header{};
    asio::read(socket, asio::buffer(header));
    std::string json(boost::endian::load_big_u32(header.data()), '\0');
    std::string attachment(boost::endian::load_big_u32(header.data() + 4), '\0');
    asio::read(socket, asio::buffer(json));
    asio::read(socket, asio::buffer(attachment));
    return json;
}

// Reads frames until a call comes and returns its id.
uint64_t readCallId(Tcp::socket &socket)
{
    while (true) {
        const auto incoming = cwl::rpc::decode(readFrame(socket), [](auto &) { return true; });
        if (incoming.kind == cwl::rpc::Incoming::Kind::Call)
            return incoming.id;
    }
}

// Reads until the peer closes. Returns false if that came from the silence limit, before which the
// peer sends at least three heartbeats.
bool isClosedAtOnce(Tcp::socket &socket)
{
    const size_t heartbeatBytes = frameBytes(cwl::rpc::encodeNotification("rpc.heartbeat")).size();
    boost::system::error_code error;
    std::array<char, 4096> sink{};
    size_t received = 0;
    while (!error)
        received += socket.read_some(asio::buffer(sink), error);
    return received < 3 * heartbeatBytes;
}

struct Fixture
{
    Loop loop;
    std::unique_ptr<Server> server = *Server::create(loop.context, {});
    Client client{loop.context};
    std::string address = local(server->port());

    Fixture()
    {
        server->add("echo", [](Message message, const Reply &reply) { reply(std::move(message)); });
    }
    bool echoes() { return callAndWait(client, address, "echo", numbered(5)).ok(); }
};

class RpcTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RpcTest);
    CPPUNIT_TEST(contentAndAttachmentArrive);
    CPPUNIT_TEST(crossedRepliesReachTheirOwnCallers);
    CPPUNIT_TEST(typedErrorsTravel);
    CPPUNIT_TEST(everyMethodAnswers);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(heartbeatsKeepIdleConnectionsOpen);
    CPPUNIT_TEST(refusedConnectionIsCertainlyNotSent);
    CPPUNIT_TEST(replyAfterDeadlineIsDropped);
    CPPUNIT_TEST(oversizedFramesAreRefused);
    CPPUNIT_TEST(malformedFramesCloseTheConnection);
    CPPUNIT_TEST(answersThatAreNoneCloseTheConnection);
    CPPUNIT_TEST(outputBufferIsBounded);
    CPPUNIT_TEST(closeAllResolvesCallsUnderWay);
    CPPUNIT_TEST(connectionsAreLimited);
    CPPUNIT_TEST(usedPortIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a body that arrives changed or cut.
    void contentAndAttachmentArrive()
    {
        Fixture fixture;
        Message message = numbered(7);
        message.attachment.assign(cwl::rpc::maxAttachmentBytes, '\x80');
        const Outcome outcome = callAndWait(fixture.client, fixture.address, "echo", message);
        CPPUNIT_ASSERT(outcome.ok());
        CPPUNIT_ASSERT(outcome->content == message.content);
        CPPUNIT_ASSERT(outcome->attachment == message.attachment);
    }

    // Guards against a caller that gets the answer of another one when answers come out of order.
    void crossedRepliesReachTheirOwnCallers()
    {
        constexpr int count = 200;
        std::mutex mutex;
        std::vector<std::pair<Message, Reply>> kept;
        std::promise<void> all;
        Fixture fixture;
        fixture.server->add("keep", [&](Message message, const Reply &reply) {
            const std::lock_guard lock(mutex);
            kept.emplace_back(std::move(message), reply);
            if (kept.size() == count)
                all.set_value();
        });
        std::vector<std::future<Outcome>> calls;
        for (int number = 0; number < count; ++number)
            calls.push_back(begin(fixture.client, fixture.address, "keep", numbered(number)));
        CPPUNIT_ASSERT(all.get_future().wait_for(generous) == std::future_status::ready);
        // Two threads outside the io_context answer from both ends.
        const auto answer = [&kept](size_t first) {
            for (size_t index = first; index < kept.size(); index += 2) {
                auto &[message, reply] = kept[kept.size() - 1 - index];
                reply(message);
                reply(numbered(0)); // a second answer does nothing
            }
        };
        std::thread even(answer, 0);
        std::thread odd(answer, 1);
        even.join();
        odd.join();
        for (int number = 0; number < count; ++number) {
            const Outcome outcome = end(std::move(calls[static_cast<size_t>(number)]));
            CPPUNIT_ASSERT(outcome.ok());
            CPPUNIT_ASSERT_EQUAL(number, outcome->content["number"].asInt());
            CPPUNIT_ASSERT(outcome->attachment == numbered(number).attachment);
        }
    }

    // Guards against a typed refusal that reaches the caller as a generic failure.
    void typedErrorsTravel()
    {
        Fixture fixture;
        fixture.server->add("refuse", [](const Message &, const Reply &reply) {
            reply(cwl::makeError(Failure::QueueFull, "full", {.retryAfterMs = 250}));
        });
        const Outcome refused = callAndWait(fixture.client, fixture.address, "refuse");
        CPPUNIT_ASSERT(failureOf(refused.status()) == Failure::QueueFull);
        CPPUNIT_ASSERT_EQUAL(int64_t(250), *cwl::detailOf(refused.status()).retryAfterMs);
        const Outcome unknown = callAndWait(fixture.client, fixture.address, "nothing");
        CPPUNIT_ASSERT(failureOf(unknown.status()) == Failure::UnknownMethod);
    }

    // Guards against a caller that waits for its deadline, or a process that ends, because a method
    // failed.
    void everyMethodAnswers()
    {
        Fixture fixture;
        fixture.server->add("drop", [](const Message &, const Reply &) {});
        fixture.server->add("throw", [](const Message &message, const Reply &reply) {
            const std::string text = message.content["number"]["member"].asString();
            reply(Message{.content = Json::Value(text)});
        });
        const Outcome dropped = callAndWait(fixture.client, fixture.address, "drop");
        CPPUNIT_ASSERT(failureOf(dropped.status()) == Failure::Internal);
        const Outcome thrown = callAndWait(fixture.client, fixture.address, "throw", numbered(1));
        CPPUNIT_ASSERT(failureOf(thrown.status()) == Failure::InvalidValue);
        CPPUNIT_ASSERT(fixture.echoes());
    }

    // Guards against calls that hang on a connection that went silent without closing.
    void silentConnectionIsReplaced()
    {
        asio::io_context blocking;
        Tcp::acceptor acceptor(blocking, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::promise<void> release;
        std::thread peer([&] {
            Tcp::socket silent = acceptor.accept();
            Tcp::socket working = acceptor.accept();
            const uint64_t id = readCallId(working);
            asio::write(working, asio::buffer(frameBytes(cwl::rpc::encodeResult(id, "back"))));
            release.get_future().wait();
        });
        Loop loop;
        Client client(loop.context);
        const std::string address = local(acceptor.local_endpoint().port());
        // The call's own deadline is far beyond the silence limit.
        const Outcome lost = callAndWait(client, address, "any");
        CPPUNIT_ASSERT(failureOf(lost.status()) == Failure::ConnectionLost);
        const Outcome answered = callAndWait(client, address, "any");
        CPPUNIT_ASSERT(answered.ok());
        CPPUNIT_ASSERT(answered->content == "back");
        CPPUNIT_ASSERT_EQUAL(1U, client.state()[address]["losses"].asUInt());
        release.set_value();
        peer.join();
    }

    // Guards against healthy idle connections being closed as silent.
    void heartbeatsKeepIdleConnectionsOpen()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.echoes());
        asio::io_context blocking;
        Tcp::socket raw(blocking);
        raw.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), fixture.server->port()));
        const std::string heartbeat = cwl::rpc::encodeNotification("rpc.heartbeat");
        // Longer than the silence limit; an exception means that the server closed the connection.
        for (int count = 0; count < 6; ++count) {
            CPPUNIT_ASSERT_EQUAL(heartbeat, readFrame(raw));
            asio::write(raw, asio::buffer(frameBytes(heartbeat)));
        }
        CPPUNIT_ASSERT(fixture.echoes());
        const Json::Value state = fixture.client.state()[fixture.address];
        CPPUNIT_ASSERT_EQUAL(0U, state["losses"].asUInt());
        CPPUNIT_ASSERT(state["connected"].asBool());
    }

    // Guards against a call reported as possibly run when it cannot have left this process.
    void refusedConnectionIsCertainlyNotSent()
    {
        Loop loop;
        Client client(loop.context);
        uint16_t unusedPort = 0;
        {
            Tcp::acceptor closed(loop.context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            unusedPort = closed.local_endpoint().port();
        }
        const Outcome refused = callAndWait(client, local(unusedPort), "any");
        CPPUNIT_ASSERT(failureOf(refused.status()) == Failure::ConnectionRefused);
        const Outcome noAddress = callAndWait(client, "host:x", "any");
        CPPUNIT_ASSERT(failureOf(noAddress.status()) == Failure::ConnectionRefused);
        const Outcome late = end(begin(client, local(unusedPort), "any", {}, cwl::Duration(0)));
        CPPUNIT_ASSERT(failureOf(late.status()) == Failure::ConnectionRefused);
    }

    // Guards against a late answer that resolves its call twice or is given to the next call.
    void replyAfterDeadlineIsDropped()
    {
        std::promise<Reply> kept;
        Fixture fixture;
        fixture.server->add(
                "keep", [&kept](const Message &, const Reply &reply) { kept.set_value(reply); });
        const Outcome outcome = end(begin(fixture.client, fixture.address, "keep", numbered(1),
                                          cwl::milliseconds(300)));
        CPPUNIT_ASSERT(failureOf(outcome.status()) == Failure::Timeout);
        kept.get_future().get()(numbered(1));
        CPPUNIT_ASSERT(fixture.echoes());
        const Json::Value state = fixture.client.state()[fixture.address];
        CPPUNIT_ASSERT_EQUAL(1U, state["lateAnswers"].asUInt());
        CPPUNIT_ASSERT_EQUAL(0U, state["callsUnderWay"].asUInt());
    }

    // Guards against memory that a peer's frame header claims, and against frames that the other
    // side would refuse.
    void oversizedFramesAreRefused()
    {
        Fixture fixture;
        fixture.server->add("large", [](const Message &, const Reply &reply) {
            Message message;
            message.attachment.resize(cwl::rpc::maxAttachmentBytes + 1);
            reply(std::move(message));
        });
        const unsigned char jsonTooLong[] = {0, 16, 0, 1, 0, 0, 0, 0};
        const unsigned char attachmentTooLong[] = {0, 0, 0, 2, 0, 64, 0, 1};
        for (const auto &header : {jsonTooLong, attachmentTooLong}) {
            asio::io_context blocking;
            Tcp::socket raw(blocking);
            raw.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), fixture.server->port()));
            asio::write(raw, asio::buffer(header, 8));
            CPPUNIT_ASSERT(isClosedAtOnce(raw));
        }
        Message message;
        message.content["text"] = std::string(cwl::rpc::maxJsonBytes, 'x');
        const Outcome call = callAndWait(fixture.client, fixture.address, "echo", message);
        CPPUNIT_ASSERT(failureOf(call.status()) == Failure::BodyTooLarge);
        const Outcome answer = callAndWait(fixture.client, fixture.address, "large");
        CPPUNIT_ASSERT(failureOf(answer.status()) == Failure::BodyTooLarge);
        CPPUNIT_ASSERT(fixture.echoes());
    }

    // Guards against a server that ends or stops serving others because of one peer's bytes.
    void malformedFramesCloseTheConnection()
    {
        Fixture fixture;
        const uint64_t seed = cwl::tests::testSeed();
        cwl::Generator generator(seed);
        std::vector<std::string> inputs = {frameBytes("{"), frameBytes(""),
                                           frameBytes("[]", "attachment"),
                                           frameBytes(cwl::rpc::encodeResult(1, "unasked"))};
        for (int count = 0; count < 50; ++count) {
            std::string bytes(64, '\0');
            for (char &byte : bytes)
                byte = static_cast<char>(generator());
            inputs.push_back(frameBytes(bytes));
        }
        for (const std::string &input : inputs) {
            asio::io_context blocking;
            Tcp::socket raw(blocking);
            raw.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), fixture.server->port()));
            asio::write(raw, asio::buffer(input));
            CPPUNIT_ASSERT(isClosedAtOnce(raw));
        }
        CPPUNIT_ASSERT(fixture.echoes());
    }

    // Guards against a call that stays unresolved because its peer answers with garbage.
    void answersThatAreNoneCloseTheConnection()
    {
        asio::io_context blocking;
        Tcp::acceptor acceptor(blocking, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        bool closedAtOnce = false;
        std::thread peer([&acceptor, &closedAtOnce] {
            Tcp::socket socket = acceptor.accept();
            readCallId(socket);
            asio::write(socket, asio::buffer(frameBytes("{\"jsonrpc\":\"2.0\",\"id\":1}")));
            closedAtOnce = isClosedAtOnce(socket);
        });
        Loop loop;
        Client client(loop.context);
        const Outcome outcome = callAndWait(client, local(acceptor.local_endpoint().port()), "any");
        CPPUNIT_ASSERT(failureOf(outcome.status()) == Failure::ConnectionLost);
        peer.join();
        CPPUNIT_ASSERT(closedAtOnce);
    }

    // Guards against memory that grows without limit towards a peer that does not read.
    void outputBufferIsBounded()
    {
        asio::io_context blocking;
        Tcp::acceptor acceptor(blocking, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        Loop loop;
        Client client(loop.context);
        const std::string address = local(acceptor.local_endpoint().port());
        std::vector<std::future<Outcome>> calls;
        for (int count = 0; count < 20; ++count) {
            Message message;
            message.attachment.resize(cwl::rpc::maxAttachmentBytes);
            calls.push_back(begin(client, address, "any", std::move(message)));
        }
        int refused = 0;
        int lost = 0;
        for (std::future<Outcome> &call : calls) {
            const Failure failure = failureOf(end(std::move(call)).status());
            refused += failure == Failure::ConnectionRefused ? 1 : 0;
            lost += failure == Failure::ConnectionLost ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(20, refused + lost);
        CPPUNIT_ASSERT(refused >= 10);
        CPPUNIT_ASSERT(lost >= 1);
    }

    // Guards against calls left unresolved when a process drops its connections.
    void closeAllResolvesCallsUnderWay()
    {
        std::promise<Reply> kept;
        Fixture fixture;
        fixture.server->add(
                "keep", [&kept](const Message &, const Reply &reply) { kept.set_value(reply); });
        std::future<Outcome> call = begin(fixture.client, fixture.address, "keep");
        const Reply reply = kept.get_future().get();
        fixture.client.closeAll();
        CPPUNIT_ASSERT(failureOf(end(std::move(call)).status()) == Failure::ConnectionLost);
        reply(numbered(1));
        CPPUNIT_ASSERT(fixture.echoes());
    }

    // Guards against a flood of connections that takes every file descriptor.
    void connectionsAreLimited()
    {
        Loop loop;
        const auto server = *Server::create(loop.context, {.maxConnections = 1});
        asio::io_context blocking;
        const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), server->port());
        Tcp::socket first(blocking);
        first.connect(endpoint);
        readFrame(first); // the first heartbeat: the connection is accepted
        Tcp::socket second(blocking);
        second.connect(endpoint);
        CPPUNIT_ASSERT(isClosedAtOnce(second));
        CPPUNIT_ASSERT_EQUAL(1U, server->state()["connectionsClosedAtLimit"].asUInt());
    }

    // Guards against a process that starts without its port or with an unclear message.
    void usedPortIsReported()
    {
        Loop loop;
        const auto first = *Server::create(loop.context, {});
        const auto second = Server::create(loop.context, {.port = first->port()});
        CPPUNIT_ASSERT(failureOf(second.status()) == Failure::AddressInUse);
        const auto third = Server::create(loop.context, {.address = "localhost"});
        CPPUNIT_ASSERT(failureOf(third.status()) == Failure::InvalidValue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcTest);

} // namespace
