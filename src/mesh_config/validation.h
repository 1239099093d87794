// The checks of a configuration that need no other version of it. Pure.
#pragma once

#include <optional>

#include "mesh_config/config.h"
#include "mesh_config/config_error.h"

namespace martenford::mesh_config {

/// Checks limits, services, routes and tenants, in this order: ranges, unique names, hosts and prefixes,
/// keys, and that routes go to services of the document. Returns the first error.
[[nodiscard]] std::optional<ConfigError> validate(const Config& config);

}  // namespace martenford::mesh_config
