// The server against requests that are mutated, cut into fragments and
// pipelined, by seed. CWL_SEED sets the first seed. Guards against input that
// ends the process, holds a connection or its memory for good, or reaches the
// handler without the bounds.

#include "http/fixture.h"
#include "testseed.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <random>

namespace {

using namespace httptest;
using cwl::http::Request;
using cwl::http::Responder;
using cwl::http::Server;
using cwl::http::ServerOptions;

constexpr int rounds = 400;
constexpr size_t maxBody = 3000;
constexpr size_t maxHeader = 6000;

const std::string chunkedHeader =
        "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::string upgradeHeader =
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n";

const std::vector<std::string> validRequests{
        "GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n",
        "HEAD / HTTP/1.1\r\nHost: a\r\nA: 1\r\nA: 2\r\n\r\n",
        "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789",
        "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
        chunkedHeader + "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
        upgradeHeader,
        "DELETE /d HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
};

class Mutator
{
public:
    explicit Mutator(uint64_t seed)
        : m_random(seed)
    {
    }

    size_t below(size_t end) { return std::uniform_int_distribution<size_t>(0, end - 1)(m_random); }

    // One to three requests, most of them mutated.
    std::string input()
    {
        std::string text;
        const size_t requests = 1 + below(3);
        for (size_t request = 0; request < requests; ++request) {
            std::string next = validRequests[below(validRequests.size())];
            for (size_t mutation = below(4); mutation > 0; --mutation)
                mutate(next);
            text += next;
        }
        return text;
    }

private:
    void mutate(std::string &text)
    {
        if (text.empty())
            return;
        const size_t place = below(text.size());
        switch (below(6)) {
        case 0:
            text[place] = char(below(256));
            break;
        case 1:
            text.erase(place, 1 + below(8));
            break;
        case 2:
            text.insert(place, text.substr(below(text.size()), 1 + below(40)));
            break;
        case 3:
            text.insert(place, below(9000), "a0;:\r\n "[below(7)]);
            break;
        case 4:
            text.resize(place);
            break;
        default:
            for (size_t field = below(400); field > 0; --field)
                text.insert(place, "a: b\r\n");
        }
    }

    std::mt19937_64 m_random;
};

class HttpFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpFuzzTest);
    CPPUNIT_TEST(mutatedRequestsLeaveTheServerInOrder);
    CPPUNIT_TEST_SUITE_END();

    Threads m_threads;
    std::atomic<bool> m_isBounded = true;

    void check(const Request &request, const Responder &respond)
    {
        size_t bytes = request.path.size() + request.query.size();
        for (const auto &[name, value] : request.headers.all())
            bytes += name.size() + value.size();
        if (request.body.size() > maxBody || bytes > maxHeader
            || request.headers.all().size() > 256)
            m_isBounded = false;
        respond({.status = 200, .body = "ok"});
    }

public:
    void mutatedRequestsLeaveTheServerInOrder()
    {
        const uint64_t seed = cwl::tests::testSeed();
        const ServerOptions options{.maxBodyBytes = maxBody,
                                    .maxHeaderBytes = maxHeader,
                                    .maxConnections = 8,
                                    .memoryBytes = 80000,
                                    .headerTimeout = milliseconds(200),
                                    .bodyTimeout = milliseconds(200),
                                    .idleTimeout = milliseconds(200)};
        const auto server =
                *Server::create(m_threads.context, options,
                                [this](const Request &request, const Responder &respond) {
                                    check(request, respond);
                                });
        Mutator mutator(seed);
        std::vector<std::unique_ptr<PlainSocket>> open;
        for (int round = 0; round < rounds; ++round) {
            open.push_back(std::make_unique<PlainSocket>(server->port()));
            const std::string input = mutator.input();
            for (size_t sent = 0; sent < input.size();) {
                const size_t piece = 1 + mutator.below(mutator.below(2) == 0 ? 20 : 5000);
                open.back()->write(input.substr(sent, piece));
                sent += piece;
            }
            if (mutator.below(4) == 0)
                open.back()->reset();
            else if (mutator.below(3) == 0)
                open.back()->close();
            if (open.size() > 12)
                open.erase(open.begin());
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", seed), m_isBounded.load());
        open.clear();
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("connections stay open, seed ", seed),
                               waitUntil([&] { return server->connections() == 0; }));
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("memory stays charged, seed ", seed),
                               waitUntil([&] { return server->memoryUsed() == 0; }));
        PlainSocket ordinary(server->port());
        ordinary.write(validRequests.front());
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", seed),
                               ordinary.readTo("ok").starts_with("HTTP/1.1 200 "));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFuzzTest);

} // namespace
