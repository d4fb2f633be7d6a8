#include "usersplatform/tablestore.h"

#include "base/json.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>

namespace cwl::usersplatform {

namespace {

constexpr size_t maxRowBytes = 65536; // of a value in base64

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

} // namespace

TableStore::TableStore(boost::asio::io_context &context, uint64_t seed)
    : m_context(context)
    , m_random(seed)
{
}

absl::Status TableStore::open()
{
    auto server = http::Server::create(
            m_context, {}, [this](const http::Request &request, const http::Responder &respond) {
                handle(request, respond);
            });
    if (!server.ok())
        return server.status();
    m_server = *std::move(server);
    auto side = http::Server::create(
            m_context, {}, [this](const http::Request &request, const http::Responder &respond) {
                if (faults.refusesSide)
                    return answer(respond, 503, {});
                handle(request, respond);
            });
    if (!side.ok())
        return side.status();
    m_sideServer = *std::move(side);
    return absl::OkStatus();
}

void TableStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{table, "", key}] = {absl::Base64Escape(value), ++m_version, false};
    wake();
}

void TableStore::remove(const std::string &table, const std::string &key)
{
    m_rows[{table, "", key}] = {"", ++m_version, true};
    wake();
}

size_t TableStore::rows(const std::string &table) const
{
    size_t count = 0;
    for (const auto &[key, row] : m_rows)
        count += std::get<0>(key) == table && !row.isDeleted ? 1 : 0;
    return count;
}

void TableStore::answer(const http::Responder &respond, int status, const Json::Value &body)
{
    http::Response response;
    response.status = status;
    response.body = writeJson(body);
    respond(std::move(response));
}

void TableStore::handle(const http::Request &request, const http::Responder &respond)
{
    if (faults.isSilent)
        return;
    if (faults.refuses)
        return answer(respond, 503, {});
    if (!faults.answersWith.empty())
        return respond({.status = 200, .body = faults.answersWith});
    if (request.path == "/v1/rows-tx")
        transaction(request, respond);
    else if (request.path == "/v1/rows-get")
        read(parseQuery(request.query), respond);
    else if (request.path == "/v1/rows-feed")
        feed(parseQuery(request.query), respond);
    else
        answer(respond, 404, {});
}

void TableStore::transaction(const http::Request &request, const http::Responder &respond)
{
    const auto body = parseJson(request.body);
    if (!body.ok())
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
        result["ver"] = Json::Int64(m_version);
        return answer(respond, 412, result);
    }
    ++m_version;
    for (const Json::Value &row : (*body)["write"])
        m_rows[keyOf(row)] = {row["value"].asString(), m_version, false};
    for (const Json::Value &row : (*body)["remove"])
        m_rows[keyOf(row)] = {"", m_version, true};
    wake();
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < faults.lostAnswers)
        return;
    result["ver"] = Json::Int64(m_version);
    answer(respond, 200, result);
}

void TableStore::read(const std::map<std::string, std::string> &query,
                      const http::Responder &respond)
{
    const auto field = [&](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    Json::Value result;
    result["rows"] = Json::Value(Json::arrayValue);
    for (const auto &[key, row] : m_rows) {
        const auto &[table, part, name] = key;
        if (table != field("table") || part != field("part") || row.isDeleted
            || name < field("from") || (!field("target").empty() && name >= field("target")))
            continue;
        Json::Value entry;
        entry["table"] = table;
        entry["part"] = part;
        entry["key"] = name;
        entry["value"] = row.value;
        entry["ver"] = Json::Int64(row.version);
        result["rows"].append(entry);
    }
    result["hasMore"] = false;
    result["ver"] = Json::Int64(m_version);
    answer(respond, 200, result);
}

Json::Value TableStore::changesAfter(const std::string &table, int64_t after) const
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

void TableStore::feed(const std::map<std::string, std::string> &query,
                      const http::Responder &respond)
{
    const std::string table = query.at("table");
    const int64_t after = std::stoll(query.at("after"));
    if (after + 1 < m_firstKept)
        return answer(respond, 410, {});
    const Json::Value rows = changesAfter(table, after);
    if (!rows.empty()) {
        Json::Value result;
        result["rows"] = rows;
        result["ver"] = Json::Int64(m_version);
        return answer(respond, 200, result);
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    m_waiters.push_back({table, after, respond, timer});
    timer->expires_after(std::chrono::milliseconds(std::stoll(query.at("waitMs"))));
    timer->async_wait([this, timer](boost::system::error_code error) {
        if (error)
            return;
        m_waiters.remove_if([&](const Waiter &waiter) {
            if (waiter.timer != timer)
                return false;
            Json::Value result;
            result["rows"] = Json::Value(Json::arrayValue);
            result["ver"] = Json::Int64(m_version);
            answer(waiter.respond, 200, result);
            return true;
        });
    });
}

void TableStore::wake()
{
    m_waiters.remove_if([&](const Waiter &waiter) {
        const Json::Value rows = changesAfter(waiter.table, waiter.after);
        if (rows.empty())
            return false;
        waiter.timer->cancel();
        Json::Value result;
        result["rows"] = rows;
        result["ver"] = Json::Int64(m_version);
        answer(waiter.respond, 200, result);
        return true;
    });
}

} // namespace cwl::usersplatform
