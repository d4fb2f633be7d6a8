// Tests of the JSON-RPC codec: every text decodes to what was encoded, and no input ends the
// process.

#include "rpc/codec/codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using cwl::rpc::Incoming;

bool isPing(const std::string &method)
{
    return method == "ping";
}

Incoming decoded(const std::string &text)
{
    return cwl::rpc::decode(text, isPing);
}

class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(callKeepsIdMethodAndParameters);
    CPPUNIT_TEST(answersKeepIdAndContent);
    CPPUNIT_TEST(unknownMethodIsRefusedWithAnAnswer);
    CPPUNIT_TEST(malformedTextsAreReported);
    CPPUNIT_TEST(arbitraryBytesNeverEndTheProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two calls under one id, which the library gives to every call that it writes.
    void callKeepsIdMethodAndParameters()
    {
        Json::Value parameters;
        parameters["id"] = 1;
        parameters["text"] = "{\"id\":1,";
        const uint64_t id = 9007199254740993; // not exact as a floating-point number
        const Incoming call = decoded(cwl::rpc::encodeCall(id, "ping", parameters));
        CPPUNIT_ASSERT(call.kind == Incoming::Kind::Call);
        CPPUNIT_ASSERT_EQUAL(id, call.id);
        CPPUNIT_ASSERT_EQUAL(std::string("ping"), call.method);
        CPPUNIT_ASSERT(call.content == parameters);
        const Incoming empty = decoded(cwl::rpc::encodeCall(2, "ping", Json::Value()));
        CPPUNIT_ASSERT(empty.kind == Incoming::Kind::Call);
    }

    // Guards against an answer that reaches another caller or loses its error data.
    void answersKeepIdAndContent()
    {
        Json::Value content;
        content["type"] = "queue_full";
        const Incoming result = decoded(cwl::rpc::encodeResult(7, content));
        CPPUNIT_ASSERT(result.kind == Incoming::Kind::Result);
        CPPUNIT_ASSERT_EQUAL(uint64_t(7), result.id);
        CPPUNIT_ASSERT(result.content == content);
        const Incoming null = decoded(cwl::rpc::encodeResult(8, Json::Value()));
        CPPUNIT_ASSERT(null.kind == Incoming::Kind::Result && null.content.isNull());
        const Incoming error = decoded(
                cwl::rpc::encodeError(9, cwl::rpc::typedErrorCode, "queue is full", content));
        CPPUNIT_ASSERT(error.kind == Incoming::Kind::Error);
        CPPUNIT_ASSERT_EQUAL(uint64_t(9), error.id);
        CPPUNIT_ASSERT_EQUAL(cwl::rpc::typedErrorCode, error.errorCode);
        CPPUNIT_ASSERT(error.content == content);
    }

    // Guards against a caller that waits for its deadline after naming a method that does not
    // exist.
    void unknownMethodIsRefusedWithAnAnswer()
    {
        const Incoming call = decoded(cwl::rpc::encodeCall(4, "pong", Json::Value()));
        CPPUNIT_ASSERT(call.kind == Incoming::Kind::Refused);
        const Incoming answer = decoded(call.reply);
        CPPUNIT_ASSERT(answer.kind == Incoming::Kind::Error);
        CPPUNIT_ASSERT_EQUAL(uint64_t(4), answer.id);
        CPPUNIT_ASSERT_EQUAL(cwl::rpc::methodNotFoundCode, answer.errorCode);
    }

    // Guards against texts that are nearly JSON-RPC being taken for calls or answers.
    void malformedTextsAreReported()
    {
        const char *const texts[] = {
                "",
                "{}",
                "[]",
                "5",
                "{\"jsonrpc\":\"2.0\",\"id\":1}",
                "{\"jsonrpc\":\"2.0\",\"id\":\"a\",\"result\":1}",
                "{\"jsonrpc\":\"2.0\",\"id\":-1,\"result\":1}",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":3}",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":\"x\",\"message\":1}}",
                "{\"jsonrpc\":\"1.0\",\"id\":1,\"result\":1}",
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":5}",
                "{\"jsonrpc\":\"2.0\",\"method\":\"unknown.notification\"}",
                "[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}]",
        };
        for (const char *text : texts)
            CPPUNIT_ASSERT_MESSAGE(text, decoded(text).kind == Incoming::Kind::Malformed);
        CPPUNIT_ASSERT(decoded(std::string(100000, '[')).kind == Incoming::Kind::Malformed);
        const Incoming scalar =
                decoded("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\",\"params\":3}");
        CPPUNIT_ASSERT(scalar.kind == Incoming::Kind::Refused);
    }

    // Guards against an exception that crosses the library's exception specifications, which would
    // end the process. RapidCheck prints the seed of a failure.
    void arbitraryBytesNeverEndTheProcess()
    {
        const std::string valid = cwl::rpc::encodeCall(3, "ping", Json::Value(Json::objectValue));
        CPPUNIT_ASSERT(rc::check("decode survives changed texts", [&valid] {
            std::string text = valid;
            const auto changes =
                    *rc::gen::container<std::vector<std::pair<size_t, char>>>(rc::gen::pair(
                            rc::gen::inRange<size_t>(0, text.size()), rc::gen::arbitrary<char>()));
            for (const auto &[position, byte] : changes)
                text[position] = byte;
            const Incoming incoming = decoded(text);
            if (incoming.kind == Incoming::Kind::Call)
                RC_ASSERT(incoming.method == "ping");
            decoded(*rc::gen::arbitrary<std::string>());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace
