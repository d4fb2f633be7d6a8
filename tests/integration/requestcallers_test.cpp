// Requests while other callers are slow, idle in thousands, or flood the cell.

#include "integration/asserts.h"
#include "testseed.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace cwl;
using namespace cwl::integration;
using boost::asio::ip::tcp;

// Connections that a test opens itself and leaves as they are.
class RawConnections
{
public:
    void open(uint16_t port, size_t count, const std::string &bytes)
    {
        const tcp::endpoint target(boost::asio::ip::make_address("127.0.0.1"), port);
        for (size_t i = 0; i < count; ++i) {
            tcp::socket socket(m_context);
            socket.connect(target);
            boost::asio::write(socket, boost::asio::buffer(bytes));
            m_sockets.push_back(std::move(socket));
        }
    }

private:
    boost::asio::io_context m_context;
    std::vector<tcp::socket> m_sockets;
};

class RequestCallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestCallersTest);
    CPPUNIT_TEST(slowAndIdleCallersDelayNoOthers);
    CPPUNIT_TEST(floodOfDeferredLeavesUrgentItsShare);
    CPPUNIT_TEST(floodOfUrgentLeavesNormalItsShare);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that hold connections without finishing a request and so keep
    // others from being served.
    void slowAndIdleCallersDelayNoOthers()
    {
        Cell cell({.instances = 2});
        RawConnections connections;
        for (size_t i = 0; i < 2; ++i) {
            const uint16_t port = cell.entry(i).httpPort;
            connections.open(port, 1500, "");
            connections.open(port, 150, "POST /v1/services/draw/pair HTT");
            connections.open(port, 150,
                             "POST /v1/services/draw/motions HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 100000\r\n\r\nbeginning");
        }
        Callers callers(cell.entryAddresses(), {.seed = tests::testSeed()});
        assertServes(cell, callers, 300);
        assertKept(cell, callers);
        const std::vector<RequestRecord> records = callers.records();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(callers.summary() + cell.logs(), records.size(),
                                     countOutcome(records, "answered"));
    }

    // Guards against a flood of the least urgent work that takes all slots.
    void floodOfDeferredLeavesUrgentItsShare() { floodBy("deferred", "urgent"); }

    // Guards against a flood of the most urgent work that starves the other classes.
    void floodOfUrgentLeavesNormalItsShare() { floodBy("urgent", "normal"); }

private:
    // The endpoints run 16 requests at once; 64 callers of the flood keep the queues full. The
    // others need less than their guaranteed share, so each of their requests is served.
    static void floodBy(const std::string &flooder, const std::string &other)
    {
        Cell cell({.instances = 2, .endpoints = 2, .endpointGroups = 1, .serviceMs = 100});
        Callers flood(cell.entryAddresses(),
                      {.threads = 64,
                       .maxAttempts = 1,
                       .deadlineMs = 2000,
                       .pauseMs = 0,
                       .urgency = flooder,
                       .seed = tests::testSeed()});
        assertServes(cell, flood, 200);
        Callers kept(cell.entryAddresses(),
                     {.threads = 3,
                      .deadlineMs = 2000,
                      .pauseMs = 0,
                      .urgency = other,
                      .seed = tests::testSeed() + 1});
        assertServes(cell, kept, 60);
        kept.stop();
        const std::vector<RequestRecord> records = kept.records();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(kept.summary() + cell.logs(), records.size(),
                                     countOutcome(records, "answered"));
        assertKept(cell, flood);
        assertKept(cell, kept);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestCallersTest);

} // namespace
