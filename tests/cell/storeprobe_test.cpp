// How soon members resume after an outage in which the store did not respond.

#include "cell/memberfixture.h"
#include "cell/storeprobe.h"

namespace {

using namespace cwl;
using namespace cwl::cell;

class StoreProbeTest : public tests::MemberFixture
{
    CPPUNIT_TEST_SUITE(StoreProbeTest);
    CPPUNIT_TEST(silentStoreIsFoundAgain);
    CPPUNIT_TEST(lostWriteIsSentAgainAtOnce);
    CPPUNIT_TEST(ownerIsNotReplacedRightAfterAnOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a member that refuses jobs for up to 1.6 s after the store is back, because
    // its polls from the outage have to time out first.
    void silentStoreIsFoundAgain()
    {
        int regained = 0;
        StoreProbe probe(m_context, m_store, [&] { ++regained; });
        m_store.isSilent = true;
        probe.start();
        probe.start();
        runFor(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0, regained);
        CPPUNIT_ASSERT(probe.isProbing());
        m_store.isSilent = false;
        runUntil("the store is found", [&] { return regained == 1; });
        runFor(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(1, regained);
        CPPUNIT_ASSERT(!probe.isProbing());
    }

    // Guards against an owner that waits for the response to a write of the outage until it times
    // out, while the other members take over.
    void lostWriteIsSentAgainAtOnce()
    {
        Ownership &owner = add("owner");
        runUntil("it owns the cell", [&] { return owner.isOwner(); });
        m_store.isSilent = true;
        runUntil("a renewal is in flight", [&] { return owner.isCommitting(); });
        runFor(usualWriteTime + milliseconds(100));
        m_store.isSilent = false;
        const TimePoint regainedAt = BootClock::now();
        owner.expedite();
        runUntil("the renewal is stored", [&] { return !owner.isCommitting(); });
        CPPUNIT_ASSERT(BootClock::now() - regainedAt < storeCallTimeout / 2);
        CPPUNIT_ASSERT(owner.isOwner());
    }

    // Guards against a change of the owner after each outage: it could not renew either.
    void ownerIsNotReplacedRightAfterAnOutage()
    {
        Ownership &owner = add("owner");
        runUntil("it owns the cell", [&] { return owner.isOwner(); });
        Ownership &other = add("other");
        runUntil("the other member follows", [&] { return other.owner().holder == "owner"; });
        m_store.isDown = true;
        runFor(2 * renewalTimeout);
        m_store.isDown = false;
        runFor(2 * renewalTimeout);
        CPPUNIT_ASSERT(owner.isOwner());
        CPPUNIT_ASSERT(!other.isOwner());
        CPPUNIT_ASSERT_EQUAL(int64_t(1), owner.epoch().value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreProbeTest);

} // namespace
