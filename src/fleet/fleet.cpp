// Fleet: the events that come from outside, and the views of the members.
#include "fleet/fleet.h"

#include <algorithm>
#include <utility>

#include "fleet/fleet_internal.h"

namespace martenford::fleet {

namespace {

constexpr int kStallHealthSteps = 2;            // added to the health score by one stall
constexpr Duration kStallThreshold = 250ms;     // a tick that is later than this counts as a stall
constexpr Duration kStallReportTime = 30s;      // how long acks report the stall
constexpr Duration kMaxStallRecovery = 10s;     // without witnesses, recovery from a stall ends after this
constexpr std::size_t kMaxRelayedProbes = 256;  // in flight on behalf of others; further ones are ignored
// Pause before a seed that is not a live member is first dialled; it doubles up to reconnect_interval. It
// starts low because seeds that start together are each joined by other members before they find each other,
// so that the fleet begins in several parts.
constexpr Duration kInitialReconnectPause = 200ms;
constexpr Duration kMinReprobeInterval = 100ms;  // a lost link causes no second probe within this time
constexpr Duration kFinalCheckLead = 300ms;  // before its deadline, other members are asked about a suspect
constexpr std::size_t kLeaveNotices = 8;     // members that are notified directly

Duration percent_of(Duration d, int percent) {
    return d * percent / 100;
}

}  // namespace

const char* name_of(ObservedState state) {
    constexpr const char* kNames[] = {"alive", "suspect", "stalled", "unreachable", "left", "dead"};
    return kNames[static_cast<std::size_t>(state)];
}

const char* name_of(FleetEvent::Kind kind) {
    constexpr const char* kNames[] = {"joined",   "left",    "died",  "lost-at-once",
                                      "returned", "doubled", "stood", "accused"};
    return kNames[static_cast<std::size_t>(kind)];
}

Fleet::Fleet(const ProtocolOptions& options, std::vector<std::string> seeds, LocalMember self,
             std::uint64_t seed)
    : options_(options), seeds_(std::move(seeds)), self_(std::move(self)), random_(seed) {}

void Fleet::start(Time now) {
    started_ = true;
    const auto jitter = [this](Duration d) {
        return Duration{static_cast<Duration::rep>(random_below(static_cast<std::uint64_t>(d.count())))};
    };
    probe_at_ = now + jitter(options_.probe_interval);
    gossip_at_ = now + jitter(options_.gossip_interval);
    reconnect_pause_ = kInitialReconnectPause;
    reconnect_at_ = now + kInitialReconnectPause + jitter(kInitialReconnectPause);
    sync_at_ = now;
    gossip_queue_.add(own_update());
    tick(now);
}

Time Fleet::next_tick() const {
    Time when = std::min({probe_at_, gossip_at_, sync_at_, reconnect_at_});
    for (const auto& [seq, probe] : probes_)
        when = std::min(when, probe.indirect_sent ? probe.ends_at : probe.indirect_at);
    for (const auto& [seq, relayed] : relayed_probes_) when = std::min(when, relayed.expires_at);
    for (const auto& [deadline, id] : suspect_deadlines_) {
        const bool checked = members_.at(id).final_check_sent;
        when = std::min(when, checked ? deadline : deadline - kFinalCheckLead);
        if (!checked) break;  // later entries have later deadlines
    }
    if (!unreported_deaths_.empty()) when = std::min(when, report_deaths_at_);
    return when;
}

void Fleet::tick(Time now) {
    if (!started_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    if (!leaving_ && probe_at_ <= now) {
        probe_next(now);
        probe_at_ = now + scaled_by_health(options_.probe_interval);
    } else if (leaving_) {
        probe_at_ = now + options_.probe_interval;
    }
    std::vector<Probe> failed;
    for (auto it = probes_.begin(); it != probes_.end();) {
        Probe& probe = it->second;
        if (!probe.indirect_sent && probe.indirect_at <= now) send_ping_requests(now, it->first, probe);
        if (probe.indirect_sent && probe.ends_at <= now) {
            failed.push_back(probe);
            it = probes_.erase(it);
        } else {
            ++it;
        }
    }
    for (const Probe& probe : failed) probe_failed(now, probe);
    for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
        if (it->second.expires_at > now) {
            ++it;
            continue;
        }
        Message nack;
        nack.kind = Message::Kind::Nack;
        nack.seq = it->second.requester_seq;
        send(it->second.requester_address, it->second.requester, std::move(nack));
        it = relayed_probes_.erase(it);
    }
    send_final_checks(now);
    while (!suspect_deadlines_.empty() && suspect_deadlines_.begin()->first <= now) {
        Member& member = members_.at(suspect_deadlines_.begin()->second);
        if (stall_recovery_since_) {  // a refutation that it missed may be in flight
            suspect_deadlines_.erase(suspect_deadlines_.begin());
            member.suspicion->postpone(options_.probe_interval);
            suspect_deadlines_.emplace(member.suspicion->deadline(), member.record.id);
            continue;
        }
        MemberUpdate dead = member.record;
        dead.state = State::Dead;
        dead.reported_by = self_.id.name;
        set_state(now, member, dead);
    }
    if (gossip_at_ <= now) {
        gossip(now);
        gossip_at_ = now + options_.gossip_interval;
    }
    if (sync_at_ <= now) sync(now);
    if (reconnect_at_ <= now) {
        reconnect(now);
        reconnect_pause_ = std::min(reconnect_pause_ * 2, options_.reconnect_interval);
        reconnect_at_ = now + reconnect_pause_;
    }
    if (stall_recovery_since_ && now > *stall_recovery_since_ + kMaxStallRecovery)
        stall_recovery_since_.reset();
    remove_departed(now);
    report_deaths(now);
    expected_tick_ = std::max(now, next_tick());
}

/// Tells some other members of a suspicion shortly before its deadline; those that know of a refutation
/// answer with it. When many updates are queued, a refutation can take seconds to reach this member by
/// gossip.
void Fleet::send_final_checks(Time now) {
    for (const auto& [deadline, id] : suspect_deadlines_) {
        if (deadline - kFinalCheckLead > now) return;
        Member& member = members_.at(id);
        if (std::exchange(member.final_check_sent, true)) continue;
        for (Member* other : random_members(options_.gossip_fanout, &id, true)) {
            Message notice;
            notice.kind = Message::Kind::Gossip;
            notice.updates.push_back(without_details(member.record));
            send(other->record.address, other->record.id, std::move(notice));
        }
    }
}

/// Handles a stall of this process, which got no CPU time or was stopped: that it heard nothing meanwhile
/// says nothing about other members.
void Fleet::on_own_stall(Time now, Duration delay) {
    if (!options_.local_health) return;
    ++stats_.stalls;
    degrade_health(kStallHealthSteps);
    probes_.clear();
    relayed_probes_.clear();
    std::vector<Id> all;
    for (const auto& [deadline, id] : suspect_deadlines_) all.push_back(id);
    suspect_deadlines_.clear();
    for (const Id& id : all) {
        Member& member = members_.at(id);
        member.suspicion->postpone(delay);
        suspect_deadlines_.emplace(member.suspicion->deadline(), id);
    }
    stall_recovery_since_ = now;
    heard_since_stall_.clear();
    stalled_ms_ = static_cast<std::uint32_t>(std::min<std::int64_t>(delay / 1ms, 3'600'000));
    report_stall_until_ = now + kStallReportTime;
    // Probe at once, to end the recovery soon.
    probe_at_ = now;
    if (!leaving_) {
        for (Member* member : random_members(kRecoveryWitnesses, nullptr, true)) probe(now, *member);
    }
    expected_tick_ = now;
    add_event(FleetEvent::Kind::OwnStall, now, {self_.id}, std::to_string(stalled_ms_) + " ms");
}

void Fleet::receive(Time now, const Id& from, const std::string& address, const Message& message) {
    if (!started_ || from == self_.id) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    Message corrections;
    for (const MemberUpdate& update : message.updates) {
        // Corrects a sender that missed a refutation. Otherwise it alone would declare the member dead: other
        // members, and the subject first of all, ignore updates that are older than what they know.
        if (update.state == State::Suspect || update.state == State::Dead) {
            const auto it = members_.find(update.id);
            const bool newer = it != members_.end() && it->second.record.state == State::Alive &&
                               it->second.record.incarnation > update.incarnation;
            const bool own = update.id == self_.id && incarnation_ > update.incarnation;
            if ((newer || own) && corrections.updates.size() < kUpdatesPerMessage)
                corrections.updates.push_back(own ? own_update() : it->second.record);
        }
        MemberUpdate taken = update;
        // The two sides of a healed partition must not declare each other dead by their lists: a member that
        // the sender holds dead becomes a suspect here and can refute. A member that is not live here stays
        // so, as it may have been forgotten here and be remembered there.
        if (message.kind == Message::Kind::MemberList && taken.state == State::Dead) {
            const auto held = members_.find(taken.id);
            if (held != members_.end() && held->second.ring_index != kNotInRing) taken.state = State::Suspect;
        }
        apply_update(now, taken);
    }
    if (!corrections.updates.empty()) send(address, from, std::move(corrections));
    const auto known = members_.find(from);
    const bool unknown_sender = known == members_.end();
    if (!unknown_sender) record_contact(now, known->second);
    switch (message.kind) {
        case Message::Kind::Ping: {
            Message ack;
            ack.kind = Message::Kind::Ack;
            ack.seq = message.seq;
            ack.stalled_ms = now < report_stall_until_ ? stalled_ms_ : 0;
            attach_updates(ack, &from);
            send(address, from, std::move(ack));
            break;
        }
        case Message::Kind::PingRequest: {
            if (relayed_probes_.size() >= kMaxRelayedProbes || message.address.empty()) {
                ++stats_.ignored;
                break;
            }
            const std::uint64_t seq = ++seq_;
            relayed_probes_[seq] = {address, from, message.to, message.seq,
                                    now + percent_of(options_.probe_timeout, 75)};
            Message ping;
            ping.kind = Message::Kind::Ping;
            ping.seq = seq;
            ping.to = message.to;
            attach_updates(ping, &message.to);
            send(message.address, message.to, std::move(ping));
            break;
        }
        case Message::Kind::Ack:
            ack_received(now, from, message);
            break;
        case Message::Kind::Nack:
            if (const auto it = probes_.find(message.seq); it != probes_.end()) ++it->second.nacks;
            break;
        case Message::Kind::Gossip:
        case Message::Kind::LinkClosing:
            break;
        case Message::Kind::SyncRequest:
            if (message.digest == digest() && !unknown_sender) {
                Message empty_list;
                empty_list.kind = Message::Kind::MemberList;
                send(address, from, std::move(empty_list));
            } else {
                send_member_list(now, address, from, true);
            }
            break;
        case Message::Kind::MemberList:
            joined_ = true;
            if (message.want_list) send_member_list(now, address, from, false);
            break;
    }
    // An unknown sender gets a sync request; its answer tells its state.
    if (message.kind == Message::Kind::Ping || message.kind == Message::Kind::Gossip) {
        const auto now_known = members_.find(from);
        if (now_known == members_.end()) {
            Message request;
            request.kind = Message::Kind::SyncRequest;
            request.digest = digest();
            request.updates.push_back(own_update());
            send(address, from, std::move(request));
        }
    }
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::connect_failed(Time now, const std::string& address, Evidence evidence) {
    if (!started_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    const auto at_address = by_address_.find(address);
    if (at_address == by_address_.end()) return;
    for (const Id& id : std::set<Id>(at_address->second)) {
        Member& member = members_.at(id);
        bool probed = false;
        for (auto& [seq, probe] : probes_) {
            if (probe.target != id) continue;
            probed = true;
            probe.evidence = std::max(probe.evidence, evidence);
            // No direct answer can come any more, but helpers may reach the member.
            if (!probe.indirect_sent) send_ping_requests(now, seq, probe);
            if (evidence == Evidence::Gone)
                probe.ends_at = std::min(probe.ends_at, now + scaled_by_health(options_.probe_timeout));
        }
        if (!probed && evidence == Evidence::Gone && !leaving_ &&
            now > member.last_probed + kMinReprobeInterval)
            probe(now, member);
    }
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::link_lost(Time now, const std::string& address) {
    if (!started_ || leaving_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    const auto at_address = by_address_.find(address);
    if (at_address == by_address_.end()) return;
    for (const Id& id : std::set<Id>(at_address->second)) {
        Member& member = members_.at(id);
        const auto running = std::find_if(probes_.begin(), probes_.end(),
                                          [&](const auto& entry) { return entry.second.target == id; });
        if (running == probes_.end()) {
            if (now > member.last_probed + kMinReprobeInterval) probe(now, member);
            continue;
        }
        // The ping in flight was lost with the link: send it again.
        Message ping;
        ping.kind = Message::Kind::Ping;
        ping.seq = running->first;
        ping.to = id;
        send(address, id, std::move(ping));
    }
    expected_tick_ = std::max(now, next_tick());
}

/// The notice counts as an answer. In a fleet whose members have few links and many probes, links are often
/// closed for others or refused. If that counted as silence, it would cause indirect probes over still more
/// links.
void Fleet::link_closed_by_peer(Time now, const Id& id) {
    if (!started_) return;
    if (expected_tick_ != Time{} && now > expected_tick_ + kStallThreshold)
        on_own_stall(now, now - expected_tick_);
    const auto erased = std::erase_if(probes_, [&](const auto& entry) { return entry.second.target == id; });
    if (erased > 0) {
        note_heard_since_stall(now, id);
        probe_answered(now, id, true, 0);
    }
    for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
        if (it->second.target != id) {
            ++it;
            continue;
        }
        Message ack;
        ack.kind = Message::Kind::Ack;
        ack.seq = it->second.requester_seq;
        ack.to = id;
        send(it->second.requester_address, it->second.requester, std::move(ack));
        it = relayed_probes_.erase(it);
    }
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::send_failed(Time now, const Message& message) {
    if (message.kind != Message::Kind::Ping) return;
    probes_.erase(message.seq);
    relayed_probes_.erase(message.seq);
    expected_tick_ = std::max(now, next_tick());
}

void Fleet::peer_identified(Time now, const std::string& address, const Id& id) {
    if (!started_) return;
    const auto at_address = by_address_.find(address);
    if (at_address == by_address_.end()) return;
    for (const Id& before : std::set<Id>(at_address->second)) {
        if (before == id) continue;
        Member& member = members_.at(before);
        MemberUpdate dead = member.record;
        dead.state = State::Dead;
        dead.evidence = Evidence::Gone;
        dead.reported_by = self_.id.name;
        set_state(now, member, dead);
    }
}

void Fleet::leave(Time now) {
    if (!started_ || std::exchange(leaving_, true)) return;
    const MemberUpdate left = own_update(State::Left);
    gossip_queue_.add(left);
    for (Member* member : random_members(kLeaveNotices, nullptr)) {
        Message notice;
        notice.kind = Message::Kind::Gossip;
        notice.updates.push_back(left);
        send(member->record.address, member->record.id, std::move(notice));
    }
    probes_.clear();
    tick(now);
}

std::vector<MemberView> Fleet::members() const {
    std::vector<MemberView> result;
    result.reserve(members_.size() + 1);
    bool self_in_conflict = false;
    for (const auto& [id, member] : members_) {
        const MemberUpdate& update = member.record;
        ObservedState state = ObservedState::Alive;
        switch (update.state) {
            case State::Alive:
                state = member.indirect_streak >= kMinIndirectStreak ? ObservedState::Unreachable
                                                                     : ObservedState::Alive;
                break;
            case State::Suspect:
                state =
                    update.evidence == Evidence::Stalled ? ObservedState::Stalled : ObservedState::Suspect;
                break;
            case State::Left:
                state = ObservedState::Left;
                break;
            case State::Dead:
                state = ObservedState::Dead;
                break;
        }
        self_in_conflict = self_in_conflict || (member.name_conflict && id.name == self_.id.name);
        result.push_back({id, update.address, update.zone, update.version, update.incarnation, state,
                          member.since, update.reported_by, member.name_conflict, member.stalled_ms});
    }
    MemberView own{self_.id,         self_.address,        self_.zone, self_.version,
                   incarnation_,     ObservedState::Alive, {},         self_.id.name,
                   self_in_conflict, stalled_ms_};
    const auto position =
        std::lower_bound(result.begin(), result.end(), own,
                         [](const MemberView& a, const MemberView& b) { return a.id < b.id; });
    result.insert(position, own);
    return result;
}

}  // namespace martenford::fleet
