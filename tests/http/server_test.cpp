// Tests of the HTTP server over loopback: every limit and deadline holds, owed answers are sent.

#include "fixture.h"

#include "base/traffic.h"

#include <atomic>
#include <mutex>

namespace {

using namespace httptest;
using cwl::http::Limit;
using cwl::http::Request;
using cwl::http::Responder;
using cwl::http::Response;
using cwl::http::Server;
using cwl::http::ServerOptions;

// Keeps requests until the test answers them.
class Held
{
public:
    void add(Responder responder)
    {
        const std::lock_guard lock(m_mutex);
        m_responders.push_back(std::move(responder));
    }
    size_t size()
    {
        const std::lock_guard lock(m_mutex);
        return m_responders.size();
    }
    Responder take()
    {
        const std::lock_guard lock(m_mutex);
        Responder responder = std::move(m_responders.back());
        m_responders.pop_back();
        return responder;
    }

private:
    std::mutex m_mutex;
    std::vector<Responder> m_responders;
};

void echo(const Request &request, const Responder &responder)
{
    responder({.status = 200, .body = request.method + " " + request.path + " " + request.body});
}

class ServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerTest);
    CPPUNIT_TEST(largeBodyIsRefusedWithItsLimit);
    CPPUNIT_TEST(chunkedBodyOverTheLimitIsRefused);
    CPPUNIT_TEST(largeHeaderClosesTheConnection);
    CPPUNIT_TEST(malformedHeaderIsRefused);
    CPPUNIT_TEST(unknownTransferEncodingIsRefused);
    CPPUNIT_TEST(connectionsBeyondTheLimitAreClosed);
    CPPUNIT_TEST(idleConnectionMakesRoomForANewOne);
    CPPUNIT_TEST(unfinishedRequestMakesRoomForANewOne);
    CPPUNIT_TEST(endlessTrailerClosesTheConnection);
    CPPUNIT_TEST(endlessChunkExtensionClosesTheConnection);
    CPPUNIT_TEST(manyFieldsCloseTheConnection);
    CPPUNIT_TEST(chunkedBodyWithTrailersIsRead);
    CPPUNIT_TEST(oldestUnfinishedRequestIsClosedForMemory);
    CPPUNIT_TEST(requestIsRefusedIfOnlyCompleteOnesAreLeft);
    CPPUNIT_TEST(unreadResponseIsClosedForMemory);
    CPPUNIT_TEST(memoryIsGivenBack);
    CPPUNIT_TEST(slowHeaderClosesTheConnection);
    CPPUNIT_TEST(slowBodyClosesTheConnection);
    CPPUNIT_TEST(idleConnectionIsClosed);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(answerComesLaterFromAnotherThread);
    CPPUNIT_TEST(secondAnswerIsIgnored);
    CPPUNIT_TEST(droppedResponderAnswers500);
    CPPUNIT_TEST(headerWithLineBreakIsNotSent);
    CPPUNIT_TEST(headAnswerHasNoBody);
    CPPUNIT_TEST(stoppedServerSendsOwedAnswer);
    CPPUNIT_TEST(stoppedServerReadsRequestsThatArrived);
    CPPUNIT_TEST(answerAfterServerIsGoneIsIgnored);
    CPPUNIT_TEST(portInUseIsTyped);
    CPPUNIT_TEST(bytesAreCountedOnce);
    CPPUNIT_TEST_SUITE_END();

    // Last in first out: the server goes before the threads that run it.
    Threads m_threads;
    Held m_held;
    std::unique_ptr<Server> m_server;

    uint16_t start(const ServerOptions &options, cwl::http::Handler handler = echo)
    {
        auto server = Server::create(m_threads.context, options, std::move(handler));
        CPPUNIT_ASSERT(server.ok());
        m_server = *std::move(server);
        return m_server->port();
    }

    uint16_t startHolding(const ServerOptions &options = {})
    {
        return start(options, [this](const Request &, Responder responder) {
            m_held.add(std::move(responder));
        });
    }

public:
    // Guards against a body that fills the memory, and a refusal that does not name the limit.
    void largeBodyIsRefusedWithItsLimit()
    {
        ServerOptions options{.maxBodyBytes = 1000};
        options.refusalHeaders.set("Request-Outcome", "not-run");
        PlainSocket socket(start(options));
        socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
                     + std::string(1001, 'x'));
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(socket.received().find("1000 bytes") != std::string::npos);
        CPPUNIT_ASSERT(socket.received().find("Request-Outcome: not-run\r\n") != std::string::npos);
    }

    // Guards against a body without a stated length that passes the limit unnoticed.
    void chunkedBodyOverTheLimitIsRefused()
    {
        PlainSocket socket(start({.maxBodyBytes = 1000}));
        socket.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n3e9\r\n"
                     + std::string(1001, 'x') + "\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().starts_with("HTTP/1.1 413 "));
    }

    // Guards against a header that fills the memory.
    void largeHeaderClosesTheConnection()
    {
        PlainSocket socket(start({.maxHeaderBytes = 2000}));
        socket.write("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().empty());
    }

    // Guards against a parser error that leaves the caller without an answer.
    void malformedHeaderIsRefused()
    {
        PlainSocket socket(start({}));
        socket.write("no request at all\r\n\r\n");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().starts_with("HTTP/1.1 400 "));
    }

    // Guards against a body that this server and one in front of it delimit differently.
    void unknownTransferEncodingIsRefused()
    {
        PlainSocket socket(start({}));
        socket.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().starts_with("HTTP/1.1 400 "));
    }

    // Guards against a flood of connections that exhausts the file descriptors,
    // and against requests that are cut off for a new connection.
    void connectionsBeyondTheLimitAreClosed()
    {
        const uint16_t port = startHolding({.maxConnections = 2});
        PlainSocket first(port);
        PlainSocket second(port);
        first.write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        second.write("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 2; }));
        PlainSocket third(port);
        CPPUNIT_ASSERT(third.readToEnd());
        CPPUNIT_ASSERT_EQUAL(size_t(2), m_server->connections());
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), m_server->statistics().count(Limit::ConnectionsRefused));
        m_held.take()({.status = 200, .body = "held"});
        m_held.take()({.status = 200, .body = "held"});
        CPPUNIT_ASSERT(first.readTo("held").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(second.readTo("held").starts_with("HTTP/1.1 200 "));
        first.close();
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->connections() == 1; }));
        PlainSocket fourth(port);
        fourth.write("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        m_held.take()({.status = 200, .body = "fourth"});
        CPPUNIT_ASSERT(fourth.readTo("fourth").starts_with("HTTP/1.1 200 "));
    }

    // Guards against clients that lock others out by holding connections that
    // they do not use.
    void idleConnectionMakesRoomForANewOne()
    {
        const uint16_t port = start({.maxConnections = 2});
        PlainSocket first(port);
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->connections() == 1; }));
        PlainSocket second(port);
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->connections() == 2; }));
        PlainSocket third(port);
        third.write("GET /c HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(third.readTo("GET /c ").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(first.readToEnd());
        second.write("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(second.readTo("GET /b ").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), m_server->statistics().count(Limit::Connections));
    }

    // Guards against clients that lock others out with requests that they never
    // complete.
    void unfinishedRequestMakesRoomForANewOne()
    {
        const uint16_t port = start({.maxConnections = 1});
        PlainSocket first(port);
        first.write("GET /a HT");
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->connections() == 1; }));
        PlainSocket second(port);
        second.write("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(second.readTo("GET /b ").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(first.readToEnd());
    }

    // Guards against trailers that fill the memory before the request is
    // complete.
    void endlessTrailerClosesTheConnection()
    {
        PlainSocket socket(start({.maxHeaderBytes = 8000}));
        socket.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n1\r\na\r\n"
                     "0\r\nX: "
                     + std::string(20000, 'x'));
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), m_server->statistics().count(Limit::Header));
    }

    // Guards against a chunk extension that fills the memory.
    void endlessChunkExtensionClosesTheConnection()
    {
        PlainSocket socket(start({.maxHeaderBytes = 8000}));
        socket.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;"
                     + std::string(20000, 'x'));
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().empty());
    }

    // Guards against small fields, each of which takes far more memory than its
    // bytes.
    void manyFieldsCloseTheConnection()
    {
        const auto request = [](int fields) {
            std::string text = "GET /f HTTP/1.1\r\n";
            for (int field = 0; field < fields; ++field)
                text += "f" + std::to_string(field) + ": a\r\n";
            return text + "\r\n";
        };
        const uint16_t port = start({});
        PlainSocket most(port);
        most.write(request(256));
        CPPUNIT_ASSERT(most.readTo("GET /f ").starts_with("HTTP/1.1 200 "));
        PlainSocket more(port);
        more.write(request(257));
        CPPUNIT_ASSERT(more.readToEnd());
        CPPUNIT_ASSERT(more.received().empty());
    }

    // Guards against trailers or chunk lines that reach the handler, or end the
    // request.
    void chunkedBodyWithTrailersIsRead()
    {
        PlainSocket socket(start({}, [](const Request &request, const Responder &respond) {
            respond({.status = 200,
                     .body = request.body + (request.headers.contains("X") ? "bad" : ";end")});
        }));
        socket.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2;a=b\r\nab"
                     "\r\n3\r\ncde\r\n0\r\nX: y\r\n\r\n");
        CPPUNIT_ASSERT(socket.readTo("end").ends_with("abcde;end"));
    }

    // Guards against incomplete requests that together fill the memory, and
    // against an ordinary request that is refused because of them.
    void oldestUnfinishedRequestIsClosedForMemory()
    {
        const uint16_t port = start({.memoryBytes = 400000});
        const std::string part = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
                + std::string(100000, 'x');
        PlainSocket first(port);
        first.write(part);
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->memoryUsed() > 100000; }));
        PlainSocket second(port);
        second.write(part);
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->memoryUsed() > 200000; }));
        PlainSocket third(port);
        third.write(part + std::string(100000, 'x'));
        CPPUNIT_ASSERT(third.readTo("POST / ").starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(first.readToEnd());
        CPPUNIT_ASSERT(first.received().empty());
        CPPUNIT_ASSERT(m_server->memoryUsed() <= 400000);
        CPPUNIT_ASSERT(m_server->statistics().count(Limit::Memory) > 0);
    }

    // Guards against complete requests that fill the memory, and against a
    // refused request that runs all the same.
    void requestIsRefusedIfOnlyCompleteOnesAreLeft()
    {
        const uint16_t port = startHolding({.memoryBytes = 200000});
        const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
                + std::string(100000, 'x');
        PlainSocket first(port);
        first.write(request);
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        PlainSocket second(port);
        second.write(request);
        CPPUNIT_ASSERT(second.readToEnd());
        CPPUNIT_ASSERT(second.received().starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(second.received().find("Retry-After: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_held.size());
        m_held.take()({.status = 200, .body = "first"});
        CPPUNIT_ASSERT(first.readTo("first").starts_with("HTTP/1.1 200 "));
    }

    // Guards against responses that nobody reads and that together fill the memory.
    void unreadResponseIsClosedForMemory()
    {
        const uint16_t port =
                start({.memoryBytes = 24000000}, [](const Request &, const Responder &respond) {
                    const std::string half(5000000, 'x');
                    respond({.status = 200, .body = half + half});
                });
        std::vector<std::unique_ptr<PlainSocket>> sockets;
        for (int i = 0; i < 4; ++i) {
            sockets.push_back(std::make_unique<PlainSocket>(port));
            sockets.back()->write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        }
        CPPUNIT_ASSERT(
                waitUntil([this] { return m_server->statistics().count(Limit::Memory) >= 2; }));
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->memoryUsed() <= 24000000; }));
    }

    // Guards against memory that stays charged after its request, until nothing
    // is served.
    void memoryIsGivenBack()
    {
        const uint16_t port = start({.memoryBytes = 1000000});
        for (int i = 0; i < 30; ++i) {
            PlainSocket socket(port);
            socket.write("POST /g HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
                         + std::string(200000, 'x'));
            CPPUNIT_ASSERT(socket.readTo("POST /g ").starts_with("HTTP/1.1 200 "));
        }
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->memoryUsed() == 0; }));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), m_server->statistics().count(Limit::Memory));
    }

    // Guards against callers that hold connections by sending a header byte by
    // byte.
    void slowHeaderClosesTheConnection()
    {
        PlainSocket socket(start({.headerTimeout = milliseconds(100)}));
        socket.write("GET / HTTP/1.1\r\nHo");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().empty());
    }

    // Guards against callers that announce a body and never send it.
    void slowBodyClosesTheConnection()
    {
        PlainSocket socket(start({.bodyTimeout = milliseconds(100)}));
        socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().empty());
    }

    // Guards against unused connections that are kept for good.
    void idleConnectionIsClosed()
    {
        PlainSocket socket(start({.idleTimeout = milliseconds(200)}));
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->connections() == 0; }));
    }

    // Guards against answers that reach the wrong request of a pipeline.
    void pipelinedRequestsAreAnsweredInOrder()
    {
        const uint16_t port = startHolding();
        PlainSocket socket(port);
        std::string requests;
        for (int i = 0; i < 5; ++i)
            requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n";
        socket.write(requests);
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
            m_held.take()({.status = 200, .body = "answer-" + std::to_string(i) + ";"});
        }
        const std::string received = socket.readTo("answer-4;");
        size_t place = 0;
        for (int i = 0; i < 5; ++i) {
            place = received.find("answer-" + std::to_string(i) + ";", place);
            CPPUNIT_ASSERT(place != std::string::npos);
        }
    }

    // Guards against answers that only work from within the handler.
    void answerComesLaterFromAnotherThread()
    {
        PlainSocket socket(startHolding());
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        std::thread([this] { m_held.take()({.status = 202, .body = "later"}); }).join();
        CPPUNIT_ASSERT(socket.readTo("later").starts_with("HTTP/1.1 202 "));
    }

    // Guards against a second answer that the caller takes for that of its next request.
    void secondAnswerIsIgnored()
    {
        PlainSocket socket(startHolding());
        socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        const Responder responder = m_held.take();
        responder({.status = 200, .body = "first"});
        socket.readTo("first");
        socket.write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        responder({.status = 200, .body = "wrong"});
        m_held.take()({.status = 200, .body = "second"});
        CPPUNIT_ASSERT(socket.readTo("second").find("wrong") == std::string::npos);
    }

    // Guards against a caller that waits forever because a handler lost its request.
    void droppedResponderAnswers500()
    {
        PlainSocket socket(start({}, [](const Request &, const Responder &) {}));
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(socket.readTo("}").starts_with("HTTP/1.1 500 "));
    }

    // Guards against a header value that adds headers or a whole answer of its own.
    void headerWithLineBreakIsNotSent()
    {
        PlainSocket socket(start({}, [](const Request &, const Responder &responder) {
            Response response{.status = 200, .body = "end"};
            response.headers.set("X-Bad", "a\r\nX-Injected: b");
            response.headers.set("X-Good", "c");
            responder(response);
        }));
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        const std::string received = socket.readTo("\r\n\r\nend");
        CPPUNIT_ASSERT(received.find("X-Injected") == std::string::npos);
        CPPUNIT_ASSERT(received.find("X-Good: c") != std::string::npos);
    }

    // Guards against a body after HEAD, which the caller would read as the next answer.
    void headAnswerHasNoBody()
    {
        PlainSocket socket(start({}));
        socket.write("HEAD /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(socket.received().ends_with("\r\n\r\n"));
    }

    // Guards against a planned stop that cuts a request in flight.
    void stoppedServerSendsOwedAnswer()
    {
        const uint16_t port = startHolding();
        PlainSocket idle(port);
        PlainSocket busy(port);
        busy.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        m_server->stopAccepting();
        CPPUNIT_ASSERT(idle.readToEnd());
        CPPUNIT_ASSERT(waitUntil([this] { return m_server->connections() == 1; }));
        CPPUNIT_ASSERT_THROW(PlainSocket{port}, boost::system::system_error);
        m_held.take()({.status = 200, .body = "owed"});
        CPPUNIT_ASSERT(busy.readToEnd());
        CPPUNIT_ASSERT(busy.received().starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(busy.received().ends_with("owed"));
        CPPUNIT_ASSERT(busy.received().find("Connection: close") != std::string::npos);
    }

    // Guards against a stop that discards requests received behind the one in progress.
    void stoppedServerReadsRequestsThatArrived()
    {
        PlainSocket socket(startHolding());
        socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        m_server->stopAccepting();
        m_held.take()({.status = 200, .body = "first"});
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        m_held.take()({.status = 200, .body = "second"});
        CPPUNIT_ASSERT(socket.readToEnd());
        CPPUNIT_ASSERT(socket.received().find("first") != std::string::npos);
        CPPUNIT_ASSERT(socket.received().ends_with("second"));
    }

    // Guards against a crash when work that outlives the server answers its request.
    void answerAfterServerIsGoneIsIgnored()
    {
        PlainSocket socket(startHolding());
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(waitUntil([this] { return m_held.size() == 1; }));
        m_server.reset();
        CPPUNIT_ASSERT(socket.readToEnd());
        m_held.take()({.status = 200, .body = "late"});
        CPPUNIT_ASSERT(socket.received().empty());
    }

    // Guards against a process that starts without its port.
    void portInUseIsTyped()
    {
        const uint16_t port = start({});
        const auto second = Server::create(m_threads.context, {.port = port}, echo);
        CPPUNIT_ASSERT(cwl::failureOf(second.status()) == cwl::Failure::AddressInUse);
        const auto odd = Server::create(m_threads.context, {.address = "nowhere"}, echo);
        CPPUNIT_ASSERT(cwl::failureOf(odd.status()) == cwl::Failure::InvalidValue);
    }

    // Guards against bytes that are counted twice or not at all, in the header, the body or the
    // answer, which would make every figure of control cost wrong.
    void bytesAreCountedOnce()
    {
        const std::string request = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n"
                                    "Connection: close\r\n\r\n"
                + std::string(5000, 'x');
        const cwl::TrafficBytes before = cwl::trafficBytes(cwl::Traffic::HttpServer);
        PlainSocket socket(start({}));
        socket.write(request);
        CPPUNIT_ASSERT(socket.readToEnd());
        const cwl::TrafficBytes after = cwl::trafficBytes(cwl::Traffic::HttpServer);
        CPPUNIT_ASSERT_EQUAL(uint64_t(request.size()), after.received - before.received);
        CPPUNIT_ASSERT_EQUAL(uint64_t(socket.received().size()), after.sent - before.sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

} // namespace
