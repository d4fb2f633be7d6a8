#include "requests/requestid.h"

#include "base/error.h"

#include <charconv>

namespace cwl::requests {

namespace {

constexpr size_t maxTimeDigits = 15; // until the year 33658, and far from overflow

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isUniqueCharacter(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_'
            || c == '.';
}

absl::Status malformed(const std::string &reason)
{
    return makeError(Failure::InvalidValue, "header Request-Id " + reason,
                     {.field = "Request-Id", .limit = "<unix milliseconds>-<unique>"});
}

} // namespace

absl::StatusOr<ParsedRequestId> parseRequestId(const std::string &text)
{
    if (text.size() > maxRequestIdBytes)
        return malformed("is longer than " + std::to_string(maxRequestIdBytes) + " bytes");
    size_t digits = 0;
    while (digits < text.size() && isDigit(text[digits]))
        ++digits;
    if (digits == 0 || digits > maxTimeDigits || text[0] == '0')
        return malformed("does not start with a time in unix milliseconds");
    if (digits + 1 >= text.size() || text[digits] != '-')
        return malformed("has no '-' and unique part after the time");
    for (size_t i = digits + 1; i < text.size(); ++i) {
        if (!isUniqueCharacter(text[i]))
            return malformed("contains a character other than letters, digits, '-', '_' and '.'");
    }
    int64_t time = 0;
    std::from_chars(text.data(), text.data() + digits, time);
    return ParsedRequestId{RequestId(text), UnixMilliseconds(time)};
}

} // namespace cwl::requests
