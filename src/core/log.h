#pragma once

#include <string>

namespace martenford {

/// Writes one line to standard error. Only for rare events: neither requests nor misbehaving peers may cause
/// a line each.
void log(const std::string& line);

}  // namespace martenford
