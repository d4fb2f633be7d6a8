#include "store.h"

#include "base/clock.h"
#include "base/json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace review {

namespace {

namespace http = cwl::http;

constexpr size_t maxRowBytes = 65536; // of a value in base64
constexpr size_t maxEntries = 100;    // of one transaction
constexpr size_t maxPageRows = 500;
constexpr auto transactionTime = std::chrono::milliseconds(4);

std::string unescape(const std::string &text)
{
    std::string plain;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            plain += absl::HexStringToBytes(text.substr(index + 1, 2));
            index += 2;
        } else {
            plain += text[index];
        }
    }
    return plain;
}

std::map<std::string, std::string> parseQuery(const std::string &query)
{
    std::map<std::string, std::string> fields;
    for (const absl::string_view part : absl::StrSplit(query, '&')) {
        const std::pair<std::string, std::string> field =
                absl::StrSplit(part, absl::MaxSplits('=', 1));
        fields[field.first] = unescape(field.second);
    }
    return fields;
}

std::string field(const std::map<std::string, std::string> &query, const char *name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

int64_t numberOf(const std::map<std::string, std::string> &query, const char *name)
{
    int64_t number = 0;
    return absl::SimpleAtoi(field(query, name), &number) ? number : 0;
}

} // namespace

Store::Store(boost::asio::io_context &context)
    : m_context(context)
{
}

bool Store::open()
{
    auto server = http::Server::create(
            m_context, {}, [this](const http::Request &request, const http::Responder &respond) {
                handle(request, respond);
            });
    if (!server.ok())
        return false;
    m_server = *std::move(server);
    return true;
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{table, "", key}] = {absl::Base64Escape(value), ++m_version, false};
    answerWaiters(false);
}

void Store::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    if (isSilent)
        return;
    for (const http::Responder &respond : std::exchange(m_unanswered, {}))
        answer(respond, 503, {});
    answerWaiters(false);
}

void Store::answer(const http::Responder &respond, int status, Json::Value body) const
{
    body["ver"] = Json::Int64(m_version);
    body["nowMs"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        cwl::BootClock::now().time_since_epoch())
                                        .count());
    http::Response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = cwl::writeJson(body);
    respond(std::move(response));
}

void Store::handle(const http::Request &request, const http::Responder &respond)
{
    if (m_isSilent) {
        m_unanswered.push_back(respond);
        return;
    }
    if (request.path == "/v1/rows-tx") {
        // One answer takes `txnMs`.
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, transactionTime);
        timer->async_wait([this, timer, request, respond](boost::system::error_code) {
            if (m_isSilent)
                m_unanswered.push_back(respond);
            else
                transaction(request, respond);
        });
    } else if (request.path == "/v1/rows-get") {
        read(parseQuery(request.query), respond);
    } else if (request.path == "/v1/rows-feed") {
        feed(parseQuery(request.query), respond);
    } else {
        answer(respond, 404, {});
    }
}

void Store::transaction(const http::Request &request, const http::Responder &respond)
{
    const auto body = cwl::parseJson(request.body);
    if (!body.ok())
        return answer(respond, 400, {});
    if ((*body)["expectedRev"].size() + (*body)["write"].size() + (*body)["remove"].size()
        > maxEntries)
        return answer(respond, 400, {});
    for (const Json::Value &row : (*body)["write"]) {
        if (row["value"].asString().size() > maxRowBytes)
            return answer(respond, 400, {});
    }
    const auto keyOf = [](const Json::Value &row) {
        return Key(row["table"].asString(), row["part"].asString(), row["key"].asString());
    };
    Json::Value current(Json::arrayValue);
    bool holds = true;
    for (const Json::Value &row : (*body)["expectedRev"]) {
        const auto found = m_rows.find(keyOf(row));
        const bool exists = found != m_rows.end() && !found->second.isDeleted;
        holds = holds && row["ver"].asInt64() == (exists ? found->second.version : 0);
        if (!exists)
            continue;
        Json::Value entry = row;
        entry["ver"] = Json::Int64(found->second.version);
        entry["value"] = found->second.value;
        current.append(entry);
    }
    Json::Value result;
    if (!holds) {
        result["rows"] = current;
        return answer(respond, 412, result);
    }
    ++m_version;
    for (const Json::Value &row : (*body)["write"])
        m_rows[keyOf(row)] = {row["value"].asString(), m_version, false};
    for (const Json::Value &row : (*body)["remove"])
        m_rows[keyOf(row)] = {"", m_version, true};
    answer(respond, 200, result);
    answerWaiters(false);
}

void Store::read(const Query &query, const http::Responder &respond)
{
    Json::Value result;
    result["rows"] = Json::Value(Json::arrayValue);
    result["hasMore"] = false;
    const std::string until = field(query, "target");
    for (const auto &[key, row] : m_rows) {
        const auto &[table, part, name] = key;
        if (table != field(query, "table") || part != field(query, "part") || row.isDeleted
            || name < field(query, "from") || (!until.empty() && name >= until))
            continue;
        if (result["rows"].size() == maxPageRows) {
            result["hasMore"] = true;
            break;
        }
        Json::Value entry;
        entry["table"] = table;
        entry["part"] = part;
        entry["key"] = name;
        entry["value"] = row.value;
        entry["ver"] = Json::Int64(row.version);
        result["rows"].append(entry);
    }
    answer(respond, 200, result);
}

Json::Value Store::changesAfter(const std::string &table, int64_t after) const
{
    std::multimap<int64_t, Json::Value> changes;
    for (const auto &[key, row] : m_rows) {
        if (std::get<0>(key) != table || row.version <= after)
            continue;
        Json::Value entry;
        entry["table"] = table;
        entry["part"] = std::get<1>(key);
        entry["key"] = std::get<2>(key);
        entry["value"] = row.value;
        entry["ver"] = Json::Int64(row.version);
        if (row.isDeleted)
            entry["deleted"] = true;
        changes.emplace(row.version, entry);
    }
    Json::Value rows(Json::arrayValue);
    for (const auto &[version, entry] : changes)
        rows.append(entry);
    return rows;
}

void Store::feed(const Query &query, const http::Responder &respond)
{
    const std::string table = field(query, "table");
    const int64_t after = numberOf(query, "after");
    Json::Value result;
    result["rows"] = changesAfter(table, after);
    const int64_t wait = numberOf(query, "waitMs");
    if (!result["rows"].empty() || wait == 0)
        return answer(respond, 200, result);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    m_waiters.push_back({table, after, respond, timer});
    timer->expires_after(std::chrono::milliseconds(wait));
    timer->async_wait([this, timer](boost::system::error_code error) {
        if (error)
            return;
        for (auto waiter = m_waiters.begin(); waiter != m_waiters.end(); ++waiter) {
            if (waiter->timer != timer)
                continue;
            const http::Responder respond = waiter->respond;
            m_waiters.erase(waiter);
            Json::Value empty;
            empty["rows"] = Json::Value(Json::arrayValue);
            if (m_isSilent)
                m_unanswered.push_back(respond);
            else
                answer(respond, 200, empty);
            return;
        }
    });
}

void Store::answerWaiters(bool all)
{
    if (m_isSilent)
        return;
    m_waiters.remove_if([&](const Waiter &waiter) {
        Json::Value result;
        result["rows"] = changesAfter(waiter.table, waiter.after);
        if (result["rows"].empty() && !all)
            return false;
        waiter.timer->cancel();
        answer(waiter.respond, 200, result);
        return true;
    });
}

} // namespace review
