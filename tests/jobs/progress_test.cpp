// Tests of the stored encoding of jobs and of their progress.

#include "jobs/progress.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace cwl;
using namespace cwl::jobs;

class ProgressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProgressTest);
    CPPUNIT_TEST(jobRoundTripKeepsEveryField);
    CPPUNIT_TEST(progressRoundTripKeepsEveryTask);
    CPPUNIT_TEST(malformedTextIsRejected);
    CPPUNIT_TEST(anyInputIsDecodedOrRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that the encoding drops, so that a new owner loses it.
    void jobRoundTripKeepsEveryField()
    {
        JobSpec spec;
        spec.id = JobId("5c0e7a21d94b36f8");
        spec.queue = {.name = "q",
                      .service = "s",
                      .priority = 2,
                      .maxAttempts = 4,
                      .maxSlowdown = 1.5,
                      .latencyAllowance = milliseconds(250),
                      .advice = AdvicePolicy{milliseconds(13), std::chrono::microseconds(190),
                                             seconds(2)}};
        spec.payload = "text with \"quotes\"";
        spec.times = 3;
        spec.firstAt = UnixMilliseconds(1700000000000);
        spec.interval = milliseconds(500);
        spec.acceptedAt = UnixMilliseconds(1700000000001);
        Step step;
        step.count = 7;
        step.each = {Millicores(500), Mebibytes(256), Accelerators(2)};
        step.estimate = milliseconds(900);
        step.label = "a";
        step.rack = "r1";
        step.image = "i";
        step.maxPerWorker = 2;
        step.maxUnavailable = 1;
        step.tailTargetMs = 40;
        step.checkpoints = step.gang = step.rackLocal = step.speculative = true;
        step.longRunning = step.backfill = true;
        spec.steps = {step, step};
        spec.steps[1].after = {0};
        const std::string text = encodeJob(spec);
        const auto read = decodeJob(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(text, encodeJob(*read));
        CPPUNIT_ASSERT(read->steps[1].after == std::vector<uint32_t>{0});
        CPPUNIT_ASSERT(read->steps[0].each == step.each);
        CPPUNIT_ASSERT(read->queue.advice->perWorker == std::chrono::microseconds(190));
    }

    void progressRoundTripKeepsEveryTask()
    {
        Progress progress;
        progress.state = JobState::Running;
        std::vector<TaskProgress> tasks(3);
        tasks[0].isDone = true;
        tasks[1].failedAttempts = {1, 1002};
        tasks[2].checkpoint = "00000bb8";
        progress.steps[{1, 2}] = tasks;
        const auto read = decodeProgress(encodeProgress(progress));
        CPPUNIT_ASSERT(read.ok());
        const std::vector<TaskProgress> &got = read->steps.at({1, 2});
        CPPUNIT_ASSERT(got[0].isDone && !got[1].isDone);
        CPPUNIT_ASSERT(got[1].failedAttempts == tasks[1].failedAttempts);
        CPPUNIT_ASSERT_EQUAL(tasks[2].checkpoint, got[2].checkpoint);
    }

    void malformedTextIsRejected()
    {
        CPPUNIT_ASSERT(!decodeJob("{").ok());
        CPPUNIT_ASSERT(!decodeJob("{\"queue\":{}}").ok());
        CPPUNIT_ASSERT(!decodeProgress("{\"state\":\"strange\",\"steps\":[]}").ok());
    }

    // Guards against a crash on stored rows that another writer has corrupted.
    void anyInputIsDecodedOrRejected()
    {
        rc::check([](const std::string &text) {
            (void)decodeJob(text);
            (void)decodeProgress(text);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressTest);

} // namespace
