// Random ids and seeded generators.

#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace cwl {

// A generator whose sequence is fixed by its seed.
using Generator = std::mt19937_64;

// Returns 128 random bits from the operating system as 32 hexadecimal digits.
std::string randomHexId();

// Returns a seed from the operating system; print it wherever it decides a test or a figure.
uint64_t randomSeed();

} // namespace cwl
