// Tests of request.execute on the wire, and of what a response of an endpoint means.

#include "base/error.h"
#include "entry/endpointlink.h"
#include "entry/wire.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::entry;
using requests::Outcome;
using requests::OutcomeKind;
using requests::SendResult;

const TimePoint now{seconds(1000)};

ExecuteRequest request()
{
    ExecuteRequest request;
    request.service = ServiceId("draw");
    request.method = "pair";
    request.group = 4;
    request.id = *requests::parseRequestId("1700000000000-a");
    request.urgency = settings::UrgencyClass::Deferred;
    request.deadline = now + milliseconds(1234);
    request.hops = 1;
    request.contentType = "text/plain";
    request.body = std::string("\0\xff body", 7);
    return request;
}

ExecuteResult sentOver(const Outcome &outcome)
{
    const ExecuteResult sent{std::make_shared<const Outcome>(outcome), 0.5};
    const auto received = decodeResult(encodeResult(sent));
    CPPUNIT_ASSERT(received.ok());
    CPPUNIT_ASSERT_EQUAL(0.5, received->load);
    return *received;
}

class WireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(requestSurvivesTheWire);
    CPPUNIT_TEST(malformedRequestIsTyped);
    CPPUNIT_TEST(outcomesSurviveTheWire);
    CPPUNIT_TEST(malformedResultIsNoOutcome);
    CPPUNIT_TEST(failuresOfASendAreTruthful);
    CPPUNIT_TEST(statusIsReadStrictly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a forwarded request that differs from the caller's.
    void requestSurvivesTheWire()
    {
        const TimePoint later = now + seconds(50); // the receiver's clock has another origin
        const auto received = decodeRequest(encodeRequest(request(), now), later);
        CPPUNIT_ASSERT(received.ok());
        CPPUNIT_ASSERT(groupIdOf(*received) == GroupId("endpoint/draw/4"));
        CPPUNIT_ASSERT_EQUAL(std::string("pair"), received->method);
        CPPUNIT_ASSERT(received->id.id == request().id.id);
        CPPUNIT_ASSERT(!received->isIdempotent);
        CPPUNIT_ASSERT(received->urgency == settings::UrgencyClass::Deferred);
        CPPUNIT_ASSERT(received->deadline == later + milliseconds(1234));
        CPPUNIT_ASSERT_EQUAL(int64_t(1), received->hops);
        CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), received->contentType);
        CPPUNIT_ASSERT_EQUAL(request().body, received->body);
    }

    // Guards against a crash, or a request of another kind, after a malformed message.
    void malformedRequestIsTyped()
    {
        const rpc::Message good = encodeRequest(request(), now);
        for (const std::string &name : good.content.getMemberNames()) {
            rpc::Message message = good;
            message.content.removeMember(name);
            CPPUNIT_ASSERT_MESSAGE(name, !decodeRequest(message, now).ok());
            message.content[name] = Json::Value(Json::arrayValue);
            CPPUNIT_ASSERT_MESSAGE(name, !decodeRequest(message, now).ok());
        }
        rpc::Message looping = good;
        looping.content["hops"] = Json::Int64(maxHops + 1);
        CPPUNIT_ASSERT_EQUAL(std::string("hops"),
                             detailOf(decodeRequest(looping, now).status()).field);
        CPPUNIT_ASSERT(!decodeRequest({}, now).ok());
    }

    // Guards against an outcome that changes between the owner and the caller.
    void outcomesSurviveTheWire()
    {
        const ExecuteResult answered = sentOver(Outcome::answered(503, "text/plain", "busy"));
        CPPUNIT_ASSERT(answered.outcome->kind == OutcomeKind::Answered);
        CPPUNIT_ASSERT_EQUAL(503, answered.outcome->status);
        CPPUNIT_ASSERT_EQUAL(std::string("busy"), answered.outcome->body);
        const absl::Status full = makeError(Failure::QueueFull, "full", {.retryAfterMs = 7});
        const ExecuteResult refused = sentOver(Outcome::notRun(full));
        CPPUNIT_ASSERT(refused.outcome->kind == OutcomeKind::NotRun);
        CPPUNIT_ASSERT(failureOf(refused.outcome->error) == Failure::QueueFull);
        CPPUNIT_ASSERT_EQUAL(int64_t(7), *detailOf(refused.outcome->error).retryAfterMs);
        const ExecuteResult lost = sentOver(Outcome::unknown(makeError(Failure::Timeout, "late")));
        CPPUNIT_ASSERT(lost.outcome->kind == OutcomeKind::Unknown);
    }

    // Guards against a garbled result that is taken for "not run".
    void malformedResultIsNoOutcome()
    {
        CPPUNIT_ASSERT(!decodeResult({}).ok());
        Json::Value content;
        content["outcome"] = "perhaps";
        CPPUNIT_ASSERT(!decodeResult({.content = content}).ok());
        content["outcome"] = "answered";
        CPPUNIT_ASSERT(!decodeResult({.content = content}).ok());
    }

    // Guards against calling a request not run that an endpoint may have run.
    void failuresOfASendAreTruthful()
    {
        for (const Failure failure :
             {Failure::ConnectionRefused, Failure::DeadlinePassed, Failure::LeaseLapsed})
            CPPUNIT_ASSERT(endOf(makeError(failure, "x")).result == SendResult::NotSent);
        for (const Failure failure :
             {Failure::ConnectionLost, Failure::Timeout, Failure::AnswerTruncated,
              Failure::BodyTooLarge, Failure::ProtocolError, Failure::Internal}) {
            const SendEnd end = endOf(makeError(failure, "x"));
            CPPUNIT_ASSERT(end.result == SendResult::MayHaveRun);
            CPPUNIT_ASSERT(end.outcome.kind == OutcomeKind::Unknown);
        }
        CPPUNIT_ASSERT(endOf(http::Response{.status = 404}).result == SendResult::Answered);
        const SendEnd error = endOf(http::Response{.status = 500, .body = "x"});
        CPPUNIT_ASSERT(error.result == SendResult::AnsweredError);
        CPPUNIT_ASSERT_EQUAL(500, error.outcome.status);
    }

    // Guards against freeing slots because of a status that was not understood.
    void statusIsReadStrictly()
    {
        const auto status = parseStatus(
                http::Response{.body = R"({"slots":8,"connections":3,"active":2,"leaving":true})"});
        CPPUNIT_ASSERT(status.ok() && status->active == 2 && status->isLeaving);
        for (const char *body : {"", "{}", R"({"slots":8,"leaving":false})",
                                 R"({"slots":8,"active":-1,"leaving":false})"})
            CPPUNIT_ASSERT(!parseStatus(http::Response{.body = body}).ok());
        CPPUNIT_ASSERT(!parseStatus(http::Response{.status = 500}).ok());
        CPPUNIT_ASSERT(!parseStatus(makeError(Failure::Timeout, "x")).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);

} // namespace
