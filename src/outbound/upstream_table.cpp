#include "outbound/upstream_table.h"

namespace martenford::outbound {

using Kind = UpstreamTable::Change::Kind;

std::vector<UpstreamTable::Change> UpstreamTable::apply(const registry::RegistryView& view,
                                                        const std::vector<std::string>& nodes) {
    std::vector<Change> steps;
    for (const std::string& node : nodes) {
        const auto known = view.entries().find(node);
        const registry::ProxyRegistration* place =
            known == view.entries().end() ? nullptr : &known->second.registration;
        const bool there =
            place && !place->instance_id.empty() && place->state != registry::EndpointState::Absent;
        // Another process beside the same endpoint is another gate: what the last one knew is lost.
        const std::string key = there ? place->inbound_address + " " + place->instance_id + " " +
                                            place->service + " " + std::to_string(place->incarnation)
                                      : "";
        const auto held = known_.find(node);
        if (held != known_.end() && held->second.key != key) {
            // A proxy that lives and says that its endpoint leaves still answers for what is out there.
            // Guards against breaking off work of a proxy that ends in order.
            if (!place || place->incarnation != held->second.incarnation)
                steps.push_back({Kind::Withdraw, held->second.id});
            steps.push_back({Kind::Remove, held->second.id});
            known_.erase(held);
        }
        if (!there) continue;
        Known& now = known_[node];
        if (now.key.empty()) now = {EndpointId{++last_id_}, key, place->incarnation, false};
        const bool silent = known->second.lease_expired;
        steps.push_back(
            {Kind::Set,
             now.id,
             {place->service, place->zone, place->state == registry::EndpointState::Ready, silent},
             place->inbound_address,
             place->instance_id,
             place->incarnation});
        if (silent && !now.lease_expired) steps.push_back({Kind::Withdraw, now.id});
        now.lease_expired = silent;
    }
    return steps;
}

}  // namespace martenford::outbound
