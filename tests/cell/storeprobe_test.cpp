// How soon members resume after an outage in which the store did not respond.

#include "cell/memorystore.h"
#include "cell/ownership.h"
#include "cell/storeprobe.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::cell;

constexpr Duration waitLimit = seconds(20); // of each condition

class StoreProbeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreProbeTest);
    CPPUNIT_TEST(silentStoreIsFoundAgain);
    CPPUNIT_TEST(lostWriteIsSentAgainAtOnce);
    CPPUNIT_TEST(ownerIsNotReplacedRightAfterAnOutage);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context{1};
    const boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
            m_context.get_executor()};
    tests::MemoryStore m_store{m_context};
    std::vector<std::unique_ptr<Ownership>> m_members;

    Ownership &add(const std::string &name)
    {
        OwnershipEvents events;
        events.won = [](Epoch, const OwnerRow &) {};
        events.lost = [](const char *) {};
        events.changed = [](const OwnerRow &) {};
        events.confirmed = [](TimePoint) {};
        events.storeResponded = [](TimePoint) {};
        m_members.push_back(std::make_unique<Ownership>(
                m_context, m_store, OwnershipOptions{name, "127.0.0.1:1", {}}, std::move(events)));
        m_members.back()->start();
        return *m_members.back();
    }

    template <typename Condition>
    void runUntil(const std::string &what, Condition condition)
    {
        const TimePoint deadline = BootClock::now() + waitLimit;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("timed out waiting until " + what, BootClock::now() < deadline);
            m_context.run_one_for(milliseconds(20));
        }
    }

    void runFor(Duration time)
    {
        const TimePoint end = BootClock::now() + time;
        runUntil("some time has passed", [&] { return BootClock::now() >= end; });
    }

public:
    void tearDown() override { m_members.clear(); }

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
