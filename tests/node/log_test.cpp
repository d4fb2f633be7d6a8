// Tests of the log: one event stays one line, and a failure that repeats cannot flood it.

#include "base/error.h"
#include "node/log.h"
#include "node/logline.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

namespace log = cwl::log;

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(pairsKeepTheirTypes);
    CPPUNIT_TEST(valuesCannotForgeLinesOrPairs);
    CPPUNIT_TEST(longValuesAreCut);
    CPPUNIT_TEST(repeatedEventsAreDroppedAndCounted);
    CPPUNIT_TEST(manyEventNamesStayBounded);
    CPPUNIT_TEST(levelChangesAtRunTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against pairs that monitoring cannot read back.
    void pairsKeepTheirTypes()
    {
        const absl::Status status = cwl::makeError(cwl::Failure::QueueFull, "full up");
        const std::string line = log::formatLine("rpc_lost",
                                                 {{"text", "plain"},
                                                  {"empty", ""},
                                                  {"count", 5},
                                                  {"size", size_t(7)},
                                                  {"ratio", 0.25},
                                                  {"flag", true},
                                                  {"wait", cwl::milliseconds(1500)},
                                                  {"error", status}},
                                                 3);
        CPPUNIT_ASSERT_EQUAL(std::string("event=rpc_lost text=plain empty=\"\" count=5 size=7 "
                                         "ratio=0.25 flag=true wait=1500ms "
                                         "error=\"queue_full: full up\" dropped=3"),
                             line);
    }

    // Guards against a caller whose text looks like another event.
    void valuesCannotForgeLinesOrPairs()
    {
        const std::string line = log::formatLine("x", {{"path", "a\nevent=forged \"b\" \x01"}}, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("event=x path=\"a\\nevent=forged \\\"b\\\" \\x01\""),
                             line);
    }

    // Guards against one value that fills the log; a state dump is exempt.
    void longValuesAreCut()
    {
        const std::string text(10000, 'x');
        const std::string cut = log::formatLine("x", {{"v", text}}, 0);
        CPPUNIT_ASSERT(cut.size() < log::maxValueBytes + 20);
        CPPUNIT_ASSERT(cut.ends_with("..."));
        CPPUNIT_ASSERT(log::formatLine("x", {{"v", log::Whole{text}}}, 0).ends_with(text));
    }

    // Guards against a flood by one failure, and against one that hides other events.
    void repeatedEventsAreDroppedAndCounted()
    {
        log::RateLimit limit;
        cwl::TimePoint now(cwl::seconds(100));
        uint64_t admitted = 0;
        for (int round = 0; round < 1000; ++round)
            admitted += limit.admit("lost", now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(log::maxPerSecond, admitted);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), *limit.admit("other", now));
        now += cwl::seconds(1);
        CPPUNIT_ASSERT_EQUAL(1000 - log::maxPerSecond, *limit.admit("lost", now));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), *limit.admit("lost", now));
    }

    // Guards against memory that grows with event names.
    void manyEventNamesStayBounded()
    {
        log::RateLimit limit;
        const cwl::TimePoint now(cwl::seconds(100));
        uint64_t admitted = 0;
        for (size_t name = 0; name < log::maxEvents + 1000; ++name)
            admitted += limit.admit("event" + std::to_string(name), now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(log::maxEvents + log::maxPerSecond, admitted);
    }

    // Guards against a level that only takes effect after a restart.
    void levelChangesAtRunTime()
    {
        const log::Level before = log::level();
        log::setLevel(log::Level::Warn);
        CPPUNIT_ASSERT(!log::isEnabled(log::Level::Info));
        CPPUNIT_ASSERT(log::isEnabled(log::Level::Warn));
        log::setLevel(*log::levelFromName("trace"));
        CPPUNIT_ASSERT(log::isEnabled(log::Level::Trace));
        log::setLevel(before);
        const auto unknown = log::levelFromName("loud");
        CPPUNIT_ASSERT(cwl::failureOf(unknown.status()) == cwl::Failure::InvalidValue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace
