// Strong types for identifiers: two kinds of id never mix, and an id is never a bare string.

#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cwl {

// An identifier of one kind. Tag only tells the kinds apart.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const StrongId &) const = default;
    bool operator==(const StrongId &) const = default;

private:
    std::string m_value;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &stream, const StrongId<Tag> &id)
{
    return stream << id.value();
}

using MemberId = StrongId<struct MemberIdTag>;     // one run of one process of the system
using GroupId = StrongId<struct GroupIdTag>;       // "worker/<name>" or "endpoint/<service>/<n>"
using WorkerId = StrongId<struct WorkerIdTag>;     // a worker of the platform
using EndpointId = StrongId<struct EndpointIdTag>; // a runner of a service
using JobId = StrongId<struct JobIdTag>;           // chosen by the submitting team
using TaskId = StrongId<struct TaskIdTag>;         // "<job>/<index>"
using RequestId = StrongId<struct RequestIdTag>;   // "<unix milliseconds>-<unique>"
using CustomerId = StrongId<struct CustomerIdTag>; // a customer of the cell, named by its operators
using KeyDigest = StrongId<struct KeyDigestTag>;   // SHA-256 of a customer's key, hexadecimal
using TeamId = StrongId<struct TeamIdTag>;         // owner of a settings subtree and a quota
using ServiceId = StrongId<struct ServiceIdTag>;   // a set of endpoints behind one name
using InstanceId = StrongId<struct InstanceIdTag>; // an instance in the platform's list
using DataCentreId = StrongId<struct DataCentreIdTag>; // a data centre of a region
using RackId = StrongId<struct RackIdTag>;             // a rack within a data centre
using ChangeId = StrongId<struct ChangeIdTag>;         // makes one write to the platform repeatable

} // namespace cwl

template <typename Tag>
struct std::hash<cwl::StrongId<Tag>>
{
    size_t operator()(const cwl::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
