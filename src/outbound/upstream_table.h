// Translates the registry, as a caller's proxy sees it, into changes of its upstreams: which there are, and
// when attempts in flight at one are withdrawn.
//
// An upstream is one process of an inbound proxy beside one endpoint. If either restarts, that is another
// upstream with another id: what the caller knows of the old one (load, failures, passed-on attempts) does
// not hold for the new one.
//
// Pure: no I/O and no clock. Not thread safe; one event loop owns it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "outbound/outbound_policy.h"
#include "registry/registration.h"
#include "registry/registry_view.h"

namespace martenford::outbound {

class UpstreamTable {
  public:
    /// One step; to be carried out in the order given.
    struct Change {
        enum class Kind {
            Set,       ///< add the upstream, or update it
            Remove,    ///< send nothing new there; attempts in flight end by themselves
            Withdraw,  ///< its proxy is gone or its lease has expired: OutboundPolicy::withdraw()
        };
        Kind kind = Kind::Set;
        EndpointId id{};
        Upstream upstream{};            ///< Set only
        std::string inbound_address{};  ///< Set only: "ip:port"
        std::string instance_id{};      ///< Set only: the endpoint's id
        std::uint64_t incarnation = 0;  ///< Set only: of the inbound proxy's process
    };

    /// The changes that follow from the nodes that have changed in the registry (RegistryView::apply()).
    [[nodiscard]] std::vector<Change> apply(const registry::RegistryView& view,
                                            const std::vector<std::string>& nodes);

  private:
    struct Known {
        EndpointId id{};
        std::string key;  // identity of the upstream, see identity() in the source
        std::uint64_t incarnation = 0;
        bool lease_expired = false;
    };
    void remove_replaced(const registry::ProxyRegistration* registration, const std::string& node,
                         const std::string& key, std::vector<Change>& changes);
    void set(const registry::RegistryView::Entry& entry, const std::string& node, const std::string& key,
             std::vector<Change>& changes);

    std::map<std::string, Known> known_;  // by node
    std::uint32_t last_id_ = 0;
};

}  // namespace martenford::outbound
