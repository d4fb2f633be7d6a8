// Tests of the checks of settings files and subtrees.

#include "base/error.h"
#include "settings/cellsettings.h"
#include "settings/processsettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace {

using cwl::Failure;
using namespace cwl::settings;

// SHA-256 of "secret".
const std::string secretDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

std::string teamText(const std::string &extra = "")
{
    return "{\n  // a team\n  \"quota\": {\"cores\": 1000, \"memoryMiB\": 10},\n  \"tokenSha256\": "
           "\""
            + secretDigest + "\"" + extra + "\n}";
}

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(processSettingsAcceptComments);
    CPPUNIT_TEST(unknownKeyIsRefusedWithPosition);
    CPPUNIT_TEST(valueOutOfRangeNamesTheRange);
    CPPUNIT_TEST(missingFileIsTyped);
    CPPUNIT_TEST(sharesAboveHundredPercentAreRefused);
    CPPUNIT_TEST(serviceWithoutMethodsIsRefused);
    CPPUNIT_TEST(refusedSubtreeLeavesTheOthersInForce);
    CPPUNIT_TEST(strangerAndOtherTeamAreNotAuthorized);
    CPPUNIT_TEST(firstChangeOfAllIsTheCells);
    CPPUNIT_TEST(wholeSettingsSurviveTheWayToAPeer);
    CPPUNIT_TEST(anyTextIsParsedOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void processSettingsAcceptComments()
    {
        const auto settings = parseProcessSettings(
                "{ // note\n \"instance\": \"entry-1\", \"dataCentre\": \"a\", \"region\": \"r\",\n"
                " \"httpPort\": 1, \"rpcPort\": 2, \"platform\": \"127.0.0.1:7000\" }",
                "entry.json");
        CPPUNIT_ASSERT(settings.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), settings->instance.value());
        CPPUNIT_ASSERT_EQUAL(int64_t(2), settings->trafficThreads);
    }

    // Guards against a misspelt key that is silently ignored.
    void unknownKeyIsRefusedWithPosition()
    {
        const auto settings = parseProcessSettings(
                "{\"instance\": \"e\", \"dataCentre\": \"a\", \"region\": \"r\", \"httpPort\": 1,\n"
                "  \"rpcPort\": 2, \"platform\": \"p\", \"trafficThread\": 3}",
                "entry.json");
        CPPUNIT_ASSERT(cwl::failureOf(settings.status()) == Failure::InvalidSettings);
        const std::string message(settings.status().message());
        CPPUNIT_ASSERT(message.find("entry.json:2:") == 0);
        CPPUNIT_ASSERT(message.find("'trafficThread'") != std::string::npos);
    }

    void valueOutOfRangeNamesTheRange()
    {
        const auto settings = parseProcessSettings("{\"instance\": \"e\", \"dataCentre\": \"a\", "
                                                   "\"region\": \"r\", \"httpPort\": 70000,"
                                                   " \"rpcPort\": 2, \"platform\": \"p\"}",
                                                   "entry.json");
        CPPUNIT_ASSERT(cwl::detailOf(settings.status()).field == "httpPort");
        CPPUNIT_ASSERT(cwl::detailOf(settings.status()).limit == "0 to 65535");
    }

    void missingFileIsTyped()
    {
        const auto settings = loadProcessSettings("/nonexistent/settings.json");
        CPPUNIT_ASSERT(cwl::failureOf(settings.status()) == Failure::InvalidSettings);
    }

    // Guards against guarantees that no scheduler could keep.
    void sharesAboveHundredPercentAreRefused()
    {
        const auto cell = parseCellSubtree(
                "{\"classShares\": {\"urgent\": 60, \"normal\": 30, \"deferred\": 20}}");
        CPPUNIT_ASSERT(cwl::failureOf(cell.status()) == Failure::InvalidSettings);
        CPPUNIT_ASSERT_EQUAL(std::string("classShares"), cwl::detailOf(cell.status()).field);
    }

    void serviceWithoutMethodsIsRefused()
    {
        const auto cell = parseCellSubtree("{\"services\": {\"draw\": {}}}");
        CPPUNIT_ASSERT_EQUAL(std::string("services.draw.methods"),
                             cwl::detailOf(cell.status()).field);
    }

    // Guards against a broken change that takes accepted settings with it.
    void refusedSubtreeLeavesTheOthersInForce()
    {
        const CellSettings accepted = withSubtree({}, "archive", teamText()).value();
        CPPUNIT_ASSERT(!withSubtree(accepted, "draws", teamText(", \"weight\": 0")).ok());
        CPPUNIT_ASSERT(accepted.teams.contains(cwl::TeamId("archive")));
        CPPUNIT_ASSERT(!withSubtree(accepted, "no such name!", teamText()).ok());
    }

    // Guards against operators who change what is not theirs.
    void strangerAndOtherTeamAreNotAuthorized()
    {
        CellSettings settings = withSubtree({}, "cell", "{}").value();
        settings = withSubtree(settings, "archive", teamText()).value();
        settings = withSubtree(settings, "draws", "{\"quota\": {\"cores\": 1, \"memoryMiB\": 1}}")
                           .value();
        CPPUNIT_ASSERT(isAuthorized(settings, "archive", "secret"));
        CPPUNIT_ASSERT(!isAuthorized(settings, "archive", "wrong"));
        CPPUNIT_ASSERT(!isAuthorized(settings, "archive", ""));
        CPPUNIT_ASSERT(!isAuthorized(settings, "draws", "secret"));
        CPPUNIT_ASSERT(!isAuthorized(settings, "cell", "secret"));
    }

    // Guards against a team that takes the cell over before its operators set their token.
    void firstChangeOfAllIsTheCells()
    {
        CPPUNIT_ASSERT(!isAuthorized({}, "archive", "secret"));
        CPPUNIT_ASSERT(isAuthorized({}, "cell", "secret"));
    }

    // Guards against a process that starts during an outage with other settings than its peers.
    void wholeSettingsSurviveTheWayToAPeer()
    {
        CellSettings settings = withSubtree({}, "archive", teamText()).value();
        settings.version = cwl::SettingsVersion(7);
        const CellSettings copy = cellSettingsFromJson(toJson(settings)).value();
        CPPUNIT_ASSERT_EQUAL(int64_t(7), copy.version.value());
        CPPUNIT_ASSERT(copy.texts == settings.texts);
    }

    // Guards against a crash on hostile input.
    void anyTextIsParsedOrRefused()
    {
        const bool passed = rc::check("any text is parsed or refused", [](const std::string &text) {
            (void)parseCellSubtree(text);
            (void)parseTeamSubtree(text);
            (void)parseProcessSettings(text, "random");
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace
