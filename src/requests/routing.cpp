#include "requests/routing.h"

#include <xxhash.h>

#include <charconv>

namespace cwl::requests {

namespace {

constexpr size_t maxNumberDigits = 15; // fits int64_t

int64_t hashOf(const std::string &text, int64_t groups)
{
    const uint64_t hash = XXH3_64bits(text.data(), text.size());
    return static_cast<int64_t>(hash % static_cast<uint64_t>(groups));
}

} // namespace

GroupId endpointGroupId(const ServiceId &service, int64_t number)
{
    return GroupId("endpoint/" + service.value() + "/" + std::to_string(number));
}

int64_t groupOfRequestId(const RequestId &id, int64_t groups)
{
    return hashOf(id.value(), groups);
}

int64_t groupOfEndpoint(const EndpointId &id, int64_t groups)
{
    const std::string &text = id.value();
    size_t begin = text.size();
    while (begin > 0 && text[begin - 1] >= '0' && text[begin - 1] <= '9')
        --begin;
    if (begin == text.size() || text.size() - begin > maxNumberDigits)
        return hashOf(text, groups);
    int64_t number = 0;
    std::from_chars(text.data() + begin, text.data() + text.size(), number);
    return number % groups;
}

int64_t chooseGroup(int64_t groups, Generator &generator,
                    const std::function<double(int64_t)> &load)
{
    std::uniform_int_distribution<int64_t> draw(0, groups - 1);
    const int64_t first = draw(generator);
    if (groups == 1)
        return first;
    std::uniform_int_distribution<int64_t> drawOther(0, groups - 2);
    const int64_t other = drawOther(generator);
    const int64_t second = other < first ? other : other + 1;
    return load(second) < load(first) ? second : first;
}

} // namespace cwl::requests
