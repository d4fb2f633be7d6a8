// The order of pending work under loads around and beyond the capacity, against other orders.
//
// A pool of equal slots gets jobs of two queues: short urgent ones and long ones of less urgency.
// Each job is one task. A job has its full value until its target time, a fifth of it until three
// times its target duration, and none later.

#include "jobs/callercost.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::jobs;

struct Kind
{
    int64_t priority;
    double value;
    int64_t workMs;  // mean
    int64_t slackMs; // target duration beyond the work
};

constexpr Kind urgent = {0, 0.5, 600, 500};
constexpr Kind bulk = {2, 4.0, 4500, 9000};
constexpr int slots = 60;
constexpr int64_t stepMs = 20;
constexpr int64_t endMs = 40000;
constexpr double lateShare = 0.2;
constexpr int noValueFactor = 3;

struct PendingJob
{
    Kind kind;
    int64_t workMs = 0;
    int64_t arrivedMs = 0;
    bool isWithinRate = true;

    int64_t targetMs() const { return arrivedMs + workMs + kind.slackMs; }
    int64_t noValueMs() const { return arrivedMs + noValueFactor * (workMs + kind.slackMs); }
    double valueAt(int64_t ms) const
    {
        return ms <= targetMs() ? kind.value : ms <= noValueMs() ? lateShare * kind.value : 0;
    }
};

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

OrderKey keyOf(const PendingJob &job, int64_t now)
{
    PendingWork work;
    work.priority = job.kind.priority;
    work.isWithinRate = job.isWithinRate;
    work.targetTime = at(job.targetMs());
    work.outlook = deadlineOutlook(at(now), milliseconds(job.workMs), at(job.targetMs()),
                                   at(job.noValueMs()));
    return orderKey(work);
}

// True if the first job starts before the second one.
using Order = std::function<bool(const PendingJob &, const PendingJob &, int64_t now)>;

const Order byCost = [](const PendingJob &a, const PendingJob &b, int64_t now) {
    return keyOf(a, now) < keyOf(b, now);
};
const Order byArrival = [](const PendingJob &a, const PendingJob &b, int64_t) {
    return a.arrivedMs < b.arrivedMs;
};
const Order byTarget = [](const PendingJob &a, const PendingJob &b, int64_t) {
    return a.targetMs() < b.targetMs();
};
const Order byPriority = [](const PendingJob &a, const PendingJob &b, int64_t) {
    return std::pair(a.kind.priority, a.arrivedMs) < std::pair(b.kind.priority, b.arrivedMs);
};

struct Outcome
{
    double earned = 0;
    double offered = 0;
    double earnedWithinRate = 0;
    double offeredWithinRate = 0;

    double share() const { return earned / offered; }
    double shareWithinRate() const { return earnedWithinRate / offeredWithinRate; }
};

// Plays `load` times the capacity; a part of the urgent jobs is beyond its customer's rate.
Outcome play(double load, const Order &order, double beyondRateShare = 0)
{
    std::mt19937_64 random(20261206);
    std::uniform_real_distribution<double> uniform(0, 1);
    Outcome outcome;
    std::vector<PendingJob> waiting;
    std::vector<int64_t> busyUntil(slots, 0);
    // Half of the work is urgent.
    const double workPerStep = load * slots * double(stepMs) / 2;
    for (int64_t now = 0; now < endMs; now += stepMs) {
        for (const Kind &kind : {urgent, bulk}) {
            if (uniform(random) >= workPerStep / double(kind.workMs))
                continue;
            PendingJob job;
            job.kind = kind;
            job.workMs = int64_t(double(kind.workMs) * (0.5 + uniform(random)));
            job.arrivedMs = now;
            job.isWithinRate = uniform(random) >= beyondRateShare || kind.priority != 0;
            outcome.offered += kind.value;
            outcome.offeredWithinRate += job.isWithinRate ? kind.value : 0;
            waiting.push_back(job);
        }
        for (int64_t &until : busyUntil) {
            if (until > now || waiting.empty())
                continue;
            const auto next = std::min_element(
                    waiting.begin(), waiting.end(),
                    [&](const PendingJob &a, const PendingJob &b) { return order(a, b, now); });
            until = now + next->workMs;
            outcome.earned += next->valueAt(until);
            outcome.earnedWithinRate += next->isWithinRate ? next->valueAt(until) : 0;
            waiting.erase(next);
        }
    }
    return outcome;
}

class OverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(callersGetMoreThanInOtherOrders);
    CPPUNIT_TEST(workWithinTheRateKeepsItsValue);
    CPPUNIT_TEST_SUITE_END();

public:
    // The load: 0.8 to 3 times the capacity. Guards against an order in which an overload makes all
    // work late: first come first served, earliest target first, or priority alone.
    void callersGetMoreThanInOtherOrders()
    {
        for (const double load : {0.8, 1.0, 1.5, 2.0, 3.0}) {
            const double own = play(load, byCost).share();
            for (const auto &[name, order] : {std::pair<const char *, Order>{"arrival", byArrival},
                                              {"target", byTarget},
                                              {"priority", byPriority}}) {
                const double other = play(load, order).share();
                CPPUNIT_ASSERT_MESSAGE(
                        absl::StrCat("load ", load, ": ", own, " against ", other, " by ", name),
                        own >= other - 0.02);
            }
        }
        CPPUNIT_ASSERT(play(2.0, byCost).share() > 1.5 * play(2.0, byArrival).share());
    }

    // The load: twice the capacity, of which most of the urgent work is beyond a customer's rate.
    // Guards against a flood that delays what is due to its own customer and to others.
    void workWithinTheRateKeepsItsValue()
    {
        const double flooded = play(2.0, byCost, 0.8).shareWithinRate();
        const double blind = play(2.0, byPriority, 0.8).shareWithinRate();
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(flooded, " against ", blind),
                               flooded > blind && flooded >= 0.6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace
