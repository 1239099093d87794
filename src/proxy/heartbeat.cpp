#include "proxy/heartbeat.h"

#include <algorithm>

#include "mesh_config/mesh_config.h"

namespace martenford::proxy {
namespace {

using mesh_config::Json;

constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxColdLeftMs = 3'600'000;  // an hour

/// Reads a field of a JSON object. Returns false if it is missing or of another type.
template <class Value>
bool read_field(const Json& object, const char* name, Value& value) {
    const auto field = object.find(name);
    return field != object.end() && !mesh_config::read(*field, value, name);
}

}  // namespace

std::variant<Heartbeat, HeartbeatError> parse_heartbeat(std::string_view body) {
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object()) return HeartbeatError{R"({"error":"no JSON object"})"};
    const auto info = json.value("node_info", Json::object());
    const auto status = json.value("status", Json::object());

    Heartbeat heartbeat;
    std::string address;
    std::string state;
    std::int64_t slots = 0;
    const bool is_complete = info.is_object() && status.is_object() && read_field(json, "address", address) &&
                             read_field(info, "service", heartbeat.service) &&
                             read_field(info, "slots", slots) && read_field(status, "state", state) &&
                             read_field(status, "call_seq", heartbeat.sequence_number);
    if (!is_complete) return HeartbeatError{R"({"error":"a field is missing or of another type"})"};
    std::int64_t cold_left_ms = 0;
    read_field(status, "cold_left_ms", cold_left_ms);

    const auto parsed_address = parse_address(address);
    const bool is_ready = state == "ready";
    if (!parsed_address || slots < 1 || slots > kMaxSlots || (!is_ready && state != "draining")) {
        return HeartbeatError{R"({"error":"a field is out of range"})"};
    }
    heartbeat.address = *parsed_address;
    heartbeat.state = is_ready ? registry::EndpointState::Ready : registry::EndpointState::Draining;
    heartbeat.slots = static_cast<std::uint32_t>(slots);
    heartbeat.cold_left_ms =
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(cold_left_ms, 0, kMaxColdLeftMs));
    return heartbeat;
}

}  // namespace martenford::proxy
