// The heartbeat that an endpoint sends to the proxy beside it, as the platform's page "What martenford
// speaks" fixes it: a JSON document, parsed and checked. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "core/address.h"
#include "registry/registry.h"

namespace martenford::proxy {

/// A valid heartbeat. The endpoint's instance id is in the call's path, not here.
struct Heartbeat {
    Address address;  ///< where the endpoint listens
    std::string service;
    registry::EndpointState state = registry::EndpointState::Ready;  ///< Ready or Draining
    std::uint32_t slots = 0;                                         ///< requests at a time, 1 to 100000
    std::uint32_t cold_left_ms = 0;    ///< remaining warm-up, at most an hour; 0 where the field is absent
    std::int64_t sequence_number = 0;  ///< `call_seq`: rises with each heartbeat of an instance
};

/// Why a heartbeat is rejected.
struct HeartbeatError {
    std::string response_body;  ///< JSON, of the 400 response
};

/// Parses the body of a heartbeat. A body that is no JSON object, a missing field, a field of another type
/// and a value out of range are errors; unknown fields are ignored.
[[nodiscard]] std::variant<Heartbeat, HeartbeatError> parse_heartbeat(std::string_view body);

}  // namespace martenford::proxy
