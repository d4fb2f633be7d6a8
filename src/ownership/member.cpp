#include "ownership/member.h"

#include "base/error.h"
#include "base/random.h"
#include "ownership/runner.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace cwl::ownership {

namespace {

absl::StatusOr<Json::Value> contentOf(const absl::StatusOr<rpc::Message> &message)
{
    if (!message.ok())
        return message.status();
    return message->content;
}

absl::StatusOr<rpc::Message> messageOf(const absl::StatusOr<Json::Value> &content)
{
    if (!content.ok())
        return content.status();
    return rpc::Message{*content};
}

} // namespace

// Binds the runner to the control thread, the platform client and RPC.
class Member::Implementation : public std::enable_shared_from_this<Member::Implementation>
{
public:
    Implementation(boost::asio::io_context &context, platform::Client &platform,
                   rpc::Client &rpcClient, const MemberOptions &options, GroupListener listener)
        : m_context(context)
        , m_timer(context)
        , m_platform(platform)
        , m_rpcClient(rpcClient)
        , m_runner(transport(), options, std::move(listener))
    {
    }

    Runner &runner() { return m_runner; }

    void start()
    {
        m_runner.start();
        tick();
    }

    void stop() { m_timer.cancel(); }

    void addMethods(rpc::Server &server)
    {
        using Parameters = const Json::Value &;
        addMethod(server, "member.promise", [](Runner &runner, Parameters parameters, auto reply) {
            reply(runner.promise(parameters));
        });
        addMethod(server, "member.vote", [](Runner &runner, Parameters parameters, auto reply) {
            reply(runner.vote(parameters));
        });
        addMethod(server, "group.owners",
                  [](Runner &runner, Parameters, auto reply) { reply(runner.owners()); });
        addMethod(server, "member.relayRenewal",
                  [](Runner &runner, Parameters parameters, auto reply) {
                      runner.relayRenewal(parameters, std::move(reply));
                  });
    }

private:
    using Handler = std::function<void(Runner &, const Json::Value &, CallCallback)>;

    // RPC threads only post the call to the control thread.
    void addMethod(rpc::Server &server, const std::string &name, Handler handler)
    {
        server.add(name,
                   [weak = weak_from_this(), &context = m_context,
                    handler = std::move(handler)](rpc::Message message, rpc::Reply reply) {
                       boost::asio::post(context,
                                         [weak, handler, message = std::move(message),
                                          reply = std::move(reply)] {
                                             serve(weak, handler, message, reply);
                                         });
                   });
    }

    static void serve(const std::weak_ptr<Implementation> &weak, const Handler &handler,
                      const rpc::Message &message, const rpc::Reply &reply)
    {
        const std::shared_ptr<Implementation> self = weak.lock();
        if (!self) {
            reply(makeError(Failure::ShuttingDown, "the process is shutting down"));
            return;
        }
        handler(self->m_runner, message.content,
                [reply](const absl::StatusOr<Json::Value> &response) {
                    reply(messageOf(response));
                });
    }

    Transport transport()
    {
        Transport transport;
        transport.now = [] { return BootClock::now(); };
        transport.randomId = [] { return randomHexId(); };
        transport.commit = [this](platform::Commit commit, TimePoint deadline,
                                  platform::CommitCallback callback) {
            m_platform.commit(std::move(commit), deadline, std::move(callback));
        };
        transport.read = [this](std::vector<platform::Read> reads, TimePoint deadline,
                                platform::ReadCallback callback) {
            m_platform.read(std::move(reads), deadline, std::move(callback));
        };
        transport.call = [this](const std::string &address, const std::string &method,
                                Json::Value parameters, TimePoint deadline, CallCallback callback) {
            call(address, method, std::move(parameters), deadline, std::move(callback));
        };
        return transport;
    }

    void call(const std::string &address, const std::string &method, Json::Value parameters,
              TimePoint deadline, CallCallback callback)
    {
        m_rpcClient.call(address, method, rpc::Message{std::move(parameters)}, deadline,
                         [&context = m_context, callback = std::move(callback)](
                                 const absl::StatusOr<rpc::Message> &response) {
                             boost::asio::post(context, [callback, content = contentOf(response)] {
                                 callback(content);
                             });
                         });
    }

    void tick()
    {
        m_runner.tick();
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<Implementation> self = weak.lock();
            if (self && !error)
                self->tick();
        });
    }

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    platform::Client &m_platform;
    rpc::Client &m_rpcClient;
    Runner m_runner;
};

Member::Member(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Member::~Member()
{
    m_implementation->stop();
}

absl::StatusOr<std::unique_ptr<Member>>
Member::create(boost::asio::io_context &controlContext, platform::Client &platform,
               rpc::Server &rpcServer, rpc::Client &rpcClient, const MemberOptions &options,
               GroupListener listener)
{
    if (options.info.rpcAddress.empty())
        return makeError(Failure::InvalidValue, "field 'rpcAddress' must not be empty",
                         {.field = "rpcAddress"});
    auto implementation = std::make_shared<Implementation>(controlContext, platform, rpcClient,
                                                           options, std::move(listener));
    implementation->addMethods(rpcServer);
    return std::unique_ptr<Member>(new Member(std::move(implementation)));
}

void Member::start()
{
    m_implementation->start();
}

void Member::setReady(bool ready)
{
    m_implementation->runner().setReady(ready);
}

void Member::setGroups(std::vector<GroupId> groups)
{
    m_implementation->runner().setGroups(std::move(groups));
}

TimePoint Member::validUntil() const
{
    return m_implementation->runner().validUntil();
}

std::optional<Epoch> Member::owns(const GroupId &group) const
{
    return m_implementation->runner().owns(group);
}

std::optional<MemberInfo> Member::ownerOf(const GroupId &group) const
{
    return m_implementation->runner().ownerOf(group);
}

std::vector<MemberInfo> Member::liveMembers(Role role) const
{
    return m_implementation->runner().liveMembers(role);
}

MemberInfo Member::self() const
{
    return m_implementation->runner().self();
}

void Member::shutDown(std::function<void()> done)
{
    m_implementation->runner().shutDown(std::move(done));
}

Json::Value Member::state() const
{
    return m_implementation->runner().state();
}

} // namespace cwl::ownership
