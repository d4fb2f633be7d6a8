// Tests of the platform client: a lost answer is resolved before it is reported, budgets and
// breaker hold. The store behind it is an HTTP server of this test that follows the published
// protocol.

#include "base/error.h"
#include "base/json.h"
#include "http/server.h"
#include "platform/circuitbreaker.h"
#include "platform/platform.h"
#include "platform/tokenbucket.h"
#include "platform/wire.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace {

using cwl::BootClock;
using cwl::Failure;
using cwl::milliseconds;
using cwl::seconds;
using cwl::TimePoint;
using namespace cwl::platform;

// Answers like the platform; loses answers or is out on command.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &context)
    {
        m_server = cwl::http::Server::create(context, {}, [this](auto request, auto responder) {
                       answer(request, responder);
                   }).value();
    }

    std::string address() const { return absl::StrCat("127.0.0.1:", m_server->port()); }

    int answersToLose = 0;              // commits that take effect without an answer
    bool isOut = false;                 // every call gets 503
    int commitsReceived = 0;            // requests to commit
    int outcomesRead = 0;               // reads of a change's outcome
    std::map<std::string, int> effects; // times each change id took effect

private:
    void answer(const cwl::http::Request &request, const cwl::http::Responder &responder)
    {
        if (isOut) {
            responder({.status = 503});
            return;
        }
        if (request.path == "/tables/commit") {
            commit(request, responder);
            return;
        }
        ++outcomesRead;
        const std::string id = request.path.substr(std::string("/tables/changes/").size());
        const bool isKnown = effects.contains(id);
        responder({.body = isKnown ? R"({"known": true, "committed": true, "revision": 7})"
                                   : R"({"known": false})"});
    }

    void commit(const cwl::http::Request &request, const cwl::http::Responder &responder)
    {
        ++commitsReceived;
        const std::string id = cwl::parseJson(request.body).value()["changeId"].asString();
        if (!effects.contains(id))
            effects[id] = 1;
        if (answersToLose > 0) {
            --answersToLose;
            m_lost.push_back(responder);
            return;
        }
        responder({.body = R"({"committed": true, "revision": 7})"});
    }

    std::unique_ptr<cwl::http::Server> m_server;
    std::vector<cwl::http::Responder> m_lost; // never answered
};

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(lostAnswerIsResolvedByItsChangeId);
    CPPUNIT_TEST(refusedCommitIsReportedAsNotDone);
    CPPUNIT_TEST(unansweredCommitIsReportedAsUnknown);
    CPPUNIT_TEST(openBreakerFailsAtOnceAndProbes);
    CPPUNIT_TEST(bucketNeverPassesItsRate);
    CPPUNIT_TEST(anyAnswerIsParsedOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a commit that is reported as failed, or sent twice, although it took effect.
    void lostAnswerIsResolvedByItsChangeId()
    {
        boost::asio::io_context context;
        FakeStore store(context);
        store.answersToLose = 1;
        const auto client = makeClient(context, store);
        const absl::StatusOr<cwl::Revision> revision = commit(context, *client, seconds(10));
        CPPUNIT_ASSERT(revision.ok());
        CPPUNIT_ASSERT_EQUAL(int64_t(7), revision->value());
        CPPUNIT_ASSERT_EQUAL(1, store.commitsReceived);
        CPPUNIT_ASSERT_EQUAL(1, store.outcomesRead);
    }

    // Guards against "may have taken effect" where nothing can have.
    void refusedCommitIsReportedAsNotDone()
    {
        boost::asio::io_context context;
        FakeStore store(context);
        store.isOut = true;
        const auto client = makeClient(context, store);
        const auto revision = commit(context, *client, milliseconds(400));
        CPPUNIT_ASSERT(cwl::failureOf(revision.status()) == Failure::StoreUnavailable);
        CPPUNIT_ASSERT(store.effects.empty());
    }

    // The deadline passes before the outcome can be read.
    // Guards against "nothing was done" where the commit may have taken effect.
    void unansweredCommitIsReportedAsUnknown()
    {
        boost::asio::io_context context;
        FakeStore store(context);
        store.answersToLose = 1;
        const auto client = makeClient(context, store);
        const auto revision = commit(context, *client, milliseconds(90));
        CPPUNIT_ASSERT(cwl::failureOf(revision.status()) == Failure::StoreOutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(size_t(1), store.effects.size());
    }

    // Guards against calls that queue up behind a store that is down.
    void openBreakerFailsAtOnceAndProbes()
    {
        const TimePoint start = BootClock::now();
        CircuitBreaker breaker(seconds(1));
        for (int failure = 0; failure < 3; ++failure) {
            CPPUNIT_ASSERT(breaker.allows(start));
            breaker.failed(start);
        }
        CPPUNIT_ASSERT(!breaker.allows(start + milliseconds(999)));
        CPPUNIT_ASSERT(breaker.allows(start + seconds(1)));
        CPPUNIT_ASSERT(!breaker.allows(start + seconds(1)));
        breaker.succeeded();
        CPPUNIT_ASSERT(breaker.allows(start + seconds(1)));
    }

    // Guards against a process that takes more than its part of the cell's budget.
    void bucketNeverPassesItsRate()
    {
        const bool passed = rc::check("a bucket never passes its rate", [] {
            const int64_t rate = *rc::gen::inRange<int64_t>(1, 1000);
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
            const TimePoint start = BootClock::now();
            TokenBucket bucket(rate, start);
            TimePoint now = start;
            int64_t taken = 0;
            for (const int step : steps) {
                now += milliseconds(step);
                const TimePoint at = bucket.reserve(1, now);
                ++taken;
                const double allowed =
                        rate * (1.0 + std::chrono::duration<double>(at - start).count()) + 1;
                RC_ASSERT(static_cast<double>(taken) <= allowed);
                RC_ASSERT(at >= now);
            }
        });
        CPPUNIT_ASSERT(passed);
    }

    // Guards against a crash on an answer of another shape.
    void anyAnswerIsParsedOrRefused()
    {
        const bool passed =
                rc::check("any answer is parsed or refused", [](const std::string &text) {
                    (void)commitAnswer(text);
                    (void)changeAnswer(text);
                    (void)readAnswer(text, 1);
                    (void)instancesAnswer(text);
                });
        CPPUNIT_ASSERT(passed);
        CPPUNIT_ASSERT(!readAnswer(R"({"rows": [[5]]})", 1).ok());
        CPPUNIT_ASSERT(!readAnswer(R"({"rows": []})", 1).ok());
        CPPUNIT_ASSERT(!instancesAnswer(R"({"instances": [{"id": "a", "kind": "b"}]})").ok());
    }

private:
    static std::unique_ptr<Client> makeClient(boost::asio::io_context &context,
                                              const FakeStore &store)
    {
        ClientOptions options;
        options.address = store.address();
        options.attemptTimeout = milliseconds(100);
        options.breakerOpenTime = milliseconds(50);
        return Client::create(context, options).value();
    }

    static absl::StatusOr<cwl::Revision> commit(boost::asio::io_context &context, Client &client,
                                                cwl::Duration timeout)
    {
        std::optional<absl::StatusOr<cwl::Revision>> result;
        Commit commit{.changeId = cwl::ChangeId("change-1")};
        commit.writes = {{"t", "k", Json::Value(1)}};
        client.commit(commit, BootClock::now() + timeout,
                      [&result](absl::StatusOr<cwl::Revision> revision) { result = revision; });
        while (!result)
            context.run_one();
        return *result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

} // namespace
