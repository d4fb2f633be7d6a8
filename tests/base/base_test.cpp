// Tests of the base library: errors keep their type over the wire, JSON input is checked strictly.

#include "base/clock.h"
#include "base/error.h"
#include "base/json.h"
#include "base/units.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

class BaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BaseTest);
    CPPUNIT_TEST(errorKeepsTypeAndDetailOverTheWire);
    CPPUNIT_TEST(unknownErrorShapeIsProtocolError);
    CPPUNIT_TEST(strictJsonRefusesCommentsAndDuplicates);
    CPPUNIT_TEST(deepNestingIsRefusedWithoutCrash);
    CPPUNIT_TEST(intMemberNamesTheRange);
    CPPUNIT_TEST(resourcesFitInEveryDimension);
    CPPUNIT_TEST(clockErrorMarginsPointTheSafeWay);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a typed refusal that reaches the caller as a generic error.
    void errorKeepsTypeAndDetailOverTheWire()
    {
        const cwl::ErrorDetail detail{
                .field = "memoryMiB", .limit = "65536 MiB", .retryAfterMs = 500};
        const absl::Status sent = cwl::makeError(cwl::Failure::JobTooLarge, "too large", detail);
        const absl::Status received = cwl::errorFromJson(cwl::errorToJson(sent));
        CPPUNIT_ASSERT(cwl::failureOf(received) == cwl::Failure::JobTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::string("memoryMiB"), cwl::detailOf(received).field);
        CPPUNIT_ASSERT_EQUAL(std::string("65536 MiB"), cwl::detailOf(received).limit);
        CPPUNIT_ASSERT_EQUAL(int64_t(500), *cwl::detailOf(received).retryAfterMs);
        CPPUNIT_ASSERT(received.message() == "too large");
    }

    // Guards against a crash or a false success on an error answer of another shape.
    void unknownErrorShapeIsProtocolError()
    {
        Json::Value odd;
        odd["error"] = 5;
        CPPUNIT_ASSERT(cwl::failureOf(cwl::errorFromJson(odd)) == cwl::Failure::ProtocolError);
        CPPUNIT_ASSERT(cwl::failureOf(cwl::errorFromJson(Json::Value(1)))
                       == cwl::Failure::ProtocolError);
    }

    // Guards against two readers that understand one body differently.
    void strictJsonRefusesCommentsAndDuplicates()
    {
        CPPUNIT_ASSERT(!cwl::parseJson("{\"a\": 1, \"a\": 2}").ok());
        CPPUNIT_ASSERT(!cwl::parseJson("{} // comment").ok());
        CPPUNIT_ASSERT(!cwl::parseJson("{} trailing").ok());
        CPPUNIT_ASSERT(cwl::parseJsonWithComments("{\n// note\n\"a\": 1}").ok());
        CPPUNIT_ASSERT(!cwl::parseJsonWithComments("{\"a\": 1, \"a\": 2}").ok());
    }

    // Guards against a stack overflow through a hostile body.
    void deepNestingIsRefusedWithoutCrash()
    {
        CPPUNIT_ASSERT(!cwl::parseJson(std::string(100000, '[')).ok());
    }

    // Guards against a refusal that does not say what would be allowed.
    void intMemberNamesTheRange()
    {
        Json::Value object;
        object["count"] = 0;
        const absl::StatusOr<int64_t> count = cwl::intMember(object, "count", 1, 10);
        CPPUNIT_ASSERT(cwl::failureOf(count.status()) == cwl::Failure::InvalidValue);
        CPPUNIT_ASSERT_EQUAL(std::string("1 to 10"), cwl::detailOf(count.status()).limit);
    }

    // Guards against a task that fits in cores but not in memory.
    void resourcesFitInEveryDimension()
    {
        const cwl::Resources worker{cwl::Millicores(16000), cwl::Mebibytes(65536),
                                    cwl::Accelerators(0)};
        const cwl::Resources task{cwl::Millicores(1000), cwl::Mebibytes(65537),
                                  cwl::Accelerators(0)};
        CPPUNIT_ASSERT(!task.fitsIn(worker));
        CPPUNIT_ASSERT(worker.fitsIn(worker));
    }

    // Guards against a margin with the wrong sign, which would let two owners overlap.
    void clockErrorMarginsPointTheSafeWay()
    {
        const cwl::Duration lease = cwl::seconds(3);
        CPPUNIT_ASSERT(cwl::shortenedByClockError(lease) < lease);
        CPPUNIT_ASSERT(cwl::lengthenedByClockError(lease) > lease);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

} // namespace
