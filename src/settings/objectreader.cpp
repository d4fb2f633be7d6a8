#include "settings/objectreader.h"

#include "base/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace cwl::settings {

ObjectReader::ObjectReader(const Document &document, const Json::Value &object, std::string path)
    : m_document(document)
    , m_object(object)
    , m_path(std::move(path))
{
    if (!object.isObject())
        fail("", "must be an object", "{...}");
}

std::string ObjectReader::requiredText(const std::string &key)
{
    const Json::Value *value = find(key);
    if (!value) {
        fail(key, "is missing", "a string");
        return {};
    }
    return text(key, "");
}

std::string ObjectReader::text(const std::string &key, const std::string &defaultValue)
{
    const Json::Value *value = find(key);
    if (!value)
        return defaultValue;
    if (value->isString())
        return value->asString();
    fail(key, "must be a string", "a string");
    return defaultValue;
}

int64_t ObjectReader::requiredInteger(const std::string &key, int64_t minimum, int64_t maximum)
{
    if (!find(key))
        fail(key, "is missing", absl::StrCat(minimum, " to ", maximum));
    return integer(key, minimum, minimum, maximum);
}

int64_t ObjectReader::integer(const std::string &key, int64_t defaultValue, int64_t minimum,
                              int64_t maximum)
{
    const Json::Value *value = find(key);
    if (!value)
        return defaultValue;
    const std::string range = absl::StrCat(minimum, " to ", maximum);
    if (!value->isInt64()) {
        fail(key, "must be a whole number", range);
        return defaultValue;
    }
    const int64_t number = value->asInt64();
    if (number >= minimum && number <= maximum)
        return number;
    fail(key, absl::StrCat("is ", number), range);
    return defaultValue;
}

double ObjectReader::real(const std::string &key, double defaultValue, double minimum,
                          double maximum)
{
    const Json::Value *value = find(key);
    if (!value)
        return defaultValue;
    const std::string range = absl::StrCat(minimum, " to ", maximum);
    if (!value->isNumeric()) {
        fail(key, "must be a number", range);
        return defaultValue;
    }
    const double number = value->asDouble();
    if (number >= minimum && number <= maximum)
        return number;
    fail(key, absl::StrCat("is ", number), range);
    return defaultValue;
}

bool ObjectReader::boolean(const std::string &key, bool defaultValue)
{
    const Json::Value *value = find(key);
    if (!value)
        return defaultValue;
    if (value->isBool())
        return value->asBool();
    fail(key, "must be true or false", "true or false");
    return defaultValue;
}

std::string ObjectReader::choice(const std::string &key, const std::string &defaultValue,
                                 const std::vector<std::string> &allowed)
{
    const std::string value = text(key, defaultValue);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
        return value;
    fail(key, absl::StrCat("is '", value, "'"), absl::StrJoin(allowed, ", "));
    return defaultValue;
}

std::vector<std::string> ObjectReader::texts(const std::string &key,
                                             const std::vector<std::string> &defaultValue)
{
    const Json::Value *value = find(key);
    if (!value)
        return defaultValue;
    std::vector<std::string> result;
    const bool isList = value->isArray();
    if (!isList)
        fail(key, "must be a list of strings", "[\"...\"]");
    for (Json::ArrayIndex index = 0; isList && index < value->size(); ++index) {
        const Json::Value &item = (*value)[index];
        if (item.isString())
            result.push_back(item.asString());
        else
            fail(key, "must hold strings only", "[\"...\"]");
    }
    return result;
}

const Json::Value &ObjectReader::object(const std::string &key)
{
    static const Json::Value null;
    const Json::Value *value = find(key);
    if (!value)
        return null;
    if (value->isObject())
        return *value;
    fail(key, "must be an object", "{...}");
    return null;
}

void ObjectReader::fail(const std::string &key, const std::string &problem,
                        const std::string &allowed)
{
    if (!m_status.ok())
        return;
    const bool present = m_object.isObject() && m_object.isMember(key);
    const std::string where = position(present ? m_object[key] : m_object);
    const std::string path = pathOf(key);
    std::string message = absl::StrCat(m_document.name, ":", where, ": ");
    absl::StrAppend(&message, path.empty() ? "the document" : absl::StrCat("'", path, "'"));
    absl::StrAppend(&message, " ", problem, "; allowed: ", allowed);
    m_status = makeError(Failure::InvalidSettings, message, {.field = path, .limit = allowed});
}

void ObjectReader::absorb(absl::Status status)
{
    if (m_status.ok())
        m_status = std::move(status);
}

absl::Status ObjectReader::finish()
{
    if (!m_object.isObject())
        return m_status;
    for (const std::string &key : m_object.getMemberNames()) {
        if (!m_read.contains(key))
            fail(key, "is not a known key", absl::StrJoin(m_read, ", "));
    }
    return m_status;
}

std::string ObjectReader::pathOf(const std::string &key) const
{
    if (m_path.empty())
        return key;
    return key.empty() ? m_path : absl::StrCat(m_path, ".", key);
}

const Json::Value *ObjectReader::find(const std::string &key)
{
    m_read.insert(key);
    if (!m_object.isObject() || !m_object.isMember(key))
        return nullptr;
    return &m_object[key];
}

std::string ObjectReader::position(const Json::Value &value) const
{
    const std::string &text = m_document.text;
    const size_t offset = std::min(text.size(), static_cast<size_t>(value.getOffsetStart()));
    const auto begin = text.begin();
    const auto end = begin + static_cast<std::ptrdiff_t>(offset);
    const auto line = std::count(begin, end, '\n') + 1;
    const size_t lineStart = offset == 0 ? std::string::npos : text.rfind('\n', offset - 1);
    const size_t column = lineStart == std::string::npos ? offset + 1 : offset - lineStart;
    return absl::StrCat(line, ":", column);
}

} // namespace cwl::settings
