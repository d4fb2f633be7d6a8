// Changes of cell settings by racing operators, through outages, lost answers and kills.

#include "base/json.h"
#include "integration/asserts.h"
#include "integration/operators.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <set>

namespace {

using namespace cwl;
using namespace cwl::integration;

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(racingOperatorsLoseNoAcceptedChange);
    CPPUNIT_TEST(lostAnswerOfAChangeIsFoundByItsId);
    CPPUNIT_TEST(versionsNeverGoBack);
    CPPUNIT_TEST(processStartedInAnOutageTakesThePeersVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two operators whose changes are both accepted on the same version, so that
    // one of them is lost.
    void racingOperatorsLoseNoAcceptedChange()
    {
        Cell cell({.schedulers = true});
        std::mutex mutex;
        std::set<int64_t> accepted;
        std::atomic<int> conflicts = 0;
        std::string problems;
        std::vector<std::thread> operators;
        for (size_t i = 0; i < 6; ++i) {
            operators.emplace_back([&, i] {
                const std::string address = cell.scheduler(i % 3).httpAddress();
                for (int change = 0; change < 8; ++change) {
                    const std::string name = std::to_string(i) + "-" + std::to_string(change);
                    const auto answer = putTeam(address, name, storedVersion(cell), teamText(name));
                    const std::lock_guard lock(mutex);
                    if (answer.status == 200
                        && !accepted.insert(answer.body["version"].asInt64()).second)
                        problems += "one version was given twice\n";
                    else if (answer.status == 409
                             && answer.body["error"]["type"] == "version_conflict")
                        ++conflicts;
                    else if (answer.status != 200)
                        problems += writeJson(answer.body) + "\n";
                }
            });
        }
        for (std::thread &thread : operators)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(std::string(), problems);
        CPPUNIT_ASSERT(conflicts > 0);
        CPPUNIT_ASSERT_EQUAL(int64_t(1 + accepted.size()), storedVersion(cell));
        assertInForce(cell, storedVersion(cell));
    }

    // Guards against a change that is applied twice, or reported as failed, because its answer
    // was lost on the way from the store or to the operator.
    void lostAnswerOfAChangeIsFoundByItsId()
    {
        Cell cell({.schedulers = true});
        cell.platform("loseNextAnswers", 3);
        const int64_t version = changeTeam(cell, "lost");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), int64_t(2), version);
        // The operator's own answer was lost: the repeat has the old base and the same id.
        for (size_t i = 0; i < 3; ++i) {
            const auto repeat =
                    putTeam(cell.scheduler(i).httpAddress(), "change-lost", 1, teamText("lost"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(writeJson(repeat.body), 200, repeat.status);
            CPPUNIT_ASSERT_EQUAL(version, repeat.body["version"].asInt64());
        }
        CPPUNIT_ASSERT_EQUAL(version, storedVersion(cell));
        assertInForce(cell, version);
    }

    // Guards against a version that goes back in a process, or after a process was replaced, while
    // processes are killed and the store fails.
    void versionsNeverGoBack()
    {
        Cell cell({.schedulers = true});
        VersionWatch watch(allAddresses(cell));
        int64_t version = 1;
        for (int round = 0; round < 2; ++round) {
            const std::string number = std::to_string(round);
            version = assertChanged(cell, "a" + number, version);
            cell.kill(cell.scheduler(size_t(round)));
            version = assertChanged(cell, "b" + number, version);
            cell.platform("outage", true);
            cell.kill(cell.entry(size_t(round)));
            cell.start(cell.entry(size_t(round)));
            cell.start(cell.scheduler(size_t(round)));
            assertInForce(cell, version); // also in those that start in the outage
            cell.platform("outage", false);
            version = assertChanged(cell, "c" + number, version);
            assertInForce(cell, version);
        }
        const std::string violations = watch.stop();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.logs(), std::string(), violations);
        CPPUNIT_ASSERT_EQUAL(version, storedVersion(cell));
    }

    // Guards against a process that starts in an outage and works with old settings or none, and
    // against a change that is accepted without the store.
    void processStartedInAnOutageTakesThePeersVersion()
    {
        Cell cell({.schedulers = true});
        const int64_t version = assertChanged(cell, "before", 1);
        assertInForce(cell, version);
        cell.kill(cell.entry(0));
        cell.kill(cell.scheduler(0));
        cell.platform("outage", true);
        cell.start(cell.entry(0));
        cell.start(cell.scheduler(0));
        assertInForce(cell, version);
        const auto refused =
                putTeam(cell.scheduler(1).httpAddress(), "during", version, teamText("during"));
        CPPUNIT_ASSERT_MESSAGE(writeJson(refused.body), refused.status >= 500);
        cell.platform("outage", false);
        assertReady(cell, cell.entry(0));
        assertReady(cell, cell.scheduler(0));
        CPPUNIT_ASSERT_EQUAL(version, storedVersion(cell));
        assertInForce(cell, assertChanged(cell, "after", version));
    }

private:
    static std::vector<std::string> allAddresses(Cell &cell)
    {
        std::vector<std::string> result = cell.entryAddresses();
        for (const std::string &address : cell.schedulerAddresses())
            result.push_back(address);
        return result;
    }

    static void assertInForce(Cell &cell, int64_t version)
    {
        const bool isInForce = waitForVersion(allAddresses(cell), version);
        CPPUNIT_ASSERT_MESSAGE(cell.logs(), isInForce);
    }

    static int64_t assertChanged(Cell &cell, const std::string &note, int64_t before)
    {
        const int64_t version = changeTeam(cell, note);
        CPPUNIT_ASSERT_MESSAGE(note + cell.logs(), version > before);
        return version;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace
