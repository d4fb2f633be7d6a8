// Tests of rendezvous assignment and of the hand-over rule.

#include "ownership/assignment.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace {

using namespace cwl;
using namespace cwl::ownership;

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

class AssignmentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AssignmentTest);
    CPPUNIT_TEST(weightsAreStable);
    CPPUNIT_TEST(onlyGroupsOfALeavingMemberMove);
    CPPUNIT_TEST(handOverWaitsUntilSameMemberRanksFirstForTenSeconds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change of the hash, which would move groups during a rolling update.
    void weightsAreStable()
    {
        const uint64_t weight = rendezvousWeight(MemberId("a"), GroupId("worker/cell"));
        CPPUNIT_ASSERT_EQUAL(uint64_t(11362744062742328629U), weight);
        CPPUNIT_ASSERT(!highestRanked({}, GroupId("worker/cell")));
    }

    // Guards against an assignment that depends on the order of members or moves other members'
    // groups.
    void onlyGroupsOfALeavingMemberMove()
    {
        const bool holds = rc::check("only groups of a leaving member move", [] {
            const auto names = *rc::gen::nonEmpty<std::vector<std::string>>();
            const GroupId group(*rc::gen::arbitrary<std::string>());
            std::vector<MemberId> members(names.begin(), names.end());
            const MemberId before = *highestRanked(members, group);
            std::reverse(members.begin(), members.end());
            RC_ASSERT(*highestRanked(members, group) == before);
            const MemberId leaving = *rc::gen::elementOf(members);
            std::erase(members, leaving);
            if (leaving != before)
                RC_ASSERT(*highestRanked(members, group) == before);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against groups that move back and forth with every restart.
    void handOverWaitsUntilSameMemberRanksFirstForTenSeconds()
    {
        const MemberId self("self");
        const MemberId other("other");
        const MemberId third("third");
        const GroupId group("worker/cell");
        HandOverTracker watch;
        CPPUNIT_ASSERT(!watch.isDue(group, self, other, at(0)));
        CPPUNIT_ASSERT(!watch.isDue(group, self, other, at(9999)));
        CPPUNIT_ASSERT(watch.isDue(group, self, other, at(10000)));
        CPPUNIT_ASSERT(!watch.isDue(group, self, third, at(10001)));
        CPPUNIT_ASSERT(!watch.isDue(group, self, self, at(15000)));
        CPPUNIT_ASSERT(!watch.isDue(group, self, third, at(20002)));
        CPPUNIT_ASSERT(watch.isDue(group, self, third, at(30002)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssignmentTest);

} // namespace
