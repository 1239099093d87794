// Changes by name (the operator's `modify`). Pure.
#pragma once

#include <variant>

#include "mesh_config/config_error.h"
#include "mesh_config/json_reader.h"

namespace martenford::mesh_config {

/// Returns `document` with `change` applied: first `removals` by name, then `upserts`, each of which replaces
/// the item of its name or is appended. Routes are found by name whatever their host. `version` and
/// `base_version` become the change's. The result is not validated. Errors: a list that does not exist, or a
/// member of an unexpected type.
[[nodiscard]] std::variant<Json, ConfigError> apply_change(const Json& document, const Json& change);

}  // namespace martenford::mesh_config
