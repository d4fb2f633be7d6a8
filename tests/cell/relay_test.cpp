// The choice of the member that collects the rows of a part, and what makes a store count as slow.

#include "cell/acceptance.h"
#include "cell/entry.h"
#include "cell/memorystore.h"
#include "cell/relay.h"
#include "http/server.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::cell;

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(membersAgreeOnTheCollectorOfAPart);
    CPPUNIT_TEST(lostMemberMovesOnlyItsParts);
    CPPUNIT_TEST(unreachableMemberCollectsNoRows);
    CPPUNIT_TEST(rowIsRelayedAlthoughMembersAreGone);
    CPPUNIT_TEST(rejectedWritesMakeTheStoreSlow);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t memberCount = 40;
    boost::asio::io_context m_context{1};

    static std::string addressOf(size_t member) { return absl::StrCat("10.0.0.", member, ":7440"); }

    // The collector of each part as `member` sees it; `without` is not known to it.
    std::map<std::string, std::string> collectors(size_t member, size_t without = memberCount)
    {
        Relay relay(m_context);
        std::vector<std::string> others;
        for (size_t other = 0; other < memberCount; ++other) {
            if (other != member && other != without)
                others.push_back(addressOf(other));
        }
        relay.setPeers(others);
        std::map<std::string, std::string> result;
        for (size_t part = 0; part < jobParts; ++part) {
            const std::string collector = relay.collectorOf(jobPartName(part), addressOf(member));
            result[jobPartName(part)] = collector.empty() ? addressOf(member) : collector;
        }
        return result;
    }

    void runUntilSet(const std::optional<StoreOutcome> &outcome)
    {
        const TimePoint limit = BootClock::now() + seconds(20);
        while (!outcome && BootClock::now() < limit)
            m_context.run_one_for(milliseconds(20));
    }

public:
    // Guards against several members that write the same part of a slow store: it executes few
    // transactions a second, and each of these would hold a single row.
    void membersAgreeOnTheCollectorOfAPart()
    {
        const auto first = collectors(0);
        for (size_t member = 1; member < memberCount; ++member)
            CPPUNIT_ASSERT(first == collectors(member));
        std::map<std::string, int> load;
        for (const auto &[part, collector] : first)
            ++load[collector];
        CPPUNIT_ASSERT(load.size() > jobParts / 3); // no member collects most parts
    }

    // Guards against all parts changing their collector when a member is lost.
    void lostMemberMovesOnlyItsParts()
    {
        const auto all = collectors(0);
        const auto without = collectors(0, 7);
        for (const auto &[part, collector] : all) {
            if (collector != addressOf(7))
                CPPUNIT_ASSERT_EQUAL(collector, without.at(part));
        }
    }

    // Guards against rows that each member stores by itself because the member that collects them
    // has gone: it is listed for 180 s more.
    void unreachableMemberCollectsNoRows()
    {
        const auto work = boost::asio::make_work_guard(m_context);
        const std::string lost = "127.0.0.1:1"; // refuses connections
        Relay relay(m_context);
        std::vector<std::string> others = {lost};
        for (size_t member = 0; member < 4; ++member)
            others.push_back(addressOf(member));
        relay.setPeers(others);
        std::string part;
        for (size_t number = 0; number < jobParts && part.empty(); ++number) {
            if (relay.collectorOf(jobPartName(number), "10.0.0.99:7440") == lost)
                part = jobPartName(number);
        }
        CPPUNIT_ASSERT(!part.empty());
        std::optional<StoreOutcome> outcome;
        relay.putThrough(lost, {jobsTable, part, "5c0e7a21d94b36f8", "{}"},
                         BootClock::now() + seconds(3),
                         [&](StoreOutcome stored) { outcome = stored; });
        runUntilSet(outcome);
        CPPUNIT_ASSERT(outcome == StoreOutcome::NotStored);
        const std::string next = relay.collectorOf(part, "10.0.0.99:7440");
        CPPUNIT_ASSERT(next != lost);
        relay.setPeers({others.begin() + 1, others.end()});
        CPPUNIT_ASSERT_EQUAL(relay.collectorOf(part, "10.0.0.99:7440"), next);
    }

    // Guards against clients that are refused while a member could store their jobs: two members
    // that had gone were tried, and no other.
    void rowIsRelayedAlthoughMembersAreGone()
    {
        const auto work = boost::asio::make_work_guard(m_context);
        auto member = http::Server::create(
                m_context, {}, [](const http::Request &, const http::Responder &respond) {
                    http::Response response;
                    response.body = encodeStoreOutcome(StoreOutcome::Stored);
                    respond(response);
                });
        CPPUNIT_ASSERT(member.ok());
        for (int round = 0; round < 8; ++round) {
            Relay relay(m_context);
            relay.setPeers({"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4",
                            absl::StrCat("127.0.0.1:", (*member)->port())});
            std::optional<StoreOutcome> outcome;
            relay.put({jobsTable, jobPartName(0), "5c0e7a21d94b36f8", "{}"},
                      BootClock::now() + seconds(5),
                      [&](StoreOutcome stored) { outcome = stored; });
            runUntilSet(outcome);
            CPPUNIT_ASSERT(outcome == StoreOutcome::Stored);
        }
    }

    // Guards against a member that takes an overloaded store for a fast one because none of its own
    // writes succeeds.
    void rejectedWritesMakeTheStoreSlow()
    {
        const auto work = boost::asio::make_work_guard(m_context);
        tests::MemoryStore store(m_context);
        Acceptance acceptance(m_context, store);
        store.isDown = true;
        std::optional<StoreOutcome> outcome;
        acceptance.put({jobsTable, jobPartName(0), "5c0e7a21d94b36f8", "{}"},
                       BootClock::now() + seconds(3),
                       [&](StoreOutcome stored) { outcome = stored; });
        runUntilSet(outcome);
        CPPUNIT_ASSERT(outcome == StoreOutcome::NotStored);
        CPPUNIT_ASSERT(acceptance.responseTime() > slowStoreTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace
