// Stand-in for the platform: transactional tables and objects in memory and a lagging list of
// instances. The protocol is in docs/design.md, section 9.1.
//
// Usage: standin-platform [--port N] [--instances FILE]
// FILE holds {"instances": [...], "maxWritesPerSecond"?, "maxReadsPerSecond"?}.
//
// Commands beyond section 9.1: "silent" leaves table and object requests unanswered and without
// effect, "answerDelayMs" delays answers after the effect (delayMs delays the effect itself),
// "loseNextAnswers" loses that many answers to writes, "listOutage" answers the list with 503.

#include "standins/platformstore.h"

#include "base/error.h"
#include "standins/frame.h"

#include <algorithm>
#include <deque>

namespace {

using namespace cwl;
using namespace cwl::standins;

// One second of a rate limit; calls beyond the limit are refused until the next second.
class RateLimit
{
public:
    explicit RateLimit(int64_t perSecond)
        : perSecond(perSecond)
    {
    }

    bool take(int64_t amount)
    {
        const TimePoint now = BootClock::now();
        if (now - m_second >= seconds(1)) {
            m_second = now;
            m_used = 0;
        }
        if (m_used + amount > perSecond)
            return false;
        m_used += amount;
        highest = std::max(highest, m_used);
        return true;
    }

    int64_t perSecond;
    int64_t highest = 0; // most that was taken in one second

private:
    TimePoint m_second = {};
    int64_t m_used = 0;
};

class Platform
{
public:
    Platform(Frame &frame, const Json::Value &settings)
        : m_frame(frame)
    {
        readMember(settings, "maxWritesPerSecond", m_writes.perSecond);
        readMember(settings, "maxReadsPerSecond", m_reads.perSecond);
        for (const Json::Value &instance : settings["instances"])
            m_list[instance["id"].asString()] = instance;
    }

    void handle(const http::Request &request, const Reply &reply)
    {
        if (request.path == "/control" || request.path == "/control/counters")
            control(request, reply);
        else if (request.path == "/instances")
            list(reply);
        else
            store(request, reply);
    }

private:
    void store(const http::Request &request, const Reply &reply);
    void apply(const http::Request &request, const Reply &reply);
    void commit(const Json::Value &body, const Reply &reply);
    void read(const Json::Value &body, const Reply &reply);
    void object(const http::Request &request, const std::string &name, const Reply &reply);
    bool take(RateLimit &limit, int64_t amount, const Reply &reply);
    void answer(int status, const Json::Value &body, const Reply &reply);
    void answerWrite(int status, const Json::Value &body, const Reply &reply);
    void list(const Reply &reply);
    void control(const http::Request &request, const Reply &reply);
    void changeList(const std::string &id, const Json::Value &instance);
    Json::Value counters() const;

    Frame &m_frame;
    PlatformStore m_store;
    std::map<std::string, std::string> m_objects;
    RateLimit m_writes{500};
    RateLimit m_reads{2000};

    struct ListChange
    {
        TimePoint at;
        std::string id;
        Json::Value instance; // null removes
    };
    std::map<std::string, Json::Value> m_list; // as callers see it
    std::deque<ListChange> m_listChanges;      // not yet seen

    bool m_outage = false;
    bool m_silent = false;
    bool m_listOutage = false;
    bool m_loseAnswers = false;
    int64_t m_loseNextAnswers = 0;
    int64_t m_delayMs = 0;
    int64_t m_answerDelayMs = 0;
    int64_t m_listLagMs = 0;
    std::map<std::string, int64_t> m_counts;
};

// Section: tables and objects

void Platform::store(const http::Request &request, const Reply &reply)
{
    if (m_silent) {
        ++m_counts["unanswered"];
        return;
    }
    if (m_delayMs == 0)
        apply(request, reply);
    else
        m_frame.after(milliseconds(m_delayMs), [this, request, reply] { apply(request, reply); });
}

void Platform::apply(const http::Request &request, const Reply &reply)
{
    if (m_outage || m_silent) {
        ++m_counts["refusedByOutage"];
        reply.sendError(503, makeError(Failure::StoreUnavailable, "the store is down"));
        return;
    }
    if (const auto name = pathAfter(request.path, "/objects/")) {
        object(request, *name, reply);
        return;
    }
    if (const auto changeId = pathAfter(request.path, "/tables/changes/")) {
        if (take(m_reads, 1, reply))
            answer(200, m_store.change(*changeId), reply);
        return;
    }
    if (request.method != "POST"
        || (request.path != "/tables/commit" && request.path != "/tables/read")) {
        reply.sendError(404, makeError(Failure::UnknownMethod, "no such path"));
        return;
    }
    const std::optional<Json::Value> body = bodyOf(request, reply);
    if (!body)
        return;
    if (request.path == "/tables/commit")
        commit(*body, reply);
    else
        read(*body, reply);
}

void Platform::commit(const Json::Value &body, const Reply &reply)
{
    if (!hasOnly(body, {"changeId", "conditions", "writes"}, reply))
        return;
    const absl::Status valid = PlatformStore::check(body);
    if (!valid.ok()) {
        reply.sendError(400, valid);
        return;
    }
    const auto writes = int64_t(body["writes"].size());
    if (!take(m_writes, std::max<int64_t>(1, writes), reply))
        return;
    const bool isRepeat = m_store.change(body["changeId"].asString())["known"].asBool();
    const Json::Value result = m_store.commit(body);
    ++m_counts["commits"];
    m_counts["repeatedCommits"] += isRepeat;
    if (!isRepeat && result["committed"].asBool())
        m_counts["writes"] += writes;
    m_counts["conflicts"] += !result["committed"].asBool();
    answerWrite(200, result, reply);
}

void Platform::read(const Json::Value &body, const Reply &reply)
{
    const Json::Value &reads = body["reads"];
    if (!reads.isArray()) {
        reply.sendError(
                400,
                makeError(Failure::InvalidValue, "'reads' must be a list", {.field = "reads"}));
        return;
    }
    if (!take(m_reads, std::max<int64_t>(1, reads.size()), reply))
        return;
    ++m_counts["readCalls"];
    m_counts["reads"] += reads.size();
    answer(200, m_store.read(reads), reply);
}

void Platform::object(const http::Request &request, const std::string &name, const Reply &reply)
{
    if (request.method == "PUT") {
        if (!take(m_writes, 1, reply))
            return;
        m_objects[name] = request.body;
        ++m_counts["objectWrites"];
        answerWrite(200, Json::Value(Json::objectValue), reply);
        return;
    }
    if (!take(m_reads, 1, reply))
        return;
    ++m_counts["objectReads"];
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        reply.sendError(404, makeError(Failure::InvalidValue, "no object '" + name + "'"));
    else
        reply.send({.status = 200, .body = found->second});
}

bool Platform::take(RateLimit &limit, int64_t amount, const Reply &reply)
{
    if (limit.take(amount))
        return true;
    ++m_counts["rateLimited"];
    reply.sendError(429,
                    makeError(Failure::RateLimited, "too many calls in this second",
                              {.limit = std::to_string(limit.perSecond) + " per second",
                               .retryAfterMs = 1000}));
    return false;
}

void Platform::answer(int status, const Json::Value &body, const Reply &reply)
{
    if (m_answerDelayMs == 0)
        reply.sendJson(status, body);
    else
        m_frame.after(milliseconds(m_answerDelayMs),
                      [status, body, reply] { reply.sendJson(status, body); });
}

void Platform::answerWrite(int status, const Json::Value &body, const Reply &reply)
{
    if (!m_loseAnswers && m_loseNextAnswers == 0) {
        answer(status, body, reply);
        return;
    }
    if (m_loseNextAnswers > 0)
        --m_loseNextAnswers;
    ++m_counts["lostAnswers"];
    reply.lose();
}

// Section: instances

void Platform::list(const Reply &reply)
{
    ++m_counts["listCalls"];
    if (m_listOutage) {
        reply.sendError(503, makeError(Failure::StoreUnavailable, "the list is down"));
        return;
    }
    const TimePoint seen = BootClock::now() - milliseconds(m_listLagMs);
    while (!m_listChanges.empty() && m_listChanges.front().at <= seen) {
        const ListChange &change = m_listChanges.front();
        if (change.instance.isNull())
            m_list.erase(change.id);
        else
            m_list[change.id] = change.instance;
        m_listChanges.pop_front();
    }
    Json::Value body;
    body["instances"] = Json::Value(Json::arrayValue);
    for (const auto &[id, instance] : m_list)
        body["instances"].append(instance);
    reply.sendJson(200, body);
}

void Platform::changeList(const std::string &id, const Json::Value &instance)
{
    m_listChanges.push_back({BootClock::now(), id, instance});
}

// Section: commands

void Platform::control(const http::Request &request, const Reply &reply)
{
    if (request.method == "GET") {
        reply.sendJson(200, counters());
        return;
    }
    const std::optional<Json::Value> body = bodyOf(request, reply);
    if (!body
        || !hasOnly(*body,
                    {"outage", "silent", "delayMs", "answerDelayMs", "loseAnswers",
                     "loseNextAnswers", "listLagMs", "listOutage", "instance", "instances",
                     "removeInstance", "maxWritesPerSecond", "maxReadsPerSecond"},
                    reply))
        return;
    readMember(*body, "outage", m_outage);
    readMember(*body, "silent", m_silent);
    readMember(*body, "delayMs", m_delayMs);
    readMember(*body, "answerDelayMs", m_answerDelayMs);
    readMember(*body, "loseAnswers", m_loseAnswers);
    readMember(*body, "loseNextAnswers", m_loseNextAnswers);
    readMember(*body, "listLagMs", m_listLagMs);
    readMember(*body, "listOutage", m_listOutage);
    readMember(*body, "maxWritesPerSecond", m_writes.perSecond);
    readMember(*body, "maxReadsPerSecond", m_reads.perSecond);
    if (body->isMember("instance"))
        changeList((*body)["instance"]["id"].asString(), (*body)["instance"]);
    for (const Json::Value &instance : (*body)["instances"])
        changeList(instance["id"].asString(), instance);
    if (body->isMember("removeInstance"))
        changeList((*body)["removeInstance"].asString(), Json::Value());
    reply.sendJson(200, Json::Value(Json::objectValue));
}

Json::Value Platform::counters() const
{
    Json::Value result;
    for (const char *name : {"commits", "repeatedCommits", "writes", "conflicts", "readCalls",
                             "reads", "objectWrites", "objectReads", "listCalls", "rateLimited",
                             "lostAnswers", "unanswered", "refusedByOutage"}) {
        const auto found = m_counts.find(name);
        result[name] = Json::Int64(found == m_counts.end() ? 0 : found->second);
    }
    result["mostWritesInOneSecond"] = Json::Int64(m_writes.highest);
    result["mostReadsInOneSecond"] = Json::Int64(m_reads.highest);
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = readArguments(argc, argv, {{"port", "0"}, {"instances", ""}});
    Frame frame;
    Platform platform(frame, readSettings(arguments["instances"]));
    const Listener listener(frame.context(), portOf(arguments["port"]),
                            [&platform](const http::Request &request, const Reply &reply) {
                                platform.handle(request, reply);
                            });
    return frame.run({listener.port()});
}
