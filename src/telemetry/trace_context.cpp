#include "telemetry/trace_context.h"

#include <algorithm>
#include <charconv>

namespace martenford::telemetry {

namespace {

/// Lower case alone, as section 3.2.2 has it.
std::optional<std::uint64_t> read_hex(std::string_view text) {
    const bool lower = std::all_of(text.begin(), text.end(),
                                   [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    std::uint64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (!lower || fault != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

void put_hex(std::string& to, std::uint64_t value, int digits) {
    for (int shift = (digits - 1) * 4; shift >= 0; shift -= 4) to += "0123456789abcdef"[value >> shift & 15];
}

/// Whether it may be passed on: printable, and few enough members. What they say is their owners' matter.
bool may_forward(std::string_view state) {
    if (state.size() > kMaxTraceStateBytes) return false;
    if (std::any_of(state.begin(), state.end(), [](char c) { return (c < ' ' && c != '\t') || c > '~'; }))
        return false;
    return static_cast<std::size_t>(std::count(state.begin(), state.end(), ',')) < kMaxTraceStateMembers;
}

}  // namespace

std::optional<TraceContext> read_trace_context(std::string_view traceparent, std::string_view tracestate) {
    constexpr std::size_t kLength = 55;  // 00-<32>-<16>-<2>
    if (traceparent.size() < kLength) return std::nullopt;
    if (traceparent[2] != '-' || traceparent[35] != '-' || traceparent[52] != '-') return std::nullopt;
    const auto version = read_hex(traceparent.substr(0, 2));
    if (!version || *version == 0xff) return std::nullopt;
    // A later version may have more to say, after another dash (section 3.2.4).
    if (traceparent.size() > kLength && (*version == 0 || traceparent[kLength] != '-')) return std::nullopt;
    const auto high = read_hex(traceparent.substr(3, 16)), low = read_hex(traceparent.substr(19, 16));
    const auto parent = read_hex(traceparent.substr(36, 16)), flags = read_hex(traceparent.substr(53, 2));
    if (!high || !low || !parent || !flags) return std::nullopt;
    TraceContext context{{*high, *low}, *parent, (*flags & 1) != 0, {}};
    if (!context.trace.valid() || context.parent == 0) return std::nullopt;
    if (may_forward(tracestate)) context.state = tracestate;
    return context;
}

std::string text_of(const TraceId& id) {
    std::string text;
    put_hex(text, id.high, 16);
    put_hex(text, id.low, 16);
    return text;
}

std::string traceparent_of(const TraceContext& context) {
    std::string text = "00-" + text_of(context.trace) + "-";
    put_hex(text, context.parent, 16);
    return text + (context.sampled ? "-01" : "-00");
}

}  // namespace martenford::telemetry
