#include "settings/follower.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

// Index
// - table rows
// - Implementation: reading the store, hearing from peers, accepting changes
// - Follower: the public functions

namespace cwl::settings {

namespace {

constexpr const char *table = "settings";
constexpr const char *headKey = "head";
constexpr const char *subtreePrefix = "team/";
constexpr const char *changePrefix = "change/";
constexpr Duration pollInterval = seconds(1);
constexpr Duration readTimeout = seconds(2);
constexpr Duration changeTimeout = seconds(5);
constexpr Duration peerTimeout = seconds(1);

using SettingsPointer = std::shared_ptr<const CellSettings>;
using PeerAnswer = absl::StatusOr<CellSettings>;
using ChangeCallback = std::function<void(absl::StatusOr<SettingsVersion>)>;

// Section: table rows

struct Head
{
    SettingsVersion version; // 0 before anything was accepted
    Revision revision;       // of the row
};

Head headOf(const std::vector<platform::Row> &rows)
{
    if (rows.empty() || !rows.front().value["version"].isInt64())
        return {};
    return {SettingsVersion(rows.front().value["version"].asInt64()), rows.front().revision};
}

absl::StatusOr<CellSettings> settingsOf(const std::vector<std::vector<platform::Row>> &lists)
{
    Json::Value whole;
    whole["version"] = Json::Int64(headOf(lists[0]).version.value());
    whole["texts"] = Json::Value(Json::objectValue);
    for (const platform::Row &row : lists[1])
        whole["texts"][row.key.substr(std::string(subtreePrefix).size())] = row.value["text"];
    return cellSettingsFromJson(whole);
}

platform::Commit commitOf(const Change &change, const Head &head)
{
    const Json::Int64 version = head.version.value() + 1;
    Json::Value headRow;
    headRow["version"] = version;
    Json::Value subtreeRow;
    if (!change.text.empty()) {
        subtreeRow["text"] = change.text;
        subtreeRow["version"] = version;
        subtreeRow["changeId"] = change.changeId.value();
    }
    Json::Value changeRow;
    changeRow["version"] = version;
    changeRow["subtree"] = change.subtree;
    platform::Commit commit;
    commit.changeId = ChangeId(absl::StrCat("settings-", change.changeId.value(), "-", version));
    commit.conditions = {{table, headKey, head.revision}};
    commit.writes = {{table, headKey, headRow},
                     {table, absl::StrCat(subtreePrefix, change.subtree), subtreeRow},
                     {table, absl::StrCat(changePrefix, change.changeId.value()), changeRow}};
    return commit;
}

absl::Status versionConflict(const Change &change, SettingsVersion current)
{
    return makeError(Failure::VersionConflict,
                     absl::StrCat("the change is based on version ", change.basedOn.value(),
                                  ", but version ", current.value(), " is in force"),
                     {.field = "If-Match", .limit = absl::StrCat(current.value())});
}

} // namespace

// Section: Implementation

class Follower::Implementation : public std::enable_shared_from_this<Follower::Implementation>
{
public:
    Implementation(boost::asio::io_context &context, platform::Client &platform,
                   rpc::Server &rpcServer, rpc::Client &rpcClient, std::vector<std::string> peers)
        : m_context(context)
        , m_platform(platform)
        , m_rpcServer(rpcServer)
        , m_rpcClient(rpcClient)
        , m_configuredPeers(std::move(peers))
        , m_peers(m_configuredPeers)
        , m_timer(context)
    {
    }

    void start()
    {
        const auto onControl =
                [this](void (Implementation::*function)(rpc::Message, const rpc::Reply &)) {
                    return [weak = weak_from_this(), &context = m_context,
                            function](rpc::Message message, rpc::Reply reply) {
                        boost::asio::dispatch(context,
                                              [weak, function, message = std::move(message),
                                               reply = std::move(reply)]() mutable {
                                                  if (const auto self = weak.lock())
                                                      ((*self).*function)(std::move(message),
                                                                          std::move(reply));
                                              });
                    };
                };
        m_rpcServer.add("settings.changed", onControl(&Implementation::peerChanged));
        m_rpcServer.add("settings.current", onControl(&Implementation::peerAsks));
        poll();
    }

    void addListener(Listener listener)
    {
        if (const SettingsPointer settings = current())
            listener(settings);
        m_listeners.push_back(std::move(listener));
    }

    // The configured peers stay: after all members have lapsed, those that are live at the last
    // read may be only a few, none of which has the newest version.
    void setPeers(std::vector<std::string> peers)
    {
        m_peers = std::move(peers);
        for (const std::string &peer : m_configuredPeers) {
            if (std::find(m_peers.begin(), m_peers.end(), peer) == m_peers.end())
                m_peers.push_back(peer);
        }
    }

    SettingsPointer current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }

    void change(Change change, ChangeCallback callback)
    {
        const std::string changeKey = absl::StrCat(changePrefix, change.changeId.value());
        m_platform.read({{.table = table, .key = headKey},
                         {.table = table, .prefix = subtreePrefix},
                         {.table = table, .key = changeKey}},
                        BootClock::now() + readTimeout,
                        [self = shared_from_this(), change = std::move(change),
                         callback = std::move(callback)](auto lists) mutable {
                            if (!lists.ok())
                                callback(lists.status());
                            else
                                self->changeOn(std::move(change), *lists, std::move(callback));
                        });
    }

    Json::Value state() const
    {
        Json::Value value;
        const SettingsPointer settings = current();
        value["version"] = Json::Int64(settings ? settings->version.value() : 0);
        value["loaded"] = settings != nullptr;
        value["teams"] = Json::UInt64(settings ? settings->teams.size() : 0);
        value["source"] = m_source;
        value["peers"] = Json::UInt64(m_peers.size());
        return value;
    }

private:
    // Section: reading the store

    void poll()
    {
        m_platform.read({{.table = table, .key = headKey}}, BootClock::now() + readTimeout,
                        [self = shared_from_this()](auto lists) {
                            if (!lists.ok())
                                self->storeUnavailable();
                            else if (self->isNewer(headOf((*lists)[0]).version))
                                self->readAll();
                            self->pollLater();
                        });
    }

    void pollLater()
    {
        m_timer.expires_after(pollInterval);
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->poll();
        });
    }

    bool isNewer(SettingsVersion version) const
    {
        const SettingsPointer settings = current();
        return !settings || version > settings->version;
    }

    void readAll()
    {
        m_platform.read(
                {{.table = table, .key = headKey}, {.table = table, .prefix = subtreePrefix}},
                BootClock::now() + readTimeout, [self = shared_from_this()](auto lists) {
                    if (!lists.ok())
                        return;
                    absl::StatusOr<CellSettings> settings = settingsOf(*lists);
                    if (settings.ok())
                        self->apply(*std::move(settings), "store");
                });
    }

    // Versions only rise: an older copy, from a peer or from a slow answer, changes nothing.
    void apply(CellSettings settings, const char *source)
    {
        if (!isNewer(settings.version))
            return;
        const auto shared = std::make_shared<const CellSettings>(std::move(settings));
        {
            const std::lock_guard lock(m_mutex);
            m_current = shared;
        }
        m_source = source;
        for (const Listener &listener : m_listeners)
            listener(shared);
    }

    // Section: hearing from peers

    void storeUnavailable()
    {
        if (m_peers.empty())
            return;
        if (!current()) {
            askAllPeers();
            return;
        }
        // A notice that was missed is not sent again, so a process that holds an older version
        // would stay behind for the whole outage. One peer a poll keeps the load low.
        m_nextPeer = (m_nextPeer + 1) % m_peers.size();
        askPeer(m_peers[m_nextPeer], [self = shared_from_this()](PeerAnswer settings) {
            if (settings.ok())
                self->apply(*std::move(settings), "peer");
        });
    }

    // Applies the newest version that a peer has. The first answer may come from one that missed
    // notices, and this instance may have had a newer version in force before it was restarted.
    void askAllPeers()
    {
        struct Round
        {
            size_t awaited = 0;
            std::optional<CellSettings> newest = {};
        };
        const auto round = std::make_shared<Round>();
        round->awaited = m_peers.size();
        for (const std::string &peer : m_peers) {
            askPeer(peer, [self = shared_from_this(), round](PeerAnswer settings) {
                if (settings.ok() && (!round->newest || settings->version > round->newest->version))
                    round->newest = *std::move(settings);
                if (--round->awaited == 0 && round->newest)
                    self->apply(*std::move(round->newest), "peer");
            });
        }
    }

    // The callback comes on the control thread, within peerTimeout.
    void askPeer(const std::string &peer, std::function<void(PeerAnswer)> callback)
    {
        m_rpcClient.call(
                peer, "settings.current", {}, BootClock::now() + peerTimeout,
                [self = shared_from_this(),
                 callback = std::move(callback)](const absl::StatusOr<rpc::Message> &answer) {
                    PeerAnswer settings = answer.ok() ? cellSettingsFromJson(answer->content)
                                                      : PeerAnswer(answer.status());
                    boost::asio::dispatch(self->m_context,
                                          [callback, settings = std::move(settings)]() mutable {
                                              callback(std::move(settings));
                                          });
                });
    }

    void peerAsks(rpc::Message, const rpc::Reply &reply)
    {
        const SettingsPointer settings = current();
        if (settings)
            reply(rpc::Message{toJson(*settings)});
        else
            reply(makeError(Failure::NotReady, "no settings are known yet", {.retryAfterMs = 500}));
    }

    void peerChanged(rpc::Message message, const rpc::Reply &reply)
    {
        reply(rpc::Message{Json::Value(Json::objectValue)});
        const absl::StatusOr<int64_t> version = intMember(message.content, "version", 1, INT64_MAX);
        const absl::StatusOr<std::string> subtree = stringMember(message.content, "subtree");
        const absl::StatusOr<std::string> text = stringMember(message.content, "text");
        if (!version.ok() || !subtree.ok() || !text.ok() || !isNewer(SettingsVersion(*version)))
            return;
        const SettingsPointer settings = current();
        // With a version missing in between, only the store or a whole copy can tell.
        if (!settings || settings->version.value() + 1 != *version) {
            readAll();
            return;
        }
        absl::StatusOr<CellSettings> next = withSubtree(*settings, *subtree, *text);
        if (!next.ok())
            return;
        next->version = SettingsVersion(*version);
        apply(*std::move(next), "peer");
    }

    void tellPeers(const Change &change, SettingsVersion version)
    {
        Json::Value content;
        content["version"] = Json::Int64(version.value());
        content["subtree"] = change.subtree;
        content["text"] = change.text;
        for (const std::string &peer : m_peers) {
            m_rpcClient.call(peer, "settings.changed", {content}, BootClock::now() + peerTimeout,
                             [](const absl::StatusOr<rpc::Message> &) {});
        }
    }

    // Section: accepting changes

    void changeOn(Change change, const std::vector<std::vector<platform::Row>> &lists,
                  ChangeCallback callback)
    {
        absl::StatusOr<CellSettings> stored = settingsOf(lists);
        if (!stored.ok()) {
            callback(stored.status());
            return;
        }
        const absl::StatusOr<CellSettings> next = check(change, *stored);
        const bool isAuthorizedRepeat = failureOf(next.status()) != Failure::NotAuthorized;
        if (!lists[2].empty() && isAuthorizedRepeat) {
            callback(outcomeOfRepeat(change, lists[2].front().value));
            return;
        }
        if (!next.ok()) {
            callback(next.status());
            return;
        }
        commit(std::move(change), headOf(lists[0]), *next, std::move(callback));
    }

    static absl::StatusOr<CellSettings> check(const Change &change, const CellSettings &stored)
    {
        if (!isAuthorized(stored, change.subtree, change.token))
            return makeError(
                    Failure::NotAuthorized,
                    absl::StrCat("the token may not change the settings of '", change.subtree, "'"),
                    {.field = "Authorization"});
        if (change.basedOn != stored.version)
            return versionConflict(change, stored.version);
        return withSubtree(stored, change.subtree, change.text);
    }

    // A repeat of a change that was accepted before gets the first answer.
    static absl::StatusOr<SettingsVersion> outcomeOfRepeat(const Change &change,
                                                           const Json::Value &row)
    {
        if (row["subtree"].asString() != change.subtree)
            return makeError(Failure::Conflict,
                             absl::StrCat("the change id was used for the settings of '",
                                          row["subtree"].asString(), "'"),
                             {.field = "Change-Id"});
        return SettingsVersion(row["version"].asInt64());
    }

    void commit(Change change, const Head &head, CellSettings next, ChangeCallback callback)
    {
        next.version = SettingsVersion(head.version.value() + 1);
        platform::Commit commit = commitOf(change, head);
        m_platform.commit(
                std::move(commit), BootClock::now() + changeTimeout,
                [self = shared_from_this(), change = std::move(change), next = std::move(next),
                 callback = std::move(callback)](absl::StatusOr<Revision> revision) mutable {
                    self->committed(change, std::move(next), revision, callback);
                });
    }

    void committed(const Change &change, CellSettings next,
                   const absl::StatusOr<Revision> &revision, const ChangeCallback &callback)
    {
        if (failureOf(revision.status()) == Failure::Conflict) {
            // Another operator was faster between the read and the commit.
            readAll();
            callback(versionConflict(change, next.version));
            return;
        }
        if (!revision.ok()) {
            callback(revision.status());
            return;
        }
        const SettingsVersion version = next.version;
        apply(std::move(next), "store");
        tellPeers(change, version);
        callback(version);
    }

    boost::asio::io_context &m_context;
    platform::Client &m_platform;
    rpc::Server &m_rpcServer;
    rpc::Client &m_rpcClient;
    const std::vector<std::string> m_configuredPeers;
    std::vector<std::string> m_peers; // live members and the configured peers
    size_t m_nextPeer = 0;            // asked last while the store is away
    boost::asio::steady_timer m_timer;
    std::vector<Listener> m_listeners;
    mutable std::mutex m_mutex; // guards m_current, which traffic threads read
    SettingsPointer m_current;
    std::string m_source = "none";
};

// Section: Follower

Follower::Follower(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Follower::~Follower() = default;

std::unique_ptr<Follower> Follower::create(boost::asio::io_context &controlContext,
                                           platform::Client &platform, rpc::Server &rpcServer,
                                           rpc::Client &rpcClient, std::vector<std::string> peers)
{
    auto implementation = std::make_shared<Implementation>(controlContext, platform, rpcServer,
                                                           rpcClient, std::move(peers));
    return std::unique_ptr<Follower>(new Follower(std::move(implementation)));
}

void Follower::start()
{
    m_implementation->start();
}

void Follower::addListener(Listener listener)
{
    m_implementation->addListener(std::move(listener));
}

void Follower::setPeers(std::vector<std::string> peers)
{
    m_implementation->setPeers(std::move(peers));
}

std::shared_ptr<const CellSettings> Follower::current() const
{
    return m_implementation->current();
}

void Follower::change(Change change, std::function<void(absl::StatusOr<SettingsVersion>)> callback)
{
    m_implementation->change(std::move(change), std::move(callback));
}

Json::Value Follower::state() const
{
    return m_implementation->state();
}

} // namespace cwl::settings
