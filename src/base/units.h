// Strong types for quantities, so that cores are never added to megabytes.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace cwl {

// A whole number of one unit. Arithmetic stays within the unit.
template <typename Tag>
class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(int64_t value)
        : m_value(value)
    {
    }

    constexpr int64_t value() const { return m_value; }

    constexpr auto operator<=>(const Quantity &) const = default;
    constexpr Quantity operator+(Quantity other) const { return Quantity(m_value + other.m_value); }
    constexpr Quantity operator-(Quantity other) const { return Quantity(m_value - other.m_value); }
    constexpr Quantity &operator+=(Quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }

private:
    int64_t m_value = 0;
};

using Millicores = Quantity<struct MillicoresTag>;           // thousandths of a processor core
using Mebibytes = Quantity<struct MebibytesTag>;             // 2^20 bytes
using Accelerators = Quantity<struct AcceleratorsTag>;       // whole accelerators
using Epoch = Quantity<struct EpochTag>;                     // rises with each new owner of a group
using Attempt = Quantity<struct AttemptTag>;                 // rises with each start of one task
using Revision = Quantity<struct RevisionTag>;               // of a table row; 0 means absent
using SettingsVersion = Quantity<struct SettingsVersionTag>; // of the cell settings as a whole

// What a task asks for and what a worker has.
struct Resources
{
    Millicores cores;
    Mebibytes memory;
    Accelerators accelerators;

    bool operator==(const Resources &) const = default;

    // True if this amount is available within `other` in every dimension.
    constexpr bool fitsIn(const Resources &other) const
    {
        return cores <= other.cores && memory <= other.memory && accelerators <= other.accelerators;
    }
    constexpr Resources operator+(const Resources &other) const
    {
        return {cores + other.cores, memory + other.memory, accelerators + other.accelerators};
    }
    constexpr Resources operator-(const Resources &other) const
    {
        return {cores - other.cores, memory - other.memory, accelerators - other.accelerators};
    }
};

} // namespace cwl

template <typename Tag>
struct std::hash<cwl::Quantity<Tag>>
{
    size_t operator()(cwl::Quantity<Tag> quantity) const noexcept
    {
        return std::hash<int64_t>()(quantity.value());
    }
};
