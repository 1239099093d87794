// Subsetting algorithms: select the endpoints of a large tier that one sidecar uses. Sidecars don't
// coordinate, yet together they cover the endpoints evenly, and few connections move when endpoints or
// sidecars come and go. Pure functions: the same input gives the same subset on every machine.
// docs/large-fleets.md compares them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "martenford/decision/balancer.h"

namespace martenford::subset {

/// A sidecar's position among its replicas, and the size of its subset.
struct SubsetParams {
    std::uint32_t position = 0;  ///< 0 to replicas - 1; a higher value is taken modulo replicas
    std::uint32_t replicas = 1;  ///< at least 1
    std::size_t width = 20;      ///< endpoints to use; capped at the number of endpoints
};

enum class Method {
    Window,    ///< one ring for all sidecars; a sidecar's window starts at position/replicas of the ring
    Rounds,    ///< deterministic subsetting (Site Reliability Engineering, chapter 20): one shuffle per
               ///< round
    Aperture,  ///< deterministic aperture (Finagle): each sidecar has a share of the ring [0, 1), which
               ///< spans at least `width` endpoints
    Lots       ///< one ring per lot of sidecars, with windows at the points of the van der Corput sequence
               ///< ("Reinventing Backend Subsetting at Google", ACM Queue 20(2), 2022)
};

/// Accepts "window", "rounds", "aperture" and "lots"; throws std::invalid_argument for other names.
Method parse_method(std::string_view name);

/// Returns the subset as ascending indices into `members`, which must be sorted and unique. O(n log n).
/// Throws std::invalid_argument if replicas or width is 0.
std::vector<std::size_t> choose(Method method, const std::vector<decision::EndpointId>& members,
                                const SubsetParams& params);

}  // namespace martenford::subset
