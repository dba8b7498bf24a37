// Hash function whose result is the same in every process and build.
#pragma once

#include <cstdint>
#include <string_view>

namespace cardamompaddle {

// 64-bit xxHash3 of the bytes of `text`.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

} // namespace cardamompaddle
