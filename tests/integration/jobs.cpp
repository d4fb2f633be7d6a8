#include "integration/jobs.h"

#include "base/json.h"

#include <cppunit/TestAssert.h>

#include <algorithm>

namespace cwl::integration {

namespace {

harness::JsonAnswer callOne(const std::string &address, const std::string &method,
                            const std::string &path, const Json::Value &body)
{
    http::Request request{.method = method, .path = path};
    if (!body.isNull())
        request.body = writeJson(body);
    const auto response = harness::call(address, std::move(request), BootClock::now() + seconds(6));
    if (!response.ok())
        return {};
    const auto parsed = parseJson(response->body);
    return {response->status, parsed.ok() ? *parsed : Json::Value(), response->headers};
}

} // namespace

Json::Value makeJob(const std::string &id, const std::string &kind, int count, int runMs)
{
    Json::Value job;
    job["jobId"] = id;
    job["team"] = "draws";
    job["kind"] = kind;
    job["class"] = "normal";
    job["count"] = count;
    job["cores"] = 1000;
    job["memoryMiB"] = 1024;
    job["accelerators"] = 0;
    job["runMs"] = runMs;
    return job;
}

harness::JsonAnswer callSchedulers(Cell &cell, const std::string &method, const std::string &path,
                                   const Json::Value &body, size_t first, TimePoint deadline)
{
    const std::vector<std::string> addresses = cell.schedulerAddresses();
    harness::JsonAnswer answer;
    size_t next = first;
    harness::waitUntil(deadline, [&] {
        answer = callOne(addresses[next++ % addresses.size()], method, path, body);
        return answer.status != 0 && answer.status != 503 && answer.status != 504;
    });
    return answer;
}

harness::JsonAnswer submit(Cell &cell, const Json::Value &job, size_t first)
{
    return callSchedulers(cell, "POST", "/v1/jobs", job, first);
}

bool waitForJob(Cell &cell, const std::string &id,
                const std::function<bool(const Json::Value &)> &holds, Duration limit)
{
    const TimePoint deadline = BootClock::now() + limit;
    return harness::waitUntil(deadline, [&] {
        const auto answer = callSchedulers(cell, "GET", "/v1/jobs/" + id, {}, 0, deadline);
        if (answer.status == 200 && holds(answer.body))
            return true;
        std::this_thread::sleep_for(milliseconds(50));
        return false;
    });
}

void assertAccepted(Cell &cell, const Json::Value &job, size_t first)
{
    const harness::JsonAnswer answer = submit(cell, job, first);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(writeJson(answer.body) + cell.logs(), 200, answer.status);
    CPPUNIT_ASSERT(answer.body["accepted"].asBool());
}

void assertRunning(Cell &cell, const std::string &id, int atLeast)
{
    const bool runs = waitForJob(
            cell, id, [&](const Json::Value &job) { return job["running"].asInt() >= atLeast; },
            seconds(60));
    CPPUNIT_ASSERT_MESSAGE(id + "\n" + cell.logs(), runs);
}

void assertDone(Cell &cell, const std::string &id)
{
    Json::Value last;
    const bool isDone = waitForJob(
            cell, id,
            [&](const Json::Value &job) {
                last = job;
                return job["state"] == "done";
            },
            seconds(100));
    CPPUNIT_ASSERT_MESSAGE(writeJson(last) + "\n" + cell.logs(), isDone);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(id, last["job"]["count"].asInt64(), last["succeeded"].asInt64());
}

std::string placementViolations(const Cell &cell)
{
    const Json::Value found = cell.judgements();
    bool isClean = true;
    for (const char *kind : {"overloads", "doubleRuns", "staleStarts", "partialGangs"})
        isClean = isClean && found["counts"][kind].isInt() && found["counts"][kind] == 0;
    return isClean ? std::string() : writeJsonIndented(found).substr(0, 4000);
}

void assertPlacementsKept(Cell &cell, int64_t minimumStarts)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), std::string(), placementViolations(cell));
    CPPUNIT_ASSERT(cell.judgements()["starts"].asInt64() >= minimumStarts);
}

} // namespace cwl::integration
