// Look-up of queues by host and path in a configuration of many routes.

#include "jobs/queueindex.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <absl/strings/match.h>

namespace {

using namespace cwl::jobs;

class QueueIndexTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueueIndexTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(findsWhatAWalkOverAllQueuesFinds);
    CPPUNIT_TEST_SUITE_END();

    static CellConfig makeConfig(const std::vector<std::pair<std::string, std::string>> &routes)
    {
        CellConfig config;
        for (const auto &[host, prefix] : routes) {
            Queue queue;
            queue.host = host;
            queue.prefix = prefix;
            config.queues.push_back(queue);
        }
        return config;
    }

public:
    // Guards against a request that goes to a queue of a shorter prefix, or of another host.
    void longestPrefixWins()
    {
        const QueueIndex index(std::make_shared<CellConfig>(
                makeConfig({{"a", "/p/"}, {"a", "/p/q/"}, {"b", "/p/q/r/"}})));
        CPPUNIT_ASSERT_EQUAL(std::string("/p/q/"), index.find("a", "/p/q/r/5c0e")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/p/"), index.find("a", "/p/5c0e")->prefix);
        CPPUNIT_ASSERT(index.find("a", "/p") == nullptr);
        CPPUNIT_ASSERT(index.find("b", "/p/5c0e") == nullptr);
        CPPUNIT_ASSERT(index.find("c", "/p/5c0e") == nullptr);
    }

    // Guards against prefixes that the index misses: without a slash at the end, empty, repeated.
    void findsWhatAWalkOverAllQueuesFinds()
    {
        const bool holds = rc::check("index and walk agree", [] {
            const auto text = rc::gen::container<std::string>(rc::gen::element('/', 'a', 'b'));
            const auto host = rc::gen::element<std::string>("h1", "h2");
            const CellConfig config = makeConfig(
                    *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
                            rc::gen::pair(host, text)));
            const std::string wantedHost = *host;
            const std::string path = *text;
            const Queue *best = nullptr;
            for (const Queue &queue : config.queues) {
                if (queue.host == wantedHost && absl::StartsWith(path, queue.prefix)
                    && (!best || queue.prefix.size() > best->prefix.size()))
                    best = &queue;
            }
            const QueueIndex index(std::make_shared<CellConfig>(config));
            const Queue *const found = index.find(wantedHost, path);
            RC_ASSERT((best == nullptr) == (found == nullptr));
            if (best)
                RC_ASSERT(best->prefix == found->prefix);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueIndexTest);

} // namespace
