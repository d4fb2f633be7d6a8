#include "base/random.h"

#include <absl/strings/str_format.h>

namespace cwl {

uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) | device();
}

std::string randomHexId()
{
    return absl::StrFormat("%016x%016x", randomSeed(), randomSeed());
}

} // namespace cwl
