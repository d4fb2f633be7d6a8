// Seeds of random tests: fixed, so that CI gives the same verdict each time; CWL_SEED overrides.

#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace cwl::tests {

inline uint64_t testSeed()
{
    constexpr uint64_t defaultSeed = 20261204;
    const char *text = std::getenv("CWL_SEED");
    const uint64_t seed = text ? std::stoull(text) : defaultSeed;
    std::cerr << " seed " << seed << " ";
    return seed;
}

} // namespace cwl::tests
