#include "proxy/upstream_updates.h"

#include "core/address.h"

namespace martenford::proxy {

UpstreamUpdates::Effect UpstreamUpdates::apply(const registry::RegistryView& view,
                                               const std::vector<std::string>& nodes) {
    using Kind = outbound::UpstreamTable::Change::Kind;
    Effect effect = Effect::None;
    for (const auto& change : table_.apply(view, nodes)) {
        switch (change.kind) {
            case Kind::Set:
                set(change);
                break;
            case Kind::Remove:
                remove(change.id);
                break;
            case Kind::Withdraw:
                policy_.withdraw(change.id);
                effect = Effect::RequestsWithdrawn;
                break;
        }
    }
    return effect;
}

void UpstreamUpdates::set(const outbound::UpstreamTable::Change& change) {
    // The address is what another proxy reported; one that can't be parsed can't be connected to.
    const auto address = parse_address(change.inbound_address);
    if (!address) return;
    hop_.set_upstream(change.id, change.instance_id, change.incarnation);
    connections_.set_endpoint(change.id, *address, true);
    policy_.set_upstream(change.id, change.upstream);
}

void UpstreamUpdates::remove(EndpointId id) {
    connections_.remove(id);
    hop_.remove_upstream(id);
    policy_.remove_upstream(id);
}

}  // namespace martenford::proxy
