// Tests of the member lease: when a member may regard itself as valid.

#include "ownership/constants.h"
#include "ownership/lease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace cwl;
using namespace cwl::ownership;

const MemberId a("a");
const MemberId b("b");
const MemberId c("c");
const MemberId d("d");

TimePoint at(int64_t ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

// A lease that was renewed at 0 ms with revision 5 and these witnesses.
MemberLease renewed(const MemberSet &witnesses)
{
    MemberLease lease;
    lease.beginRenewal(ChangeId("first"), witnesses, at(0));
    lease.committed(Revision(5), at(10));
    return lease;
}

class LeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(validityCountsFromSendTimeAndIsShortened);
    CPPUNIT_TEST(lapseIsFinal);
    CPPUNIT_TEST(lateSuccessOfOldRenewalDoesNotExtend);
    CPPUNIT_TEST(lateRegistrationIsNotValidUntilRenewed);
    CPPUNIT_TEST(refusedRenewalEndsTheLease);
    CPPUNIT_TEST(majorityOfWitnessesExtends);
    CPPUNIT_TEST(extensionCountsFromEarliestPromiseOfBestMajority);
    CPPUNIT_TEST(noWitnessesNoExtension);
    CPPUNIT_TEST(strangersAndOldRevisionsDoNotCount);
    CPPUNIT_TEST(unknownOutcomeNeedsBothMajorities);
    CPPUNIT_TEST(unknownOutcomeOutlivesLaterCertainFailures);
    CPPUNIT_TEST(certainFailureLeavesOneRow);
    CPPUNIT_TEST(promisesEndWithMaxStoreAbsence);
    CPPUNIT_TEST(promiseAfterLapseIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a validity that counts from the answer or ignores the clocks' rates.
    void validityCountsFromSendTimeAndIsShortened()
    {
        MemberLease lease;
        lease.beginRenewal(ChangeId("first"), {}, at(0));
        CPPUNIT_ASSERT(!lease.isValid(at(1)));
        lease.committed(Revision(5), at(900));
        CPPUNIT_ASSERT(lease.validUntil() == at(0) + shortenedByClockError(memberLease));
        CPPUNIT_ASSERT(lease.isValid(at(2993)));
        CPPUNIT_ASSERT(!lease.isValid(at(2994)));
    }

    // Guards against an owner that comes back to life after others may have taken over.
    void lapseIsFinal()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {a}, at(2900));
        lease.committed(Revision(6), at(3100));
        CPPUNIT_ASSERT(lease.hasLapsed(at(3100)));
        CPPUNIT_ASSERT(!lease.isValid(at(3200)));
    }

    // Guards against a renewal that was stuck for long and then counts from its answer.
    void lateSuccessOfOldRenewalDoesNotExtend()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {a}, at(1000));
        lease.promised(a, Revision(5), at(2500), at(2600));
        const TimePoint until = lease.validUntil();
        lease.addAttempt();
        lease.committed(Revision(6), at(5000));
        CPPUNIT_ASSERT(lease.validUntil() == until);
        CPPUNIT_ASSERT(lease.revision() == Revision(6));
    }

    // Guards against a member that starts with a validity which has already passed.
    void lateRegistrationIsNotValidUntilRenewed()
    {
        MemberLease lease;
        lease.beginRenewal(ChangeId("first"), {}, at(0));
        lease.committed(Revision(5), at(4000));
        CPPUNIT_ASSERT(!lease.isValid(at(4000)));
        CPPUNIT_ASSERT(!lease.hasLapsed(at(4000)));
        lease.beginRenewal(ChangeId("second"), {}, at(4000));
        lease.committed(Revision(6), at(4010));
        CPPUNIT_ASSERT(lease.isValid(at(4010)));
    }

    // Guards against a member that goes on after its row was deleted.
    void refusedRenewalEndsTheLease()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {a}, at(1000));
        lease.refused();
        CPPUNIT_ASSERT(lease.hasLapsed(at(1001)));
    }

    // Guards against an extension by half of the witnesses, which a takeover could outvote.
    void majorityOfWitnessesExtends()
    {
        MemberLease lease = renewed({a, b, c, d});
        const TimePoint before = lease.validUntil();
        lease.promised(a, Revision(5), at(2000), at(2010));
        lease.promised(b, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(lease.validUntil() == before);
        lease.promised(c, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(lease.validUntil() == at(2000) + shortenedByClockError(promiseLease));
    }

    // Guards against counting from a later promise than the one that ends first.
    void extensionCountsFromEarliestPromiseOfBestMajority()
    {
        MemberLease lease = renewed({a, b, c});
        lease.promised(a, Revision(5), at(1000), at(2600));
        lease.promised(b, Revision(5), at(1500), at(2600));
        CPPUNIT_ASSERT(lease.validUntil() == at(1000) + shortenedByClockError(promiseLease));
        lease.promised(c, Revision(5), at(2000), at(2600));
        CPPUNIT_ASSERT(lease.validUntil() == at(1500) + shortenedByClockError(promiseLease));
        lease.promised(c, Revision(5), at(500), at(2600));
        CPPUNIT_ASSERT(lease.validUntil() == at(1500) + shortenedByClockError(promiseLease));
    }

    // Guards against an extension without witnesses: a takeover would need no vote.
    void noWitnessesNoExtension()
    {
        MemberLease lease = renewed({});
        lease.promised(a, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(!lease.isValid(at(2994)));
        MemberLease pendingWithout = renewed({a});
        pendingWithout.beginRenewal(ChangeId("second"), {}, at(1000));
        pendingWithout.promised(a, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(!pendingWithout.isValid(at(2994)));
    }

    // Guards against promises by members that are not asked for votes.
    void strangersAndOldRevisionsDoNotCount()
    {
        MemberLease lease = renewed({a});
        lease.promised(b, Revision(5), at(2000), at(2010));
        lease.promised(a, Revision(4), at(2000), at(2010));
        CPPUNIT_ASSERT(!lease.isValid(at(2994)));
    }

    // Guards against a takeover by the witnesses of a row that the member does not know of.
    void unknownOutcomeNeedsBothMajorities()
    {
        MemberLease lease = renewed({a, b, c});
        lease.beginRenewal(ChangeId("second"), {b, c, d}, at(1000));
        lease.attemptEnded(AttemptOutcome::Unknown);
        lease.promised(a, Revision(5), at(2000), at(2010));
        lease.promised(b, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(!lease.isValid(at(2994)));
        lease.promised(d, Revision(5), at(1800), at(2020));
        CPPUNIT_ASSERT(lease.validUntil() == at(1800) + shortenedByClockError(promiseLease));
        CPPUNIT_ASSERT(lease.promiseCandidates() == (MemberSet{a, b, c, d}));
    }

    // Guards against forgetting a possible row because a later attempt certainly failed.
    void unknownOutcomeOutlivesLaterCertainFailures()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {b}, at(1000));
        lease.addAttempt();
        lease.attemptEnded(AttemptOutcome::NotWritten);
        CPPUNIT_ASSERT(lease.pending().has_value());
        lease.attemptEnded(AttemptOutcome::Unknown);
        lease.addAttempt();
        lease.attemptEnded(AttemptOutcome::NotWritten);
        CPPUNIT_ASSERT(lease.pending().has_value());
    }

    // Guards against a member that needs the witnesses of a row that cannot exist.
    void certainFailureLeavesOneRow()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {b}, at(1000));
        lease.attemptEnded(AttemptOutcome::NotWritten);
        CPPUNIT_ASSERT(!lease.pending().has_value());
        lease.promised(a, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(lease.isValid(at(4000)));
    }

    // Guards against promises that outlast the time after which anyone may take over.
    void promisesEndWithMaxStoreAbsence()
    {
        MemberLease lease = renewed({a});
        const TimePoint limit = at(0) + shortenedByClockError(maxStoreAbsence);
        TimePoint now = at(1000);
        for (; now < limit; now += seconds(1))
            lease.promised(a, Revision(5), now, now);
        CPPUNIT_ASSERT(lease.validUntil() == limit);
        CPPUNIT_ASSERT(lease.hasLapsed(limit));
    }

    // Guards against a promise that is received after a pause and revives the lease.
    void promiseAfterLapseIsIgnored()
    {
        MemberLease lease = renewed({a});
        lease.promised(a, Revision(5), at(2900), at(3000));
        CPPUNIT_ASSERT(lease.hasLapsed(at(3000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace
