#include "node/logline.h"

#include "base/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace cwl::log {

namespace {

bool isPlain(const std::string &text)
{
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte <= ' ' || byte == 0x7f || byte == '"' || byte == '=' || byte == '\\')
            return false;
    }
    return !text.empty();
}

std::string quoted(const std::string &text)
{
    std::string result = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\')
            result += '\\';
        if (character == '\n')
            result += "\\n";
        else if (byte < ' ' || byte == 0x7f)
            result += absl::StrFormat("\\x%02x", byte);
        else
            result += character;
    }
    return result + "\"";
}

std::string formatText(const std::string &text)
{
    return isPlain(text) ? text : quoted(text);
}

std::string shortened(const std::string &text)
{
    if (text.size() <= maxValueBytes)
        return text;
    return text.substr(0, maxValueBytes - 3) + "...";
}

struct Formatter
{
    std::string operator()(const std::string &text) const { return formatText(shortened(text)); }
    std::string operator()(int64_t number) const { return absl::StrCat(number); }
    std::string operator()(uint64_t number) const { return absl::StrCat(number); }
    std::string operator()(double number) const { return absl::StrFormat("%.6g", number); }
    std::string operator()(bool flag) const { return flag ? "true" : "false"; }
    std::string operator()(const Whole &whole) const { return formatText(whole.text); }
};

} // namespace

Pair::Pair(const char *name, Duration duration)
    : key(name)
    , value(absl::StrFormat("%.6gms", std::chrono::duration<double, std::milli>(duration).count()))
{
}

Pair::Pair(const char *name, const absl::Status &status)
    : key(name)
    , value(absl::StrCat(failureName(failureOf(status)), ": ", std::string(status.message())))
{
}

std::string formatLine(const std::string &name, Pairs pairs, uint64_t dropped)
{
    std::string line = absl::StrCat("event=", formatText(shortened(name)));
    for (const Pair &pair : pairs)
        absl::StrAppend(&line, " ", pair.key, "=", std::visit(Formatter(), pair.value));
    if (dropped > 0)
        absl::StrAppend(&line, " dropped=", dropped);
    return line;
}

std::optional<uint64_t> RateLimit::admit(const std::string &name, TimePoint now)
{
    const bool isNew = m_windows.size() >= maxEvents && !m_windows.contains(name);
    Window &window = m_windows[isNew ? std::string() : name];
    if (now - window.began >= seconds(1)) {
        window.began = now;
        window.written = 0;
    }
    if (window.written >= maxPerSecond) {
        ++window.dropped;
        return std::nullopt;
    }
    ++window.written;
    return std::exchange(window.dropped, 0);
}

} // namespace cwl::log
