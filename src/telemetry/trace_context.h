// Where a request belongs in a trace that began elsewhere: W3C Trace Context (Recommendation of 23 November
// 2021, sections 3.2 and 3.3). Pure.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace martenford::telemetry {

struct TraceId {
    std::uint64_t high = 0, low = 0;
    bool valid() const { return high != 0 || low != 0; }
    bool operator==(const TraceId&) const = default;
};

struct TraceContext {
    TraceId trace;
    std::uint64_t parent = 0;  ///< the span that called
    bool sampled = false;      ///< the caller's wish: it may say so for every request, and is one voice only
    std::string state;         ///< tracestate as it came, passed on
    bool operator==(const TraceContext&) const = default;
};

/// Of tracestate: the least that has to be passed on (section 3.3.1.5). Longer ones are dropped whole.
constexpr std::size_t kMaxTraceStateBytes = 512;
constexpr std::size_t kMaxTraceStateMembers = 32;

/// Reads both headers; nothing where traceparent is none. A tracestate that can't be read is left out.
std::optional<TraceContext> read_trace_context(std::string_view traceparent, std::string_view tracestate);

/// As this program writes it: version 00.
std::string traceparent_of(const TraceContext& context);
std::string text_of(const TraceId& id);

}  // namespace martenford::telemetry
