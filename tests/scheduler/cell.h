// A cell of schedulers and workers on the stand-ins, for tests with real processes.

#pragma once

#include "harness/deployment.h"
#include "harness/fleet.h"
#include "harness/harness.h"

#include "base/error.h"
#include "base/json.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>

namespace cwl::scheduler::test {

using namespace cwl::harness;

// SHA-256 of "secret".
constexpr const char *secretSha256 =
        "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

inline TimePoint within(Duration duration)
{
    return BootClock::now() + duration;
}

// A cell of two schedulers and six workers.
class Cell
{
public:
    explicit Cell(size_t schedulers = 2)
        : m_standins(startStandins(m_harness, smallFleet()))
        , m_deployment(m_harness, {.instances = schedulers, .platform = m_standins.platform})
    {
        for (Member &member : m_deployment.schedulers())
            m_deployment.start(member);
        putSettings();
        for (const Member &member : m_deployment.schedulers())
            CPPUNIT_ASSERT_MESSAGE(m_harness.logs(),
                                   waitForReady(member.httpAddress(), patience()));
    }

    Deployment &deployment() { return m_deployment; }
    const Standins &standins() const { return m_standins; }
    std::string logs() const { return m_harness.logs(); }

    // Calls the first running scheduler.
    JsonAnswer call(const std::string &method, const std::string &path,
                    const Json::Value &body = {})
    {
        for (const Member &member : m_deployment.schedulers()) {
            if (member.process)
                return callTo(member, method, path, body);
        }
        return {};
    }

    static JsonAnswer callTo(const Member &member, const std::string &method,
                             const std::string &path, const Json::Value &body = {})
    {
        http::Request request;
        request.method = method;
        request.path = path;
        if (!body.isNull())
            request.body = writeJson(body);
        const auto response = harness::call(member.httpAddress(), request, within(seconds(10)));
        if (!response.ok())
            return {};
        const auto parsed = parseJson(response->body);
        return {response->status, parsed.ok() ? *parsed : Json::Value(), response->headers};
    }

    // Retries the submission until an owner responds; returns the response.
    JsonAnswer submit(const Json::Value &job)
    {
        JsonAnswer answer;
        waitUntil(patience(), [&] {
            answer = call("POST", "/v1/jobs", job);
            return answer.status != 503 && answer.status != 0;
        });
        return answer;
    }

    bool waitForJob(const std::string &job, const std::function<bool(const Json::Value &)> &holds,
                    Duration limit = seconds(60))
    {
        return waitUntil(within(limit), [&] {
            const JsonAnswer answer = call("GET", "/v1/jobs/" + job);
            return answer.status == 200 && holds(answer.body);
        });
    }

    bool waitForDone(const std::string &job)
    {
        return waitForJob(job, [](const Json::Value &body) { return body["state"] == "done"; });
    }

    Json::Value judgements() const
    {
        const auto answer = getJson(m_standins.workers, "/control/judgements");
        return answer.ok() ? answer->body : Json::Value();
    }

    // Checks that no worker was overloaded, no task ran twice or was started by a stale owner, and
    // no gang ran in part.
    void checkNoViolations(int64_t minimumStarts) const
    {
        const Json::Value found = judgements();
        const std::string text = writeJsonIndented(found) + m_harness.logs();
        CPPUNIT_ASSERT_MESSAGE(text, found["starts"].asInt64() >= minimumStarts);
        for (const char *kind : {"overloads", "doubleRuns", "staleStarts", "partialGangs"}) {
            CPPUNIT_ASSERT_MESSAGE(text, found["counts"][kind].isInt());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, found["counts"][kind].asInt());
        }
    }

private:
    static Fleet smallFleet()
    {
        FleetPart part;
        part.workers = 6;
        part.cores = 4000;
        part.memoryMiB = 8192;
        part.workersPerRack = 2;
        Fleet fleet;
        fleet.parts = {part};
        return fleet;
    }

    void put(const std::string &subtree, const Json::Value &content, int64_t version)
    {
        http::Request request;
        request.method = "PUT";
        request.path = "/v1/settings/" + subtree;
        request.headers.set("Change-Id", "change-" + subtree);
        request.headers.set("If-Match", std::to_string(version));
        request.headers.set("Authorization", "Bearer secret");
        request.body = writeJson(content);
        std::string last;
        const bool isPut = waitUntil(patience(), [&] {
            const auto answer = harness::call(m_deployment.scheduler(0).httpAddress(), request);
            last = answer.ok() ? answer->body : answer.status().ToString();
            return answer.ok() && answer->status == 200;
        });
        CPPUNIT_ASSERT_MESSAGE(last + m_harness.logs(), isPut);
    }

    void putSettings()
    {
        Json::Value cell;
        cell["tokenSha256"] = secretSha256;
        put("cell", cell, 0);
        Json::Value team;
        team["tokenSha256"] = secretSha256;
        team["quota"]["cores"] = 1000000;
        team["quota"]["memoryMiB"] = 1000000;
        team["quota"]["accelerators"] = 100;
        put("draws", team, 1);
    }

    Harness m_harness;
    Standins m_standins;
    Deployment m_deployment;
};

inline Json::Value job(const std::string &id, const std::string &kind, int count, int runMs)
{
    Json::Value body;
    body["jobId"] = id;
    body["team"] = "draws";
    body["kind"] = kind;
    body["class"] = "normal";
    body["count"] = count;
    body["cores"] = 1000;
    body["memoryMiB"] = 1024;
    body["accelerators"] = 0;
    body["runMs"] = runMs;
    return body;
}

} // namespace cwl::scheduler::test
