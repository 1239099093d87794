#include "config/targets.h"

#include <cmath>

#include "core/events.h"

namespace martenford {

using namespace martenford::decision;
using namespace martenford::decision::json;

namespace {

constexpr std::int64_t kMaxBootMs = std::int64_t{1} << 42;  // the year 2109: what is later is no time

std::optional<std::uint32_t> index_of(const std::vector<std::string>& names, std::string_view name) {
    if (names.empty()) return 0;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) return static_cast<std::uint32_t>(i);
    }
    return std::nullopt;
}

Target parse_target(const object& from, const Names& names) {
    Target result;
    result.uid = require_string(from, "uid");
    if (result.uid.empty()) throw_field_error("field 'uid' is empty");
    result.endpoint.availability = enum_value<Availability>(require_string(from, "state"), "state",
                                                            {{"Ready", Availability::Ready},
                                                             {"Terminating", Availability::Draining},
                                                             {"Gone", Availability::Gone}});
    if (result.endpoint.availability == Availability::Gone) return result;  // nothing more is needed
    const auto address = parse_address(require_string(from, "endpoint"));
    if (!address) throw_field_error("field 'endpoint' is no address");
    result.address = *address;
    // The zone may decide where a keyed repeat goes: one that the settings don't name is no use.
    const auto zone = find(from, "az") ? index_of(names.zones, require_string(from, "az")) : 0;
    if (!zone) throw_field_error("field 'az' names no zone of the settings");
    result.endpoint.zone = *zone;
    if (find(from, "model"))
        result.endpoint.kind = index_of(names.kinds, require_string(from, "model")).value_or(0);
    result.endpoint.cell = u32_or(from, "pod_group", 0);
    result.endpoint.weight = number_or(from, "capacity_hint", 1.0);
    if (!std::isfinite(result.endpoint.weight) || result.endpoint.weight < 0.0) {
        throw_field_error("field 'capacity_hint' is out of range");
    }
    if (const auto boot = find(from, "boot_ms")) {
        result.boot_ms = as<std::int64_t>(*boot, "boot_ms", "a time in whole milliseconds");
        if (result.boot_ms < 0 || result.boot_ms > kMaxBootMs)
            throw_field_error("field 'boot_ms' is out of range");
    }
    return result;
}

}  // namespace

TargetList parse_targets(const object& from, const Names& names) {
    TargetList result;
    result.revision = to_unsigned(require(from, "rev"), "rev");
    result.all = as<bool>(require(from, "all"), "all", "true or false");
    require(from, "targets");
    std::string first;
    for (const element& item : elements(from, "targets")) {
        try {
            result.targets.push_back(parse_target(as<object>(item, "targets", "an array of objects"), names));
        } catch (const FieldError& error) {
            std::string_view uid;
            if (item["uid"].get(uid) != simdjson::SUCCESS) uid = {};
            if (result.unreadable.empty()) first = error.what();
            result.unreadable.emplace_back(uid);
        }
    }
    // One line for a list, however long: nothing from the network may fill the log.
    if (!result.unreadable.empty()) {
        log_event(martenford::Event::EntriesSkipped,
                  "discovery: entries were skipped: " + std::to_string(result.unreadable.size()) +
                      "; the first: " + first);
    }
    return result;
}

}  // namespace martenford
