// Takeover and resignation between instances of different sizes, over in-memory tables.

#include "cell/memberfixture.h"

#include <string>
#include <thread>

namespace {

using namespace cwl;
using namespace cwl::cell;

constexpr Millicores small{120};
constexpr Millicores large{500};

class OwnershipTest : public tests::MemberFixture
{
    CPPUNIT_TEST_SUITE(OwnershipTest);
    CPPUNIT_TEST(smallMemberLeavesTheTakeoverToALargeOne);
    CPPUNIT_TEST(smallMemberTakesOverWhereThereIsNoLargeOne);
    CPPUNIT_TEST(smallOwnerYieldsToALargeMember);
    CPPUNIT_TEST(ownerDoesNotYieldToAnEqualMember);
    CPPUNIT_TEST(pausedOwnerConfirmsItsOwnershipBeforeItActs);
    CPPUNIT_TEST(refusedRowsDoNotEndTheOwnership);
    CPPUNIT_TEST(ownerWithoutAProofDoesNotAct);
    CPPUNIT_TEST(onlyTheFirstOwnerIsSoleAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a small instance that takes over while a large one is available. One owned the
    // cell of the grown fleet for a day: its processor share was a quarter of what the owner needs,
    // and nothing started in time.
    void smallMemberLeavesTheTakeoverToALargeOne()
    {
        Ownership &first = add("first", large);
        runUntil("the first member owns the cell", [&] { return first.isOwner(); });
        Ownership &smallMember = add("small", small);
        Ownership &largeMember = add("large", large);
        runUntil("all follow the owner", [&] {
            return smallMember.owner().holder == "first" && largeMember.owner().holder == "first";
        });
        first.resign([] {});
        runUntil("another member owns the cell",
                 [&] { return smallMember.isOwner() || largeMember.isOwner(); });
        CPPUNIT_ASSERT(largeMember.isOwner());
    }

    // Guards against a cell without an owner when all large instances are lost.
    void smallMemberTakesOverWhereThereIsNoLargeOne()
    {
        Ownership &first = add("first", large);
        runUntil("the first member owns the cell", [&] { return first.isOwner(); });
        Ownership &smallMember = add("small", small);
        runUntil("it follows the owner", [&] { return smallMember.owner().holder == "first"; });
        first.resign([] {});
        runUntil("the small member owns the cell", [&] { return smallMember.isOwner(); });
    }

    // Guards against a small owner that keeps the cell after the large instances are back.
    void smallOwnerYieldsToALargeMember()
    {
        Ownership &smallMember = add("small", small);
        runUntil("the small member owns the cell", [&] { return smallMember.isOwner(); });
        Ownership &largeMember = add("large", large);
        runUntil("the large member owns the cell", [&] {
            smallMember.yieldTo(large);
            return largeMember.isOwner();
        });
        CPPUNIT_ASSERT(!smallMember.isOwner());
        CPPUNIT_ASSERT_EQUAL(int64_t(2), largeMember.epoch().value());
    }

    // Guards against members of equal size that keep handing the ownership to each other.
    void ownerDoesNotYieldToAnEqualMember()
    {
        Ownership &owner = add("owner", large);
        runUntil("it owns the cell", [&] { return owner.isOwner(); });
        const TimePoint end = BootClock::now() + minTerm + milliseconds(300);
        runUntil("its shortest term is over", [&] {
            owner.yieldTo(large);
            return BootClock::now() > end;
        });
        CPPUNIT_ASSERT(owner.isOwner());
    }

    // Guards against a row that the store refuses and that ends the ownership of one member after
    // the other: with 1,851 workers their list outgrew a row, and the owner changed every 1.5 s.
    void refusedRowsDoNotEndTheOwnership()
    {
        Ownership &owner = add("owner", large);
        runUntil("it owns the cell", [&] { return owner.isOwner(); });
        m_store.maxRowBytes = 1000;
        bool isRefused = false;
        CPPUNIT_ASSERT(owner.commit({{"progress", ownerPart, "5c0e", std::string(2000, 'x')}}, {},
                                    [&](bool isStored) { isRefused = !isStored; }));
        runUntil("the refusal", [&] { return isRefused; });
        bool isStored = false;
        runUntil("a later write is stored", [&] {
            owner.commit({{"progress", ownerPart, "5c0f", "x"}}, {},
                         [&](bool stored) { isStored = stored; });
            return isStored;
        });
        CPPUNIT_ASSERT(owner.isOwner());
        CPPUNIT_ASSERT_EQUAL(int64_t(1), owner.epoch().value());
        CPPUNIT_ASSERT_EQUAL(std::string(), m_store.value("progress", ownerPart, "5c0e"));
    }

    // Guards against an owner that is alone without the store and goes on: a successor that has
    // fenced half of the workers counts on its end.
    void ownerWithoutAProofDoesNotAct()
    {
        Ownership &owner = add("owner", large);
        runUntil("it owns the cell", [&] { return owner.isOwner(); });
        m_store.isDown = true;
        const TimePoint lastWrite = owner.lastWrite();
        const auto actUntil = [&](TimePoint end) {
            runUntil("the proof is old", [&] {
                CPPUNIT_ASSERT_EQUAL(BootClock::now() < owner.lastProof() + proofLifetime,
                                     owner.mayAct(BootClock::now()));
                return BootClock::now() > end;
            });
        };
        actUntil(lastWrite + proofLifetime + milliseconds(100));
        CPPUNIT_ASSERT(!owner.mayAct(BootClock::now()));
        CPPUNIT_ASSERT(owner.isOwner());
        owner.noteWitnessed(BootClock::now());
        CPPUNIT_ASSERT(owner.mayAct(BootClock::now()));
        owner.noteWitnessed(BootClock::now() + seconds(60));
        CPPUNIT_ASSERT(owner.lastProof() == lastWrite + maxStoreOutage);
    }

    // Guards against a successor that takes the only earlier owner that it knows for the only one
    // that can act.
    void onlyTheFirstOwnerIsSoleAtOnce()
    {
        Ownership &first = add("first", large);
        runUntil("the first member owns the cell", [&] { return first.isOwner(); });
        CPPUNIT_ASSERT(first.isSole());
        Ownership &second = add("second", large);
        runUntil("it follows the owner", [&] { return second.owner().holder == "first"; });
        first.resign([] {});
        runUntil("the second member owns the cell", [&] { return second.isOwner(); });
        CPPUNIT_ASSERT(!second.isSole());
        second.setSole();
        bool isStored = false;
        runUntil("the next write is stored", [&] {
            second.commit({}, {}, [&](bool stored) { isStored = stored; });
            return isStored;
        });
        const auto row = decodeOwner(m_store.value(ownerTable, ownerPart, ownerKey));
        CPPUNIT_ASSERT(row.ok());
        CPPUNIT_ASSERT(row->isSole);
    }

    // Guards against an owner that was paused, in which time another member may have taken over,
    // and that sends orders before it has heard from the store.
    void pausedOwnerConfirmsItsOwnershipBeforeItActs()
    {
        Ownership &owner = add("owner", large);
        runUntil("it owns the cell", [&] { return owner.isOwner(); });
        CPPUNIT_ASSERT(owner.mayAct(BootClock::now()));
        std::this_thread::sleep_for(maxProcessPause + milliseconds(50));
        CPPUNIT_ASSERT(!owner.mayAct(BootClock::now()));
        runUntil("it has confirmed its ownership", [&] { return owner.mayAct(BootClock::now()); });
        // Without the store it cannot tell whether it has been replaced.
        m_store.isDown = true;
        std::this_thread::sleep_for(maxProcessPause + milliseconds(50));
        const TimePoint end = BootClock::now() + milliseconds(500);
        runUntil("some time has passed", [&] {
            CPPUNIT_ASSERT(!owner.mayAct(BootClock::now()));
            return BootClock::now() > end;
        });
        m_store.isDown = false;
        runUntil("it has confirmed its ownership", [&] { return owner.mayAct(BootClock::now()); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);

} // namespace
