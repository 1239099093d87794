#include "registry/registry.h"

#include <algorithm>

namespace martenford::registry {

namespace {
// Bytes of each name and address in a registration; bounds the memory of an entry.
constexpr std::size_t kMaxTextBytes = 256;
// Removals that are remembered for deltas; bounds their memory. A reader that is further behind gets a
// snapshot.
constexpr std::size_t kMaxRememberedRemovals = 1000;
// A registry that was not ticked for this long did not read heartbeats either: its process was suspended.
constexpr Duration kMaxTickGap = 700ms;

bool has_valid_lengths(const ProxyRegistration& registration) {
    const auto fits = [](const std::string& text) { return text.size() <= kMaxTextBytes; };
    return fits(registration.node) && fits(registration.inbound_address) && fits(registration.service) &&
           fits(registration.zone) && fits(registration.instance_id);
}

}  // namespace

void Registry::mark_changed(Lease& lease) {
    lease.changed_at_seq = ++seq_;
}

bool Registry::add(Time now, const ProxyRegistration& registration) {
    if (leases_.size() >= options_.max_proxies) {
        ++rejected_count_;
        return false;
    }
    Lease& lease = leases_.emplace(registration.node, Lease{registration, now, 0, 0}).first->second;
    lease.registration.lease_expired = false;
    mark_changed(lease);
    return true;
}

bool Registry::renew_lease(Time now, const ProxyRegistration& registration) {
    if (!has_valid_lengths(registration)) {
        ++rejected_count_;
        return false;
    }
    const auto known = leases_.find(registration.node);
    if (known == leases_.end()) return add(now, registration);

    Lease& lease = known->second;
    const bool same_incarnation = registration.incarnation == lease.registration.incarnation;
    // A heartbeat that was delayed until after the proxy's restart.
    if (!same_incarnation && registration.incarnation == lease.previous_incarnation) return false;
    if (same_incarnation && registration.seq < lease.registration.seq) return false;

    lease.renewed_at = now;
    const bool changed =
        !same_incarnation || registration.seq > lease.registration.seq || lease.registration.lease_expired;
    if (!changed) return false;
    if (!same_incarnation) lease.previous_incarnation = lease.registration.incarnation;
    lease.registration = registration;
    lease.registration.lease_expired = false;
    mark_changed(lease);
    return true;
}

/// After a suspension of this process the leases' ages say nothing about the proxies.
void Registry::forgive_suspension(Time now) {
    for (auto& [node, lease] : leases_) {
        lease.renewed_at = std::max(lease.renewed_at, now - options_.lease / 2);
    }
}

bool Registry::tick(Time now) {
    if (last_tick_ != Time{} && now - last_tick_ > kMaxTickGap) forgive_suspension(now);
    last_tick_ = now;
    const std::uint64_t seq_before = seq_;
    for (auto it = leases_.begin(); it != leases_.end();) {
        Lease& lease = it->second;
        if (now - lease.renewed_at > options_.remove_after) {
            removed_by_seq_[++seq_] = it->first;
            it = leases_.erase(it);
            continue;
        }
        if (!lease.registration.lease_expired && now - lease.renewed_at > options_.lease) {
            lease.registration.lease_expired = true;
            mark_changed(lease);
        }
        ++it;
    }
    trim_removals();
    return seq_ != seq_before;
}

void Registry::trim_removals() {
    while (removed_by_seq_.size() > kMaxRememberedRemovals) {
        removals_forgotten_up_to_ = removed_by_seq_.begin()->first;
        removed_by_seq_.erase(removed_by_seq_.begin());
    }
}

std::size_t Registry::live_count() const {
    return static_cast<std::size_t>(std::count_if(leases_.begin(), leases_.end(), [](const auto& entry) {
        return !entry.second.registration.lease_expired;
    }));
}

RegistryDelta Registry::delta_since(std::uint64_t epoch, std::uint64_t seq) const {
    RegistryDelta delta;
    delta.epoch = epoch_;
    delta.seq = seq_;
    delta.is_snapshot = epoch != epoch_ || seq < removals_forgotten_up_to_ || seq > seq_;
    for (const auto& [node, lease] : leases_) {
        if (delta.is_snapshot || lease.changed_at_seq > seq)
            delta.registrations.push_back(lease.registration);
    }
    if (delta.is_snapshot) return delta;
    for (auto it = removed_by_seq_.upper_bound(seq); it != removed_by_seq_.end(); ++it) {
        const bool came_back = leases_.contains(it->second);
        if (!came_back) delta.removed_nodes.push_back(it->second);
    }
    return delta;
}

}  // namespace martenford::registry
