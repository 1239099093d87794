// The section [fleet] of our own configuration.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace martenford::fleet {

/// Of the protocol; the same at all members, or their bounds don't add up.
struct ProtocolOptions {
    Duration probe_interval = 500ms;  ///< each member probes one other in this time
    Duration probe_timeout = 200ms;   ///< for a direct answer; then helpers are asked until the period ends
    std::size_t indirect_probes = 3;
    Duration gossip_interval = 200ms;
    std::size_t gossip_fanout = 3;
    /// A member that is silent for less than this is never called dead: stalls of a loop, a collector or a
    /// neighbour on the same core last so long.
    Duration stall_tolerance = 2s;
    /// The same where nobody listens at its address any more: a process that stalls still listens.
    Duration not_listening_tolerance = 700ms;
    Duration sync_interval = 15s;  ///< digests are compared with one other
    /// One that is dead is called: it may be a healed link. A seed that is not here too, more often at first.
    Duration reconnect_interval = 3s;
    /// Lifeguard's first part, and distrust of oneself after a stall; off only to measure what they are
    /// worth.
    bool local_health = true;
    Duration forget_after = 120s;  ///< the dead and those that left
};

struct Options {
    std::string name;                    ///< of the fleet; one of another name is not spoken to
    std::string listen;                  ///< "127.0.0.1:7400"; port 0: any
    std::string advertise;               ///< where the others reach it; empty: as it listens
    std::vector<std::string> seeds;      ///< members to begin with; it may be one of them
    std::vector<std::string> permitted;  ///< addresses, without ports, that may connect; none: loopback's
    ProtocolOptions protocol;
    std::size_t max_links = 32;                 ///< connections to and from others, beside those of clients
    std::size_t max_queued_bytes = 256 * 1024;  ///< bytes that wait on one link
};

}  // namespace martenford::fleet
