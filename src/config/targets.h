// Parses lists of endpoints in the format of the discovery service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fields.h"
#include "core/address.h"
#include "membership/target.h"

namespace martenford {

/// The names to which indices in the settings refer.
struct Names {
    std::vector<std::string> zones, kinds;
};

/// Throws FieldError if the list as a whole is invalid. Invalid entries are skipped, with one log line for
/// all of them.
TargetList parse_targets(const decision::json::object& from, const Names& names);

}  // namespace martenford
