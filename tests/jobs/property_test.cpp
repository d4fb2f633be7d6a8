// Property tests of the dispatcher under injected faults, in seeded simulations.

#include "jobs/simulation.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace {

using namespace cwl;
using namespace cwl::jobs;

constexpr uint64_t seedsPerCase = 60;

uint64_t firstSeed()
{
    const char *const given = std::getenv("CWL_SEED");
    return given ? std::strtoull(given, nullptr, 10) : 20261204;
}

class DispatcherPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherPropertyTest);
    CPPUNIT_TEST(lostResponsesAndDelayedOrders);
    CPPUNIT_TEST(workersRestartAndBecomeUnreachable);
    CPPUNIT_TEST(ownersChange);
    CPPUNIT_TEST(allFaultsCombined);
    CPPUNIT_TEST(capsHoldThroughAllFaults);
    CPPUNIT_TEST_SUITE_END();

    static void check(simulation::Options options)
    {
        for (uint64_t seed = firstSeed(); seed < firstSeed() + seedsPerCase; ++seed) {
            options.seed = seed;
            const simulation::Result result = simulation::simulate(options);
            CPPUNIT_ASSERT_MESSAGE(
                    absl::StrCat("seed ", seed, ": ", absl::StrJoin(result.violations, "; ")),
                    result.violations.empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat("jobs left open, seed ", seed), size_t(0),
                                         result.open);
        }
    }

public:
    // Guards against a second run of a task while the first start order may still be executed.
    void lostResponsesAndDelayedOrders() { check({.lostResponses = 0.15, .delayedOrders = 0.1}); }

    // Guards against runs that are treated as ended while their worker is only unreachable.
    void workersRestartAndBecomeUnreachable() { check({.restarts = 0.05, .cuts = 0.05}); }

    // Guards against a new owner that loses the runs that its predecessor started or the failed
    // attempts that it counted.
    void ownersChange() { check({.failures = 0.3, .ownerChanges = 0.5}); }

    void allFaultsCombined()
    {
        check({.lostResponses = 0.1,
               .delayedOrders = 0.05,
               .failures = 0.15,
               .restarts = 0.03,
               .cuts = 0.03,
               .ownerChanges = 0.2});
    }

    // Guards against a customer that has more running than its cap: by starts that are executed
    // late, or by runs that a new owner has not read yet.
    void capsHoldThroughAllFaults()
    {
        check({.lostResponses = 0.1,
               .delayedOrders = 0.05,
               .failures = 0.1,
               .restarts = 0.02,
               .cuts = 0.05,
               .ownerChanges = 0.4,
               .customers = 2});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherPropertyTest);

} // namespace
