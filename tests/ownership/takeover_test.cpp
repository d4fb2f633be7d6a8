// Tests of promises, votes and the observation that a takeover is based on.

#include "ownership/constants.h"
#include "ownership/observation.h"
#include "ownership/witness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::ownership;

const MemberId self("w");
const MemberId owner("m");
const MemberId a("a");
const MemberId b("b");

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

class TakeoverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TakeoverTest);
    CPPUNIT_TEST(promiseBlocksVoteUntilItExpires);
    CPPUNIT_TEST(voteBlocksPromisesPermanently);
    CPPUNIT_TEST(promiseAtLowerRevisionBlocksVote);
    CPPUNIT_TEST(newerPromiseDoesNotHideOlderRevision);
    CPPUNIT_TEST(requestToAnEarlierRunIsRejected);
    CPPUNIT_TEST(voteIsRetainedWhileTheRowExists);
    CPPUNIT_TEST(takeoverWaitsForTheLengthenedLease);
    CPPUNIT_TEST(timeWithoutReadsDoesNotCount);
    CPPUNIT_TEST(newRevisionRestartsTheWait);
    CPPUNIT_TEST(olderReadDoesNotReplaceNewer);
    CPPUNIT_TEST(fenceNeedsMajorityOfNamedWitnesses);
    CPPUNIT_TEST(fenceByTime);
    CPPUNIT_TEST(outageLeavesMembersLive);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a witness whose promise and vote are in force at the same time.
    void promiseBlocksVoteUntilItExpires()
    {
        Witness witness(self);
        CPPUNIT_ASSERT(witness.promise(self, owner, Revision(5), at(0)));
        CPPUNIT_ASSERT(!witness.vote(self, owner, Revision(5), at(2999)));
        CPPUNIT_ASSERT(witness.vote(self, owner, Revision(5), at(3000)));
    }

    // Guards against an owner that is extended after a takeover has counted the vote.
    void voteBlocksPromisesPermanently()
    {
        Witness witness(self);
        CPPUNIT_ASSERT(witness.vote(self, owner, Revision(5), at(0)));
        CPPUNIT_ASSERT(!witness.promise(self, owner, Revision(5), at(3600000)));
        CPPUNIT_ASSERT(!witness.promise(self, owner, Revision(4), at(3600000)));
        CPPUNIT_ASSERT(witness.promise(self, owner, Revision(6), at(3600000)));
    }

    // Guards against a vote at a revision that the owner does not know to be committed.
    void promiseAtLowerRevisionBlocksVote()
    {
        Witness witness(self);
        CPPUNIT_ASSERT(witness.promise(self, owner, Revision(5), at(0)));
        CPPUNIT_ASSERT(!witness.vote(self, owner, Revision(9), at(10)));
        CPPUNIT_ASSERT(witness.vote(self, owner, Revision(4), at(10)));
    }

    // Guards against a promise that is lost when a later one names a higher revision.
    void newerPromiseDoesNotHideOlderRevision()
    {
        Witness witness(self);
        CPPUNIT_ASSERT(witness.promise(self, owner, Revision(5), at(0)));
        CPPUNIT_ASSERT(witness.promise(self, owner, Revision(8), at(100)));
        CPPUNIT_ASSERT(!witness.vote(self, owner, Revision(6), at(200)));
    }

    // Guards against a restarted witness that votes without its former promises.
    void requestToAnEarlierRunIsRejected()
    {
        Witness witness(self);
        CPPUNIT_ASSERT(!witness.vote(a, owner, Revision(5), at(0)));
        CPPUNIT_ASSERT(!witness.promise(a, owner, Revision(5), at(0)));
    }

    // Guards against a vote that is dropped and followed by a promise before the takeover
    // completes.
    void voteIsRetainedWhileTheRowExists()
    {
        Witness witness(self);
        CPPUNIT_ASSERT(witness.vote(self, owner, Revision(5), at(0)));
        witness.prune({{owner, Revision(5)}}, at(3600000));
        CPPUNIT_ASSERT(!witness.promise(self, owner, Revision(5), at(3600000)));
        witness.prune({{owner, Revision(6)}}, at(3600000));
        CPPUNIT_ASSERT_EQUAL(size_t(0), witness.voteCount());
    }

    // Guards against a takeover within the owner's lease on a slower clock.
    void takeoverWaitsForTheLengthenedLease()
    {
        Observation observation;
        observation.update({{owner, Revision(5), {}}}, at(0));
        observation.update({{owner, Revision(5), {}}}, at(3005));
        CPPUNIT_ASSERT(!observation.mayBeginTakeover(owner));
        CPPUNIT_ASSERT(!observation.fence(owner, at(3005)));
        observation.update({{owner, Revision(5), {}}}, at(3006));
        CPPUNIT_ASSERT(observation.fence(owner, at(3006)) == Fence::NoWitnesses);
    }

    // Guards against vote requests during an outage of the store, when no row changes: each vote
    // would cost a live member a witness.
    void timeWithoutReadsDoesNotCount()
    {
        Observation observation;
        observation.update({{owner, Revision(5), {}}}, at(0));
        observation.update({{owner, Revision(5), {}}}, at(2000));
        CPPUNIT_ASSERT(!observation.fence(owner, at(60000)));
    }

    // Guards against a wait that counts from an older revision, and against votes at that revision.
    void newRevisionRestartsTheWait()
    {
        Observation observation;
        observation.update({{owner, Revision(5), {a}}}, at(0));
        observation.voteGranted(a, owner, Revision(5));
        observation.update({{owner, Revision(6), {a}}}, at(3000));
        observation.voteGranted(a, owner, Revision(5));
        observation.update({{owner, Revision(6), {a}}}, at(6005));
        CPPUNIT_ASSERT(!observation.mayBeginTakeover(owner));
        observation.update({{owner, Revision(6), {a}}}, at(6006));
        CPPUNIT_ASSERT(observation.mayBeginTakeover(owner));
        CPPUNIT_ASSERT(!observation.fence(owner, at(6006)));
    }

    // Guards against read responses that arrive out of order.
    void olderReadDoesNotReplaceNewer()
    {
        Observation observation;
        observation.update({{owner, Revision(6), {a}}}, at(0));
        observation.update({{owner, Revision(5), {}}}, at(10));
        CPPUNIT_ASSERT(observation.revision(owner) == Revision(6));
    }

    // Guards against a takeover with half of the votes, or with votes of members that
    // the row does not name.
    void fenceNeedsMajorityOfNamedWitnesses()
    {
        Observation observation;
        observation.update({{owner, Revision(5), {a, b}}}, at(0));
        observation.update({{owner, Revision(5), {a, b}}}, at(4000));
        observation.voteGranted(a, owner, Revision(5));
        observation.voteGranted(MemberId("stranger"), owner, Revision(5));
        CPPUNIT_ASSERT(!observation.fence(owner, at(4000)));
        observation.voteGranted(b, owner, Revision(5));
        CPPUNIT_ASSERT(observation.fence(owner, at(4000)) == Fence::Votes);
    }

    // Guards against a takeover without votes while promises may still count.
    void fenceByTime()
    {
        Observation observation;
        observation.update({{owner, Revision(5), {a}}}, at(0));
        observation.update({{owner, Revision(5), {a}}}, at(4000));
        const TimePoint allowed = at(0) + lengthenedByClockError(maxStoreAbsence);
        CPPUNIT_ASSERT(!observation.fence(owner, allowed - milliseconds(1)));
        CPPUNIT_ASSERT(observation.fence(owner, allowed) == Fence::Time);
    }

    // Guards against an outage of the store after which no member counts as live.
    void outageLeavesMembersLive()
    {
        Observation observation;
        observation.update({{owner, Revision(5), {}}}, at(0));
        CPPUNIT_ASSERT(observation.isLive(owner));
        observation.update({{owner, Revision(5), {}}}, at(2900));
        CPPUNIT_ASSERT(observation.isLive(owner));
        observation.update({{owner, Revision(5), {}}}, at(3000));
        CPPUNIT_ASSERT(!observation.isLive(owner));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

} // namespace
