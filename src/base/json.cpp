#include "base/json.h"

#include "base/error.h"

#include <absl/strings/str_cat.h>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <sstream>

namespace cwl {

namespace {

absl::StatusOr<Json::Value> parseWith(const Json::CharReaderBuilder &builder,
                                      const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problems;
    // jsoncpp throws on numbers and nesting beyond its limits.
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &problems))
            return value;
    } catch (const Json::Exception &exception) {
        problems = exception.what();
    }
    return makeError(Failure::MalformedBody, absl::StrCat("not valid JSON: ", problems));
}

std::string writeWith(const char *indentation, const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["commentStyle"] = "None";
    return Json::writeString(builder, value);
}

absl::Status missing(const char *name)
{
    return makeError(Failure::MissingField, absl::StrCat("field '", name, "' is missing"),
                     {.field = name});
}

absl::Status wrongType(const char *name, const char *wanted)
{
    return makeError(Failure::InvalidValue, absl::StrCat("field '", name, "' must be ", wanted),
                     {.field = name});
}

} // namespace

absl::StatusOr<Json::Value> parseJson(const std::string &text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = 64;
    return parseWith(builder, text);
}

absl::StatusOr<Json::Value> parseJsonWithComments(const std::string &text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["strictRoot"] = true;
    builder["stackLimit"] = 64;
    return parseWith(builder, text);
}

std::string writeJson(const Json::Value &value)
{
    return writeWith("", value);
}

std::string writeJsonIndented(const Json::Value &value)
{
    return writeWith("  ", value);
}

absl::StatusOr<std::string> stringMember(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object.isMember(name))
        return missing(name);
    if (!object[name].isString())
        return wrongType(name, "a string");
    return object[name].asString();
}

absl::StatusOr<int64_t> intMember(const Json::Value &object, const char *name, int64_t minimum,
                                  int64_t maximum)
{
    if (!object.isObject() || !object.isMember(name))
        return missing(name);
    if (!object[name].isInt64())
        return wrongType(name, "a whole number");
    const int64_t value = object[name].asInt64();
    if (value < minimum || value > maximum) {
        const std::string range = absl::StrCat(minimum, " to ", maximum);
        return makeError(Failure::InvalidValue,
                         absl::StrCat("field '", name, "' is ", value, ", outside ", range),
                         {.field = name, .limit = range});
    }
    return value;
}

absl::StatusOr<bool> boolMember(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object.isMember(name))
        return missing(name);
    if (!object[name].isBool())
        return wrongType(name, "true or false");
    return object[name].asBool();
}

} // namespace cwl
