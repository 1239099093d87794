// The configuration document as a proxy receives it from a controller, and what a proxy needs of it. Pure.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "mesh_config/mesh_config.h"

namespace martenford::proxy {

/// Parses a configuration document (JSON). Returns null if it is invalid: controllers accept valid ones only,
/// and what one of another release accepts may be unknown here.
[[nodiscard]] std::shared_ptr<const mesh_config::RouteTable> parse_routes(std::uint32_t version,
                                                                          const std::string& document);

/// Returns the names of the tenants that have a rate limit; none while `routes` is null.
[[nodiscard]] std::vector<std::string> rate_limited_tenants(const mesh_config::RouteTable* routes);

}  // namespace martenford::proxy
