#include "base/hash.h"

#include <xxhash.h>

namespace cardamompaddle {

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace cardamompaddle
