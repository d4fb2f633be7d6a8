#include "cell/connectionbudget.h"

#include <algorithm>

namespace cwl::cell {

namespace {

constexpr int64_t reservedForFiles = 200; // the platform keeps these from sockets
constexpr double pollShare = 0.6;
constexpr double orderShare = 0.1;
constexpr double callerShare = 0.1;

constexpr size_t megabyte = 1024UL * 1024;
constexpr size_t unknownMemoryBytes = 64 * megabyte;
constexpr size_t leastMemoryBytes = 8 * megabyte; // dozens of the largest requests
constexpr size_t memoryShare = 4;                 // one in so many

} // namespace

ConnectionBudget connectionBudget(int64_t maxDescriptors)
{
    if (maxDescriptors <= 0)
        return {};
    const auto sockets = double(std::max<int64_t>(maxDescriptors - reservedForFiles, 100));
    return {size_t(sockets * pollShare), size_t(sockets * orderShare),
            size_t(sockets * callerShare)};
}

size_t callersMemoryBytes(int64_t memoryMb)
{
    if (memoryMb <= 0)
        return unknownMemoryBytes;
    return std::max(size_t(memoryMb) * megabyte / memoryShare, leastMemoryBytes);
}

} // namespace cwl::cell
