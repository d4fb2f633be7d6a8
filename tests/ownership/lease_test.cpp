// Tests of MemberLease: the time during which a member may treat itself as valid.

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
    CPPUNIT_TEST(expiryIsFinal);
    CPPUNIT_TEST(lateSuccessOfOldRenewalDoesNotExtend);
    CPPUNIT_TEST(lateRegistrationIsNotValidUntilRenewed);
    CPPUNIT_TEST(rejectedRenewalEndsTheLease);
    CPPUNIT_TEST(majorityOfWitnessesExtends);
    CPPUNIT_TEST(extensionCountsFromEarliestPromiseOfBestMajority);
    CPPUNIT_TEST(noWitnessesNoExtension);
    CPPUNIT_TEST(unnamedWitnessesAndOldRevisionsDoNotCount);
    CPPUNIT_TEST(unknownOutcomeNeedsBothMajorities);
    CPPUNIT_TEST(unknownOutcomePersistsAfterDefiniteFailures);
    CPPUNIT_TEST(definiteFailureDropsPendingRenewal);
    CPPUNIT_TEST(promisesEndWithMaxStoreAbsence);
    CPPUNIT_TEST(promiseAfterExpiryIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a validity that counts from the response or ignores the clock rate error.
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

    // Guards against an owner that becomes valid again after others may have taken over.
    void expiryIsFinal()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {a}, at(2900));
        lease.committed(Revision(6), at(3100));
        CPPUNIT_ASSERT(lease.hasExpired(at(3100)));
        CPPUNIT_ASSERT(!lease.isValid(at(3200)));
    }

    // Guards against a delayed renewal whose validity counts from its response.
    void lateSuccessOfOldRenewalDoesNotExtend()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {a}, at(1000));
        lease.promiseGranted(a, Revision(5), at(2500), at(2600));
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
        CPPUNIT_ASSERT(!lease.hasExpired(at(4000)));
        lease.beginRenewal(ChangeId("second"), {}, at(4000));
        lease.committed(Revision(6), at(4010));
        CPPUNIT_ASSERT(lease.isValid(at(4010)));
    }

    // Guards against a member that stays valid after its row was deleted.
    void rejectedRenewalEndsTheLease()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {a}, at(1000));
        lease.rejected();
        CPPUNIT_ASSERT(lease.hasExpired(at(1001)));
    }

    // Guards against an extension by half of the witnesses, which a takeover could outvote.
    void majorityOfWitnessesExtends()
    {
        MemberLease lease = renewed({a, b, c, d});
        const TimePoint before = lease.validUntil();
        lease.promiseGranted(a, Revision(5), at(2000), at(2010));
        lease.promiseGranted(b, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(lease.validUntil() == before);
        lease.promiseGranted(c, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(lease.validUntil() == at(2000) + shortenedByClockError(promiseLease));
    }

    // Guards against an extension that counts from a later promise than the first to expire.
    void extensionCountsFromEarliestPromiseOfBestMajority()
    {
        MemberLease lease = renewed({a, b, c});
        lease.promiseGranted(a, Revision(5), at(1000), at(2600));
        lease.promiseGranted(b, Revision(5), at(1500), at(2600));
        CPPUNIT_ASSERT(lease.validUntil() == at(1000) + shortenedByClockError(promiseLease));
        lease.promiseGranted(c, Revision(5), at(2000), at(2600));
        CPPUNIT_ASSERT(lease.validUntil() == at(1500) + shortenedByClockError(promiseLease));
        lease.promiseGranted(c, Revision(5), at(500), at(2600));
        CPPUNIT_ASSERT(lease.validUntil() == at(1500) + shortenedByClockError(promiseLease));
    }

    // Guards against an extension without witnesses: a takeover would need no vote.
    void noWitnessesNoExtension()
    {
        MemberLease lease = renewed({});
        lease.promiseGranted(a, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(!lease.isValid(at(2994)));
        MemberLease pendingWithout = renewed({a});
        pendingWithout.beginRenewal(ChangeId("second"), {}, at(1000));
        pendingWithout.promiseGranted(a, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(!pendingWithout.isValid(at(2994)));
    }

    // Guards against counting promises of members whose votes a takeover does not need.
    void unnamedWitnessesAndOldRevisionsDoNotCount()
    {
        MemberLease lease = renewed({a});
        lease.promiseGranted(b, Revision(5), at(2000), at(2010));
        lease.promiseGranted(a, Revision(4), at(2000), at(2010));
        CPPUNIT_ASSERT(!lease.isValid(at(2994)));
    }

    // Guards against a takeover by the witnesses of a row whose commit the member does not know of.
    void unknownOutcomeNeedsBothMajorities()
    {
        MemberLease lease = renewed({a, b, c});
        lease.beginRenewal(ChangeId("second"), {b, c, d}, at(1000));
        lease.attemptEnded(AttemptOutcome::Unknown);
        lease.promiseGranted(a, Revision(5), at(2000), at(2010));
        lease.promiseGranted(b, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(!lease.isValid(at(2994)));
        lease.promiseGranted(d, Revision(5), at(1800), at(2020));
        CPPUNIT_ASSERT(lease.validUntil() == at(1800) + shortenedByClockError(promiseLease));
        CPPUNIT_ASSERT(lease.promiseCandidates() == (MemberSet{a, b, c, d}));
    }

    // Guards against dropping a possible row because a later attempt definitely failed.
    void unknownOutcomePersistsAfterDefiniteFailures()
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
    void definiteFailureDropsPendingRenewal()
    {
        MemberLease lease = renewed({a});
        lease.beginRenewal(ChangeId("second"), {b}, at(1000));
        lease.attemptEnded(AttemptOutcome::NotWritten);
        CPPUNIT_ASSERT(!lease.pending().has_value());
        lease.promiseGranted(a, Revision(5), at(2000), at(2010));
        CPPUNIT_ASSERT(lease.isValid(at(4000)));
    }

    // Guards against promises that extend the lease past the time when no votes are needed.
    void promisesEndWithMaxStoreAbsence()
    {
        MemberLease lease = renewed({a});
        const TimePoint limit = at(0) + shortenedByClockError(maxStoreAbsence);
        TimePoint now = at(1000);
        for (; now < limit; now += seconds(1))
            lease.promiseGranted(a, Revision(5), now, now);
        CPPUNIT_ASSERT(lease.validUntil() == limit);
        CPPUNIT_ASSERT(lease.hasExpired(limit));
    }

    // Guards against a promise that arrives after a pause and makes an expired lease valid again.
    void promiseAfterExpiryIsIgnored()
    {
        MemberLease lease = renewed({a});
        lease.promiseGranted(a, Revision(5), at(2900), at(3000));
        CPPUNIT_ASSERT(lease.hasExpired(at(3000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace
