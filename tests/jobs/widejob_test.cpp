// Jobs with so many tasks that their stored progress has no room for the numbers of all attempts.

#include "jobs/dispatcher.h"
#include "jobs/limits.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::jobs;

constexpr uint32_t width = 1500;
constexpr size_t maxRowBytes = 65536; // of a row of the store, in base64
const JobId jobId("wide");

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

class WideJobTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WideJobTest);
    CPPUNIT_TEST(failuresSurviveAChangeOfTheOwner);
    CPPUNIT_TEST(endsThatAreReadAgainCountOnce);
    CPPUNIT_TEST(lateEndOfAnEarlierAttemptCounts);
    CPPUNIT_TEST(progressOfAnyAcceptedJobFitsARow);
    CPPUNIT_TEST(rowsOfTheEarlierVersionAreRead);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Dispatcher> m_owner;
    std::string m_row; // stored progress of the job
    int64_t m_nowMs = 0;

    static JobSpec wideJob(int64_t maxAttempts)
    {
        JobSpec job;
        job.id = jobId;
        job.queue.name = "queue";
        job.queue.service = "service";
        job.queue.maxAttempts = maxAttempts;
        Step step;
        step.count = width;
        step.each = {Millicores(1), Mebibytes(1), {}};
        step.estimate = milliseconds(1500);
        job.steps = {step};
        return job;
    }

    // Another member takes over, with what the store holds.
    void changeOwner(int64_t epoch, int64_t maxAttempts)
    {
        m_owner = std::make_unique<Dispatcher>(DispatcherSettings{});
        m_owner->begin(Epoch(epoch), at(0));
        std::optional<Progress> progress;
        if (!m_row.empty())
            progress = *decodeProgress(m_row);
        m_owner->restoreJob(wideJob(maxAttempts), progress, false, at(m_nowMs),
                            UnixMilliseconds(0));
        WorkerEntry entry;
        entry.id = WorkerId("a");
        entry.address = "a";
        entry.service = "service";
        entry.capacity = {Millicores(10000), Mebibytes(10000), {}};
        m_owner->restoreWorker(entry.id, entry.address, at(m_nowMs));
        m_owner->putWorker(entry, at(m_nowMs));
    }

    void report(const std::vector<EndedTask> &ended)
    {
        m_nowMs += 100;
        WorkerReport workerReport;
        workerReport.clockMs = m_nowMs;
        workerReport.born = 1;
        workerReport.ended = ended;
        m_owner->onReport(WorkerId("a"), workerReport, at(m_nowMs - 2), at(m_nowMs));
    }

    std::vector<StartOrder> decide()
    {
        // A worker gets no starts for a time after failures.
        m_nowMs += std::chrono::duration_cast<milliseconds>(exclusionDuration).count();
        report({});
        m_owner->confirmOwnership(at(m_nowMs));
        return m_owner->decide(at(m_nowMs), UnixMilliseconds(0)).starts;
    }

    void store()
    {
        const Batch batch = m_owner->collect();
        for (const Batch::JobRow &row : batch.rows)
            m_row = row.progress;
        m_owner->committed(batch);
    }

    static std::vector<EndedTask> failed(const std::vector<StartOrder> &starts)
    {
        std::vector<EndedTask> ended;
        for (const StartOrder &start : starts)
            ended.push_back(
                    {int64_t(ended.size()) + 1, start.task, start.attempt, EndKind::Failed, ""});
        return ended;
    }

public:
    void setUp() override
    {
        m_row.clear();
        m_nowMs = 10000;
    }

    // Guards against the fault of review/10: the stored progress left out the failures of a wide
    // job, so that the next owner started its tasks too often.
    void failuresSurviveAChangeOfTheOwner()
    {
        changeOwner(1, 3);
        report({});
        for (int64_t epoch = 1; epoch <= 3; ++epoch) {
            const std::vector<StartOrder> starts = decide();
            CPPUNIT_ASSERT_EQUAL(size_t(width), starts.size());
            report(failed(starts));
            store();
            changeOwner(epoch + 1, 3);
            report({}); // the worker has forgotten the ends: they are acknowledged
        }
        CPPUNIT_ASSERT(decide().empty());
        CPPUNIT_ASSERT(m_owner->jobState(jobId) == JobState::Failed);
    }

    // Guards against a job that fails too early: the next owner reads ends again that are stored
    // but not acknowledged yet.
    void endsThatAreReadAgainCountOnce()
    {
        changeOwner(1, 2);
        report({});
        const std::vector<EndedTask> ended = failed(decide());
        report(ended);
        store();
        changeOwner(2, 2);
        report(ended);
        store();
        changeOwner(3, 2);
        report(ended);
        CPPUNIT_ASSERT_EQUAL(size_t(width), decide().size());
        CPPUNIT_ASSERT(m_owner->jobState(jobId) == JobState::Running);
    }

    // Guards against a failure that is not counted because a later run of the task was read first.
    void lateEndOfAnEarlierAttemptCounts()
    {
        changeOwner(1, 3);
        report({});
        const std::vector<EndedTask> first = failed(decide());
        report(first);
        const std::vector<EndedTask> second = failed(decide());
        m_row.clear(); // neither was stored
        for (const auto &order : {std::vector{first, second}, std::vector{second, first}}) {
            changeOwner(2, 3);
            std::vector<EndedTask> ended = order[0];
            ended.insert(ended.end(), order[1].begin(), order[1].end());
            for (size_t index = 0; index < ended.size(); ++index)
                ended[index].number = int64_t(index) + 1;
            report(ended);
            const std::vector<StartOrder> third = decide();
            CPPUNIT_ASSERT_EQUAL(size_t(width), third.size());
            ended = failed(third);
            for (EndedTask &entry : ended)
                entry.number += 2 * width;
            report(ended);
            store();
            CPPUNIT_ASSERT(m_owner->jobState(jobId) == JobState::Failed);
            m_row.clear();
        }
    }

    // Guards against a row that the store refuses, and against facts that are left out of it
    // although the ends were acknowledged.
    void progressOfAnyAcceptedJobFitsARow()
    {
        rc::check([] {
            JobSpec job = wideJob(*rc::gen::inRange<int64_t>(1, 5000));
            job.times = *rc::gen::inRange<uint32_t>(0, 12);
            const auto stepCount = *rc::gen::inRange<size_t>(1, 4);
            job.steps.assign(stepCount, job.steps[0]);
            for (Step &step : job.steps)
                step.count = *rc::gen::inRange<uint32_t>(1, maxJobTasks + 1);
            RC_PRE(checkJob(job).ok());
            Progress progress;
            const uint32_t most = uint32_t(attemptLimit(job) - 1);
            for (uint32_t occurrence = 0; occurrence < std::max(1U, job.times); ++occurrence) {
                for (uint32_t step = 0; step < stepCount; ++step) {
                    std::vector<TaskProgress> &tasks = progress.steps[{occurrence, step}];
                    tasks.resize(job.steps[step].count);
                    for (size_t index = 0; index < tasks.size(); ++index) {
                        tasks[index].isDone = index % 7 == 6;
                        tasks[index].failures =
                                index % 5 == 4 ? uint32_t(index) % (most + 1) : most;
                        tasks[index].checkpoint = "00000bb87a21d94b";
                    }
                }
            }
            const std::string row = encodeProgress(progress);
            RC_ASSERT((row.size() + 2) / 3 * 4 <= maxRowBytes);
            const auto read = decodeProgress(row);
            RC_ASSERT(read.ok());
            for (const auto &[key, tasks] : progress.steps) {
                for (size_t index = 0; index < tasks.size(); ++index) {
                    const TaskProgress &got = read->steps.at(key)[index];
                    RC_ASSERT(got.isDone == tasks[index].isDone);
                    RC_ASSERT(got.isDone || got.failures == tasks[index].failures);
                }
            }
        });
    }

    // Guards against failures that are lost when an instance of the next version takes over.
    void rowsOfTheEarlierVersionAreRead()
    {
        const auto read =
                decodeProgress(R"({"state":"running","steps":[{"count":3,"done":"d..","others":[)"
                               R"({"index":1,"failedAttempts":[1,1002],"checkpoint":"0b"},)"
                               R"({"index":2,"failedAttempts":[]}]}]})");
        CPPUNIT_ASSERT(read.ok());
        TaskProgress task = read->steps.at({0, 0})[1];
        CPPUNIT_ASSERT_EQUAL(uint32_t(2), task.failures);
        CPPUNIT_ASSERT(!task.addFailure(1002));
        CPPUNIT_ASSERT(task.addFailure(1003));
        CPPUNIT_ASSERT_EQUAL(uint32_t(3), task.failures);
        CPPUNIT_ASSERT_EQUAL(uint32_t(0), read->steps.at({0, 0})[2].failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WideJobTest);

} // namespace
