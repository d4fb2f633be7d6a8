// Tests of the member over the real platform client and RPC, in real time. The platform is an HTTP
// server of this test that follows the published protocol.

#include "base/error.h"
#include "base/json.h"
#include "http/server.h"
#include "ownership/member.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace cwl;
using namespace cwl::ownership;

class FakePlatform
{
public:
    explicit FakePlatform(boost::asio::io_context &context)
    {
        m_server = http::Server::create(context, {}, [this](auto request, auto responder) {
                       responder(respond(request));
                   }).value();
    }

    std::string address() const { return absl::StrCat("127.0.0.1:", m_server->port()); }
    size_t memberRows() { return m_tables["members"].size(); }

    bool isOut = false;

private:
    http::Response respond(const http::Request &request)
    {
        if (isOut)
            return {.status = 503};
        if (request.path == "/tables/commit")
            return {.body = writeJson(commit(parseJson(request.body).value()))};
        if (request.path == "/tables/read")
            return {.body = writeJson(read(parseJson(request.body).value()))};
        return {.body = R"({"known": false})"};
    }

    Json::Value commit(const Json::Value &request)
    {
        Json::Value response;
        for (const Json::Value &condition : request["conditions"]) {
            const auto &table = m_tables[condition["table"].asString()];
            const auto row = table.find(condition["key"].asString());
            const int64_t revision = row == table.end() ? 0 : row->second["revision"].asInt64();
            if (revision == condition["revision"].asInt64())
                continue;
            response["committed"] = false;
            response["conflict"] = condition;
            response["conflict"]["revision"] = Json::Int64(revision);
            return response;
        }
        ++m_revision;
        for (const Json::Value &write : request["writes"]) {
            auto &table = m_tables[write["table"].asString()];
            Json::Value row;
            row["key"] = write["key"];
            row["value"] = write["value"];
            row["revision"] = Json::Int64(m_revision);
            if (write["value"].isNull())
                table.erase(write["key"].asString());
            else
                table[write["key"].asString()] = row;
        }
        response["committed"] = true;
        response["revision"] = Json::Int64(m_revision);
        return response;
    }

    Json::Value read(const Json::Value &request)
    {
        Json::Value response;
        response["rows"] = Json::Value(Json::arrayValue);
        for (const Json::Value &read : request["reads"]) {
            Json::Value rows(Json::arrayValue);
            for (const auto &[key, row] : m_tables[read["table"].asString()])
                rows.append(row);
            response["rows"].append(rows);
        }
        return response;
    }

    std::unique_ptr<http::Server> m_server;
    std::map<std::string, std::map<std::string, Json::Value>> m_tables;
    int64_t m_revision = 0;
};

// One process: its own RPC server and clients, all on the test's thread.
struct Process
{
    Process(boost::asio::io_context &context, const FakePlatform &platform,
            const std::vector<GroupId> &groups)
        : client(platform::Client::create(context, {.address = platform.address()}).value())
        , server(rpc::Server::create(context, {}).value())
        , rpcClient(context)
    {
        MemberOptions options;
        options.info.role = Role::Entry;
        options.info.rpcAddress = absl::StrCat("127.0.0.1:", server->port());
        options.info.ready = true;
        options.groups = groups;
        GroupListener listener;
        listener.acquired = [this](const Acquisition &acquisition) {
            held[acquisition.group] = acquisition.epoch;
        };
        listener.lost = [this](const GroupId &group) { held.erase(group); };
        listener.release = [this](const GroupId &group, const std::function<void()> &done) {
            held.erase(group);
            done();
        };
        member = Member::create(context, *client, *server, rpcClient, options, listener).value();
        member->start();
    }

    std::map<GroupId, Epoch> held;
    std::unique_ptr<platform::Client> client;
    std::unique_ptr<rpc::Server> server;
    rpc::Client rpcClient;
    std::unique_ptr<Member> member;
};

class MemberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberTest);
    CPPUNIT_TEST(groupsMoveOnKillOutageAndShutDown);
    CPPUNIT_TEST(missingAddressIsRejected);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;

    // Runs until `hasOccurred` returns true. Fails after 40 s.
    void waitFor(const std::string &event, const std::function<bool()> &hasOccurred)
    {
        const TimePoint deadline = BootClock::now() + seconds(40);
        while (!hasOccurred()) {
            CPPUNIT_ASSERT_MESSAGE(event, BootClock::now() < deadline);
            m_context.run_for(milliseconds(20));
        }
    }

public:
    // Guards against state machines that work in simulation but not with the real client and RPC.
    void groupsMoveOnKillOutageAndShutDown()
    {
        FakePlatform platform(m_context);
        std::vector<GroupId> groups;
        for (int i = 0; i < 8; ++i)
            groups.emplace_back(absl::StrCat("endpoint/draw/", i));
        std::vector<std::unique_ptr<Process>> processes;
        for (int i = 0; i < 3; ++i)
            processes.push_back(std::make_unique<Process>(m_context, platform, groups));
        const auto isOwned = [&processes, &groups] {
            size_t owned = 0;
            for (const auto &process : processes) {
                for (const GroupId &group : groups)
                    owned += process && process->member->owns(group) ? 1 : 0;
            }
            return owned == groups.size();
        };
        waitFor("every group has an owner", isOwned);
        waitFor("every row names the other two as witnesses", [&processes] {
            size_t witnesses = 0;
            for (const auto &process : processes)
                witnesses += process->member->state()["lease"]["witnesses"].asUInt64();
            return witnesses == 6;
        });
        CPPUNIT_ASSERT_EQUAL(size_t(3), processes[0]->member->liveMembers(Role::Entry).size());
        CPPUNIT_ASSERT(processes[2]->member->ownerOf(groups[0]).has_value());

        const MemberId before = processes[0]->member->self().id;
        platform.isOut = true;
        const TimePoint outageEnd = BootClock::now() + seconds(7);
        waitFor("the outage has lasted longer than a lease",
                [&] { return BootClock::now() > outageEnd; });
        CPPUNIT_ASSERT(isOwned());
        CPPUNIT_ASSERT(before == processes[0]->member->self().id);
        platform.isOut = false;

        // Kills the process with the most groups.
        std::sort(processes.begin(), processes.end(), [](const auto &left, const auto &right) {
            return left->held.size() < right->held.size();
        });
        CPPUNIT_ASSERT(!processes[2]->held.empty());
        processes[2].reset();
        waitFor("the groups of the killed process have an owner", isOwned);

        bool isDone = false;
        processes[1]->member->shutDown([&isDone] { isDone = true; });
        waitFor("the shutdown is done", [&isDone] { return isDone; });
        CPPUNIT_ASSERT(processes[1]->held.empty());
        waitFor("one member has all groups",
                [&] { return processes[0]->held.size() == groups.size(); });
        waitFor("the rows of the others are gone", [&] { return platform.memberRows() == 1; });
    }

    // Guards against a member that others cannot reach to request votes.
    void missingAddressIsRejected()
    {
        FakePlatform platform(m_context);
        const auto client =
                platform::Client::create(m_context, {.address = platform.address()}).value();
        const auto server = rpc::Server::create(m_context, {}).value();
        rpc::Client rpcClient(m_context);
        const auto member = Member::create(m_context, *client, *server, rpcClient, {}, {});
        CPPUNIT_ASSERT(failureOf(member.status()) == Failure::InvalidValue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTest);

} // namespace
