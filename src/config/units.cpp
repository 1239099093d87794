#include "config/units.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>

namespace martenford {

namespace {
constexpr double kMaxSeconds = 86'400.0;  // a longer scenario is a slip of the pen
constexpr double kMaxFactor = 1000.0;
}  // namespace

std::optional<double> parse_number(std::string_view text) {
    double value = 0.0;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (fault != std::errc{} || stop != end || !std::isfinite(value)) return std::nullopt;
    return value;
}

std::optional<Duration> parse_duration(std::string_view text) {
    const auto unit = text.find_first_not_of("0123456789.");
    if (unit == 0 || unit == std::string_view::npos) return std::nullopt;
    const auto number = parse_number(text.substr(0, unit));
    const auto name = text.substr(unit);
    const double scale = name == "us"   ? 1e-6
                         : name == "ms" ? 1e-3
                         : name == "s"  ? 1.0
                         : name == "m"  ? 60.0
                                        : 0.0;
    if (!number || scale == 0.0 || *number * scale > kMaxSeconds) return std::nullopt;
    return Duration{std::llround(*number * scale * 1e9)};
}

std::optional<double> parse_percent(std::string_view text) {
    if (!text.ends_with('%')) return std::nullopt;
    const auto number = parse_number(text.substr(0, text.size() - 1));
    if (!number || *number < 0.0 || *number > 100.0) return std::nullopt;
    return *number / 100.0;
}

std::optional<double> parse_factor(std::string_view text) {
    if (!text.starts_with('x')) return std::nullopt;
    const auto number = parse_number(text.substr(1));
    if (!number || *number <= 0.0 || *number > kMaxFactor) return std::nullopt;
    return number;
}

std::string format_seconds(Duration d) {
    return fmt::format("{:.3f} s", seconds(d));
}

}  // namespace martenford
