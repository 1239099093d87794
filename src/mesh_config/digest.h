// The digest behind weighted splits, kinds of request, the first voters' ids and the recognition of repeated
// calls.
#pragma once

#include <cstdint>
#include <string_view>

namespace martenford::mesh_config {

/// XXH3, 64 bits: the same in every process, release and platform. Digests are compared between processes and
/// stored in records, so the function must not change.
[[nodiscard]] std::uint64_t digest(std::string_view text, std::uint64_t seed = 0);

}  // namespace martenford::mesh_config
