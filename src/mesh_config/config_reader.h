// From a JSON text to a validated Config. Pure.
#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "mesh_config/config.h"
#include "mesh_config/config_error.h"
#include "mesh_config/json_reader.h"

namespace martenford::mesh_config {

/// Parses a text that is one JSON object. Returns nothing for any other text, and for one that is nested
/// deeper, or has more values, than a configuration can: copying and writing such a tree recurses once for
/// each level, and each value takes memory.
[[nodiscard]] std::optional<Json> parse_object(std::string_view text);

/// Reads and validates a whole document (see validate()). Time grows linearly with its size.
[[nodiscard]] std::variant<Config, ConfigError> read_config(const Json& document);

}  // namespace martenford::mesh_config
