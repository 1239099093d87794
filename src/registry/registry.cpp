#include "registry/registry.h"

#include <algorithm>

namespace martenford::registry {

namespace {
constexpr std::size_t kMostText = 256;   // bytes of a name or an address
constexpr std::size_t kMostGone = 1000;  // remembered removals
constexpr Duration kStoodStill = 700ms;  // a registry not ticked for so long was not listening either
}  // namespace

void Registry::mark_changed(Lease& held) {
    held.changed_at_seq = ++seq_;
}

bool Registry::renew_lease(Time now, const ProxyRegistration& place) {
    for (const std::string* text :
         {&place.node, &place.inbound_address, &place.service, &place.zone, &place.instance_id}) {
        if (text->size() <= kMostText) continue;
        ++rejected_count_;
        return false;
    }
    auto it = leases_.find(place.node);
    if (it == leases_.end()) {
        if (leases_.size() >= options_.max_proxies) {
            ++rejected_count_;
            return false;
        }
        it = leases_.emplace(place.node, Lease{place, now, 0, 0}).first;
        it->second.registration.lease_expired = false;
        mark_changed(it->second);
        return true;
    }
    Lease& held = it->second;
    if (place.incarnation == held.previous_incarnation && place.incarnation != held.registration.incarnation)
        return false;  // late word of an earlier life
    const bool same_life = place.incarnation == held.registration.incarnation;
    if (same_life && place.seq < held.registration.seq) return false;
    held.renewed_at = now;
    const bool changed = !same_life || place.seq > held.registration.seq || held.registration.lease_expired;
    if (!changed) return false;
    if (!same_life) held.previous_incarnation = held.registration.incarnation;
    held.registration = place;
    held.registration.lease_expired = false;
    mark_changed(held);
    return true;
}

bool Registry::tick(Time now) {
    // Guards against taking our own standstill for everybody's silence.
    if (last_tick_ != Time{} && now - last_tick_ > kStoodStill) {
        for (auto& [node, held] : leases_)
            held.renewed_at = std::max(held.renewed_at, now - options_.lease / 2);
    }
    last_tick_ = now;
    const auto before = seq_;
    for (auto it = leases_.begin(); it != leases_.end();) {
        Lease& held = it->second;
        if (now - held.renewed_at > options_.remove_after) {
            removed_by_seq_[++seq_] = it->first;
            it = leases_.erase(it);
            continue;
        }
        if (!held.registration.lease_expired && now - held.renewed_at > options_.lease) {
            held.registration.lease_expired = true;
            mark_changed(held);
        }
        ++it;
    }
    while (removed_by_seq_.size() > kMostGone) {
        removals_forgotten_up_to_ = removed_by_seq_.begin()->first;
        removed_by_seq_.erase(removed_by_seq_.begin());
    }
    return seq_ != before;
}

std::size_t Registry::live_count() const {
    return static_cast<std::size_t>(std::count_if(
        leases_.begin(), leases_.end(), [](const auto& h) { return !h.second.registration.lease_expired; }));
}

RegistryDelta Registry::delta_since(std::uint64_t epoch, std::uint64_t seq) const {
    RegistryDelta news{
        epoch_, seq_, epoch != epoch_ || seq < removals_forgotten_up_to_ || seq > seq_, {}, {}};
    for (const auto& [node, held] : leases_) {
        if (news.is_snapshot || held.changed_at_seq > seq) news.registrations.push_back(held.registration);
    }
    if (!news.is_snapshot) {
        for (auto it = removed_by_seq_.upper_bound(seq); it != removed_by_seq_.end(); ++it) {
            if (!leases_.contains(it->second)) news.removed_nodes.push_back(it->second);
        }
    }
    return news;
}

bool RegistryView::update_expiry(Entry& known) {
    const bool silent = !known.known_at.empty() && known.expired_at.size() >= known.known_at.size();
    return std::exchange(known.lease_expired, silent) != silent;
}

std::vector<std::string> RegistryView::apply(Time now, const std::string& controller,
                                             const RegistryDelta& news) {
    std::vector<std::string> changed;
    std::set<std::string> named;
    for (const ProxyRegistration& place : news.registrations) {
        if (news.is_snapshot) named.insert(place.node);
        const auto [it, fresh] = entries_.try_emplace(place.node);
        Entry& known = it->second;
        // Late word of a life that is over, from a controller that has not heard of the next one yet. Guards
        // against taking back what is out at the one that lives.
        if (!fresh && place.incarnation == known.previous_incarnation &&
            place.incarnation != known.registration.incarnation)
            continue;
        known.known_at.insert(controller);
        if (place.lease_expired) {
            known.expired_at.insert(controller);
        } else {
            known.expired_at.erase(controller);
        }
        const bool same_life = place.incarnation == known.registration.incarnation;
        // Of two lives the one that somebody hears is the later one.
        const bool newer = fresh || (same_life ? place.seq > known.registration.seq
                                               : !place.lease_expired || known.lease_expired);
        if (newer) {
            if (!same_life) {
                known.previous_incarnation = known.registration.incarnation;
                known.known_at = {controller};
                known.expired_at.clear();
                if (place.lease_expired) known.expired_at.insert(controller);
            }
            known.registration = place;
            known.updated_at = now;
        }
        if (update_expiry(known) || newer) changed.push_back(place.node);
    }
    const auto forget = [&](const std::string& node) {
        const auto it = entries_.find(node);
        if (it == entries_.end() || it->second.known_at.erase(controller) == 0) return;
        it->second.expired_at.erase(controller);
        if (it->second.known_at.empty()) {
            entries_.erase(it);
            changed.push_back(node);
        } else if (update_expiry(it->second)) {
            changed.push_back(node);
        }
    };
    for (const std::string& node : news.removed_nodes) forget(node);
    if (news.is_snapshot) {
        std::vector<std::string> lacking;
        for (const auto& [node, known] : entries_) {
            if (known.known_at.contains(controller) && !named.contains(node)) lacking.push_back(node);
        }
        // A controller that has just begun knows few: what others told of them stays, and so does what only
        // this one told, until it has had the time to hear of them anew.
        for (const std::string& node : lacking) {
            Entry& known = entries_.at(node);
            if (known.known_at.size() > 1) forget(node);
        }
    }
    return changed;
}

std::vector<std::string> RegistryView::remove_controller(const std::string& controller) {
    std::vector<std::string> changed;
    for (auto& [node, known] : entries_) {
        // The last to know a place keeps it known: a proxy that hears nobody goes on with what it had.
        if (known.known_at.size() > 1 && known.known_at.erase(controller) > 0) {
            known.expired_at.erase(controller);
            if (update_expiry(known)) changed.push_back(node);
        }
    }
    return changed;
}

}  // namespace martenford::registry
