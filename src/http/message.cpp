#include "http/message.h"

#include <algorithm>
#include <cctype>

namespace cwl::http {

namespace {

bool equalsWithoutCase(const std::string &left, const std::string &right)
{
    return std::equal(
            left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

void Headers::set(std::string name, std::string value)
{
    for (auto &[fieldName, fieldValue] : m_fields) {
        if (equalsWithoutCase(fieldName, name)) {
            fieldValue = std::move(value);
            return;
        }
    }
    m_fields.emplace_back(std::move(name), std::move(value));
}

const std::string &Headers::value(const std::string &name) const
{
    static const std::string absent;
    for (const auto &[fieldName, fieldValue] : m_fields) {
        if (equalsWithoutCase(fieldName, name))
            return fieldValue;
    }
    return absent;
}

bool Headers::contains(const std::string &name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(),
                       [&name](const auto &field) { return equalsWithoutCase(field.first, name); });
}

} // namespace cwl::http
