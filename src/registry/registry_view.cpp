#include "registry/registry_view.h"

#include <utility>

namespace martenford::registry {

/// Returns true if the entry's expiry changed.
bool RegistryView::update_expiry(Entry& entry) {
    const bool expired = !entry.known_at.empty() && entry.expired_at.size() >= entry.known_at.size();
    return std::exchange(entry.lease_expired, expired) != expired;
}

/// Returns true if the entry changed.
bool RegistryView::merge(Time now, const std::string& controller, const ProxyRegistration& registration) {
    const auto [it, added] = entries_.try_emplace(registration.node);
    Entry& entry = it->second;
    const bool same_incarnation = registration.incarnation == entry.registration.incarnation;
    // A controller that has not heard of the proxy's restart yet. Taking it for another restart would
    // withdraw the requests in flight at the process that runs now.
    if (!added && !same_incarnation && registration.incarnation == entry.previous_incarnation) return false;

    entry.known_at.insert(controller);
    if (registration.lease_expired) {
        entry.expired_at.insert(controller);
    } else {
        entry.expired_at.erase(controller);
    }
    // Incarnations have no order: of two, the one that is heard within its lease is the later one.
    const bool newer_incarnation = !same_incarnation && (!registration.lease_expired || entry.lease_expired);
    const bool newer_change = same_incarnation && registration.seq > entry.registration.seq;
    const bool newer = added || newer_incarnation || newer_change;
    if (newer) {
        if (!same_incarnation) {
            entry.previous_incarnation = entry.registration.incarnation;
            entry.known_at = {controller};
            entry.expired_at.clear();
            if (registration.lease_expired) entry.expired_at.insert(controller);
        }
        entry.registration = registration;
        entry.updated_at = now;
    }
    const bool expiry_changed = update_expiry(entry);
    return expiry_changed || newer;
}

/// The controller does not have the node any more. Returns true if the entry changed or was removed.
bool RegistryView::forget(const std::string& controller, const std::string& node) {
    const auto it = entries_.find(node);
    if (it == entries_.end()) return false;
    Entry& entry = it->second;
    if (entry.known_at.erase(controller) == 0) return false;
    entry.expired_at.erase(controller);
    if (!entry.known_at.empty()) return update_expiry(entry);
    entries_.erase(it);
    return true;
}

std::vector<std::string> RegistryView::missing_in_snapshot(const std::string& controller,
                                                           const RegistryDelta& snapshot) const {
    std::set<std::string> named;
    for (const ProxyRegistration& registration : snapshot.registrations) named.insert(registration.node);
    std::vector<std::string> missing;
    for (const auto& [node, entry] : entries_) {
        if (entry.known_at.contains(controller) && !named.contains(node)) missing.push_back(node);
    }
    return missing;
}

std::vector<std::string> RegistryView::apply(Time now, const std::string& controller,
                                             const RegistryDelta& delta) {
    std::vector<std::string> changed;
    for (const ProxyRegistration& registration : delta.registrations) {
        if (merge(now, controller, registration)) changed.push_back(registration.node);
    }
    for (const std::string& node : delta.removed_nodes) {
        if (forget(controller, node)) changed.push_back(node);
    }
    if (!delta.is_snapshot) return changed;
    for (const std::string& node : missing_in_snapshot(controller, delta)) {
        // A controller that has just started knows few proxies. What it alone knew before stays, until it has
        // had the time to hear the heartbeats anew.
        const bool known_elsewhere = entries_.at(node).known_at.size() > 1;
        if (known_elsewhere && forget(controller, node)) changed.push_back(node);
    }
    return changed;
}

std::vector<std::string> RegistryView::remove_controller(const std::string& controller) {
    std::vector<std::string> changed;
    for (auto& [node, entry] : entries_) {
        // The last controller that knows an entry stays named in it, so that the entry stays.
        if (entry.known_at.size() <= 1 || entry.known_at.erase(controller) == 0) continue;
        entry.expired_at.erase(controller);
        if (update_expiry(entry)) changed.push_back(node);
    }
    return changed;
}

}  // namespace martenford::registry
