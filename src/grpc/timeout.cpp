#include "grpc/timeout.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace martenford::grpc {

namespace {
constexpr std::size_t kMostDigits = 8;
constexpr Duration kMost = 24h;
constexpr std::pair<char, Duration> kUnits[] = {{'n', 1ns}, {'u', 1us},  {'m', 1ms},
                                                {'S', 1s},  {'M', 1min}, {'H', 1h}};
constexpr std::int64_t kMostValue = 99'999'999;
}  // namespace

std::optional<Duration> parse_timeout(std::string_view text) {
    if (text.size() < 2 || text.size() > kMostDigits + 1) return std::nullopt;
    std::uint32_t value = 0;
    const char* end = text.data() + text.size() - 1;
    const auto [stop, fault] = std::from_chars(text.data(), end, value);
    if (fault != std::errc{} || stop != end) return std::nullopt;
    for (const auto& [letter, unit] : kUnits) {
        if (text.back() != letter) continue;
        // Eight digits of hours are more than 64 bits of nanoseconds hold.
        if (value > kMost / unit) return kMost;
        return static_cast<std::int64_t>(value) * unit;
    }
    return std::nullopt;
}

std::string show_timeout(Duration left) {
    left = std::clamp(left, Duration{1}, kMost);
    for (const auto& [letter, unit] : kUnits) {
        if (left / unit <= kMostValue) return std::to_string(left / unit) + letter;
    }
    return "24H";
}

Duration allowed(const std::optional<Duration>& told, Duration of_class) {
    return told ? std::min(*told, of_class) : of_class;
}

}  // namespace martenford::grpc
