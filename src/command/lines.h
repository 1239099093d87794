// What a sidecar says to operators: lines of name=value, printed for people or as JSON.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace martenford {

using LineFields = std::vector<std::pair<std::string, std::string>>;

/// "name=n3 state=alive a b" as its fields, in order; what has no '=' is text.
/// Values are unescaped, as core/words.h has it.
LineFields fields_of(const std::string& line);
/// Of the first line that has it; empty: none has.
std::string field_of(const std::string& reply, const std::string& name);
/// A JSON object a line.
void print_json(const std::string& reply);
/// As a table, whose columns are those of the first line that has each.
void print_table(const std::string& reply);

}  // namespace martenford
