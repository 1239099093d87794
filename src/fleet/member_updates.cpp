// Fleet: what updates say of members, and conflicts of names.
#include <algorithm>
#include <utility>

#include "fleet/fleet_internal.h"

namespace martenford::fleet {

namespace {

// Lifeguard's K: this many confirmations shorten a suspicion to its minimum.
constexpr std::size_t kSuspicionConfirmations = 3;
constexpr std::size_t kMaxDeathsWithExtraProbes = 8;  // up to this many deaths that are reported together
constexpr int kRefutationPeriods = 2;   // probe intervals within which a refutation reaches all members
constexpr int kMaxSuspicionFactor = 3;  // maximum suspicion timeout as a multiple of the minimum

}  // namespace

void Fleet::apply_update(Time now, const MemberUpdate& update) {
    if (update.id == self_.id) return apply_update_about_self(now, update);
    const auto it = members_.find(update.id);
    if (it == members_.end()) {
        if (members_.size() >= kMaxMembers) {
            ++stats_.ignored;
            return;
        }
        if (update.address.empty() && (update.state == State::Alive || update.state == State::Suspect))
            return;
        Member& member = members_[update.id];
        member.record = update;
        member.record.state = State::Dead;  // placeholder; set_state() below treats it as new
        member.record.reported_by.clear();
        member.since = now;
        if (update.state == State::Dead || update.state == State::Left) {
            // Remembered, so that an outdated alive update does not bring the member back.
            member.record = update;
            departed_.emplace_back(now, update.id);
            return;
        }
        set_state(now, member, update);
        return;
    }
    Member& member = it->second;
    const State old_state = member.record.state;
    const std::uint64_t i = update.incarnation, j = member.record.incarnation;
    const bool present = old_state == State::Alive || old_state == State::Suspect;
    switch (update.state) {
        case State::Alive:
            if (i > j && old_state != State::Left) set_state(now, member, update);
            return;
        case State::Suspect:
            if (old_state == State::Suspect && i == j) {
                if (!member.suspicion->confirm(update.reported_by)) return;
                if (update.evidence == Evidence::Gone)
                    member.suspicion->tighten(options_.not_listening_tolerance,
                                              kMaxSuspicionFactor * options_.not_listening_tolerance);
                member.record.evidence = std::max(member.record.evidence, update.evidence);
                std::erase_if(suspect_deadlines_,
                              [&](const auto& entry) { return entry.second == update.id; });
                suspect_deadlines_.emplace(member.suspicion->deadline(), update.id);
                // An independent confirmation is gossiped on, so that the timeouts of others shrink too. It
                // queues behind new updates.
                gossip_queue_.add(without_details(update), transmit_limit() / 2);
                return;
            }
            if ((present && i >= j) || (old_state == State::Dead && i > j)) set_state(now, member, update);
            return;
        case State::Dead: {
            if (!present || i < j) return;
            // A member that receives nothing could declare all others dead. Hence a death reported by another
            // member counts as a suspicion until the minimum time for a refutation has passed.
            if (old_state == State::Suspect && i == j && now >= member.suspicion->earliest_deadline())
                return set_state(now, member, update);
            MemberUpdate as_suspect = update;
            as_suspect.state = State::Suspect;
            return apply_update(now, as_suspect);
        }
        case State::Left:
            if (old_state != State::Left && i >= j) set_state(now, member, update);
            return;
    }
}

void Fleet::apply_update_about_self(Time now, const MemberUpdate& update) {
    if (leaving_) return;
    if (update.state == State::Alive) {
        // Usually an echo of its own earlier update; only a forged one has a higher incarnation.
        if (update.incarnation > incarnation_) refute(now, update.incarnation);
        return;
    }
    if (update.incarnation < incarnation_) return;
    degrade_health(1);
    add_event(FleetEvent::Kind::OwnSuspicion, now, {self_.id},
              "by " + update.reported_by + ": " + name_of(update.evidence));
    refute(now, update.incarnation);
}

void Fleet::refute(Time now, std::uint64_t above) {
    ++stats_.refutations;
    if (above + 1 >= kMaxIncarnation) {
        // Incarnations are exhausted. It continues as a new member with a new boot id, and the old id has
        // left.
        MemberUpdate old = own_update(State::Left);
        old.incarnation = kMaxIncarnation;
        do self_.id.boot = random_();
        while (self_.id.boot == 0);
        incarnation_ = 0;
        apply_update(now, old);
        gossip_queue_.add(old);
    } else {
        incarnation_ = above + 1;
    }
    gossip_queue_.add(own_update());
}

void Fleet::set_state(Time now, Member& member, const MemberUpdate& update) {
    const State old_state = member.record.state;
    const bool was_present = member.ring_index != kNotInRing;
    const bool is_present = update.state == State::Alive || update.state == State::Suspect;
    const bool known_before = member.record.state != State::Dead || !member.record.reported_by.empty();
    if (was_present) digest_ -= hash_of(member.record);
    if (was_present && !is_present) remove_from_ring(member);
    if (member.suspicion) {
        suspect_deadlines_.erase({member.suspicion->deadline(), update.id});
        member.suspicion.reset();
    }
    const std::size_t before = ring_.size() + (was_present && !is_present ? 2 : 1);
    const MemberUpdate previous = std::exchange(member.record, update);
    if (update.address.empty()) {  // updates about others carry no details
        member.record.address = previous.address;
        member.record.zone = previous.zone;
        member.record.version = previous.version;
        member.record.successor = previous.successor;
    }
    if (old_state != update.state || !known_before) {
        member.since = now;
        state_changes_.push_back({update.id, update.state});
    }
    if (is_present) {
        digest_ += hash_of(member.record);
        if (!was_present) add_to_ring(member);
    }
    gossip_queue_.add(without_details(member.record));
    switch (update.state) {
        case State::Alive:
            break;
        case State::Suspect: {
            const std::size_t others = ring_.size() > 1 ? ring_.size() - 1 : 0;
            const bool not_listening = update.evidence == Evidence::Gone;
            const Duration min_timeout =
                not_listening ? options_.not_listening_tolerance
                              : options_.stall_tolerance + kRefutationPeriods * options_.probe_interval;
            member.final_check_sent = false;
            member.suspicion.emplace(now, min_timeout, kMaxSuspicionFactor * min_timeout,
                                     std::min(kSuspicionConfirmations, others));
            member.suspicion->confirm(update.reported_by);
            suspect_deadlines_.emplace(member.suspicion->deadline(), update.id);
            break;
        }
        case State::Left:
            departed_.emplace_back(now, update.id);
            add_event(FleetEvent::Kind::Left, now, {update.id});
            break;
        case State::Dead:
            departed_.emplace_back(now, update.id);
            if (!was_present) break;
            ++stats_.deaths;
            if (unreported_deaths_.empty()) {
                live_before_deaths_ = before;
                deaths_not_listening_ = 0;
                first_death_at_ = now;
            }
            unreported_deaths_.push_back(update.id);
            last_death_at_ = now;
            report_deaths_at_ = now + kDeathSettleTime;
            deaths_not_listening_ += update.evidence == Evidence::Gone ? 1 : 0;
            if (unreported_deaths_.size() <= kMaxDeathsWithExtraProbes) probe_unheard_members(now);
            break;
    }
    if (is_present && !was_present) {
        if (!known_before || old_state == State::Left) {
            add_event(FleetEvent::Kind::Joined, now, {update.id}, update.address);
        } else if (std::erase(unreported_deaths_, update.id) == 0) {
            add_event(FleetEvent::Kind::Returned, now, {update.id});
        }
        start_conflict_check(now, member);
    }
}

void Fleet::add_to_ring(Member& member) {
    // Inserted at a random position in the rest of this round, so that a new member is probed within one
    // round.
    member.ring_index = ring_.size();
    ring_.push_back(&member);
    by_address_[member.record.address].insert(member.record.id);
    const std::size_t first = std::min(next_probe_, ring_.size() - 1);
    const std::size_t other = first + random_below(ring_.size() - first);
    std::swap(ring_[other], ring_[member.ring_index]);
    ring_[member.ring_index]->ring_index = member.ring_index;
    member.ring_index = other;
}

void Fleet::remove_from_ring(Member& member) {
    const std::size_t position = member.ring_index;
    ring_[position] = ring_.back();
    ring_[position]->ring_index = position;
    ring_.pop_back();
    member.ring_index = kNotInRing;
    member.indirect_streak = 0;
    member.name_conflict = false;
    const auto at_address = by_address_.find(member.record.address);
    at_address->second.erase(member.record.id);
    if (at_address->second.empty()) by_address_.erase(at_address);
    // A remaining member of the same name has no conflict any more.
    for (auto it = members_.lower_bound({member.record.id.name, 0});
         it != members_.end() && it->first.name == member.record.id.name; ++it)
        it->second.name_conflict = false;
}

void Fleet::start_conflict_check(Time now, Member& member) {
    const std::string& name = member.record.id.name;
    std::vector<Member*> same;
    for (auto it = members_.lower_bound({name, 0}); it != members_.end() && it->first.name == name; ++it) {
        if (it->second.ring_index != kNotInRing) same.push_back(&it->second);
    }
    if (same.size() + (name == self_.id.name ? 1 : 0) < 2) return;
    // Usually this is a restart whose former process is not yet known to be dead. There is a conflict only if
    // both answer from now on.
    for (Member* each : same) {
        each->conflict_check_since = now;
        if (!leaving_) probe(now, *each);
    }
}

void Fleet::detect_name_conflict(Time now, Member& member) {
    if (member.conflict_check_since == Time{} || member.name_conflict || member.record.successor) return;
    const std::string& name = member.record.id.name;
    if (name == self_.id.name) {
        if (self_.successor) return;
        member.name_conflict = true;
        return add_event(FleetEvent::Kind::NameConflict, now, {self_.id, member.record.id},
                         self_.address + " and " + member.record.address);
    }
    for (auto it = members_.lower_bound({name, 0}); it != members_.end() && it->first.name == name; ++it) {
        Member& other = it->second;
        if (&other == &member || other.ring_index == kNotInRing || other.record.successor) continue;
        if (other.conflict_check_since == Time{} || other.last_answered <= other.conflict_check_since)
            continue;
        const bool already_reported = other.name_conflict;
        member.name_conflict = other.name_conflict = true;
        if (!already_reported)
            add_event(FleetEvent::Kind::NameConflict, now, {other.record.id, member.record.id},
                      other.record.address + " and " + member.record.address);
    }
}

}  // namespace martenford::fleet
