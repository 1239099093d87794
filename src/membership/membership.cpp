#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace martenford {

using decision::Availability;
using decision::DiscoveryUpdate;
using decision::EndpointList;

namespace {
constexpr Duration kIdReuseDelay = 60s;  // longer than any attempt that may still refer to the id
/// Hints may take out of use at most the ready endpoints divided by this: however many sidecars are wrong,
/// half remain.
constexpr std::size_t kHintedDivisor = 2;
constexpr std::size_t kMaxReservedIds = 200'000;  // 10,000 endpoints replaced every 3 s
}  // namespace

std::uint32_t uid_hash(const std::string& uid) {
    std::uint32_t value = 2166136261u;
    for (const char c : uid) value = (value ^ static_cast<unsigned char>(c)) * 16777619u;
    return value;
}

bool IdSet::insert(std::uint32_t id) {
    auto& bucket = ids_[id >> 24];
    const auto position = std::lower_bound(bucket.begin(), bucket.end(), id);
    if (position != bucket.end() && *position == id) return false;
    bucket.insert(position, id);
    return true;
}

void IdSet::erase(std::uint32_t id) {
    auto& bucket = ids_[id >> 24];
    const auto position = std::lower_bound(bucket.begin(), bucket.end(), id);
    if (position != bucket.end() && *position == id) bucket.erase(position);
}

std::optional<EndpointId> Membership::id_of(const std::string& uid) const {
    const auto it = known_.find(uid);
    return it == known_.end() ? std::nullopt : std::optional(it->second.id);
}

std::optional<std::string> Membership::uid_of(EndpointId id) const {
    for (const auto& [uid, known] : known_) {
        if (known.id == id) return uid;
    }
    return std::nullopt;
}

/// The id is the uid's hash. If two uids collide, the one that came second hashes its uid with the number of
/// the attempt appended. Which one came first may differ between sidecars; then these two endpoints have
/// other places in their rings, and nothing else changes.
EndpointId Membership::assign_id(const std::string& uid) {
    if (const auto reserved = reserved_ids_.find(uid); reserved != reserved_ids_.end()) {
        const EndpointId id = reserved->second.id;
        reserved_ids_.erase(reserved);
        return id;  // still in used_ids_
    }
    std::uint32_t id = uid_hash(uid);
    for (int attempt = 1; !used_ids_.insert(id); ++attempt) {
        if (attempt == 1) ++stats_.hash_collisions;
        id = uid_hash(uid + '#' + std::to_string(attempt));
    }
    return EndpointId{id};
}

void Membership::release_reserved_ids(Time now) {
    while (!reservation_ends_.empty() &&
           (reservation_ends_.front().first <= now || reservation_ends_.size() > kMaxReservedIds)) {
        const auto [until, uid] = std::move(reservation_ends_.front());
        reservation_ends_.pop_front();
        const auto it = reserved_ids_.find(uid);
        // The uid may have returned and gone again, with a later end.
        if (it == reserved_ids_.end() || it->second.until != until) continue;
        if (until > now) ++stats_.early_id_releases;
        used_ids_.erase(static_cast<std::uint32_t>(it->second.id));
        reserved_ids_.erase(it);
    }
}

void Membership::upsert(const Target& target, Time now, Time epoch, EndpointList& changes, Update& update) {
    if (target.endpoint.availability == Availability::Gone) return remove(target.uid, now, changes, update);
    auto it = known_.find(target.uid);
    const bool is_new = it == known_.end();
    if (is_new) {
        it = known_.emplace(target.uid, KnownEndpoint{}).first;
        it->second.id = assign_id(target.uid);
    }
    KnownEndpoint& known = it->second;
    const auto started = known.endpoint.started;
    const bool was_ready = !is_new && known.endpoint.availability == Availability::Ready;
    if (was_ready) --ready_;
    known.endpoint = target.endpoint;
    known.endpoint.id = known.id;
    // Converted once per start: another reading of the two clocks would give another time, which the decision
    // module would take for a new start.
    if (is_new || known.boot_ms != target.boot_ms) {
        known.boot_ms = target.boot_ms;
        if (target.boot_ms) known.endpoint.started = epoch + std::chrono::milliseconds(target.boot_ms);
    } else {
        known.endpoint.started = started;
    }
    known.address = target.address;
    if (target.endpoint.availability == Availability::Ready) {
        ++ready_;
    } else if (was_ready) {
        update.drained.push_back({target.uid, known.boot_ms});
    }
    if (pending_removals_.erase(target.uid) > 0) ++stats_.relisted;
    add_change(it->first, known, changes, update);
}

/// `uid` must be a key of known_: the update refers to it until the next list.
void Membership::add_change(const std::string& uid, const KnownEndpoint& known, EndpointList& changes,
                            Update& update) {
    const decision::Endpoint endpoint = effective(uid, known);
    changes.push_back(endpoint);
    update.placed.push_back({known.id, known.address, endpoint.availability == Availability::Ready, &uid});
}

bool Membership::is_hint_current(const KnownEndpoint& known,
                                 const EndpointOverride& endpoint_override) const {
    return endpoint_override.drain_hint && known.boot_ms == endpoint_override.drain_hint->boot_ms &&
           known.endpoint.availability == Availability::Ready && revision_ &&
           endpoint_override.drain_hint->revision > *revision_;
}

decision::Endpoint Membership::effective(const std::string& uid, const KnownEndpoint& known) {
    decision::Endpoint endpoint = known.endpoint;
    if (endpoint_overrides_.empty()) return endpoint;
    const auto it = endpoint_overrides_.find(uid);
    const bool hinted = it != endpoint_overrides_.end() && is_hint_current(known, it->second);
    if (!hinted) {
        hinted_.erase(uid);
    } else if (!hinted_.contains(uid) && (hinted_.size() + 1) * kHintedDivisor <= ready_) {
        hinted_.insert(uid);
        ++stats_.hinted;
    }
    if (it == endpoint_overrides_.end() || endpoint.availability != Availability::Ready) return endpoint;
    if (it->second.excluded || it->second.weight <= 0.0 || hinted_.contains(uid)) {
        endpoint.availability = Availability::Draining;
    } else {
        endpoint.weight *= it->second.weight;
    }
    return endpoint;
}

Membership::Update Membership::set_endpoint_override(const std::string& uid,
                                                     const EndpointOverride& endpoint_override) {
    Update update;
    update.discovered.kind = DiscoveryUpdate::Kind::Failed;
    const auto known = known_.find(uid);
    std::optional<decision::Endpoint> before;
    if (known != known_.end()) before = effective(uid, known->second);
    if (endpoint_override == EndpointOverride{}) {
        endpoint_overrides_.erase(uid);
        hinted_.erase(uid);
    } else {
        endpoint_overrides_[uid] = endpoint_override;
    }
    if (!before) return update;
    const decision::Endpoint after = effective(uid, known->second);
    if (after.availability == before->availability && after.weight == before->weight) return update;
    auto changes = std::make_shared<EndpointList>();
    add_change(known->first, known->second, *changes, update);
    update.discovered.kind = DiscoveryUpdate::Kind::Delta;
    update.discovered.endpoints = std::move(changes);
    return update;
}

void Membership::remove(const std::string& uid, Time now, EndpointList& changes, Update& update) {
    pending_removals_.erase(uid);
    const auto it = known_.find(uid);
    if (it == known_.end()) return;
    if (it->second.endpoint.availability == Availability::Ready) {
        --ready_;
        update.drained.push_back({uid, it->second.boot_ms});
    }
    hinted_.erase(uid);
    decision::Endpoint gone = it->second.endpoint;
    gone.availability = Availability::Gone;
    gone.started.reset();
    changes.push_back(gone);
    update.removed.push_back(gone.id);
    reserved_ids_.insert_or_assign(uid, IdReservation{gone.id, now + kIdReuseDelay});
    reservation_ends_.emplace_back(now + kIdReuseDelay, uid);
    known_.erase(it);
}

bool Membership::exceeds_removal_limit(std::size_t removals) const {
    if (options_.removal_delay <= Duration{} || options_.max_removal_share >= 1.0) return false;
    const std::size_t all = removals + pending_removals_.size();
    return all >= options_.min_checked_removals &&
           static_cast<double>(all) > options_.max_removal_share * static_cast<double>(ready_);
}

Membership::Update Membership::apply_list(const TargetList& list, bool cached, Time now, Time epoch) {
    Update update;
    update.discovered.kind = DiscoveryUpdate::Kind::Failed;
    release_reserved_ids(now);
    const bool full = list.all || cached;
    if (!full && !revision_) {
        update.need_full_list = true;
        update.log_text = "a delta came without a current list";
        return update;
    }
    // An outdated answer, or a discovery that restarted its revisions: it is not newer than the current list.
    if (!full && list.revision < *revision_) {
        ++stats_.stale_lists;
        update.need_full_list = true;
        update.log_text = "delta of revision " + std::to_string(list.revision) +
                          " is older than the current revision " + std::to_string(*revision_) +
                          "; the full list is requested";
        revision_.reset();
        return update;
    }

    // Sorted, so that the result does not depend on the order of a hash table.
    std::vector<std::string> removals;
    if (full) {
        std::unordered_set<std::string_view> listed;
        listed.reserve(list.targets.size() + list.unreadable.size());
        for (const Target& target : list.targets) {
            if (target.endpoint.availability != Availability::Gone) listed.insert(target.uid);
        }
        // Unreadable entries leave their endpoints unchanged.
        for (const std::string& uid : list.unreadable) listed.insert(uid);
        for (const auto& [uid, known] : known_) {
            if (!listed.contains(uid)) removals.push_back(uid);
        }
    } else {
        for (const Target& target : list.targets) {
            if (target.endpoint.availability == Availability::Gone && known_.contains(target.uid)) {
                removals.push_back(target.uid);
            }
        }
    }
    std::sort(removals.begin(), removals.end());
    removals.erase(std::unique(removals.begin(), removals.end()), removals.end());

    // A second full list with the same removals confirms them; deltas can only add to the pending ones.
    bool delay_removals = false;
    if (!(full && removals_due_)) {
        const auto serving = static_cast<std::size_t>(
            std::count_if(removals.begin(), removals.end(), [&](const std::string& uid) {
                return !pending_removals_.contains(uid) &&
                       known_.at(uid).endpoint.availability == Availability::Ready;
            }));
        delay_removals = serving > 0 && exceeds_removal_limit(serving);
    }
    if (delay_removals) {
        ++stats_.delayed_lists;
        update.need_full_list = true;
        update.log_text = "a list removes " + std::to_string(removals.size()) + " of " +
                          std::to_string(ready_) + " endpoints; the removals are delayed for " +
                          std::to_string(options_.removal_delay / 1ms) + " ms";
        pending_removals_.insert(removals.begin(), removals.end());
        // Never later than the due time of the first removals: no endpoint is used longer than promised.
        removals_due_ = std::min(removals_due_.value_or(Time::max()), now + options_.removal_delay);
    }

    revision_ = list.revision;
    const std::vector<std::string> previously_hinted(hinted_.begin(), hinted_.end());
    auto changes = std::make_shared<EndpointList>();
    changes->reserve(list.targets.size());
    const bool confirmed = full && !delay_removals;
    if (full) {
        for (const std::string& uid : removals) {
            if (!delay_removals) remove(uid, now, *changes, update);
        }
        // A full list replaces the decision module's, so it must contain endpoints with pending removals and
        // those whose entries were unreadable.
        std::vector<std::string> kept(list.unreadable);
        if (delay_removals) kept.insert(kept.end(), removals.begin(), removals.end());
        for (const std::string& uid : kept) {
            if (const auto it = known_.find(uid); it != known_.end())
                changes->push_back(effective(it->first, it->second));
        }
    }
    for (const Target& target : list.targets) {
        if (target.endpoint.availability == Availability::Gone && delay_removals) continue;
        upsert(target, now, epoch, *changes, update);
    }
    if (confirmed || pending_removals_.empty()) {
        pending_removals_.clear();
        removals_due_.reset();
    }
    // Discovery's list is now as new as the hint: discovery decides again.
    for (const std::string& uid : previously_hinted) {
        const auto it = known_.find(uid);
        if (it == known_.end() || !hinted_.contains(uid) ||
            is_hint_current(it->second, endpoint_overrides_.at(uid)))
            continue;
        add_change(it->first, it->second, *changes, update);
    }
    update.discovered.kind = cached     ? DiscoveryUpdate::Kind::Cached
                             : list.all ? DiscoveryUpdate::Kind::Full
                                        : DiscoveryUpdate::Kind::Delta;
    update.discovered.endpoints = std::move(changes);
    return update;
}

Membership::Update Membership::apply_due_removals(Time now) {
    Update update;
    update.discovered.kind = DiscoveryUpdate::Kind::Failed;
    if (!removals_due_ || now < *removals_due_) return update;
    removals_due_.reset();
    const auto due = std::exchange(pending_removals_, {});
    std::vector<std::string> removals(due.begin(), due.end());
    std::sort(removals.begin(), removals.end());
    auto changes = std::make_shared<EndpointList>();
    for (const std::string& uid : removals) remove(uid, now, *changes, update);
    update.log_text = std::to_string(removals.size()) + " endpoints removed after the delay";
    update.discovered.kind = DiscoveryUpdate::Kind::Delta;
    update.discovered.endpoints = std::move(changes);
    return update;
}

}  // namespace martenford
