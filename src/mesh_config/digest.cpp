#include "mesh_config/digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace martenford::mesh_config {

std::uint64_t digest(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace martenford::mesh_config
