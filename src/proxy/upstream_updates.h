// Applies changes of the registry to all that a proxy keeps of each upstream: its connections, the hop
// protocol and the load balancing policy.
#pragma once

#include <string>
#include <vector>

#include "core/endpoint_table.h"
#include "outbound/outbound_policy.h"
#include "outbound/upstream_table.h"
#include "proxy/outbound_protocol.h"
#include "registry/registry.h"

namespace martenford::proxy {

class UpstreamUpdates {
  public:
    /// What follows for requests that are in flight.
    enum class Effect {
        None,
        /// Requests at an upstream that is gone may go elsewhere: the engine is to let the policy decide now.
        RequestsWithdrawn
    };

    /// @param connections to the other proxies. All three outlive this object.
    UpstreamUpdates(EndpointTable& connections, HopClientProtocol& hop, outbound::OutboundPolicy& policy)
        : connections_(connections), hop_(hop), policy_(policy) {}

    /// Applies the entries of `nodes`, which have changed in `view`.
    [[nodiscard]] Effect apply(const registry::RegistryView& view, const std::vector<std::string>& nodes);

  private:
    void set(const outbound::UpstreamTable::Change& change);
    void remove(EndpointId id);

    EndpointTable& connections_;
    HopClientProtocol& hop_;
    outbound::OutboundPolicy& policy_;
    outbound::UpstreamTable table_;
};

}  // namespace martenford::proxy
