// Tests of parsing submitted jobs and of their rows in the store.

#include "base/error.h"
#include "base/json.h"
#include "scheduler/jobrecord.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace {

using namespace cwl;
using namespace cwl::scheduler;

Json::Value body(const std::string &text)
{
    return *parseJson(text);
}

const std::string valid = R"({"jobId":"j-1","team":"a","kind":"batch","class":"urgent","count":9,
    "cores":500,"memoryMiB":256,"accelerators":1,"runMs":1000,"dataCentre":"dc1",
    "policy":"worst-fit","spec":{"x":1}})";

class JobRecordTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobRecordTest);
    CPPUNIT_TEST(allJobFieldsAreParsed);
    CPPUNIT_TEST(invalidJobIsRejectedWithField);
    CPPUNIT_TEST(rowKeepsFinishedTasks);
    CPPUNIT_TEST(malformedRowIsRejected);
    CPPUNIT_TEST(indexSetMatchesStdSet);
    CPPUNIT_TEST(taskIdRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that the parser drops.
    void allJobFieldsAreParsed()
    {
        const auto spec = jobFromJson(body(valid));
        CPPUNIT_ASSERT(spec.ok());
        CPPUNIT_ASSERT(spec->id == JobId("j-1"));
        CPPUNIT_ASSERT(spec->urgency == settings::UrgencyClass::Urgent);
        CPPUNIT_ASSERT_EQUAL(uint32_t(9), spec->count);
        const Resources each{Millicores(500), Mebibytes(256), Accelerators(1)};
        CPPUNIT_ASSERT(spec->each == each);
        CPPUNIT_ASSERT(spec->run == seconds(1));
        CPPUNIT_ASSERT(spec->dataCentre == DataCentreId("dc1"));
        CPPUNIT_ASSERT(spec->policy == placement::PackingPolicy::WorstFit);
    }

    // Guards against an error that does not name the field.
    void invalidJobIsRejectedWithField()
    {
        const auto refused = [](const char *field, const Json::Value &value) {
            Json::Value job = body(valid);
            job[field] = value;
            const absl::Status status = jobFromJson(job).status();
            return !status.ok() && detailOf(status).field == field;
        };
        CPPUNIT_ASSERT(refused("jobId", "a/b"));
        CPPUNIT_ASSERT(refused("jobId", ""));
        CPPUNIT_ASSERT(refused("kind", "daemon"));
        CPPUNIT_ASSERT(refused("count", 0));
        CPPUNIT_ASSERT(refused("count", Json::Int64(maxTasksPerJob + 1)));
        CPPUNIT_ASSERT(refused("cores", "many"));
        CPPUNIT_ASSERT(refused("policy", "random"));
        CPPUNIT_ASSERT(refused("colour", "red"));
        CPPUNIT_ASSERT(refused("spec", std::string(maxSpecBytes + 1, 'x')));
        CPPUNIT_ASSERT(!jobFromJson(Json::Value(Json::arrayValue)).ok());
    }

    // Guards against a new owner that runs a finished task again.
    void rowKeepsFinishedTasks()
    {
        JobRecord record{.spec = *jobFromJson(body(valid)), .submitted = body(valid)};
        for (const uint32_t index : {5u, 0u, 1u})
            record.succeeded.add(index);
        record.failed.add(8);
        record.state = JobState::Cancelled;
        const auto read = fromRow(*parseJson(writeJson(toRow(record))));
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->submitted == record.submitted);
        CPPUNIT_ASSERT(read->state == JobState::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::string("0-1,5"), read->succeeded.toText());
        CPPUNIT_ASSERT(read->failed.contains(8));
    }

    // Guards against a malformed row that stops the owner or grows without bound.
    void malformedRowIsRejected()
    {
        CPPUNIT_ASSERT(!fromRow(Json::Value(3)).ok());
        for (const char *text : {"0-9", "3-2", "2,1", "x", "1-", "1;2", "0-4294967295"})
            CPPUNIT_ASSERT(!IndexSet::fromText(text, 9).ok());
    }

    // Guards against an index that is lost or added when ranges are merged.
    void indexSetMatchesStdSet()
    {
        const bool holds = rc::check("index set", [] {
            const auto added =
                    *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 40));
            IndexSet set;
            std::set<uint32_t> model;
            for (const uint32_t index : added)
                RC_ASSERT(set.add(index) == model.insert(index).second);
            RC_ASSERT(set.indexes() == std::vector<uint32_t>(model.begin(), model.end()));
            RC_ASSERT(set.size() == model.size());
            const auto read = IndexSet::fromText(set.toText(), 40);
            RC_ASSERT(read.ok());
            RC_ASSERT(read->indexes() == set.indexes());
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a worker's report that is matched to the wrong task.
    void taskIdRoundTrips()
    {
        const auto parsed = parseTaskId(taskId(JobId("job-1"), 42).value());
        CPPUNIT_ASSERT(parsed && parsed->first == JobId("job-1") && parsed->second == 42);
        for (const char *text : {"job", "/1", "job/", "job/x", "job/1x", "job/-1"})
            CPPUNIT_ASSERT(!parseTaskId(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRecordTest);

} // namespace
