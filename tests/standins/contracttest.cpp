// Tests that the system's platform client and the platform stand-in read the published protocol the
// same way, docs/design.md, section 9.1.

#include "standins/testsupport.h"

#include "base/error.h"
#include "platform/platform.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace {

using namespace standinstest;
using cwl::Failure;
using cwl::Revision;
using cwl::harness::Harness;
namespace platform = cwl::platform;

class ContractTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContractTest);
    CPPUNIT_TEST(writesAndReadsRows);
    CPPUNIT_TEST(conflictNamesTheRow);
    CPPUNIT_TEST(lostAnswerIsResolved);
    CPPUNIT_TEST(outageIsStoreUnavailable);
    CPPUNIT_TEST(listsInstances);
    CPPUNIT_TEST(keepsObjects);
    CPPUNIT_TEST_SUITE_END();

    Harness m_harness;
    std::string m_address;
    boost::asio::io_context m_context;
    std::unique_ptr<platform::Client> m_client;

    // Runs the io_context until `call` has handed a result to its callback.
    template <typename Result, typename Call>
    Result resultOf(Call call)
    {
        std::optional<Result> result;
        call([&result](Result value) { result = std::move(value); });
        m_context.restart();
        const cwl::TimePoint deadline = patience();
        while (!result && BootClock::now() < deadline)
            m_context.run_one_for(milliseconds(100));
        CPPUNIT_ASSERT_MESSAGE("the callback was not called", result.has_value());
        return *std::move(result);
    }

    absl::StatusOr<Revision> commit(const std::string &changeId, const std::string &key,
                                    Revision revision, const Json::Value &value)
    {
        const platform::Commit content{.changeId = cwl::ChangeId(changeId),
                                       .conditions = {{"t", key, revision}},
                                       .writes = {{"t", key, value}}};
        return resultOf<absl::StatusOr<Revision>>([&](platform::CommitCallback callback) {
            m_client->commit(content, BootClock::now() + seconds(10), std::move(callback));
        });
    }

    using Rows = absl::StatusOr<std::vector<std::vector<platform::Row>>>;
    Rows read(std::vector<platform::Read> reads)
    {
        return resultOf<Rows>([&](platform::ReadCallback callback) {
            m_client->read(std::move(reads), patience(), std::move(callback));
        });
    }

public:
    void setUp() override
    {
        const Json::Value list = json(R"({"instances": [{"id": "i1", "kind": "worker",
            "address": "127.0.0.1:1", "dataCentre": "dc1", "region": "r1", "rack": "k1",
            "service": "", "state": "leaving", "cores": 16000, "memoryMiB": 64,
            "accelerators": 8}, {"id": "i2", "kind": "endpoint", "address": "127.0.0.1:2",
            "dataCentre": "dc1", "region": "r1", "rack": "k1", "service": "draw",
            "state": "live"}]})");
        std::vector<uint16_t> ports;
        m_harness.startReady("platform", "standin-platform",
                             {"--instances", m_harness.writeFile("instances.json", list)}, ports);
        m_address = loopback(ports.at(0));
        auto client = platform::Client::create(m_context, {.address = m_address});
        CPPUNIT_ASSERT(client.ok());
        m_client = *std::move(client);
    }

    void writesAndReadsRows()
    {
        const auto revision = commit("c1", "a", Revision(0), json(R"({"x": 1})"));
        CPPUNIT_ASSERT_MESSAGE(revision.status().ToString(), revision.ok());
        const Rows rows = read({{.table = "t", .key = "a"},
                                {.table = "t", .key = "none"},
                                {.table = "t", .prefix = ""}});
        CPPUNIT_ASSERT_MESSAGE(rows.status().ToString(), rows.ok());
        CPPUNIT_ASSERT_EQUAL(size_t(3), rows->size());
        CPPUNIT_ASSERT_EQUAL(1, rows->at(0).at(0).value["x"].asInt());
        CPPUNIT_ASSERT(rows->at(0).at(0).revision == *revision);
        CPPUNIT_ASSERT(rows->at(1).empty() || rows->at(1).at(0).revision == Revision(0));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), rows->at(2).at(0).key);
    }

    void conflictNamesTheRow()
    {
        CPPUNIT_ASSERT(commit("c1", "a", Revision(0), "x").ok());
        const auto second = commit("c2", "a", Revision(0), "y");
        CPPUNIT_ASSERT(cwl::failureOf(second.status()) == Failure::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("t/a"), cwl::detailOf(second.status()).field);
    }

    // Guards against a write that took effect and is reported as failed, or is written twice.
    void lostAnswerIsResolved()
    {
        post(m_address, "/control", R"({"loseNextAnswers": 1})");
        const auto revision = commit("c1", "a", Revision(0), "x");
        CPPUNIT_ASSERT_MESSAGE(revision.status().ToString(), revision.ok());
        const Json::Value counters = get(m_address, "/control/counters");
        CPPUNIT_ASSERT_EQUAL(1, counters["lostAnswers"].asInt());
        CPPUNIT_ASSERT_EQUAL(1, counters["writes"].asInt());
    }

    void outageIsStoreUnavailable()
    {
        post(m_address, "/control", R"({"outage": true})");
        const auto refused = commit("c1", "a", Revision(0), "x");
        CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"),
                             std::string(cwl::failureName(cwl::failureOf(refused.status()))));
    }

    void listsInstances()
    {
        using Instances = absl::StatusOr<std::vector<platform::Instance>>;
        const auto list = resultOf<Instances>([&](platform::InstancesCallback callback) {
            m_client->instances(patience(), std::move(callback));
        });
        CPPUNIT_ASSERT_MESSAGE(list.status().ToString(), list.ok());
        CPPUNIT_ASSERT_EQUAL(size_t(2), list->size());
        const platform::Instance &worker = list->at(0);
        CPPUNIT_ASSERT(worker.kind == platform::InstanceKind::Worker);
        CPPUNIT_ASSERT(worker.state == platform::InstanceState::Leaving);
        CPPUNIT_ASSERT_EQUAL(int64_t(16000), worker.capacity.cores.value());
        CPPUNIT_ASSERT_EQUAL(std::string("draw"), list->at(1).service.value());
    }

    void keepsObjects()
    {
        const auto stored = resultOf<absl::Status>([&](std::function<void(absl::Status)> callback) {
            m_client->putObject("a/b", "content", patience(), std::move(callback));
        });
        CPPUNIT_ASSERT_MESSAGE(stored.ToString(), stored.ok());
        const auto object =
                resultOf<absl::StatusOr<std::string>>([&](platform::ObjectCallback callback) {
                    m_client->object("a/b", patience(), std::move(callback));
                });
        CPPUNIT_ASSERT_MESSAGE(object.status().ToString(), object.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("content"), *object);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContractTest);

} // namespace
