// Tests of the callers' HTTP interface: what is refused names its cause, and the response names the
// outcome.

#include "base/error.h"
#include "base/json.h"
#include "entry/callersapi.h"
#include "entry/loadlimits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::entry;

const TimePoint now{seconds(1000)};
const UnixMilliseconds unixNow(1'700'000'000'000);

settings::CellSettings cell()
{
    settings::CellSettings settings;
    settings.cell.services["draw"].methods = {{"motions", {.idempotent = true}}, {"pair", {}}};
    return settings;
}

http::Request requestTo(const std::string &path)
{
    http::Request request{.method = "POST", .path = path, .body = "body"};
    request.headers.set("Request-Id", "1700000000000-a");
    return request;
}

absl::StatusOr<ExecuteRequest> parse(http::Request request)
{
    const settings::CellSettings settings = cell();
    return parseCallerRequest(std::move(request), &settings, now, unixNow);
}

void assertRefused(http::Request request, Failure failure, const std::string &field)
{
    const auto parsed = parse(std::move(request));
    CPPUNIT_ASSERT(!parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::string(failureName(failure)),
                         std::string(failureName(failureOf(parsed.status()))));
    CPPUNIT_ASSERT_EQUAL(field, detailOf(parsed.status()).field);
}

class CallersApiTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallersApiTest);
    CPPUNIT_TEST(defaultsAreThoseOfThePage);
    CPPUNIT_TEST(headersAreRead);
    CPPUNIT_TEST(refusalsNameWhatIsWrong);
    CPPUNIT_TEST(withoutSettingsNothingIsAccepted);
    CPPUNIT_TEST(idempotentRequestGetsAnId);
    CPPUNIT_TEST(responseNamesTheOutcome);
    CPPUNIT_TEST(limitsShedAndRecover);
    CPPUNIT_TEST(eachRequestIsAnsweredOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against defaults that differ from what callers were promised.
    void defaultsAreThoseOfThePage()
    {
        const auto parsed = parse(requestTo("/v1/services/draw/pair"));
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(parsed->deadline == now + seconds(10));
        CPPUNIT_ASSERT(parsed->urgency == settings::UrgencyClass::Normal);
        CPPUNIT_ASSERT(!parsed->isIdempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), parsed->body);
    }

    // Guards against a header that is ignored.
    void headersAreRead()
    {
        http::Request request = requestTo("/v1/services/draw/motions");
        request.headers.set("request-deadline-ms", "30000");
        request.headers.set("Request-Class", "urgent");
        request.headers.set("Content-Type", "text/plain");
        const auto parsed = parse(std::move(request));
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(parsed->deadline == now + seconds(30));
        CPPUNIT_ASSERT(parsed->urgency == settings::UrgencyClass::Urgent);
        CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), parsed->contentType);
    }

    // Guards against refusals that leave the caller to guess.
    void refusalsNameWhatIsWrong()
    {
        assertRefused(requestTo("/v1/services/none/pair"), Failure::UnknownService, "service");
        assertRefused(requestTo("/v1/services/"), Failure::UnknownService, "service");
        assertRefused(requestTo("/v1/services/draw"), Failure::UnknownMethod, "method");
        assertRefused(requestTo("/v1/services/draw/pair/x"), Failure::UnknownMethod, "method");
        http::Request request = requestTo("/v1/services/draw/pair");
        request.method = "GET";
        assertRefused(request, Failure::InvalidValue, "HTTP method");
        for (const char *deadline : {"0", "-1", "30001", "1.5", "x", "", "99999999999999999999"}) {
            request = requestTo("/v1/services/draw/pair");
            request.headers.set("Request-Deadline-Ms", deadline);
            assertRefused(request, Failure::InvalidValue, "Request-Deadline-Ms");
        }
        request = requestTo("/v1/services/draw/pair");
        request.headers.set("Request-Class", "soon");
        assertRefused(request, Failure::InvalidValue, "Request-Class");
        request = requestTo("/v1/services/draw/pair");
        request.headers.set("Request-Id", "abc");
        assertRefused(request, Failure::InvalidValue, "Request-Id");
        assertRefused({.method = "POST", .path = "/v1/services/draw/pair"}, Failure::MissingField,
                      "Request-Id");
    }

    // Guards against a process that refuses real services because it has not read them yet.
    void withoutSettingsNothingIsAccepted()
    {
        const auto parsed =
                parseCallerRequest(requestTo("/v1/services/draw/pair"), nullptr, now, unixNow);
        CPPUNIT_ASSERT(failureOf(parsed.status()) == Failure::NotReady);
    }

    // Guards against a request that reaches an endpoint without an id.
    void idempotentRequestGetsAnId()
    {
        const auto parsed = parse({.method = "POST", .path = "/v1/services/draw/motions"});
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(parsed->id.time == unixNow);
    }

    // Guards against a caller that cannot tell what became of its request.
    void responseNamesTheOutcome()
    {
        const http::Response answered =
                responseFor(requests::Outcome::answered(201, "text/plain", "done"));
        CPPUNIT_ASSERT_EQUAL(201, answered.status);
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), answered.headers.value("Request-Outcome"));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), answered.body);
        const http::Response full = responseFor(requests::Outcome::notRun(
                makeError(Failure::QueueFull, "full", {.retryAfterMs = 1200})));
        CPPUNIT_ASSERT_EQUAL(429, full.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), full.headers.value("Request-Outcome"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), full.headers.value("Retry-After"));
        const Json::Value error = (*parseJson(full.body))["error"];
        CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), error["type"].asString());
        const std::pair<Failure, int> codes[] = {{Failure::Timeout, 504},
                                                 {Failure::ConnectionLost, 502},
                                                 {Failure::IdPredatesOwner, 502}};
        for (const auto &[failure, code] : codes) {
            const http::Response unknown =
                    responseFor(requests::Outcome::unknown(makeError(failure, "lost")));
            CPPUNIT_ASSERT_EQUAL(code, unknown.status);
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"), unknown.headers.value("Request-Outcome"));
        }
    }

    // Guards against unbounded memory, and against a place that is never given back.
    void limitsShedAndRecover()
    {
        LoadLimits limits;
        LoadLimits::Place large = limits.take(static_cast<size_t>(maxBytesHeld));
        CPPUNIT_ASSERT(large != nullptr);
        CPPUNIT_ASSERT(limits.take(1) == nullptr);
        large.reset();
        CPPUNIT_ASSERT_EQUAL(int64_t(0), limits.bytes());
        std::vector<LoadLimits::Place> places;
        for (int64_t i = 0; i < maxRequestsHeld; ++i)
            places.push_back(limits.take(1));
        CPPUNIT_ASSERT(limits.take(0) == nullptr);
        places.clear();
        CPPUNIT_ASSERT_EQUAL(int64_t(0), limits.requests());
    }

    // Guards against a refusal or a stop that leaves a caller without a response.
    void eachRequestIsAnsweredOnce()
    {
        LoadLimits limits;
        metrics::Registry metrics;
        const auto settings = std::make_shared<const settings::CellSettings>(cell());
        std::function<void(requests::SharedOutcome)> pending;
        CallersApi api([settings] { return settings; },
                       [&pending](const ExecuteRequest &, auto callback) { pending = callback; },
                       limits, metrics);
        std::vector<int> codes;
        const auto respond = [&codes](const http::Response &response) {
            codes.push_back(response.status);
        };
        api.handle(requestTo("/v1/services/draw/pair"), respond);
        CPPUNIT_ASSERT_EQUAL(int64_t(1), api.underWay());
        api.handle(requestTo("/v1/services/none/pair"), respond);
        api.stop();
        // Without the caller's word that this is the first attempt, an earlier one may have run.
        api.handle(requestTo("/v1/services/draw/pair"), respond);
        http::Request first = requestTo("/v1/services/draw/pair");
        first.headers.set("Request-Attempt", "1");
        api.handle(first, respond);
        pending(std::make_shared<const requests::Outcome>(
                requests::Outcome::answered(200, "", "")));
        pending = nullptr;
        CPPUNIT_ASSERT(codes == std::vector<int>({404, 502, 503, 200}));
        CPPUNIT_ASSERT_EQUAL(int64_t(0), api.underWay());
        CPPUNIT_ASSERT_EQUAL(int64_t(0), limits.requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersApiTest);

} // namespace
