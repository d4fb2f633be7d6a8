// Checked reading of one JSON object: types, ranges, unknown keys; errors name file, line, column
// and key.

#pragma once

#include <absl/status/status.h>
#include <json/value.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cwl::settings {

// Where a document came from, for messages.
struct Document
{
    std::string name; // file name, or "settings of team x"
    std::string text; // as written
};

// Reads the members of one object. The first problem is kept and later reads return defaults, so a
// caller reads everything and asks for status() once. Errors are InvalidSettings.
class ObjectReader
{
public:
    // `path` is the key of the object within the document, empty for the root.
    ObjectReader(const Document &document, const Json::Value &object, std::string path);

    std::string requiredText(const std::string &key);
    std::string text(const std::string &key, const std::string &defaultValue);
    int64_t requiredInteger(const std::string &key, int64_t minimum, int64_t maximum);
    int64_t integer(const std::string &key, int64_t defaultValue, int64_t minimum, int64_t maximum);
    double real(const std::string &key, double defaultValue, double minimum, double maximum);
    bool boolean(const std::string &key, bool defaultValue);
    std::string choice(const std::string &key, const std::string &defaultValue,
                       const std::vector<std::string> &allowed);
    std::vector<std::string> texts(const std::string &key,
                                   const std::vector<std::string> &defaultValue);

    // Returns the named object, or a null value if it is absent.
    const Json::Value &object(const std::string &key);

    // Records a problem with `key` found by the caller.
    void fail(const std::string &key, const std::string &problem, const std::string &allowed);

    // Takes over the first problem of a reader of a nested object.
    void absorb(absl::Status status);

    // Also refuses every key that was not read.
    absl::Status finish();

    std::string pathOf(const std::string &key) const;

private:
    const Json::Value *find(const std::string &key);
    std::string position(const Json::Value &value) const;

    const Document &m_document;
    const Json::Value &m_object;
    std::string m_path;
    std::set<std::string> m_read;
    absl::Status m_status;
};

} // namespace cwl::settings
