#include "outbound/upstream_table.h"

namespace martenford::outbound {

using Kind = UpstreamTable::Change::Kind;
using registry::EndpointState;
using registry::ProxyRegistration;

namespace {

/// What makes an upstream another one if it changes. Empty if there is no endpoint.
std::string identity(const ProxyRegistration* registration) {
    if (registration == nullptr || registration->instance_id.empty()) return "";
    if (registration->state == EndpointState::Absent) return "";
    return registration->inbound_address + " " + registration->instance_id + " " + registration->service +
           " " + std::to_string(registration->incarnation);
}

}  // namespace

void UpstreamTable::remove_replaced(const ProxyRegistration* registration, const std::string& node,
                                    const std::string& key, std::vector<Change>& changes) {
    const auto known = known_.find(node);
    if (known == known_.end() || known->second.key == key) return;
    // The same process that reports its endpoint as gone still answers for the attempts in flight there: they
    // are not withdrawn. Work of a proxy that shuts down in order would run twice otherwise.
    const bool same_process =
        registration != nullptr && registration->incarnation == known->second.incarnation;
    if (!same_process) changes.push_back({Kind::Withdraw, known->second.id});
    changes.push_back({Kind::Remove, known->second.id});
    known_.erase(known);
}

void UpstreamTable::set(const registry::RegistryView::Entry& entry, const std::string& node,
                        const std::string& key, std::vector<Change>& changes) {
    const ProxyRegistration& registration = entry.registration;
    Known& known = known_[node];
    if (known.key.empty()) known = {EndpointId{++last_id_}, key, registration.incarnation, false};
    Upstream upstream;
    upstream.service = registration.service;
    upstream.zone = registration.zone;
    upstream.ready = registration.state == EndpointState::Ready;
    upstream.lease_expired = entry.lease_expired;
    changes.push_back({Kind::Set, known.id, upstream, registration.inbound_address, registration.instance_id,
                       registration.incarnation});
    if (entry.lease_expired && !known.lease_expired) changes.push_back({Kind::Withdraw, known.id});
    known.lease_expired = entry.lease_expired;
}

std::vector<UpstreamTable::Change> UpstreamTable::apply(const registry::RegistryView& view,
                                                        const std::vector<std::string>& nodes) {
    std::vector<Change> changes;
    for (const std::string& node : nodes) {
        const auto entry = view.entries().find(node);
        const ProxyRegistration* registration =
            entry == view.entries().end() ? nullptr : &entry->second.registration;
        const std::string key = identity(registration);
        remove_replaced(registration, node, key, changes);
        if (!key.empty()) set(entry->second, node, key, changes);
    }
    return changes;
}

}  // namespace martenford::outbound
