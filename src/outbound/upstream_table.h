// What the registry mean for a caller's proxy: which gates there are, and when work that is out at one is
// taken back. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "outbound/outbound_policy.h"
#include "registry/registry.h"

namespace martenford::outbound {

class UpstreamTable {
  public:
    struct Change {
        enum class Kind {
            Set,       ///< there is this gate, as it is told here
            Remove,    ///< nothing new goes there; what is out there ends by itself
            Withdraw,  ///< what is out there and may be repeated goes elsewhere: its proxy is dead or silent
        };
        Kind kind = Kind::Set;
        EndpointId id{};
        Upstream upstream{};            ///< Place
        std::string inbound_address{};  ///< Place: "ip:port"
        std::string instance_id{};      ///< Place: the endpoint's id
        std::uint64_t incarnation = 0;  ///< Place: of the proxy's process
    };
    /// The nodes have changed in the registry.
    std::vector<Change> apply(const registry::RegistryView& view, const std::vector<std::string>& nodes);

  private:
    struct Known {
        EndpointId id{};
        std::string key;
        std::uint64_t incarnation = 0;
        bool lease_expired = false;
    };
    std::map<std::string, Known> known_;
    std::uint32_t last_id_ = 0;
};

}  // namespace martenford::outbound
