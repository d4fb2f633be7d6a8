// Tests of the decoders of everything that comes from outside: whatever the bytes are, they give a
// value within the limits or a typed failure.

#include "base/error.h"
#include "jobs/limits.h"
#include "jobs/progress.h"
#include "platform/decode.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::platform_adapter;

const std::string validJob =
        R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,"gpu":1,"estRuntimeMs":900},)"
        R"({"count":20,"cpu":2000,"memMb":1024,"estRuntimeMs":7000,"after":[0],"gang":true}],)"
        R"("times":3,"startAtMs":1700000000000,"intervalMs":500})";
const std::string validConfig =
        R"({"version":7,"routes":[{"name":"r1","host":"a.example","pathPrefix":"/p/","service":"s",)"
        R"("priority":1,"maxAttempts":3,"slowdownFactor":1.5,"targetLatencyMs":250,)"
        R"("hint":{"decisionMs":13,"periodMs":0.19,"validityMs":2000}}],)"
        R"("services":[{"name":"s"}],"limits":{"maxBodyBytes":262144}})";
const std::string configWithCustomers =
        R"({"version":8,"routes":[{"name":"r1","host":"a.example","pathPrefix":"/p/","service":"s"},)"
        R"({"name":"r2","host":"a.example","pathPrefix":"/q/","service":"s","anonymous":true}],)"
        R"("tenants":[{"name":"north","apiKeys":["k1","k2",7,""],"priority":1,"weight":37,)"
        R"("cap":{"cpu":7106429,"memMb":16011435,"gpu":396}},)"
        R"({"name":"","apiKeys":["k3"]},{"name":"odd","apiKeys":"k4","weight":-1,"cap":7},5]})";
const std::string validWorker =
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"draining","remainingMs":900,)"
        R"("capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"born":1})";
const std::string validReport =
        R"({"clockMs":482113,"born":1,"running":[["5c0e.0.1.17",2,"00000bb8",41,7]],)"
        R"("finished":[[58,"5c0e.0.1.9",1,"done",""]]})";

// Exercises what callers of the decoders do with a value.
void decodeJobBody(const std::string &text)
{
    const auto spec = decodeJob(text);
    if (!spec.ok())
        return;
    CPPUNIT_ASSERT(jobs::checkJob(*spec).ok());
    CPPUNIT_ASSERT(jobs::decodeJob(jobs::encodeJob(*spec)).ok());
}
void decodeConfigRow(const std::string &text)
{
    const auto config = decodeConfig(text);
    if (config.ok())
        CPPUNIT_ASSERT(config->maxBodyBytes > 0);
}
void decodeWorkerRow(const std::string &text)
{
    const auto entry = decodeWorker("i-1", text);
    if (entry.ok())
        CPPUNIT_ASSERT(jobs::isPossible(entry->capacity));
}
void decodeReportBody(const std::string &text)
{
    (void)decodeReport(text);
}
void decodeStoredRow(const std::string &text)
{
    (void)jobs::decodeJob(text);
    (void)jobs::decodeProgress(text);
}

struct Decoder
{
    std::string valid;
    void (*decode)(const std::string &text);
};

std::vector<Decoder> decoders()
{
    jobs::Progress progress;
    progress.steps[{0, 1}] = {{true, {}, ""}, {false, {1001}, "00000bb8"}};
    return {{validJob, decodeJobBody},
            {validConfig, decodeConfigRow},
            {configWithCustomers, decodeConfigRow},
            {validWorker, decodeWorkerRow},
            {validReport, decodeReportBody},
            {jobs::encodeJob(*decodeJob(validJob)), decodeStoredRow},
            {jobs::encodeProgress(progress), decodeStoredRow}};
}

class DecodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecodeTest);
    CPPUNIT_TEST(validInputIsDecoded);
    CPPUNIT_TEST(customersAreDecoded);
    CPPUNIT_TEST(deepNestingIsRejected);
    CPPUNIT_TEST(changedInputIsDecodedOrRejected);
    CPPUNIT_TEST(impossibleJobsAreRejected);
    CPPUNIT_TEST(jobWithTooManyOccurrencesIsTooLarge);
    CPPUNIT_TEST(extremeNumbersAreLimited);
    CPPUNIT_TEST(progressFitsARowOfTheStore);
    CPPUNIT_TEST(reportWithAFullListOfEndsHasMore);
    CPPUNIT_TEST(oddWorkerEntriesNameNoWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against limits that turn away ordinary input.
    void validInputIsDecoded()
    {
        const auto job = decodeJob(validJob);
        CPPUNIT_ASSERT(job.ok());
        CPPUNIT_ASSERT_EQUAL(size_t(2), job->steps.size());
        CPPUNIT_ASSERT(job->steps[1].gang);
        CPPUNIT_ASSERT(decodeConfig(validConfig).ok());
        CPPUNIT_ASSERT(decodeWorker("i-1", validWorker).ok());
        CPPUNIT_ASSERT(decodeReport(validReport).ok());
    }

    // Guards against an entry that cannot be read and gives access, and against a configuration
    // without customers that asks for keys.
    void customersAreDecoded()
    {
        CPPUNIT_ASSERT(!decodeConfig(validConfig)->customers);
        const auto config = decodeConfig(configWithCustomers);
        CPPUNIT_ASSERT(config.ok());
        CPPUNIT_ASSERT(!config->queues[0].isAnonymous);
        CPPUNIT_ASSERT(config->queues[1].isAnonymous);
        CPPUNIT_ASSERT_EQUAL(size_t(2), config->customers->size());
        const jobs::CustomerEntry &north = config->customers->at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), north.customer.id.value());
        CPPUNIT_ASSERT_EQUAL(int64_t(37), north.customer.weight);
        CPPUNIT_ASSERT(north.customer.cap
                       == (Resources{Millicores(7106429), Mebibytes(16011435), Accelerators(396)}));
        CPPUNIT_ASSERT_EQUAL(size_t(2), north.keys.size());
        CPPUNIT_ASSERT(north.keys[0].value() != "k1"); // the digest
        const jobs::CustomerEntry &odd = config->customers->at(1);
        CPPUNIT_ASSERT(odd.keys.empty());
        CPPUNIT_ASSERT_EQUAL(int64_t(0), odd.customer.weight);
        CPPUNIT_ASSERT(odd.customer.cap == Resources{});
    }

    // Guards against a stack overflow in the parser, which ended the process.
    void deepNestingIsRejected()
    {
        for (const char bracket : {'[', '{'}) {
            const std::string nested = bracket == '[' ? std::string(1000000, '[') : [] {
                std::string text;
                for (int level = 0; level < 200000; ++level)
                    text += "{\"a\":";
                return text;
            }();
            for (const Decoder &decoder : decoders()) {
                decoder.decode(nested);
                decoder.decode("{\"spec\":\"x\",\"phases\":" + nested);
            }
            CPPUNIT_ASSERT(!decodeJob("{\"spec\":\"x\",\"phases\":" + nested).ok());
        }
    }

    // Guards against bytes that make a decoder read past its input, throw or allocate without
    // bound: valid input with bytes changed, removed, repeated or cut off.
    void changedInputIsDecodedOrRejected()
    {
        const bool holds = rc::check("changed input", [] {
            const std::vector<Decoder> all = decoders();
            const Decoder &decoder = all[*rc::gen::inRange<size_t>(0, all.size())];
            std::string text = decoder.valid;
            const int changes = *rc::gen::inRange(1, 6);
            for (int change = 0; change < changes && !text.empty(); ++change) {
                const size_t at = *rc::gen::inRange<size_t>(0, text.size());
                const size_t length = *rc::gen::inRange<size_t>(1, 24);
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    text[at] = char(*rc::gen::inRange(0, 256));
                    break;
                case 1:
                    text.erase(at, length);
                    break;
                case 2:
                    text.insert(at, text.substr(at, length));
                    break;
                case 3:
                    text.insert(at,
                                *rc::gen::element<std::string>("-1", "1e300", "9e18", "null", "[]",
                                                               "{}", "\"\"", "[[[["));
                    break;
                default:
                    text.resize(at);
                }
            }
            decoder.decode(text);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against jobs whose amounts break the sums of the scheduler.
    void impossibleJobsAreRejected()
    {
        for (const char *phase :
             {R"({"count":0})", R"({"count":-1})", R"({"count":1,"cpu":-1})",
              R"({"count":1,"memMb":1e18})", R"({"count":1,"gpu":-9e18})",
              R"({"count":1,"after":[0]})", R"({"count":1,"after":["x"]})", "7", "[]"}) {
            const auto job = decodeJob(std::string("{\"spec\":\"x\",\"phases\":[") + phase + "]}");
            CPPUNIT_ASSERT_MESSAGE(phase, !job.ok());
            CPPUNIT_ASSERT_MESSAGE(phase, failureOf(job.status()) == Failure::MalformedBody);
        }
    }

    // Guards against one job whose occurrences fill the owner's memory, or whose progress fits no
    // row of the store, so that the owner could store nothing any more.
    void jobWithTooManyOccurrencesIsTooLarge()
    {
        const auto job = decodeJob(R"({"phases":[{"count":4000}],"times":1000000,"intervalMs":1})");
        CPPUNIT_ASSERT(failureOf(job.status()) == Failure::JobTooLarge);
        CPPUNIT_ASSERT(decodeJob(R"({"phases":[{"count":150}],"times":50,"intervalMs":1})").ok());
    }

    // Guards against an entry of another writer that is taken for a worker: the owner waits for a
    // worker that can never report.
    void oddWorkerEntriesNameNoWorker()
    {
        const auto changed = [](const std::string &from, const std::string &to) {
            std::string entry = validWorker;
            const size_t at = entry.find(from);
            CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
            return entry.replace(at, from.size(), to);
        };
        CPPUNIT_ASSERT(decodeWorker("i-1", changed(",\"labels\":[\"a\",\"r1-3\"]", "")).ok());
        for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
                     {"10.0.0.1:80", "10.0.0.1:99999"},
                     {"10.0.0.1:80", "10.0.0.1:0"},
                     {"10.0.0.1:80", "10.0.0.1:-5"},
                     {"10.0.0.1:80", "10.0.0.1"},
                     {"10.0.0.1:80", "worker.example:80"},
                     {"\"10.0.0.1:80\"", "7"},
                     {"16000", "1e400"},
                     {"16000", "99999999999999999999999999"},
                     {"16000", "\"16000\""},
                     {"16000", std::string(100000, '[')},
                     {"\"cpu\":16000,", ""},
                     {"\"memMb\":32768,", ""},
                     {"32768", "-1"},
                     {"\"gpu\":8", "\"gpu\":[]"},
                     {"[\"a\",\"r1-3\"]", "[\"a\",7]"},
                     {"[\"a\",\"r1-3\"]", "{}"},
                     {"\"born\":1", "\"born\":\"1\""},
                     {"\"remainingMs\":900", "\"remainingMs\":\"soon\""},
                     {"draining", "leaving"},
                     {"\"zone\":\"z\",", ""},
                     {"\"service\":\"s\",", ""}})
            CPPUNIT_ASSERT_MESSAGE(to.substr(0, 40), !decodeWorker("i-1", changed(from, to)).ok());
        for (const char *id : {"", "i 1", "i\r\n1", "i-\xff"})
            CPPUNIT_ASSERT_MESSAGE(id, !decodeWorker(id, validWorker).ok());
    }

    // Guards against a list of ends that has reached its limit and is taken for the whole.
    void reportWithAFullListOfEndsHasMore()
    {
        std::string ends = R"([1,"5c0e.0.0.0",1,"done",""])";
        const auto reportOf = [&ends] {
            return decodeReport(R"({"clockMs":1,"born":1,"running":[],"finished":[)" + ends + "]}");
        };
        for (int number = 2; number < 500; ++number)
            ends += "," + std::string(R"([1,"5c0e.0.0.0",1,"done",""])");
        CPPUNIT_ASSERT(!reportOf()->hasMoreEnds);
        ends += R"(,[500,"5c0e.0.0.0",1,"done",""])";
        CPPUNIT_ASSERT(reportOf()->hasMoreEnds);
    }

    // Guards against conversions of numbers outside the range of the type.
    void extremeNumbersAreLimited()
    {
        const auto job = decodeJob(
                R"({"phases":[{"count":1,"estRuntimeMs":1e300}],"intervalMs":-1e300,"times":1e300})");
        CPPUNIT_ASSERT(!job.ok() || job->steps[0].estimate <= jobs::maxJobDuration);
        const auto config = decodeConfig(
                R"({"version":1e300,"routes":[{"name":"r","priority":-9e18,"slowdownFactor":1e300,)"
                R"("targetLatencyMs":1e300}],"limits":{"maxBodyBytes":-1}})");
        CPPUNIT_ASSERT(config.ok());
        CPPUNIT_ASSERT(config->queues[0].maxSlowdown <= jobs::maxSlowdownLimit);
        CPPUNIT_ASSERT(config->queues[0].latencyAllowance <= jobs::maxJobDuration);
        CPPUNIT_ASSERT(config->maxBodyBytes >= 1024);
        const auto report = decodeReport(
                R"({"clockMs":-1e300,"running":[["a.0.0.0",9e18,"",1]],"finished":[]})");
        CPPUNIT_ASSERT(report.ok());
        CPPUNIT_ASSERT(report->running[0].attempt < INT64_MAX / 2);
    }

    // Guards against a job with many checkpoints whose row the store refuses: each owner in turn
    // would retry the same write until its ownership ends.
    void progressFitsARowOfTheStore()
    {
        jobs::Progress progress;
        std::vector<jobs::TaskProgress> &tasks = progress.steps[{0, 0}];
        tasks.resize(jobs::maxJobTasks);
        for (jobs::TaskProgress &task : tasks)
            task.checkpoint = "00000bb87a21d94b";
        tasks[3].failedAttempts = {1001, 1002};
        const std::string text = jobs::encodeProgress(progress);
        CPPUNIT_ASSERT(text.size() <= jobs::maxProgressBytes);
        const auto read = jobs::decodeProgress(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(size_t(2), read->steps.at({0, 0})[3].failedAttempts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodeTest);

} // namespace
