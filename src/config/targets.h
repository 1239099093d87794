// Lists of endpoints in discovery's form.
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

/// The names that stand for indices in the settings.
struct Names {
    std::vector<std::string> zones, kinds;
};

/// Throws FieldError where the list as a whole makes no sense; entries that make none are skipped, with one
/// line of log for all of them.
TargetList parse_targets(const decision::json::object& from, const Names& names);

}  // namespace martenford
