#include "proxy/hop_header.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace martenford::proxy {

namespace {

constexpr char kSeparator = ';';
constexpr std::size_t kPartCount = 8;
constexpr std::string_view kIdempotent = "r";
constexpr std::string_view kNotIdempotent = "o";

constexpr std::string_view mode_text(HopMode mode) {
    switch (mode) {
        case HopMode::Queue:
            return "q";
        case HopMode::DeliveryQuery:
            return "a";
        case HopMode::IfSlotFree:
            break;
    }
    return "f";
}

HopMode mode_of(std::string_view text) {
    if (text == mode_text(HopMode::Queue)) return HopMode::Queue;
    if (text == mode_text(HopMode::DeliveryQuery)) return HopMode::DeliveryQuery;
    return HopMode::IfSlotFree;
}

template <class Number>
Number number_of(std::string_view text) {
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// 0 unless all of the text is a number: an incarnation that is misread must match no process.
std::uint64_t incarnation_of(std::string_view text) {
    std::uint64_t incarnation = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), incarnation);
    const bool complete = error == std::errc{} && end == text.data() + text.size();
    return complete ? incarnation : 0;
}

std::optional<std::array<std::string_view, kPartCount>> split(std::string_view value) {
    std::array<std::string_view, kPartCount> parts;
    for (std::size_t i = 0; i < kPartCount; ++i) {
        const auto end = value.find(kSeparator);
        parts[i] = value.substr(0, end);
        if (end == std::string_view::npos) {
            if (i + 1 < kPartCount) return std::nullopt;
            break;
        }
        value.remove_prefix(end + 1);
    }
    return parts;
}

}  // namespace

std::string encode(const HopHeader& header) {
    std::string value = header.instance_id;
    const auto add = [&](std::string_view part) {
        value += kSeparator;
        value += part;
    };
    add(mode_text(header.mode));
    add(header.idempotent ? kIdempotent : kNotIdempotent);
    add(std::to_string(header.priority));
    add(std::to_string(header.time.count()));
    add(std::to_string(header.kind));
    add(std::to_string(header.incarnation));
    add(std::to_string(header.version));
    return value;
}

std::optional<HopHeader> decode_hop_header(std::string_view value) {
    const auto parts = split(value);
    if (!parts) return std::nullopt;
    const auto& [instance_id, mode, idempotent, priority, time, kind, incarnation, version] = *parts;
    HopHeader header;
    header.instance_id = instance_id;
    header.mode = mode_of(mode);
    header.idempotent = idempotent == kIdempotent;
    header.priority = number_of<std::int64_t>(priority);
    header.time = std::chrono::milliseconds(number_of<std::int64_t>(time));
    header.kind = number_of<std::uint32_t>(kind);
    header.incarnation = incarnation_of(incarnation);
    header.version = number_of<mesh_config::Version>(version);
    return header;
}

}  // namespace martenford::proxy
