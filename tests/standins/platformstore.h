// The platform's tables: rows with revisions, transactions, and the outcome of every change id.

#pragma once

#include <absl/status/status.h>
#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cwl::standins {

class PlatformStore
{
public:
    // Checks the shape of a commit. Errors: MissingField, InvalidValue.
    static absl::Status check(const Json::Value &commit);

    // Applies a checked commit; the same change id again returns the first answer.
    Json::Value commit(const Json::Value &commit);

    Json::Value change(const std::string &changeId) const; // {"known", "committed", "revision"}
    Json::Value read(const Json::Value &reads) const;      // {"rows": one list per read}

private:
    struct Row
    {
        Json::Value value;
        int64_t revision = 0;
    };
    using Table = std::map<std::string, Row>;

    int64_t revisionOf(const std::string &table, const std::string &key) const;
    Json::Value apply(const Json::Value &commit);
    static Json::Value rowJson(const std::string &key, const Row &row);

    std::map<std::string, Table> m_tables;
    std::unordered_map<std::string, Json::Value> m_answers; // by change id
    int64_t m_revision = 0;
};

} // namespace cwl::standins
