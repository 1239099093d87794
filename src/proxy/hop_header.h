// The header fields of a hop: a request that one proxy forwards to another. HTTP/1.1 between proxies is the
// mesh's own; what clients and endpoints see is fixed by the platform. Pure.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mesh_config/mesh_config.h"
#include "proxy/http_fields.h"

namespace martenford::proxy {

// Between proxies only.
inline constexpr char kHopField[] = "Mesh-Hop";  ///< a HopHeader
/// Response: the request was not delivered to the endpoint; the value is the queue wait in ms.
inline constexpr char kHopRejectedField[] = "Mesh-Refused";
/// Response, beside a rejection: the endpoint got the request and turned it away.
inline constexpr char kHopTurnedAwayField[] = "Mesh-Turned-Away";
/// Response: the request was delivered to the endpoint and may have run.
inline constexpr char kHopDeliveredField[] = "Mesh-Failed";
/// Response, beside a rejection: the newer configuration version by which the request is planned otherwise.
inline constexpr char kHopConfigVersionField[] = "Mesh-Version";
/// Fields of another proxy's answer that say which request it answers, and how that ended.
inline constexpr std::array<std::string_view, 6> kHopVerdictFields{
    kAttemptId,          kServerSeal,        kHopRejectedField,
    kHopTurnedAwayField, kHopDeliveredField, kHopConfigVersionField};

/// What the caller's proxy asks of the endpoint's proxy.
enum class HopMode : std::uint8_t {
    IfSlotFree,     ///< reject the request if it would have to wait
    Queue,          ///< queue it if its latency target can still be met
    DeliveryQuery,  ///< deliver nothing; tell whether an earlier hop with this id was delivered
};

/// The value of kHopField, eight parts separated by semicolons:
/// "instance;mode;idempotent;priority;ms;kind;incarnation;version".
struct HopHeader {
    std::string instance_id;  ///< endpoint that the request is meant for; empty: unknown
    HopMode mode = HopMode::IfSlotFree;
    bool idempotent = false;
    std::int64_t priority = 0;
    /// Time left until the latency target; of a delivery query: how long ago the hop was sent.
    std::chrono::milliseconds time{};
    std::uint32_t kind = 0;            ///< of request, by its route
    std::uint64_t incarnation = 0;     ///< of the proxy that the hop is meant for; 0: unknown
    mesh_config::Version version = 0;  ///< of the configuration by which the caller's proxy decided
};

std::string encode(const HopHeader& header);
/// Returns nothing if there are fewer than eight parts. A number that cannot be read counts as 0.
std::optional<HopHeader> decode_hop_header(std::string_view value);

}  // namespace martenford::proxy
