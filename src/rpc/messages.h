// The messages between the mesh's own processes as C++ values, and their codec. wire.capnp is the schema: it
// says which process sends each message, and how often. channel.h carries them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quota/quota.h"
#include "raft/raft_node.h"
#include "registry/registry.h"
#include "rpc/config_record.h"
#include "rpc/limits.h"
#include "rpc/persistent_records.h"

namespace martenford::rpc {

/// Controller to controller: who the sender is, and the controllers that it knows.
struct Hello {
    raft::Member member;
    std::vector<raft::Member> controllers;
    raft::MemberHistory history = raft::MemberHistory::Unknown;  ///< of the sender
};

/// Proxy to every controller: renews the lease of its registration and reports quota demand.
struct RegisterRequest {
    registry::ProxyRegistration registration;
    std::vector<quota::QuotaDemand> demands;
    /// RegisterResponse::response_number last applied of this controller.
    std::uint64_t applied_response = 0;
    std::uint32_t config_version = 0;  ///< of the configuration that the proxy serves by
    std::uint64_t sent_at = 0;         ///< by the proxy's steady clock; the response returns it
    /// Proxies that this one knows to exist, itself included; 0: a release that does not say.
    std::uint32_t known_proxies = 0;
};

/// Controller to proxy: the answer to a RegisterRequest.
struct RegisterResponse {
    std::uint64_t response_number = 0;
    std::vector<quota::QuotaLease> quota_leases;  ///< from the leader only
    bool from_leader = false;
    std::uint32_t live_proxies = 0;     ///< proxies whose lease has not expired at this controller
    std::uint64_t request_sent_at = 0;  ///< RegisterRequest::sent_at; the leases count from then
};

/// Proxy to controller: a long poll. Answered at a change beyond the state named here, or after a time-out.
struct WatchRequest {
    std::uint64_t epoch = 0;  ///< RegistryDelta::epoch of the last response
    std::uint64_t seq = 0;    ///< RegistryDelta::seq of the last response
    std::uint32_t config_version = 0;
    bool wants_config = false;  ///< the response is to carry the configuration if it is newer
};

/// Controller to proxy: the answer to a WatchRequest.
struct WatchResponse {
    registry::RegistryDelta registry;
    std::uint32_t config_version = 0;  ///< the newest committed version that this controller knows
    std::string config;                ///< JSON; empty unless it was requested and is newer
    bool has_quorum_contact = false;   ///< the controller is the leader or hears one with a quorum
    std::vector<raft::Member> controllers;
};

using Message =
    std::variant<Hello, raft::Message, RegisterRequest, RegisterResponse, WatchRequest, WatchResponse>;

std::string encode(const Message& message);

/// Returns nothing if the bytes are not a message of a known kind.
[[nodiscard]] std::optional<Message> decode(std::string_view bytes);

}  // namespace martenford::rpc
