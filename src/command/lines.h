// The replies of a sidecar's console: lines of name=value, printed as a table or as JSON.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace martenford {

using LineFields = std::vector<std::pair<std::string, std::string>>;

/// Parses "name=n3 state=alive a b" into its fields, in order; words without '=' form a field named text.
/// Values are unescaped as described in core/words.h.
LineFields fields_of(const std::string& line);
/// The field's value in the first line that has it; empty if none has.
std::string field_of(const std::string& reply, const std::string& name);
/// One JSON object per line.
void print_json(const std::string& reply);
/// As a table. Columns appear in the order in which the lines first use them.
void print_table(const std::string& reply);

}  // namespace martenford
