#include "cell/connectionbudget.h"

#include <algorithm>

namespace cwl::cell {

namespace {

constexpr int64_t reservedForFiles = 200; // the platform keeps these from sockets
constexpr double pollShare = 0.6;
constexpr double orderShare = 0.1;
constexpr double callerShare = 0.1;

} // namespace

ConnectionBudget connectionBudget(int64_t maxDescriptors)
{
    if (maxDescriptors <= 0)
        return {};
    const auto sockets = double(std::max<int64_t>(maxDescriptors - reservedForFiles, 100));
    return {size_t(sockets * pollShare), size_t(sockets * orderShare),
            size_t(sockets * callerShare)};
}

} // namespace cwl::cell
