// Members over in-memory tables, driven by one io_context. Shared by the tests of this folder.

#pragma once

#include "cell/memorystore.h"
#include "cell/ownership.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace cwl::cell::tests {

constexpr Duration waitLimit = seconds(20); // of each condition

class MemberFixture : public CppUnit::TestFixture
{
public:
    void tearDown() override { m_members.clear(); }

protected:
    // Starts a member that follows the ownership and may take it over.
    Ownership &add(const std::string &name, Millicores cores = {})
    {
        OwnershipEvents events;
        events.won = [](Epoch, const OwnerRow &) {};
        events.lost = [](const char *) {};
        events.changed = [](const OwnerRow &) {};
        events.confirmed = [](TimePoint) {};
        events.storeResponded = [](TimePoint) {};
        m_members.push_back(std::make_unique<Ownership>(
                m_context, m_store, OwnershipOptions{name, "127.0.0.1:1", cores},
                std::move(events)));
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

    boost::asio::io_context m_context{1};
    const boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
            m_context.get_executor()};
    MemoryStore m_store{m_context};
    std::vector<std::unique_ptr<Ownership>> m_members;
};

} // namespace cwl::cell::tests
