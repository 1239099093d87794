// Which endpoints of a large tier one sidecar uses, so that a fleet that shares nothing covers all of them
// evenly and few connections move when endpoints or sidecars come and go. Pure: the same members and place
// give the same choice on every machine. docs/large-fleets.md holds the ways against one another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "martenford/decision/balancer.h"

namespace martenford::subset {

/// One sidecar among its replicas.
struct SubsetParams {
    std::uint32_t position = 0;  ///< 0 to replicas - 1; a higher one is taken modulo replicas
    std::uint32_t replicas = 1;  ///< at least 1
    std::size_t width = 20;      ///< endpoints to use; no more than there are will be
};

enum class Method {
    Window,    ///< one ring for all; a sidecar's window begins at position/replicas of the way round
    Rounds,    ///< deterministic subsetting (Site Reliability Engineering, chapter 20): a shuffle for each
               ///< round
    Aperture,  ///< shares of [0, 1): a sidecar's share of the ring, as wide as `width` endpoints at least
               ///< (Finagle)
    Lots       ///< a ring for each lot of sidecars, entered at points of the van der Corput sequence (after
               ///< "Reinventing Backend Subsetting at Google", ACM Queue 20(2), 2022)
};

/// Throws std::invalid_argument where the name is none: "window", "rounds", "aperture", "lots".
Method parse_method(std::string_view name);

/// The chosen ones as indices into `members`, which are in rising order without repeats; the result rises
/// too. O(n log n). Throws std::invalid_argument where replicas or width is 0.
std::vector<std::size_t> choose(Method method, const std::vector<decision::EndpointId>& members,
                                const SubsetParams& params);

}  // namespace martenford::subset
