// The records that proxies and controllers exchange about who is present: a proxy's registration, and the
// part of a registry that a reader does not have yet. Data only; rpc/messages.h maps them to the wire.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace martenford::registry {

/// State of the endpoint beside a proxy. `Absent`: the proxy runs without an endpoint.
enum class EndpointState : std::uint8_t { Absent, Ready, Draining };

/// A proxy and the endpoint beside it, as the proxy reports them in every heartbeat.
///
/// Two registrations of one node are ordered by incarnation and sequence: a restart of the proxy draws a new
/// random incarnation, and within one incarnation `seq` rises with each change. Incarnations themselves have
/// no order; who compares them has to remember the previous one.
struct ProxyRegistration {
    std::string node;               ///< name of the proxy's machine; the key
    std::uint64_t incarnation = 0;  ///< random number, drawn at each start of the proxy's process
    std::uint64_t seq = 0;          ///< rises with each change within an incarnation
    std::string inbound_address;    ///< "ip:port" where other proxies connect
    std::string service, zone;
    std::string instance_id;  ///< the endpoint's id; empty if the proxy knows of none
    EndpointState state = EndpointState::Absent;
    std::uint32_t slots = 0;         ///< requests that the endpoint serves concurrently
    std::uint32_t cold_left_ms = 0;  ///< ms of warm-up (slow start) left when the heartbeat was sent
    bool lease_expired = false;      ///< set by the controller that reports it, never by the proxy
};

/// What a reader lacks, from the sequence number that it asked with to `seq`.
struct RegistryDelta {
    std::uint64_t epoch = 0;   ///< incarnation of the controller; sequence numbers count within it
    std::uint64_t seq = 0;     ///< of the registry when the delta was made; the reader asks with it next time
    bool is_snapshot = false;  ///< `registrations` are all that the controller has, not just the changed ones
    std::vector<ProxyRegistration> registrations;
    std::vector<std::string> removed_nodes;  ///< empty in a snapshot: what it does not name is not there
};

}  // namespace martenford::registry
