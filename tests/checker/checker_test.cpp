// Tests of the check of operators' configurations: what each fault is reported as, what is not
// reported, and that no key is printed. The last suite runs the program.

#include "base/json.h"
#include "base/sha256.h"
#include "checker/configcheck.h"
#include "checker/configdifference.h"
#include "checker/configreport.h"
#include "harness/harness.h"
#include "platform/configfields.h"
#include "platform/decode.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::checker;

// Keys that occur nowhere else in the texts.
const std::string northKey = "secret-of-north";
const std::string southKey = "secret-of-south";

const std::string validConfig =
        R"({"version":8,"routes":[{"name":"r1","host":"a.example","pathPrefix":"/p/",)"
        R"("service":"s","priority":1,"maxAttempts":3,"slowdownFactor":1.5,"targetLatencyMs":250,)"
        R"("timeoutMs":3000,"hint":{"decisionMs":13,"periodMs":0.19,"validityMs":2000}},)"
        R"({"name":"r2","host":"a.example","pathPrefix":"/q/","service":"s","anonymous":true}],)"
        R"("services":[{"name":"s","preconditions":false}],)"
        R"("tenants":[{"name":"north","apiKeys":["secret-of-north"],"priority":1,"weight":37,)"
        R"("cap":{"cpu":16000,"memMb":32768,"gpu":4}},)"
        R"({"name":"south","apiKeys":["secret-of-south"],"weight":9}],)"
        R"("limits":{"maxBodyBytes":262144,"maxHeaderBytes":16384}})";

std::string changed(std::string text, const std::string &from, const std::string &to)
{
    const size_t at = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// "error out-of-range queue r1" for each finding, in order.
std::string summary(const ConfigReport &report)
{
    std::string text;
    for (const Finding &finding : report.findings)
        absl::StrAppend(&text, text.empty() ? "" : "; ",
                        finding.severity == Severity::Error ? "error " : "warning ", finding.code,
                        " ", finding.entry);
    return text;
}

// "queue r1: priority 1 -> 2" for each difference, in order.
std::string summary(const std::vector<Difference> &differences)
{
    constexpr const char *names[] = {"added", "removed", "changed"};
    std::string text;
    for (const Difference &difference : differences)
        absl::StrAppend(&text, text.empty() ? "" : "; ", names[size_t(difference.change)], " ",
                        difference.entry, "|", difference.field, "|", difference.before, "|",
                        difference.after);
    return text;
}

struct BadConfig
{
    std::string from; // of the valid configuration
    std::string to;
    std::string findings;
};

const std::string r1 = R"("name":"r1",)";
const std::string keysOfNorth = R"(["secret-of-north"])";

const std::vector<BadConfig> badConfigs = {
        // The whole
        {R"({"version")", R"(["version")", "error not-json configuration"},
        {R"("version":8,)", "", "error missing-field configuration"},
        {R"("version":8)", R"("version":0)", "error out-of-range configuration"},
        {R"("version":8)", R"("version":8.5)", "error not-an-integer configuration"},
        {R"("version":8)", R"("version":1e300)", "error out-of-range configuration"},
        {R"("version":8)", R"("version":"8")", "error wrong-type configuration"},
        {R"("version":8)", R"("version":8,"version":9)", "error duplicate-field configuration"},
        {R"("routes")", R"("rotues")", "error missing-field configuration"},
        {R"("tenants":[)", R"("tenants":null,"x":[)", "error wrong-type configuration"},
        {R"("limits":{)", R"("limits":7,"x":{)", "error wrong-type configuration"},
        // Limits
        {"262144", "1023", // below the supported range, so that the header limit is above it too
         "error out-of-range configuration; warning header-limit-above-body-limit configuration"},
        {"262144", "4194305", "error out-of-range configuration"},
        {"262144", "8192", "warning header-limit-above-body-limit configuration"},
        {R"("maxBodyBytes":262144,"maxHeaderBytes":16384)", R"("maxHeaderBytes":262145)",
         "warning header-limit-above-body-limit configuration"},
        {"16384", R"("16384")", "error wrong-type configuration"},
        // Queues
        {r1, "", "error missing-field queue #1"},
        {r1, R"("name":"",)", "error missing-field queue #1"},
        {r1, R"("name":7,)", "error wrong-type queue #1"},
        {R"("routes":[)", R"("routes":[5,)", "error wrong-type queue #1"},
        {R"("name":"r2")", R"("name":"r1")", "error duplicate-queue queue r1"},
        {R"("priority":1)", R"("priority":-1)", "error out-of-range queue r1"},
        {R"("priority":1)", R"("priority":101)", "error out-of-range queue r1"},
        {R"("maxAttempts":3)", R"("maxAttempts":0)", "error out-of-range queue r1"},
        {R"("maxAttempts":3)", R"("maxAttempts":1.5)", "error not-an-integer queue r1"},
        {R"("slowdownFactor":1.5)", R"("slowdownFactor":1001)", "error out-of-range queue r1"},
        {R"("slowdownFactor":1.5)", R"("slowdownFactor":true)", "error wrong-type queue r1"},
        {R"("targetLatencyMs":250)", R"("targetLatencyMs":-1)", "error out-of-range queue r1"},
        {R"("targetLatencyMs":250)", R"("targetLatencyMs":3001)",
         "warning latency-above-timeout queue r1"},
        {R"("anonymous":true)", R"("anonymous":"yes")", "error wrong-type queue r2"},
        {R"("/q/")", R"("/p/")", "warning hidden-queue queue r2"},
        {R"("/q/")", R"("")", "warning empty-prefix queue r2"},
        {R"("/q/")", R"("q/")", "warning unmatchable-prefix queue r2"},
        {R"("/q/")", R"("/q?x=/")", "warning unmatchable-prefix queue r2"},
        {R"("/q/")", R"("/q /")", "warning unmatchable-prefix queue r2"},
        {R"("/q/")", R"("/q#/")", "warning unmatchable-prefix queue r2"},
        {R"("host":"a.example","pathPrefix":"/q/")", R"("pathPrefix":"/q/")",
         "warning unmatchable-host queue r2"},
        {R"("a.example","pathPrefix":"/q/")", R"("a.example:80","pathPrefix":"/q/")",
         "warning unmatchable-host queue r2"},
        {R"("service":"s","priority")", R"("service":"t","priority")",
         "warning unknown-service queue r1"},
        {R"("service":"s","priority")", R"("priority")", "warning unknown-service queue r1"},
        {R"("services":[{"name":"s","preconditions":false}])", R"("services":[{"name":"s"},{}])",
         "error missing-field service #2"},
        // Advice
        {R"("hint":{)", R"("hint":5,"x":{)", "error wrong-type queue r1"},
        {R"("periodMs":0.19)", R"("periodMs":"0.19")", "error wrong-type queue r1"},
        {R"("decisionMs":13)", R"("decisionMs":2000)", "warning short-advice-validity queue r1"},
        {R"("validityMs":2000)", R"("validityMs":13)", "warning short-advice-validity queue r1"},
        {R"("validityMs":2000)", R"("validityMs":150)", "warning short-advice-validity queue r1"},
        {R"(,"validityMs":2000)", "", "warning short-advice-validity queue r1"},
        // Customers
        {R"("tenants":[{"name":"north",)", R"("tenants":[{)", "error missing-field customer #1"},
        {R"("tenants":[)", R"("tenants":["x",)", "error wrong-type customer #1"},
        {R"("south")", R"("north")", "error duplicate-customer customer north"},
        {R"("weight":37)", R"("weight":-1)",
         "error out-of-range customer north; warning zero-weight customer north"},
        {R"("weight":37)", R"("weight":1000001)", "error out-of-range customer north"},
        {R"("weight":37)", R"("weight":0)", "warning zero-weight customer north"},
        {R"("cap":{)", R"("cap":16000,"x":{)", "error wrong-type customer north"},
        {R"("cpu":16000)", R"("cpu":-1)", "error out-of-range customer north"},
        {R"("cpu":16000)", R"("cpu":0.5)", "error not-an-integer customer north"},
        {R"("cpu":16000)", R"("cpu":"16000")", "error wrong-type customer north"},
        {R"("cpu":16000)", R"("cpu":16)", "warning unusable-cap customer north"},
        {R"("memMb":32768)", R"("memMb":15)", "warning unusable-cap customer north"},
        // Keys
        {keysOfNorth, R"([])", "warning no-keys customer north"},
        {R"("apiKeys":["secret-of-north"],)", "", "warning no-keys customer north"},
        {keysOfNorth, R"("secret-of-north")",
         "error wrong-type customer north; warning no-keys customer north"},
        {keysOfNorth, R"(["secret-of-north",48151623])", "error unusable-key customer north"},
        {keysOfNorth, R"(["secret-of-north",""])", "error unusable-key customer north"},
        {keysOfNorth, R"([" secret-of-north"])", "warning unmatchable-key customer north"},
        {keysOfNorth, R"(["secret\nof-north"])", "warning unmatchable-key customer north"},
        {keysOfNorth, R"(["secret-of-north","secret-of-north"])",
         "warning repeated-key customer north"},
        {keysOfNorth, R"(["secret-of-north","secret-of-south"])",
         "warning shared-key customer south"},
};

class ConfigCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigCheckTest);
    CPPUNIT_TEST(validConfigHasNoFindings);
    CPPUNIT_TEST(eachFaultIsReported);
    CPPUNIT_TEST(absentOptionalFieldsAreNoFault);
    CPPUNIT_TEST(positionOfASyntaxErrorIsReported);
    CPPUNIT_TEST(undecodableTextHasAnError);
    CPPUNIT_TEST(keysAreNeverPrinted);
    CPPUNIT_TEST(controlCharactersAreNotPrinted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a check that reports what operators may send.
    void validConfigHasNoFindings()
    {
        const ConfigReport report = checkConfigText(validConfig, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::string(), summary(report));
        CPPUNIT_ASSERT_EQUAL(0, exitCode(report));
        CPPUNIT_ASSERT_EQUAL(std::string("no findings\n"), toText(report));
    }

    // Guards against a fault that is sent because nothing reports it, and against one that is
    // reported as more than it is.
    void eachFaultIsReported()
    {
        for (const BadConfig &bad : badConfigs) {
            const ConfigReport report =
                    checkConfigText(changed(validConfig, bad.from, bad.to), std::nullopt);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bad.to, bad.findings, summary(report));
            const bool hasErrors = absl::StrContains(bad.findings, "error ");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bad.to, hasErrors ? 3 : 4, exitCode(report));
        }
    }

    // Guards against demands on fields that the decoder has defaults for.
    void absentOptionalFieldsAreNoFault()
    {
        const std::string smallest =
                R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","service":"s",)"
                R"("hint":null}],"services":[{"name":"s"}],"limits":null})";
        CPPUNIT_ASSERT_EQUAL(std::string(), summary(checkConfigText(smallest, std::nullopt)));
    }

    // Guards against a message that leaves operators to search a long file.
    void positionOfASyntaxErrorIsReported()
    {
        const ConfigReport report = checkConfigText("{\n \"version\": }", std::nullopt);
        CPPUNIT_ASSERT_EQUAL(size_t(1), report.findings.size());
        CPPUNIT_ASSERT_MESSAGE(report.findings[0].message,
                               absl::StrContains(report.findings[0].message, "line 2, column 13"));
    }

    // Guards against a configuration that passes the check and is then rejected by every member.
    void undecodableTextHasAnError()
    {
        const bool holds = rc::check("undecodable text", [] {
            std::string text = validConfig;
            const int changes = *rc::gen::inRange(1, 4);
            for (int change = 0; change < changes && !text.empty(); ++change) {
                const size_t at = *rc::gen::inRange<size_t>(0, text.size());
                text.replace(at, *rc::gen::inRange<size_t>(0, 12),
                             *rc::gen::element<std::string>("-1", "1e300", "null", "[]", "{}", "\"",
                                                            ",", "}"));
            }
            if (platform_adapter::decodeConfig(text).ok())
                return;
            const auto findings = platform_adapter::checkConfigFields(text);
            RC_ASSERT(std::any_of(findings.begin(), findings.end(), [](const Finding &finding) {
                return finding.severity == Severity::Error;
            }));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against keys in a terminal or in the log of a pipeline, by any finding or difference.
    void keysAreNeverPrinted()
    {
        std::vector<std::string> secrets = {"secret", "48151623"};
        for (const std::string &key : {northKey, southKey, std::string("48151623")})
            secrets.push_back(sha256Hex(key).substr(0, 8));
        const std::string inForce = changed(changed(validConfig, "\"version\":8", "\"version\":7"),
                                            southKey, "secret-that-was-removed");
        for (const BadConfig &bad : badConfigs) {
            const std::string text = changed(validConfig, bad.from, bad.to);
            for (const auto &[next, old] : {std::pair(text, inForce), std::pair(inForce, text)}) {
                const ConfigReport report = checkConfigText(next, old);
                const std::string printed = toText(report) + writeJsonIndented(toJson(report));
                for (const std::string &secret : secrets)
                    CPPUNIT_ASSERT_MESSAGE(printed, !absl::StrContains(printed, secret));
            }
        }
    }

    // Guards against a name that changes what the terminal shows.
    void controlCharactersAreNotPrinted()
    {
        const std::string text = changed(changed(validConfig, "\"r1\"", R"("r\u001b[2K\n")"),
                                         "\"priority\":1", "\"priority\":101");
        const std::string printed = toText(checkConfigText(text, std::nullopt));
        CPPUNIT_ASSERT_MESSAGE(printed, absl::StrContains(printed, "queue r?[2K?:"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::count(printed.begin(), printed.end(), '\n'));
    }
};

class ConfigDifferenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigDifferenceTest);
    CPPUNIT_TEST(sameContentHasOnlyAnotherVersion);
    CPPUNIT_TEST(eachChangeIsListed);
    CPPUNIT_TEST(versionMustRise);
    CPPUNIT_TEST(unreadableVersionInForceIsAnError);
    CPPUNIT_TEST_SUITE_END();

    struct ChangedConfig
    {
        std::string from; // of the valid configuration, which is in force
        std::string to;
        std::string differences;
    };

public:
    // Guards against differences where there are none, and against an exit code for them.
    void sameContentHasOnlyAnotherVersion()
    {
        const ConfigReport report = checkConfigText(
                changed(validConfig, "\"version\":8", "\"version\":9"), validConfig);
        CPPUNIT_ASSERT_EQUAL(std::string(), summary(report));
        CPPUNIT_ASSERT_EQUAL(std::string("changed configuration|version|8|9"),
                             summary(report.differences));
        CPPUNIT_ASSERT_EQUAL(0, exitCode(report));
        CPPUNIT_ASSERT_EQUAL(std::string("changed: configuration: version 8 -> 9\nno findings\n"),
                             toText(report));
    }

    // Guards against a change that operators do not see before they send it.
    void eachChangeIsListed()
    {
        const std::vector<ChangedConfig> table = {
                {R"("priority":1,"max)", R"("priority":2,"max)", "changed queue r1|priority|1|2"},
                {R"("maxAttempts":3)", R"("maxAttempts":4)", "changed queue r1|attempts|3|4"},
                {R"("targetLatencyMs":250)", R"("targetLatencyMs":0.5)",
                 "changed queue r1|latency|250 ms|0.5 ms"},
                {R"("service":"s","priority")", R"("service":"t","priority")",
                 "changed queue r1|service|s|t"},
                {R"("/q/")", R"("/z/")", "changed queue r2|path prefix|/q/|/z/"},
                {R"("anonymous":true)", R"("anonymous":false)",
                 "changed queue r2|anonymous|yes|no"},
                {R"("validityMs":2000)", R"("validityMs":3000)",
                 "changed queue r1|advice validity|2000 ms|3000 ms"},
                {R"("name":"r2")", R"("name":"r3")", "removed queue r2|||; added queue r3|||"},
                {R"("name":"s","pre)", R"("name":"t","pre)",
                 "removed service s|||; added service t|||"},
                {R"("south","api)", R"("west","api)",
                 "removed customer south|||; added customer west|||"},
                {R"("weight":37)", R"("weight":38)", "changed customer north|weight|37|38"},
                {R"("cpu":16000)", R"("cpu":0)",
                 "changed customer north|cap of cores|16000 millicores|no limit"},
                {R"("memMb":32768)", R"("memMb":32769)",
                 "changed customer north|cap of memory|32768 MiB|32769 MiB"},
                {R"("gpu":4)", R"("gpu":5)", "changed customer north|cap of accelerators|4|5"},
                {R"(["secret-of-north"])", R"(["new-1","new-2"])",
                 "changed customer north|keys added||2; changed customer north|keys removed||1"},
                {R"("tenants":[)", R"("x":[)",
                 "changed configuration|customers in force|yes|no; removed customer north|||; "
                 "removed customer south|||"},
                {R"("maxBodyBytes":262144)", R"("maxBodyBytes":131072)",
                 "changed configuration|body limit|262144 bytes|131072 bytes"},
        };
        const auto inForce = platform_adapter::decodeConfig(validConfig);
        for (const ChangedConfig &row : table) {
            const auto next =
                    platform_adapter::decodeConfig(changed(validConfig, row.from, row.to));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.to, row.differences,
                                         summary(differences(*inForce, *next)));
        }
    }

    // Guards against a version that all members ignore.
    void versionMustRise()
    {
        const std::string older = changed(validConfig, "\"version\":8", "\"version\":7");
        for (const std::string &text : {validConfig, older}) {
            const ConfigReport report = checkConfigText(text, validConfig);
            CPPUNIT_ASSERT_EQUAL(std::string("error version-not-higher configuration"),
                                 summary(report));
        }
    }

    // Guards against a comparison that silently does not take place.
    void unreadableVersionInForceIsAnError()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("error in-force-unreadable version in force"),
                             summary(checkConfigText(validConfig, "{}")));
    }
};

class CheckProgramTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CheckProgramTest);
    CPPUNIT_TEST(exitCodeTellsWhatWasFound);
    CPPUNIT_TEST_SUITE_END();

    harness::Harness m_harness;
    int m_runs = 0;

    std::string write(const std::string &name, const std::string &content) const
    {
        const std::string path = m_harness.folder() + "/" + name;
        std::ofstream(path) << content;
        return path;
    }

    harness::Process &run(const std::vector<std::string> &arguments, int expected)
    {
        harness::Process &process =
                m_harness.start(absl::StrCat("check-", m_runs++), "cwl-check", arguments);
        const auto code = process.waitForExit(BootClock::now() + seconds(60));
        CPPUNIT_ASSERT(code.ok());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(process.output() + process.log(), expected, *code);
        return process;
    }

public:
    // Guards against a pipeline that sends a configuration with errors.
    void exitCodeTellsWhatWasFound()
    {
        const std::string valid = write("valid.json", validConfig);
        const std::string next =
                write("next.json", changed(validConfig, "\"version\":8", "\"version\":9"));
        const std::string doubtful =
                write("doubtful.json", changed(validConfig, "\"weight\":37", "\"weight\":0"));
        const std::string bad = write("bad.json", "{");
        run({"configuration", valid}, 0);
        run({"configuration", next, "--in-force", valid}, 0);
        run({"configuration", doubtful}, 4);
        run({"configuration", bad}, 3);
        run({"configuration", valid, "--in-force", bad}, 3);
        run({"configuration", m_harness.folder()}, 3);
        run({"configuration", valid, "--in-force", m_harness.folder() + "/absent.json"}, 3);
        run({"configuration"}, 2);
        run({"configuration", valid, "--unknown"}, 2);
        const auto object =
                parseJson(run({"configuration", next, "--in-force", valid, "--json"}, 0).output());
        CPPUNIT_ASSERT(object.ok());
        CPPUNIT_ASSERT((*object)["findings"].isArray());
        CPPUNIT_ASSERT((*object)["findings"].empty());
        CPPUNIT_ASSERT_EQUAL(Json::ArrayIndex(1), (*object)["differences"].size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCheckTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDifferenceTest);
CPPUNIT_TEST_SUITE_REGISTRATION(CheckProgramTest);

} // namespace
