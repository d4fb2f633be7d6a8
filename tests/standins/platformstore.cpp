#include "standins/platformstore.h"

#include "base/error.h"

namespace cwl::standins {

namespace {

absl::Status invalid(const char *field, const std::string &message)
{
    return makeError(Failure::InvalidValue, message, {.field = field});
}

bool namesRow(const Json::Value &value)
{
    return value.isObject() && value["table"].isString() && value["key"].isString();
}

} // namespace

absl::Status PlatformStore::check(const Json::Value &commit)
{
    if (!commit["changeId"].isString() || commit["changeId"].asString().empty())
        return makeError(Failure::MissingField, "field 'changeId' is missing",
                         {.field = "changeId"});
    for (const char *field : {"conditions", "writes"}) {
        if (commit.isMember(field) && !commit[field].isArray())
            return invalid(field, std::string("'") + field + "' must be a list");
    }
    for (const Json::Value &condition : commit["conditions"]) {
        if (!namesRow(condition) || !condition["revision"].isInt64())
            return invalid("conditions", "a condition needs table, key and revision");
    }
    for (const Json::Value &write : commit["writes"]) {
        if (!namesRow(write) || !write.isMember("value"))
            return invalid("writes", "a write needs table, key and value");
    }
    return absl::OkStatus();
}

Json::Value PlatformStore::commit(const Json::Value &commit)
{
    const std::string changeId = commit["changeId"].asString();
    const auto known = m_answers.find(changeId);
    if (known != m_answers.end())
        return known->second;
    return m_answers[changeId] = apply(commit);
}

Json::Value PlatformStore::apply(const Json::Value &commit)
{
    Json::Value answer;
    for (const Json::Value &condition : commit["conditions"]) {
        const std::string table = condition["table"].asString();
        const std::string key = condition["key"].asString();
        const int64_t revision = revisionOf(table, key);
        if (revision == condition["revision"].asInt64())
            continue;
        answer["committed"] = false;
        answer["conflict"]["table"] = table;
        answer["conflict"]["key"] = key;
        answer["conflict"]["revision"] = Json::Int64(revision);
        return answer;
    }
    ++m_revision;
    for (const Json::Value &write : commit["writes"]) {
        Table &table = m_tables[write["table"].asString()];
        if (write["value"].isNull())
            table.erase(write["key"].asString());
        else
            table[write["key"].asString()] = {write["value"], m_revision};
    }
    answer["committed"] = true;
    answer["revision"] = Json::Int64(m_revision);
    return answer;
}

int64_t PlatformStore::revisionOf(const std::string &table, const std::string &key) const
{
    const auto found = m_tables.find(table);
    if (found == m_tables.end())
        return 0;
    const auto row = found->second.find(key);
    return row == found->second.end() ? 0 : row->second.revision;
}

Json::Value PlatformStore::change(const std::string &changeId) const
{
    Json::Value result;
    const auto found = m_answers.find(changeId);
    result["known"] = found != m_answers.end();
    result["committed"] = found != m_answers.end() && found->second["committed"].asBool();
    result["revision"] =
            result["committed"].asBool() ? found->second["revision"] : Json::Value(Json::Int64(0));
    return result;
}

Json::Value PlatformStore::read(const Json::Value &reads) const
{
    Json::Value result;
    result["rows"] = Json::Value(Json::arrayValue);
    for (const Json::Value &read : reads) {
        Json::Value rows(Json::arrayValue);
        const auto table = m_tables.find(read["table"].asString());
        if (table != m_tables.end() && read.isMember("key")) {
            const auto row = table->second.find(read["key"].asString());
            if (row != table->second.end())
                rows.append(rowJson(row->first, row->second));
        } else if (table != m_tables.end()) {
            const std::string prefix = read["prefix"].asString();
            for (auto row = table->second.lower_bound(prefix);
                 row != table->second.end() && row->first.starts_with(prefix); ++row)
                rows.append(rowJson(row->first, row->second));
        }
        result["rows"].append(rows);
    }
    return result;
}

Json::Value PlatformStore::rowJson(const std::string &key, const Row &row)
{
    Json::Value result;
    result["key"] = key;
    result["value"] = row.value;
    result["revision"] = Json::Int64(row.revision);
    return result;
}

} // namespace cwl::standins
