// Tests of the HTTP client over loopback: an answer is whole or a failure says what may have run.

#include "fixture.h"

#include <atomic>

namespace {

using namespace httptest;
using cwl::Failure;
using cwl::failureOf;
using cwl::http::Client;
using cwl::http::ClientOptions;
using cwl::http::Request;
using cwl::http::Responder;
using cwl::http::Server;

class ClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientTest);
    CPPUNIT_TEST(requestArrivesAsSent);
    CPPUNIT_TEST(manyRequestsFromManyThreadsGetTheirOwnAnswers);
    CPPUNIT_TEST(truncatedBodyIsReported);
    CPPUNIT_TEST(truncatedHeaderIsReported);
    CPPUNIT_TEST(truncatedChunksAreReported);
    CPPUNIT_TEST(answerWithoutLengthIsNeverWhole);
    CPPUNIT_TEST(resetWithinTheAnswerIsReported);
    CPPUNIT_TEST(closeBeforeAnswerIsLost);
    CPPUNIT_TEST(silentServerTimesOutAtTheDeadline);
    CPPUNIT_TEST(givenUpRequestLeavesItsConnection);
    CPPUNIT_TEST(lateAnswerReachesNoOtherRequest);
    CPPUNIT_TEST(waitingForConnectionEndsAtTheDeadline);
    CPPUNIT_TEST(closedPortIsRefused);
    CPPUNIT_TEST(closedKeptConnectionIsReplaced);
    CPPUNIT_TEST(largeAnswerIsRefused);
    CPPUNIT_TEST(earlyRefusalOfLargeBodyIsRead);
    CPPUNIT_TEST(malformedAnswerIsProtocolError);
    CPPUNIT_TEST(endlessTrailersOfAnAnswerAreRefused);
    CPPUNIT_TEST(requestThatCannotBeWrittenIsRefused);
    CPPUNIT_TEST(destroyedClientFailsWhatIsUnderWay);
    CPPUNIT_TEST(closeAllKeepsBusyConnections);
    CPPUNIT_TEST(guardIsAskedWhenTheConnectionIsThere);
    CPPUNIT_TEST(malformedAddressIsTyped);
    CPPUNIT_TEST(bytesAreCountedByPurpose);
    CPPUNIT_TEST_SUITE_END();

    Threads m_threads;

    std::unique_ptr<Client> clientOf(ClientOptions options)
    {
        auto client = Client::create(m_threads.context, options);
        CPPUNIT_ASSERT(client.ok());
        return *std::move(client);
    }

    std::unique_ptr<Server> serverOf(cwl::http::Handler handler,
                                     const cwl::http::ServerOptions &options = {})
    {
        auto server = Server::create(m_threads.context, options, std::move(handler));
        CPPUNIT_ASSERT(server.ok());
        return *std::move(server);
    }

    static std::string addressOf(const Server &server)
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    // The failure that the client reports when the server sends `bytes` and closes.
    Failure failureAfter(const std::string &bytes, bool resets = false)
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address()});
        std::future<Answer> answer = sendWith(*client, {.method = "POST", .body = "x"});
        PlainSocket connection = server.accept();
        connection.readTo("\r\n\r\nx");
        connection.write(bytes);
        if (resets) {
            std::this_thread::sleep_for(milliseconds(50));
            connection.reset();
        } else {
            connection.close();
        }
        return failureOf(resultOf(std::move(answer)).status());
    }

public:
    // Guards against a method, path, query, header or body that changes on the way.
    void requestArrivesAsSent()
    {
        const auto server = serverOf([](const Request &request, const Responder &responder) {
            cwl::http::Response response{.status = 201};
            response.headers.set("X-Answer", request.headers.value("x-question"));
            response.body =
                    request.method + " " + request.path + " " + request.query + " " + request.body;
            responder(response);
        });
        const auto client = clientOf({.address = addressOf(*server)});
        Request request{.method = "PUT", .path = "/a/b", .query = "c=d", .body = "body"};
        request.headers.set("X-Question", "why");
        const Answer answer = resultOf(sendWith(*client, request));
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL(201, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string("why"), answer->headers.value("x-answer"));
        CPPUNIT_ASSERT_EQUAL(std::string("PUT /a/b c=d body"), answer->body);
    }

    // Guards against mixed answers and data races with several threads on one io_context.
    void manyRequestsFromManyThreadsGetTheirOwnAnswers()
    {
        const auto server = serverOf([](const Request &request, const Responder &responder) {
            responder({.status = 200, .body = request.body});
        });
        const auto client = clientOf({.address = addressOf(*server), .maxConnections = 5});
        std::atomic<int> right = 0;
        std::vector<std::thread> senders;
        for (int sender = 0; sender < 4; ++sender) {
            senders.emplace_back([&, sender] {
                std::vector<std::pair<std::string, std::future<Answer>>> sent;
                for (int i = 0; i < 250; ++i) {
                    const std::string body = std::to_string(sender) + "-" + std::to_string(i);
                    sent.emplace_back(body, sendWith(*client, {.method = "POST", .body = body}));
                }
                for (auto &[body, future] : sent) {
                    const Answer answer = future.get();
                    right += answer.ok() && answer->body == body;
                }
            });
        }
        for (std::thread &sender : senders)
            sender.join();
        CPPUNIT_ASSERT_EQUAL(1000, right.load());
        CPPUNIT_ASSERT(client->openConnections() <= 5);
    }

    // Guards against a part of an answer that is passed on as the whole.
    void truncatedBodyIsReported()
    {
        CPPUNIT_ASSERT(failureAfter("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
                       == Failure::AnswerTruncated);
        CPPUNIT_ASSERT(failureAfter("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
                       == Failure::AnswerTruncated);
    }

    void truncatedHeaderIsReported()
    {
        CPPUNIT_ASSERT(failureAfter("HTTP/1.1 200 OK\r\nConte") == Failure::AnswerTruncated);
        CPPUNIT_ASSERT(failureAfter("HTTP/") == Failure::AnswerTruncated);
    }

    void truncatedChunksAreReported()
    {
        const std::string header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        CPPUNIT_ASSERT(failureAfter(header + "3\r\nabc\r\n") == Failure::AnswerTruncated);
        CPPUNIT_ASSERT(failureAfter(header + "3\r\nab") == Failure::AnswerTruncated);
        CPPUNIT_ASSERT(failureAfter(header + "3\r\nabc\r\n0\r\n\r\n") == Failure::None);
    }

    // Guards against a lost connection that looks like the end of an answer.
    void answerWithoutLengthIsNeverWhole()
    {
        CPPUNIT_ASSERT(failureAfter("HTTP/1.1 200 OK\r\n\r\nabc") == Failure::AnswerTruncated);
    }

    void resetWithinTheAnswerIsReported()
    {
        CPPUNIT_ASSERT(failureAfter("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true)
                       == Failure::AnswerTruncated);
    }

    // Guards against "certainly not sent" for a request that the server has read.
    void closeBeforeAnswerIsLost()
    {
        CPPUNIT_ASSERT(failureAfter("") == Failure::ConnectionLost);
        CPPUNIT_ASSERT(failureAfter("", true) == Failure::ConnectionLost);
    }

    // Guards against a retry on the connection that went silent, or on another one that was idle at
    // that time.
    void givenUpRequestLeavesItsConnection()
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address()});
        std::future<Answer> idle = sendWith(*client, {.path = "/idle"});
        PlainSocket first = server.accept();
        first.readTo("\r\n\r\n");
        const auto promise = std::make_shared<std::promise<Answer>>();
        const uint64_t silent = client->send({.path = "/silent"}, soon(), [promise](Answer answer) {
            promise->set_value(std::move(answer));
        });
        PlainSocket second = server.accept();
        second.readTo("\r\n\r\n");
        first.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(resultOf(std::move(idle)).ok());
        client->giveUp(silent);
        const Answer givenUp = resultOf(promise->get_future());
        CPPUNIT_ASSERT(failureOf(givenUp.status()) == Failure::Timeout);
        CPPUNIT_ASSERT(first.readToEnd() && second.readToEnd());
        client->giveUp(silent);
        std::future<Answer> next = sendWith(*client, {.path = "/next"});
        PlainSocket third = server.accept();
        third.readTo("\r\n\r\n");
        third.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(resultOf(std::move(next)).ok());
    }

    // Guards against a request that waits past its deadline on a silent connection.
    void silentServerTimesOutAtTheDeadline()
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address()});
        const cwl::TimePoint deadline = cwl::BootClock::now() + milliseconds(150);
        const Answer answer = resultOf(sendWith(*client, {}, deadline));
        CPPUNIT_ASSERT(failureOf(answer.status()) == Failure::Timeout);
        CPPUNIT_ASSERT(cwl::BootClock::now() >= deadline);
        CPPUNIT_ASSERT_EQUAL(size_t(0), client->openConnections());
    }

    // Guards against an answer that arrives after its deadline and is taken for the next one.
    void lateAnswerReachesNoOtherRequest()
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address(), .maxConnections = 1});
        std::future<Answer> first =
                sendWith(*client, {.path = "/1"}, cwl::BootClock::now() + milliseconds(150));
        PlainSocket connection = server.accept();
        CPPUNIT_ASSERT(failureOf(resultOf(std::move(first)).status()) == Failure::Timeout);
        std::future<Answer> second = sendWith(*client, {.path = "/2"});
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
        PlainSocket other = server.accept();
        other.readTo("/2 ");
        other.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
        const Answer answer = resultOf(std::move(second));
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), answer->body);
    }

    // Guards against "may have run" for a request that never left its queue.
    void waitingForConnectionEndsAtTheDeadline()
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address(), .maxConnections = 1});
        std::future<Answer> first = sendWith(*client, {.path = "/1"});
        PlainSocket connection = server.accept();
        const Answer second = resultOf(
                sendWith(*client, {.path = "/2"}, cwl::BootClock::now() + milliseconds(100)));
        CPPUNIT_ASSERT(failureOf(second.status()) == Failure::DeadlinePassed);
        connection.readTo("/1 ");
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(resultOf(std::move(first)).ok());
        CPPUNIT_ASSERT(connection.received().find("/2") == std::string::npos);
    }

    // Guards against "may have run" where no connection was made.
    void closedPortIsRefused()
    {
        std::string address;
        {
            PlainServer server;
            address = server.address();
        }
        const auto client = clientOf({.address = address});
        std::vector<std::future<Answer>> answers;
        for (int i = 0; i < 10; ++i)
            answers.push_back(sendWith(*client, {}));
        for (std::future<Answer> &answer : answers)
            CPPUNIT_ASSERT(failureOf(resultOf(std::move(answer)).status())
                           == Failure::ConnectionRefused);
    }

    // Guards against a request that is written to a connection already known to be closed.
    void closedKeptConnectionIsReplaced()
    {
        std::atomic<int> handled = 0;
        const auto server = serverOf(
                [&handled](const Request &, const Responder &responder) {
                    ++handled;
                    responder({.status = 200});
                },
                {.idleTimeout = milliseconds(50)});
        const auto client = clientOf({.address = addressOf(*server), .maxConnections = 1});
        CPPUNIT_ASSERT(resultOf(sendWith(*client, {})).ok());
        CPPUNIT_ASSERT(waitUntil([&] { return client->openConnections() == 0; }));
        CPPUNIT_ASSERT(resultOf(sendWith(*client, {})).ok());
        CPPUNIT_ASSERT_EQUAL(2, handled.load());
    }

    void largeAnswerIsRefused()
    {
        const auto server = serverOf([](const Request &, const Responder &responder) {
            responder({.status = 200, .body = std::string(2000, 'x')});
        });
        const auto client = clientOf({.address = addressOf(*server), .maxBodyBytes = 1000});
        const Answer answer = resultOf(sendWith(*client, {}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.status().ToString(), std::string("body_too_large"),
                                     std::string(cwl::failureName(failureOf(answer.status()))));
    }

    // Guards against "connection lost" where the server said that the body is too large.
    void earlyRefusalOfLargeBodyIsRead()
    {
        const auto server = serverOf(
                [](const Request &, const Responder &responder) { responder({.status = 200}); },
                {.maxBodyBytes = 1000});
        const auto client = clientOf({.address = addressOf(*server)});
        const Answer answer = resultOf(
                sendWith(*client, {.method = "POST", .body = std::string(3'000'000, 'x')}));
        CPPUNIT_ASSERT(answer.ok());
        CPPUNIT_ASSERT_EQUAL(413, answer->status);
    }

    void malformedAnswerIsProtocolError()
    {
        CPPUNIT_ASSERT(failureAfter("this is not HTTP\r\n\r\n") == Failure::ProtocolError);
    }

    // Guards against a server whose trailers or chunk extension fill the client's
    // memory.
    void endlessTrailersOfAnAnswerAreRefused()
    {
        const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string endless(300000, 'x');
        CPPUNIT_ASSERT(failureAfter(start + "1\r\na\r\n0\r\nX: " + endless)
                       == Failure::ProtocolError);
        CPPUNIT_ASSERT(failureAfter(start + "1;" + endless) == Failure::ProtocolError);
    }

    // Guards against a path or header of a caller that adds a second request.
    void requestThatCannotBeWrittenIsRefused()
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address()});
        Request split;
        split.headers.set("X", "a\r\nY: b");
        CPPUNIT_ASSERT(failureOf(resultOf(sendWith(*client, split)).status())
                       == Failure::ProtocolError);
        CPPUNIT_ASSERT(failureOf(resultOf(sendWith(*client, {.path = "/a b"})).status())
                       == Failure::ProtocolError);
        CPPUNIT_ASSERT_EQUAL(size_t(0), client->openConnections());
    }

    // Guards against callers that wait for good when a client is dropped.
    void destroyedClientFailsWhatIsUnderWay()
    {
        PlainServer server;
        auto client = clientOf({.address = server.address(), .maxConnections = 1});
        std::future<Answer> first = sendWith(*client, {});
        std::future<Answer> second = sendWith(*client, {});
        client.reset();
        CPPUNIT_ASSERT(failureOf(resultOf(std::move(first)).status()) == Failure::ConnectionLost);
        CPPUNIT_ASSERT(failureOf(resultOf(std::move(second)).status()) == Failure::ConnectionLost);
    }

    // Guards against a close that cuts a request in flight.
    void closeAllKeepsBusyConnections()
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address()});
        std::future<Answer> answer = sendWith(*client, {.path = "/1"});
        PlainSocket connection = server.accept();
        connection.readTo("/1 ");
        client->closeAll();
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(resultOf(std::move(answer)).ok());
        CPPUNIT_ASSERT(waitUntil([&] { return client->openConnections() == 0; }));
    }

    // Guards against a request that is written after the right to send it ended while it waited.
    void guardIsAskedWhenTheConnectionIsThere()
    {
        PlainServer server;
        const auto client = clientOf({.address = server.address(), .maxConnections = 1});
        std::future<Answer> first = sendWith(*client, {.path = "/1"});
        PlainSocket connection = server.accept();
        connection.readTo("/1 ");
        std::atomic<bool> mayStillSend = true;
        std::promise<Failure> failure;
        client->send(
                {.path = "/2"}, soon(),
                [&failure](const Answer &answer) { failure.set_value(failureOf(answer.status())); },
                [&mayStillSend] { return mayStillSend.load(); });
        mayStillSend = false;
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(failure.get_future().get() == Failure::LeaseLapsed);
        std::future<Answer> third = sendWith(*client, {.path = "/3"});
        connection.readTo("/3 ");
        CPPUNIT_ASSERT(connection.received().find("/2 ") == std::string::npos);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(resultOf(std::move(first)).ok() && resultOf(std::move(third)).ok());
    }

    void malformedAddressIsTyped()
    {
        for (const char *address : {"", "127.0.0.1", "host:1", "127.0.0.1:0", "127.0.0.1:70000"}) {
            const auto client = Client::create(m_threads.context, {.address = address});
            CPPUNIT_ASSERT(failureOf(client.status()) == Failure::InvalidValue);
        }
    }

    // Guards against bytes that are counted twice, not at all or for another purpose.
    void bytesAreCountedByPurpose()
    {
        PlainServer server;
        const auto client =
                clientOf({.address = server.address(), .traffic = cwl::Traffic::HttpWorkers});
        const cwl::TrafficBytes before = cwl::trafficBytes(cwl::Traffic::HttpWorkers);
        std::future<Answer> answer = sendWith(*client, {.path = "/1"});
        PlainSocket connection = server.accept();
        const size_t requestBytes = connection.readTo("\r\n\r\n").size();
        const std::string text =
                "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + std::string(9000, 'x');
        connection.write(text);
        CPPUNIT_ASSERT(resultOf(std::move(answer)).ok());
        const cwl::TrafficBytes after = cwl::trafficBytes(cwl::Traffic::HttpWorkers);
        CPPUNIT_ASSERT_EQUAL(uint64_t(requestBytes), after.sent - before.sent);
        CPPUNIT_ASSERT_EQUAL(uint64_t(text.size()), after.received - before.received);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

} // namespace
