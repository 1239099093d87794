// Times, shares and factors as our own files write them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/scheduler.h"

namespace martenford {

/// "1.2s", "300ms", "80us", "2m"; nothing where the text is no such time, is negative or is over a day.
std::optional<Duration> parse_duration(std::string_view text);
/// "50%" as 0.5; nothing outside 0% to 100%.
std::optional<double> parse_percent(std::string_view text);
/// "x2.4" as 2.4; nothing unless above 0 and at most 1000.
std::optional<double> parse_factor(std::string_view text);
/// A plain decimal number, whole text.
std::optional<double> parse_number(std::string_view text);

/// "12.345 s": three decimals.
std::string format_seconds(Duration d);

inline double seconds(Duration d) {
    return static_cast<double>(d.count()) * 1e-9;
}
inline Duration from_seconds(double s) {
    return Duration{static_cast<Duration::rep>(s * 1e9)};
}

}  // namespace martenford
