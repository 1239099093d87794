#include "console/statsd.h"

#include <fmt/format.h>

#include <cmath>
#include <iterator>
#include <string_view>

namespace martenford {

namespace {

struct Mapping {
    std::string_view counter, metric;
};
constexpr Mapping kMappings[] = {
    {"requests.served", "success"},     {"requests.refused", "busy"},
    {"requests.failed", "failure"},     {"attempts.written", "backend_calls"},
    {"requests.in_flight", "inflight"}, {"membership.endpoints", "hosts_listed"},
    {"policy.avoided", "hosts_down"},
};

}  // namespace

std::string statsd(const Counters& counters) {
    std::string text;
    for (const Counters::Entry& entry : counters.entries()) {
        for (const Mapping& mapping : kMappings) {
            if (entry.name != mapping.counter) continue;
            const std::string label = entry.label.empty() ? "" : "." + entry.label;
            if (entry.gauge) {
                fmt::format_to(std::back_inserter(text), "sidecar.{}{}:{}|g\n", mapping.metric, label,
                               std::llround(entry.gauge()));
            } else {
                fmt::format_to(std::back_inserter(text), "sidecar.{}{}:{}|c\n", mapping.metric, label,
                               entry.counter.value());
            }
        }
    }
    return text;
}

}  // namespace martenford
