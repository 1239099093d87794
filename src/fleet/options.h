// The [fleet] section of the sidecar's own configuration.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::fleet {

/// Protocol parameters. They must be equal on all members, or the bounds on detection times don't hold.
struct ProtocolOptions {
    Duration probe_interval = 500ms;  ///< time between probes of one member
    /// Wait for a direct ack. After it, indirect probes are sent until the probe interval ends.
    Duration probe_timeout = 200ms;
    std::size_t indirect_probes = 3;
    Duration gossip_interval = 200ms;
    std::size_t gossip_fanout = 3;
    /// A member that is silent for less than this is never declared dead. Event-loop stalls, garbage
    /// collectors and noisy neighbours on the same core last that long.
    Duration stall_tolerance = 2s;
    /// The same for a member at whose address nobody listens any more: a stalled process still listens.
    Duration not_listening_tolerance = 700ms;
    Duration sync_interval = 15s;  ///< time between digest comparisons with a random member
    /// How often a dead member is dialled, because its link may have healed. Seeds that are not live members
    /// are dialled too, more often at first.
    Duration reconnect_interval = 3s;
    /// Lifeguard's local health awareness, and the suspension of suspicions after a stall of this process.
    /// Turned off only to measure their effect.
    bool local_health = true;
    Duration forget_after = 120s;  ///< how long dead and left members are remembered
};

struct Options {
    std::string name;                    ///< fleet name; members of other fleets are rejected
    std::string listen;                  ///< such as "127.0.0.1:7400"; port 0: any free port
    std::string advertise;               ///< address told to other members; empty: the listen address
    std::vector<std::string> seeds;      ///< members to join through; may include this one
    std::vector<std::string> permitted;  ///< IP addresses that may connect; empty: loopback only
    ProtocolOptions protocol;
    std::size_t max_links = 32;  ///< connections to and from other members, apart from client connections
    std::size_t max_queued_bytes = 256 * 1024;  ///< limit on the send queue of one link
};

}  // namespace martenford::fleet
