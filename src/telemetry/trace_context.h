// The position of a request in a trace that began elsewhere: W3C Trace Context (Recommendation of 23 November
// 2021, sections 3.2 and 3.3).
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
    std::uint64_t parent = 0;  ///< the calling span
    bool sampled =
        false;          ///< requested by the caller, who may set it on every request; treated only as a hint
    std::string state;  ///< tracestate as received, to be forwarded
    bool operator==(const TraceContext&) const = default;
};

/// Limits of tracestate: the minimum that must be forwarded (section 3.3.1.5). A longer one is dropped as a
/// whole.
constexpr std::size_t kMaxTraceStateBytes = 512;
constexpr std::size_t kMaxTraceStateMembers = 32;

/// Parses both headers. Returns nothing if traceparent is invalid; an invalid tracestate is left out.
std::optional<TraceContext> read_trace_context(std::string_view traceparent, std::string_view tracestate);

/// Formats a version 00 header.
std::string traceparent_of(const TraceContext& context);
std::string text_of(const TraceId& id);

}  // namespace martenford::telemetry
